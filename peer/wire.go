// Package peer carries control messages and requests between daemons: QUIC
// with mutual TLS, one stream a message or request, CBOR values with a length
// before each. It decides nothing.
package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"currantwick"
	"currantwick/codec"

	"github.com/quic-go/quic-go"
)

// Protocol is the ALPN name of the protocol between daemons.
const Protocol = "currantwick"

const (
	// maxValueBytes bounds one value; a checkpoint is the largest.
	maxValueBytes = 64 << 20
	lengthBytes   = 4
)

// opening is the first value on every stream. Exactly one field is set.
type opening struct {
	Call   *wick.PeerMessage `json:"Call,omitempty"`
	Submit *wick.Submission  `json:"Submit,omitempty"`
}

// Check implements wick.Checker.
func (o opening) Check() error {
	switch {
	case o.Call != nil && o.Submit == nil:
		return o.Call.Check()
	case o.Submit != nil && o.Call == nil:
		return o.Submit.Check()
	}
	return errors.New("stream opens with neither call nor submission")
}

// writeValue returns how many bytes the value took.
func writeValue(w io.Writer, v any) (wick.Bytes, error) {
	body, err := codec.EncodeCBOR(v)
	if err != nil {
		return 0, fmt.Errorf("write value: %w", err)
	}
	buf := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(buf, uint32(len(body)))
	if _, err := w.Write(append(buf, body...)); err != nil {
		return 0, fmt.Errorf("write value: %w", err)
	}
	return wick.Bytes(lengthBytes + len(body)), nil
}

// readValue returns how many bytes the value took.
func readValue(r io.Reader, v any) (wick.Bytes, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, fmt.Errorf("read length: %w", err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxValueBytes {
		return 0, fmt.Errorf("value of %d bytes is over the limit", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, fmt.Errorf("read value: %w", err)
	}
	if err := codec.DecodeCBOR(body, v); err != nil {
		return 0, fmt.Errorf("read value: %w", err)
	}
	return wick.Bytes(lengthBytes + len(body)), nil
}

// quicConfig returns the settings of both ends. A connection on which nothing
// arrives for quiet is given up, so that its streams fail and can go on over a
// new one.
func quicConfig(quiet time.Duration) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: quiet / 3,
		MaxIdleTimeout:       quiet,
		KeepAlivePeriod:      quiet / 3,
		MaxIncomingStreams:   1 << 16,
	}
}
