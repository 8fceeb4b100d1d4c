package links

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"currantwick"
	"currantwick/codec"
)

// packers keeps compressors for reuse: each takes several hundred KiB.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is valid.
	}
	return w
}}

// pack returns the encoding of a message that holds the encoded message plain
// compressed. Configurations and lists of endpoints shrink to about a tenth.
func pack(plain []byte) ([]byte, error) {
	var packed bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&packed)
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("pack message: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack message: %w", err)
	}
	data, err := codec.EncodeCBOR(wick.LinkMessage{Packed: packed.Bytes()})
	if err != nil {
		return nil, fmt.Errorf("pack message: %w", err)
	}
	return data, nil
}

// unpack returns the message that a packed message holds, or msg itself if it is
// not packed.
func unpack(msg wick.LinkMessage) (wick.LinkMessage, error) {
	if msg.Packed == nil {
		return msg, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(msg.Packed)), maxMessage+1))
	if err != nil {
		return wick.LinkMessage{}, fmt.Errorf("link: unpack message: %w", err)
	}
	if len(plain) > maxMessage {
		return wick.LinkMessage{}, fmt.Errorf("link: unpacked message exceeds the limit of %d bytes", maxMessage)
	}
	var inner wick.LinkMessage
	if err := codec.DecodeCBOR(plain, &inner); err != nil {
		return wick.LinkMessage{}, fmt.Errorf("link: unpack message: %w", err)
	}
	if inner.Packed != nil {
		return wick.LinkMessage{}, fmt.Errorf("link: message of %d bytes is packed twice", len(plain))
	}
	return inner, nil
}
