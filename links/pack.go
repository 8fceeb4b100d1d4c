package links

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"currantwick"
	"currantwick/codec"
)

// pack returns a message that holds msg compressed, or msg itself if it is small.
// Configurations and lists of endpoints shrink to about a tenth.
func pack(msg wick.LinkMessage) (wick.LinkMessage, error) {
	plain, err := codec.EncodeCBOR(msg)
	if err != nil {
		return msg, fmt.Errorf("link: %w", err)
	}
	if len(plain) < minPacked {
		return msg, nil
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return msg, fmt.Errorf("link: pack message: %w", err)
	}
	if _, err := w.Write(plain); err != nil {
		return msg, fmt.Errorf("link: pack message: %w", err)
	}
	if err := w.Close(); err != nil {
		return msg, fmt.Errorf("link: pack message: %w", err)
	}
	return wick.LinkMessage{Packed: packed.Bytes()}, nil
}

// unpack returns the message that pack was given.
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
