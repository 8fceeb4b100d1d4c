package links

import (
	"bufio"
	"context"
	"encoding/binary"
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
	// memory is the budget for large messages; it may be nil.
	memory wick.MemoryBudget
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
	msg, err := l.readMessage(maxHello)
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
		size, err := l.takeMemory()
		if err != nil {
			return err
		}
		msg, err := l.readMessage(maxMessage)
		l.giveMemory(size)
		if err != nil {
			return err
		}
		events.LinkMessage(l, msg)
	}
}

// errNoMemory ends a link with a message that there is no memory for.
var errNoMemory = errors.New("link: no memory for a message")

// takeMemory waits for a message and takes the memory for one that is not small.
func (l *link) takeMemory() (wick.Bytes, error) {
	length, err := l.reader.Peek(4)
	if err != nil {
		return 0, fmt.Errorf("link: read length: %w", err)
	}
	size := wick.Bytes(binary.BigEndian.Uint32(length))
	if l.memory == nil || size <= smallMessage || size > maxMessage {
		return 0, nil
	}
	if !l.memory.Take(size) {
		return 0, errNoMemory
	}
	return size, nil
}

func (l *link) giveMemory(n wick.Bytes) {
	if n > 0 {
		l.memory.Give(n)
	}
}

func (l *link) readMessage(limit wick.Bytes) (wick.LinkMessage, error) {
	var msg wick.LinkMessage
	if _, err := codec.DecodeFrame(l.reader, limit, &msg); err != nil {
		return wick.LinkMessage{}, fmt.Errorf("link: %w", err)
	}
	return unpack(msg, l.memory)
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
