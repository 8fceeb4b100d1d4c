package ctrl

import (
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
