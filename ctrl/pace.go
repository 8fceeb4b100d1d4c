package ctrl

import (
	"maps"
	"slices"
	"time"

	"currantwick"
	"currantwick/sched"
)

// stallAfter is the time without a token after which a stream counts as
// stalled for the comparison of endpoints.
const stallAfter = 300 * time.Millisecond

// progress notes tokens of a run.
func (s *state) progress(now wick.Instant, r *Run, n wick.Tokens) {
	o := s.owned[r.Sub.Endpoint]
	if o == nil || o.runs[r.Sub.Request] != r {
		return
	}
	o.sched.Progress(now, r.Sub.Request, n)
	if r.paced > 0 {
		s.pace.Progress(now, o.end.Name, n, now.Sub(r.paced))
	}
	r.paced = now
}

// replied notes the reply of a plain service as one token.
func (s *state) replied(now wick.Instant, o *owned, r *Run, res sched.Result) {
	if r.Sub.Call != nil && res.Err == nil {
		s.pace.Progress(now, o.end.Name, 1, now.Sub(r.sent))
	}
}

// moveAfter is how long a request stays at an outlier before it goes elsewhere.
const moveAfter = time.Second

// shed sends the completions of an outlier elsewhere, each once: what has begun
// is resumed there, the rest was not run. Probes have moveAfter to show that the
// endpoint has recovered.
func (s *state) shed(now wick.Instant, o *owned) {
	if !s.pace.Judge(now, o.end.Name).Ejected {
		return
	}
	for _, r := range slices.Collect(maps.Values(o.runs)) {
		switch {
		case r.Sub.Work == nil || r.Sub.Moved || r.Cause() != nil:
		case !r.dispatched:
			r.cause.Store(wick.NotRunf(wick.CodeSlow, "endpoint %s is an outlier", o.end.Name))
			s.perform(now, o, o.sched.Cancel(now, r.Sub.Request))
		case now.Sub(r.sent) >= moveAfter:
			r.abort(wick.Unknownf(wick.CodeSlow, "endpoint %s is an outlier", o.end.Name))
		}
	}
}

// lookPace notes the streams that stall.
func (s *state) lookPace(now wick.Instant, o *owned) {
	for _, r := range o.runs {
		if r.paced > 0 && now.Sub(r.paced) >= stallAfter {
			s.pace.Progress(now, o.end.Name, 0, now.Sub(r.paced))
			r.paced = now
		}
	}
}

// digest describes an endpoint of this daemon to routers.
func (s *state) digest(now wick.Instant, o *owned) wick.Digest {
	d := o.sched.Digest(now)
	h := s.pace.Judge(now, o.end.Name)
	d.Pace, d.Slow, d.Ejected = h.Pace, h.Slow, h.Ejected
	return d
}
