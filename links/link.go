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
	outbox  chan []byte
	cancel  context.CancelFunc
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
	for {
		if err := l.net.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
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
	return msg, nil
}
