package codec

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"currantwick"
)

const (
	// lengthBytes is the size of the length prefix of each value on a stream.
	lengthBytes = 4
	// maxGrow bounds the buffer that is reserved before a value arrives.
	maxGrow wick.Bytes = 64 << 10
)

// EncodeFrame returns v in CBOR with a length prefix.
func EncodeFrame(v any) ([]byte, error) {
	body, err := EncodeCBOR(v)
	if err != nil {
		return nil, err
	}
	return Frame(body), nil
}

// Frame returns an encoded value with a length prefix.
func Frame(body []byte) []byte {
	frame := make([]byte, 0, lengthBytes+len(body))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body)))
	return append(frame, body...)
}

// DecodeFrame reads a value written by EncodeFrame, of at most limit bytes, and
// returns the number of bytes read.
func DecodeFrame(r io.Reader, limit wick.Bytes, v any) (wick.Bytes, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, fmt.Errorf("read length: %w", err)
	}
	size := wick.Bytes(binary.BigEndian.Uint32(head[:]))
	if size > limit {
		return 0, fmt.Errorf("value of %d bytes is over the limit of %d", size, limit)
	}
	// The buffer grows with what arrives, so that a wrong length costs no memory.
	var body bytes.Buffer
	body.Grow(int(min(size, maxGrow)))
	if _, err := io.CopyN(&body, r, int64(size)); err != nil {
		return 0, fmt.Errorf("read value of %d bytes: %w", size, err)
	}
	return lengthBytes + size, DecodeCBOR(body.Bytes(), v)
}
