package direct

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"currantwick"
	"currantwick/pause"
)

const (
	// maxBuffered bounds how much of a response is buffered before it is passed
	// on, so that the request can be retried if the response breaks off.
	maxBuffered = 256 << 10
	// minBuffer is the first size of the buffer of a response; most are smaller.
	minBuffer = 1 << 10
	// readSize is the size of one read from a stream, enough for several
	// events.
	readSize = 4 << 10
	// earlyWindow is the time after the expected end of a load during which a
	// refusal is taken to mean that the load has not finished, and earlyPause is
	// the pause before the next attempt.
	earlyWindow = time.Second
	earlyPause  = 40 * time.Millisecond
	// baseUrgency is the urgency of requests whose route has priority 0; the
	// platform's default for requests without an urgency is 5.
	baseUrgency = 3
	maxUrgency  = 9
)

// attempt sends the request to an endpoint once and passes the response back. If the
// request may be hedged, a second endpoint may get it too.
func (t *task) attempt(ctx context.Context, to target) error {
	s, r := t.server, to.runner
	remaining := t.remaining()
	if remaining < minRemaining {
		return t.refuse(wick.CodeOverload, "no time is left")
	}
	if hedger := t.hedgerFor(); hedger != nil {
		return t.attemptHedged(ctx, to, hedger, remaining)
	}
	prompt := t.exchange.PromptTokens
	r.Meter.Start(t.weights, prompt)
	prefilling := true
	defer func() {
		if prefilling {
			r.Meter.Prefilled(prompt)
		}
		r.Meter.Done(t.weights)
	}()
	prefilled := func() {
		if prefilling {
			prefilling = false
			r.Meter.Prefilled(prompt)
		}
	}
	s.cfg.Observer.AttemptSent(t.sends > 0)
	t.sends++
	t.last = r.Name
	t.markSent(to)
	sent := s.cfg.Clock.Now()
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	rec, err := s.cfg.Sender.Send(sendCtx, t.newAttempt(to, remaining))
	if err != nil {
		return t.handleSendError(ctx, to, wick.AsError(err))
	}
	defer rec.Body.Close()
	return t.handleResponse(ctx, incoming{target: to, response: rec, sent: sent, prefilled: prefilled, ctx: sendCtx, cancel: cancel})
}

// newAttempt describes the attempt to run the request at an endpoint.
func (t *task) newAttempt(to target, remaining time.Duration) wick.Attempt {
	return wick.Attempt{
		Exchange:        t.exchange,
		Endpoint:        to.runner.Name,
		Address:         to.runner.Address,
		TimeLeft:        wick.Duration(remaining),
		Revision:        to.revision,
		Urgency:         t.urgency,
		Team:            t.team,
		ResumeAfter:     t.resumeAfter(),
		RequireLiveConn: !t.mayRerun(),
		MaxConnections:  t.maxConnections(),

		ForwardCredential: t.forwardCredential,
	}
}

// handleResponse decides what follows a response, and passes it on if it is final.
func (t *task) handleResponse(ctx context.Context, from incoming) error {
	to, rec := from.target, from.response
	t.applySignal(to, rec.Signal)
	if rec.NotRun {
		return t.handleNotRun(ctx, to, rec)
	}
	t.ran++
	if t.shouldRerun(rec) {
		t.answered()
		t.recordFailure(to)
		return &retryableError{cause: wick.Unknownf(wick.CodeBroken, "%s answered with status %d", to.runner.Name, rec.Status)}
	}
	if rec.ImpliesNotRun && !t.mayRerun() {
		t.answered()
		t.recordFailure(to)
		t.server.cfg.Observer.UnstatedRefusal()
		return wick.Unknownf(wick.CodeBroken, "%s answered with status %d, which callers take to mean that the request did not run", to.runner.Name, rec.Status)
	}
	if t.route.Kind != wick.KindStream {
		return t.passBuffered(ctx, to, rec, from.sent)
	}
	stream := from // Only streams need it on the heap.
	return t.passStream(ctx, &stream)
}

func (t *task) resumeAfter() wick.EventID {
	if t.resume != "" {
		return t.resume
	}
	return t.exchange.ResumeAfter
}

// recordFailure records that an endpoint failed the request.
func (t *task) recordFailure(to target) {
	t.avoid[to.runner.Name] = true
	to.runner.Meter.Observe(t.server.cfg.Clock.Now(), 0, true)
}

// handleSendError decides what follows a send that got no response.
func (t *task) handleSendError(ctx context.Context, to target, e *wick.Error) error {
	if ctx.Err() != nil {
		if e.Outcome != wick.NotRun {
			t.ran++
		}
		return t.contextError(ctx, e)
	}
	t.recordFailure(to)
	if e.Outcome == wick.NotRun {
		return &retryableError{cause: e, unsent: true}
	}
	t.ran++
	t.reportBroken(ctx, to, false)
	return &retryableError{cause: e}
}

