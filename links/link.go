package links

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"currantwick"
	"currantwick/codec"
)

// link implements wick.Link.
type link struct {
	net     net.Conn
	encoder *encoder
	reader  *bufio.Reader
	// input has no timeout during the handshake, whose deadline covers both
	// messages.
	input  idleReader
	outbox chan []byte
	cancel context.CancelFunc
	// failure is the error for which this end closed the link; nil if there was
	// none.
	failure atomic.Pointer[error]
}

var _ wick.Link = (*link)(nil)

// Post implements wick.Link.
func (l *link) Post(msg wick.LinkMessage) {
	frame, err := l.encoder.frameFor(msg)
	if err != nil {
		l.fail(err)
		return
	}
	select {
	case l.outbox <- frame:
	default:
		l.fail(errOutboxFull)
	}
}

// errOutboxFull closes a link whose remote end does not keep up.
var errOutboxFull = fmt.Errorf("link: outbox full, %d messages waiting for the remote end", outboxSize)

// fail closes the link with an error that readLoop can't see.
func (l *link) fail(err error) {
	l.failure.CompareAndSwap(nil, &err)
	l.cancel()
}

// Close implements wick.Link.
func (l *link) Close() { l.cancel() }

// handshake exchanges Hello messages and returns the remote instance.
func (l *link) handshake(self wick.Instance) (wick.Instance, error) {
	if err := l.net.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return wick.Instance{}, fmt.Errorf("set deadline: %w", err)
	}
	hello, err := encode(wick.LinkMessage{Hello: &self})
	if err != nil {
		return wick.Instance{}, err
	}
	if err := l.writeFrame(hello); err != nil {
		return wick.Instance{}, err
	}
	msg, err := l.readMessage()
	if err != nil {
		return wick.Instance{}, err
	}
	if msg.Hello == nil {
		return wick.Instance{}, errors.New("link: first message is not a Hello")
	}
	if err := l.net.SetDeadline(time.Time{}); err != nil {
		return wick.Instance{}, fmt.Errorf("set deadline: %w", err)
	}
	return *msg.Hello, nil
}

// writeLoop writes the messages of the outbox until ctx ends.
func (l *link) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case frame := <-l.outbox:
			if err := l.writeFrame(frame); err != nil {
				l.fail(err)
				return
			}
		}
	}
}

func (l *link) writeFrame(frame []byte) error {
	if _, err := l.net.Write(frame); err != nil {
		return fmt.Errorf("link: write: %w", err)
	}
	return nil
}

// readLoop passes received messages on until the link ends.
func (l *link) readLoop(events wick.LinkHandler) error {
	l.input.timeout = idleTimeout
	for {
		l.input.until = time.Now().Add(messageTimeout)
		msg, err := l.readMessage()
		if err != nil {
			return err
		}
		events.LinkMessage(l, msg)
	}
}

func (l *link) readMessage() (wick.LinkMessage, error) {
	var msg wick.LinkMessage
	if _, err := codec.DecodeFrame(l.reader, maxMessage, &msg); err != nil {
		return wick.LinkMessage{}, fmt.Errorf("link: %w", err)
	}
	return unpack(msg)
}

// idleReader reads from a connection and fails when no byte arrives within a
// timeout. The deadline moves with the bytes and not with whole messages, so that
// a large message on a slow network does not end the link.
type idleReader struct {
	net net.Conn
	// timeout is 0 if the connection's own deadline applies.
	timeout time.Duration
	// until is the time after which no more bytes are read.
	until time.Time
}

// Read implements io.Reader.
func (r *idleReader) Read(p []byte) (int, error) {
	if r.timeout > 0 {
		deadline := time.Now().Add(r.timeout)
		if r.until.Before(deadline) {
			deadline = r.until
		}
		if err := r.net.SetReadDeadline(deadline); err != nil {
			return 0, fmt.Errorf("set deadline: %w", err)
		}
	}
	return r.net.Read(p)
}
