package ctrl

import (
	"maps"
	"slices"
	"time"

	"currantwick"
	"currantwick/sched"
)

// stallTimeout is the time without a token after which a stream counts as
// stalled when endpoints are compared.
const stallTimeout = 300 * time.Millisecond

// recordProgress records tokens generated for a run.
func (s *state) recordProgress(now wick.Instant, r *Run, n wick.Tokens) {
	o := s.owned[r.Sub.Endpoint]
	if o == nil || o.runs[r.Sub.Request] != r {
		return
	}
	o.sched.Progress(now, r.Sub.Request, n)
	if r.lastProgress > 0 {
		s.ejector.RecordProgress(now, o.endpoint.Name, n, now.Sub(r.lastProgress))
	}
	r.lastProgress = now
}

// recordReply records the reply of a plain service as one token.
func (s *state) recordReply(now wick.Instant, o *owned, r *Run, res sched.Result) {
	if r.Sub.Call != nil && res.Err == nil {
		s.ejector.RecordProgress(now, o.endpoint.Name, 1, now.Sub(r.dispatchedAt))
	}
}

// outlierGrace is the minimum time from the dispatch of a request until it is
// moved away from an outlier.
const outlierGrace = time.Second

// moveFromOutlier fails the completions at an outlier with CodeSlow, so that
// the daemon that received them resumes the dispatched ones on another endpoint
// and retries the others, which were not run. Each is moved at most once. The
// grace period is there so that a probe, which a router sends to an ejected
// endpoint on purpose, can run long enough to show that the endpoint has
// recovered.
func (s *state) moveFromOutlier(now wick.Instant, o *owned) {
	if !s.ejector.Evaluate(now, o.endpoint.Name).Ejected {
		return
	}
	for _, r := range slices.Collect(maps.Values(o.runs)) {
		switch {
		case r.Sub.Work == nil || r.Sub.Moved || r.Cause() != nil:
		case !r.dispatched:
			r.cause.Store(wick.NotRunf(wick.CodeSlow, "endpoint %s is an outlier", o.endpoint.Name))
			s.perform(now, o, o.sched.Cancel(now, r.Sub.Request))
		case now.Sub(r.dispatchedAt) >= outlierGrace:
			r.abort(wick.Unknownf(wick.CodeSlow, "endpoint %s is an outlier", o.endpoint.Name))
		}
	}
}

// recordStalls records streams that have stalled.
func (s *state) recordStalls(now wick.Instant, o *owned) {
	for _, r := range o.runs {
		if r.lastProgress > 0 && now.Sub(r.lastProgress) >= stallTimeout {
			s.ejector.RecordProgress(now, o.endpoint.Name, 0, now.Sub(r.lastProgress))
			r.lastProgress = now
		}
	}
}

// digest summarizes the state of an owned endpoint for routers.
func (s *state) digest(now wick.Instant, o *owned) wick.Digest {
	d := o.sched.Digest(now)
	h := s.ejector.Evaluate(now, o.endpoint.Name)
	d.TimePerToken, d.Slowdown, d.Ejected = h.TimePerToken, h.Slowdown, h.Ejected
	return d
}
