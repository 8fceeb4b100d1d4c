package direct

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"currantwick"
)

// eventEnd ends an event of a stream; idField starts the line with the event's
// id, and idLine is the same preceded by another line.
var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
	idLine   = []byte("\nid:")
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 256 << 10

// errEventTooLong ends a stream with an event of more than maxEvent bytes.
var errEventTooLong = fmt.Errorf("event of more than %d bytes", maxEvent)

// smallBuffer is the capacity up to which a buffer takes nothing of the memory.
const smallBuffer = 16 << 10

// errNoMemory is the error of an answer that there is no memory for.
var errNoMemory = errors.New("no memory for the answer")

// bufferMemory is what one buffer of an answer has taken out of a budget.
type bufferMemory struct {
	// budget may be nil.
	budget wick.MemoryBudget
	taken  wick.Bytes
}

// takeFor takes the memory for a buffer of the given capacity, and for the one that it is
// copied to when it grows.
func (m *bufferMemory) takeFor(capacity int) error {
	need := 2 * wick.Bytes(capacity)
	if m.budget == nil || need <= 2*smallBuffer || need <= m.taken {
		return nil
	}
	if !m.budget.Take(need - m.taken) {
		return errNoMemory
	}
	m.taken = need
	return nil
}

// release returns the memory.
func (m *bufferMemory) release() {
	if m.taken > 0 {
		m.budget.Give(m.taken)
		m.taken = 0
	}
}

// eventBuffer splits a stream into complete events.
type eventBuffer struct {
	buf    []byte
	memory bufferMemory
}

// add appends bytes of the stream and returns the complete events buffered so far.
// They are valid until the next call. It fails if an event is too long.
func (e *eventBuffer) add(p []byte) ([]byte, error) {
	// The end of an event may begin with the last byte that was added before.
	from := max(len(e.buf)-len(eventEnd)+1, 0)
	e.buf = append(e.buf, p...)
	if err := e.memory.takeFor(cap(e.buf)); err != nil {
		return nil, err
	}
	at := bytes.LastIndex(e.buf[from:], eventEnd)
	if at < 0 {
		if len(e.buf) > maxEvent {
			return nil, errEventTooLong
		}
		return nil, nil
	}
	end := from + at + len(eventEnd)
	complete := e.buf[:end]
	e.buf = e.buf[end:]
	return complete, nil
}

// rest returns what follows the last complete event.
func (e *eventBuffer) rest() []byte { return e.buf }

// checkEnd returns an error if a stream that ends here was broken off: inside an
// event, or, if its end does not show that it is complete, before any event.
func (e *eventBuffer) checkEnd(unframed, begun bool) error {
	switch {
	case len(e.buf) > 0:
		return fmt.Errorf("it ended inside an event: %w", io.ErrUnexpectedEOF)
	case unframed && !begun:
		return fmt.Errorf("it ended without an event: %w", io.ErrUnexpectedEOF)
	}
	return nil
}

// lastID returns the id of the last event that has one.
func lastID(complete []byte) (wick.EventID, bool) {
	at := bytes.LastIndex(complete, idLine)
	switch {
	case at >= 0:
		at++
	case bytes.HasPrefix(complete, idField):
		at = 0
	default:
		return "", false
	}
	line, _, _ := bytes.Cut(complete[at+len(idField):], []byte("\n"))
	return wick.EventID(bytes.TrimSpace(line)), true
}

// incoming is a stream that arrives from an endpoint.
type incoming struct {
	target   target
	response *wick.Response
	// sent is when the request was sent, and prefilled is called at the first byte.
	sent      wick.Instant
	prefilled func()
	// ctx ends when this daemon breaks the stream off, which cancel does.
	ctx    context.Context
	cancel context.CancelFunc
	// begun is set once a complete event has arrived.
	begun bool
	// stall moves the stream when it stalls; nil if it can't move.
	stall *stallWatch
}

// passStream passes a stream on, event by event. If the stream breaks off or
// stalls, it returns a retryableError; the next attempt at a resumable request
// continues after the last complete event.
func (t *task) passStream(ctx context.Context, from *incoming) error {
	to, rec := from.target, from.response
	if t.started && rec.Status != http.StatusOK {
		t.recordFailure(to)
		return &retryableError{cause: wick.Unknownf(wick.CodeBroken, "%s resumed with status %d", to.runner.Name, rec.Status)}
	}
	in := eventBuffer{memory: bufferMemory{budget: t.server.cfg.Answers}}
	defer in.memory.release()
	buf := make([]byte, readSize)
	from.stall = t.watchStall(from)
	defer from.stall.stop()
	for {
		n, err := rec.Body.Read(buf)
		if n > 0 {
			from.prefilled()
			if t.firstByte == 0 {
				t.recordResponse(to, from.sent, rec)
				t.recordPrefill(to, t.server.cfg.Clock.Now().Sub(from.sent))
			}
			t.measureGap()
			complete, lerr := in.add(buf[:n])
			if errors.Is(lerr, errNoMemory) {
				return wick.Unknownf(wick.CodeOverload, "%v", lerr)
			}
			if lerr != nil {
				return t.handleStreamError(ctx, from, lerr)
			}
			if complete != nil {
				if !from.begun {
					from.begun = true
					t.answered()
				}
				from.stall.reset()
			}
			if serr := t.sendEvents(rec, complete); serr != nil {
				return serr
			}
		}
		if errors.Is(err, io.EOF) {
			if rec.Status == http.StatusOK {
				if eerr := in.checkEnd(rec.Unframed, from.begun); eerr != nil {
					return t.handleStreamError(ctx, from, eerr)
				}
			}
			t.answered()
			if serr := t.startAnswer(rec); serr != nil {
				return serr
			}
			return t.send(in.rest())
		}
		if err != nil {
			return t.handleStreamError(ctx, from, err)
		}
	}
}

// measureGap updates longestGap at a read from the stream.
func (t *task) measureGap() {
	now := t.server.cfg.Clock.Now()
	if t.lastRead > 0 {
		t.longestGap = max(t.longestGap, now.Sub(t.lastRead))
	}
	t.lastRead = now
}

// sendEvents passes complete events on.
func (t *task) sendEvents(rec *wick.Response, complete []byte) error {
	if complete == nil {
		return nil
	}
	if err := t.startAnswer(rec); err != nil {
		return err
	}
	if t.route.Resumable {
		if id, ok := lastID(complete); ok {
			t.resume = id
		}
	}
	return t.send(complete)
}

// handleStreamError handles a stream that ended early.
func (t *task) handleStreamError(ctx context.Context, from *incoming, err error) error {
	moved := from.stall.stop()
	cause := wick.Unknownf(wick.CodeBroken, "stream of %s broke off: %v", from.target.runner.Name, err)
	if ctx.Err() != nil {
		return t.contextError(ctx, cause)
	}
	t.recordFailure(from.target)
	if from.ctx.Err() == nil {
		t.reportBroken(ctx, from.target, from.begun)
	}
	return &retryableError{cause: cause, paid: moved}
}
