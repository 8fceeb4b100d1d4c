package direct

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"currantwick"
)

// leg is one sending of a hedged attempt. Its fields from ended on belong to the leg's
// goroutine until the race has taken its result, then to the task's.
type leg struct {
	target   target
	attempt  wick.Attempt
	estimate time.Duration
	// second is set for the hedge, and admission is that of the leg by the pool's gate,
	// given back by release; nil if there is none.
	second    bool
	admission *admission
	sent      wick.Instant
	ctx       context.Context
	cancel    context.CancelFunc
	weight    wick.Weights
	// stream is set if the answer is a stream of events.
	stream bool
	// handled is set once the task has handled the result, and so counted the run.
	handled bool

	// ended is set once the connection was given back, and released once the endpoint's
	// load was.
	ended, released bool
	// prefilling is set until the endpoint has read the prompt.
	prefilling bool
	response   *wick.Response
	err        error
	// body replays what was read of the answer. complete is set if it ends with a
	// whole answer, or a whole event of a stream.
	body     replayBody
	complete bool
}

// run sends the request and reads the answer up to the point where it may be passed on.
func (l *leg) run(send wick.Sender) {
	l.response, l.err = send.Send(l.ctx, l.attempt)
	if l.err != nil || l.response.NotRun {
		return
	}
	l.body.rest = l.response.Body
	if l.stream {
		l.readEvent()
	} else {
		l.readWhole()
	}
	l.response.Body = &l.body
}

// readWhole reads an answer as passBuffered does.
func (l *leg) readWhole() {
	n, err := io.Copy(&l.body.read, io.LimitReader(l.body.rest, maxBuffered))
	l.complete = err == nil
	switch {
	case err != nil:
		l.body.err = err
	case n < maxBuffered:
		l.body.err = io.EOF
	}
}

// readEvent reads a stream up to the end of its first event.
func (l *leg) readEvent() {
	buf := make([]byte, readSize)
	for !l.complete {
		n, err := l.body.rest.Read(buf)
		if n > 0 {
			l.prefilled()
		}
		l.body.read.Write(buf[:n])
		l.complete = bytes.Contains(l.body.read.Bytes(), eventEnd)
		if errors.Is(err, io.EOF) && !l.complete {
			in := eventBuffer{buf: l.body.read.Bytes()}
			l.complete = l.response.Status != http.StatusOK || in.checkEnd(l.response.Unframed, false) == nil
		}
		if l.body.err = err; err != nil || l.body.read.Len() > maxEvent {
			return
		}
	}
}

// failed reports whether the leg has no answer that beats that of another leg.
func (l *leg) failed() bool {
	return l.err != nil || l.response.NotRun || !l.complete || l.hasServerError()
}

// hasServerError reports whether the endpoint answered with a server error, which is
// passed on if no other leg has an answer.
func (l *leg) hasServerError() bool {
	return l.err == nil && !l.response.NotRun && l.complete && l.response.Status >= http.StatusInternalServerError
}

// prefilled records that the endpoint has read the prompt.
func (l *leg) prefilled() {
	if l.prefilling {
		l.prefilling = false
		l.target.runner.Meter.Prefilled(l.attempt.Exchange.PromptTokens)
	}
}

// release no longer counts the request as running at the endpoint, nor at its pool.
func (l *leg) release() {
	if l.released {
		return
	}
	l.released = true
	l.prefilled()
	l.target.runner.Meter.Done(l.weight)
	if a := l.admission; a != nil {
		l.admission = nil
		a.leave(a.gate.server.cfg.Clock.Now())
	}
}

// end cancels the sending and gives back what it held.
func (l *leg) end() {
	if l.ended {
		return
	}
	l.ended = true
	l.cancel()
	if l.response != nil {
		l.response.Body.Close()
	}
	l.release()
}

// mayHaveRun reports whether the endpoint may have run the request. The leg has ended.
func (l *leg) mayHaveRun() bool {
	if l.err != nil {
		return wick.AsError(l.err).Outcome != wick.NotRun
	}
	return !l.response.NotRun
}

// replayBody implements wick.Body. It returns again what was read before.
type replayBody struct {
	read bytes.Buffer
	// err follows what was read before; if it is nil, rest does.
	err  error
	rest wick.Body
}

// Read implements wick.Body.
func (b *replayBody) Read(p []byte) (int, error) {
	if b.read.Len() > 0 {
		return b.read.Read(p)
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.rest.Read(p)
}

// Close implements wick.Body.
func (b *replayBody) Close() error { return b.rest.Close() }
