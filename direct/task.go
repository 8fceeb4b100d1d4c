package direct

import (
	"context"
	"errors"
	"time"

	"currantwick"
)

const (
	// minRemaining is the least remaining time with which it is worth sending a
	// request.
	minRemaining = 20 * time.Millisecond
	// retryAfterPart bounds Retry-After as a part of the caller's remaining
	// time: callers honour up to a third.
	retryAfterPart = 0.3
	// minRetryAfter is the minimum Retry-After of a refused request.
	minRetryAfter = 100 * time.Millisecond
)

// task is one request in progress.
type task struct {
	server        *Server
	exchange      *wick.Exchange
	writer        wick.ResponseWriter
	start         wick.Instant
	deadline      wick.Instant
	configVersion uint64
	route         wick.RouteConfig
	pool          wick.PoolName
	// team is the caller's team; empty for none.
	team    wick.TeamName
	urgency wick.Urgency
	// allotment is that of the team, and units what was taken from it at unitsAt.
	allotment wick.Allotment
	units     wick.Units
	unitsAt   wick.Instant
	// forwardCredential is set if endpoints get the caller's credential.
	forwardCredential bool
	weights           wick.Weights
	fingerprint       wick.Fingerprint
	// parts are the fingerprints of the parts that other requests may share.
	parts []wick.Fingerprint
	// trial is the trial that the request has asked for as a suspect; 0 for none.
	trial wick.TrialID
	// sharedPrefixes are the prompt prefixes that other requests may share.
	sharedPrefixes []wick.PromptPrefix
	// avoid is the set of endpoints that later picks should avoid: they failed
	// the request, lacked its adapter, or did not start to load it in time.
	avoid map[wick.EndpointName]bool
	// sends counts sends; ran counts the attempts that may have run the request.
	sends, ran int
	// last is the endpoint that was picked last.
	last wick.EndpointName
	// newestReady is set when an endpoint could serve the newest version of
	// the adapter at the last check.
	newestReady bool
	// estimate is the expected time to the first token, as of the last pick.
	estimate  time.Duration
	waited    time.Duration
	firstByte time.Duration
	// longestGap is the longest time between two reads from the stream, and
	// lastRead is the time of the last read.
	longestGap time.Duration
	lastRead   wick.Instant
	// status is the last status that an endpoint returned, started is set once
	// the header is sent to the caller, and resume is the id of the last event
	// that was sent.
	status  int
	started bool
	resume  wick.EventID
	// besideLeg is set while a failure is handled beside another leg of a hedged
	// attempt, which may still have the answer: nothing then waits before a retry.
	besideLeg *hedged

	// admission is that by the pool's gate; nil if there is none.
	admission *admission
}

// retryableError is the error of an attempt after which the request may be
// retried. It is never returned to the caller.
type retryableError struct {
	cause *wick.Error
	// unsent is set when nothing reached an endpoint, so that the next send
	// does not count as a retry.
	unsent bool
	// paid is set when the retry budget has paid for the next send.
	paid bool
}

func (e *retryableError) Error() string { return e.cause.Error() }

// mayRerun reports whether the request may run more than once.
func (t *task) mayRerun() bool {
	return t.route.Kind == wick.KindSafe || t.route.Kind == wick.KindStream && t.route.Resumable
}

func (t *task) remaining() time.Duration { return t.deadline.Sub(t.server.cfg.Clock.Now()) }

// run sends the request, with retries, until it has its final result.
func (t *task) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, t.remaining())
	defer cancel()
	defer t.endTrial()
	defer t.leaveGate()
	for {
		t.leaveGate()
		if err := t.checkStopped(); err != nil {
			return err
		}
		if err := t.passGate(ctx); err != nil {
			return err
		}
		to, err := t.pick(ctx)
		if err != nil {
			return err
		}
		waited, err := t.awaitTrial(ctx)
		if err != nil {
			return err
		}
		if waited {
			continue // The endpoint may have changed meanwhile.
		}
		err = t.attempt(ctx, to)
		var more *retryableError
		if !errors.As(err, &more) {
			return err
		}
		if err := t.checkRetry(ctx, more); err != nil {
			return err
		}
	}
}

// checkRetry returns nil if the request may be retried, or else its final
// error.
func (t *task) checkRetry(ctx context.Context, e *retryableError) error {
	switch {
	case ctx.Err() != nil:
		return t.contextError(ctx, e.cause)
	case t.ran > 0 && (t.ran >= t.route.Attempts || !t.mayRerun()):
		return e.cause
	case !e.unsent && !e.paid && !t.server.cfg.Retry.Spend(t.server.cfg.Control.View().Daemons):
		t.server.cfg.Observer.RetryDenied()
		return t.refuse(e.cause.Code, "%v; the retry budget is spent", e.cause)
	}
	return nil
}

// contextError returns the error of a request whose deadline passed or whose
// caller left.
func (t *task) contextError(ctx context.Context, cause error) error {
	code, why := wick.CodeCanceled, "caller left"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code, why = wick.CodeOverload, "deadline exceeded"
	}
	if t.sends == 0 {
		return wick.NotRunf(code, "%s: %v", why, cause)
	}
	return wick.Unknownf(code, "%s: %v", why, cause)
}

// refuse returns the error of a request that is not sent again. Its outcome is
// NotRun, or Unknown if an endpoint may have run the request. Retry-After is
// half of the estimated time to the first token, when about half of the queue
// has been processed, but at least minRetryAfter and at most retryAfterPart of
// the time left. If no endpoint is available it is that maximum, because the wait
// can't be estimated.
func (t *task) refuse(code wick.Code, format string, args ...any) error {
	if t.ran > 0 {
		return wick.Unknownf(code, format, args...)
	}
	e := wick.NotRunf(code, format, args...)
	most := time.Duration(float64(t.remaining()) * retryAfterPart)
	after := most
	if code != wick.CodeNoEndpoint {
		after = min(max(t.estimate/2, minRetryAfter), most)
	}
	e.RetryAfter = wick.Duration(max(after, 0))
	return e
}

// report logs and counts the finished request.
func (t *task) report(err error) {
	s := t.server
	total := s.cfg.Clock.Now().Sub(t.start)
	var code wick.Code
	outcome := wick.Answered
	text := ""
	if err != nil {
		e := wick.AsError(err)
		code, outcome, text = e.Code, e.Outcome, e.Text
	}
	s.cfg.Observer.RequestFinished(t.route.Kind, code, t.firstByte, total)
	if t.waited > 0 {
		s.cfg.Observer.AdapterWaited(t.waited)
	}
	level := slogLevel(code)
	s.cfg.Log.Log(context.Background(), level, "request", "request", t.exchange.Request, "fingerprint", t.fingerprint.String(), "route", t.route.Name, "team", t.team,
		"config", t.configVersion, "pool", t.pool, "weights", t.weights.String(), "endpoint", t.last, "sends", t.sends,
		"status", t.status, "outcome", outcome, "code", code, "cause", text, "waited_ms", t.waited.Milliseconds(),
		"estimate_ms", t.estimate.Milliseconds(), "first_ms", t.firstByte.Milliseconds(), "pause_ms", t.longestGap.Milliseconds(), "whole_ms", total.Milliseconds(),
		"left_ms", t.remaining().Milliseconds())
}
