package direct

import (
	"context"
	"math/rand/v2"
	"time"

	"currantwick"
	"currantwick/choose"
	"currantwick/coord"
)

// pauseSpread is the part of the wait for the end of a pause that is added at random,
// so that requests do not return together.
const pauseSpread = 0.5

// startOf returns which start of an endpoint this is.
func startOf(r *coord.Runner) wick.EndpointStart {
	return wick.EndpointStart{Endpoint: r.Name, Started: r.Started}
}

// applySignal applies what an endpoint said about itself in an answer.
func (t *task) applySignal(to target, sig wick.EndpointSignal) {
	s, id := t.server, startOf(to.runner)
	if sig.Malformed != "" {
		s.cfg.Log.Warn("header of an endpoint's answer ignored", "request", t.exchange.Request, "endpoint", id.Endpoint, "value", sig.Malformed)
	}
	if sig.Pause > 0 {
		s.cfg.Pauses.Pause(s.cfg.Clock.Now(), id, sig.Pause)
		s.cfg.Observer.EndpointPaused()
	}
	if sig.Leaving {
		t.avoid[id.Endpoint] = true
		s.cfg.Control.ReportLeaving(id)
	}
}

// avoidPaused marks the endpoints that asked for a pause, and a share of the requests
// avoids those whose pause has just ended; draw is from 0 to 1. It reports whether it
// marked any.
func (t *task) avoidPaused(now wick.Instant, list []*coord.Runner, cands []choose.Candidate, draw float64) bool {
	marked := false
	for i, r := range list {
		if share := t.server.cfg.Pauses.Share(now, startOf(r)); share == 0 || share < draw {
			cands[i].Avoid = true
			marked = true
		}
	}
	return marked
}

// waitForPause waits until the first pause of an endpoint that could serve the
// request ends. It refuses the request if that is too late for it, or if no endpoint
// is paused.
func (t *task) waitForPause(ctx context.Context, v *coord.View, now wick.Instant) error {
	var first wick.Instant
	fits := false
	for _, r := range v.Pools[t.pool] {
		if _, holds := t.residence(v, r, now); !holds && !t.canHold(v, r) {
			continue
		}
		fits = true
		if end := t.server.cfg.Pauses.Until(now, startOf(r)); end > 0 && !t.avoid[r.Name] && (first == 0 || end < first) {
			first = end
		}
	}
	if !fits && len(v.Pools[t.pool]) > 0 {
		return t.refuse(wick.CodeNoEndpoint, "no endpoint of %s has room for %v", t.pool, t.weights)
	}
	if first == 0 {
		return t.refuse(wick.CodeNoEndpoint, "no endpoint of %s can take the request", t.pool)
	}
	wait := first.Sub(now)
	wait += time.Duration(rand.Float64() * pauseSpread * float64(wait))
	tooLate := now.Add(wait).Sub(t.start) > t.latestBegin()
	if wait > t.remaining()/2 || t.route.Kind == wick.KindStream && !t.started && tooLate {
		e := t.refuse(wick.CodeNoEndpoint, "all endpoints of %s asked for a pause, the first for %d ms more", t.pool, first.Sub(now).Milliseconds())
		return withRetryAfter(e, min(wait, time.Duration(float64(t.remaining())*retryAfterPart)))
	}
	return t.wait(ctx, v, now, wait)
}

// withRetryAfter sets when the caller of a request that did not run may come back.
func withRetryAfter(err error, after time.Duration) error {
	e := wick.AsError(err)
	if e.Outcome == wick.NotRun {
		e.RetryAfter = wick.Duration(max(after, minRetryAfter))
	}
	return e
}
