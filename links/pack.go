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

// budgetReader takes memory for what it reads, in steps of smallMessage.
type budgetReader struct {
	from io.Reader
	// memory may be nil.
	memory      wick.MemoryBudget
	read, taken wick.Bytes
}

// Read implements io.Reader.
func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.read += wick.Bytes(n)
	if r.memory != nil && r.read > r.taken+smallMessage {
		if !r.memory.Take(smallMessage) {
			return n, errNoMemory
		}
		r.taken += smallMessage
	}
	return n, err
}

func (r *budgetReader) give() {
	if r.taken > 0 {
		r.memory.Give(r.taken)
	}
}

// unpack returns the message that a packed message holds, or msg itself if it is
// not packed. It takes the memory for a large one out of the budget, which may be nil,
// until it is decoded.
func unpack(msg wick.LinkMessage, memory wick.MemoryBudget) (wick.LinkMessage, error) {
	if msg.Packed == nil {
		return msg, nil
	}
	from := &budgetReader{from: io.LimitReader(flate.NewReader(bytes.NewReader(msg.Packed)), maxMessage+1), memory: memory}
	defer from.give()
	plain, err := io.ReadAll(from)
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
