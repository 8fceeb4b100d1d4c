// Package peer carries control messages and requests between daemons: QUIC with
// mutual TLS, one stream per call or request, length-prefixed CBOR values. It
// makes no decisions.
package peer

import (
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

// maxValueBytes bounds one value; a checkpoint is the largest.
const maxValueBytes = 64 << 20

// streamHeader is the first value on every stream. Exactly one field is set.
type streamHeader struct {
	Call   *wick.PeerMessage `json:"Call,omitempty"`
	Submit *wick.Submission  `json:"Submit,omitempty"`
}

// Check implements wick.Checker.
func (h streamHeader) Check() error {
	switch {
	case h.Call != nil && h.Submit == nil:
		return h.Call.Check()
	case h.Submit != nil && h.Call == nil:
		return h.Submit.Check()
	}
	return errors.New("the first value of a stream must have exactly one of Call and Submit")
}

// writeValue writes a length-prefixed value and returns its encoded size.
func writeValue(w io.Writer, v any) (wick.Bytes, error) {
	frame, err := codec.EncodeFrame(v)
	if err != nil {
		return 0, fmt.Errorf("write value: %w", err)
	}
	if _, err := w.Write(frame); err != nil {
		return 0, fmt.Errorf("write value: %w", err)
	}
	return wick.Bytes(len(frame)), nil
}

// readValue reads and checks a length-prefixed value and returns its encoded
// size.
func readValue(r io.Reader, v any) (wick.Bytes, error) {
	n, err := codec.DecodeFrame(r, maxValueBytes, v)
	if err != nil {
		return 0, fmt.Errorf("read value: %w", err)
	}
	return n, nil
}

// quicConfig returns the settings of both ends. A connection on which nothing
// arrives for idleTimeout is closed, so that its streams fail and can resume
// over a new one.
func quicConfig(idleTimeout time.Duration) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: idleTimeout / 3,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      idleTimeout / 3,
		MaxIncomingStreams:   1 << 16,
	}
}