// handleNotRun handles a response that states that the request did not run.
func (t *task) handleNotRun(ctx context.Context, to target, rec *wick.Response) error {
	s, now := t.server, t.server.cfg.Clock.Now()
	t.status = rec.Status
	rec.Body.Close() // Frees the connection before the pause.
	cause := wick.NotRunf(wick.CodeOverload, "%s refused with status %d", to.runner.Name, rec.Status)
	want := wick.AdapterRequest{Endpoint: to.runner.Name, Weights: t.weights, Revision: to.revision}
	early := t.weights.Adapter != "" && now.Sub(to.ready) < earlyWindow
	s.cfg.Log.Info("refused by endpoint", "request", t.exchange.Request, "endpoint", to.runner.Name, "status", rec.Status,
		"weights", t.weights.String(), "version", to.revision, "ready_age_ms", now.Sub(to.ready).Milliseconds(), "asked_pause_ms", rec.Signal.Pause.Std().Milliseconds())
	switch {
	case early && rec.Signal.Pause == 0:
		want.Reason = wick.AdapterNotReady
		s.cfg.Control.RequestAdapter(want)
		if t.besideLeg == nil {
			pause.For(ctx, earlyPause)
		}
	case rec.Misdirected && t.weights.Adapter != "":
		cause.Code = wick.CodeLoadFailed
		want.Reason = wick.AdapterMissing
		s.cfg.Control.RequestAdapter(want)
		t.avoid[to.runner.Name] = true
	case rec.Signal.Pause > 0:
		// The endpoint is full, not failing.
		t.markFull()
	case t.isFull(to, now):
		t.avoid[to.runner.Name] = true
		t.markFull()
	default:
		t.recordFailure(to)
	}
	return &retryableError{cause: cause}
}

// shouldRerun reports whether the request should run again on another endpoint
// after a response with a server error.
func (t *task) shouldRerun(rec *wick.Response) bool {
	return rec.Status >= http.StatusInternalServerError && t.route.Kind == wick.KindSafe && t.ran < t.route.Attempts
}

// passBuffered buffers a response and then passes it on. What exceeds maxBuffered, or the
// memory for answers, is passed on as it arrives.
func (t *task) passBuffered(ctx context.Context, to target, rec *wick.Response, sent wick.Instant) error {
	memory := bufferMemory{budget: t.server.cfg.Answers}
	defer memory.release()
	body, isWhole, err := readBuffered(rec.Body, &memory)
	if err != nil {
		t.recordFailure(to)
		if ctx.Err() != nil {
			return t.contextError(ctx, err)
		}
		t.reportBroken(ctx, to, false)
		return &retryableError{cause: wick.Unknownf(wick.CodeBroken, "answer of %s broke off: %v", to.runner.Name, err)}
	}
	t.recordResponse(to, sent, rec)
	t.recordWork(to, sent, rec)
	t.answered()
	if err := t.startAnswer(rec); err != nil {
		return err
	}
	if err := t.send(body); err != nil {
		return err
	}
	if isWhole {
		return nil
	}
	body = nil
	memory.release()
	return t.copyRest(to, rec)
}

// readBuffered reads up to maxBuffered bytes, or as many as there is memory for, and
// reports whether they are the whole of the body.
func readBuffered(from io.Reader, memory *bufferMemory) (body []byte, isWhole bool, err error) {
	body = make([]byte, 0, minBuffer)
	for len(body) < maxBuffered {
		if len(body) == cap(body) {
			if err := memory.takeFor(2 * cap(body)); err != nil {
				return body, false, nil
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return body, false, nil
}

// recordResponse records the delay and status of an endpoint's response.
func (t *task) recordResponse(to target, sent wick.Instant, rec *wick.Response) {
	now := t.server.cfg.Clock.Now()
	t.firstByte = now.Sub(t.start)
	to.runner.Meter.Observe(now, now.Sub(sent)-t.estimate, rec.Status >= http.StatusInternalServerError)
}

func (t *task) startAnswer(rec *wick.Response) error {
	if t.started {
		return nil
	}
	t.started = true
	t.status = rec.Status
	if err := t.writer.WriteHeader(rec.Status, rec.Header); err != nil {
		return wick.Unknownf(wick.CodeCanceled, "caller left: %v", err)
	}
	return nil
}

func (t *task) send(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if err := t.writer.WriteBody(p); err != nil {
		return wick.Unknownf(wick.CodeCanceled, "caller left: %v", err)
	}
	return nil
}

// copyRest passes on what follows the buffered part of a large response.
func (t *task) copyRest(to target, rec *wick.Response) error {
	buf := make([]byte, readSize)
	for {
		n, err := rec.Body.Read(buf)
		if serr := t.send(buf[:n]); serr != nil {
			return serr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return wick.Unknownf(wick.CodeBroken, "answer of %s broke off: %v", to.runner.Name, err)
		}
	}
}

// slogLevel returns the level of the log line about a finished request.
func slogLevel(code wick.Code) slog.Level {
	switch code {
	case "", wick.CodeNoRoute, wick.CodeCanceled, wick.CodeAllotment:
		return slog.LevelInfo
	}
	return slog.LevelWarn
}
