package ctrl

import (
	"currantwick"
	"currantwick/crash"
	"currantwick/lease"
	"currantwick/sched"
)

// apply implements Event.
func (e Submitted) apply(s *state, now wick.Instant) { s.submit(now, e.Run) }

// submit queues or refuses a request for an endpoint of this daemon, or makes
// it wait for the configuration or for its claim.
func (s *state) submit(now wick.Instant, r *Run) {
	sub := &r.Sub
	if s.conf.Offset() < sub.Config {
		s.park(now, r)
		return
	}
	if s.crashVerdict(now, sub) == crash.Stopped {
		r.refuse(wick.NotRunf(wick.CodeKilled, "the request crashed its endpoints"))
		return
	}
	if _, ok := s.keeper.MayAct(now, lease.EndpointKey(sub.Endpoint)); !ok {
		r.refuse(wick.NotRunf(wick.CodeNotOwner, "this daemon does not act for endpoint %s", sub.Endpoint))
		return
	}
	o := s.owned[sub.Endpoint]
	if o == nil {
		r.refuse(wick.NotRunf(wick.CodeNoEndpoint, "endpoint %s is not configured", sub.Endpoint))
		return
	}
	s.updateActing(now, o)
	if sub.Call != nil && sub.Call.NonIdempotent {
		s.requestClaim(now, r)
		return
	}
	s.enqueue(now, o, r)
}

// enqueue passes a run to its endpoint's scheduler.
func (s *state) enqueue(now wick.Instant, o *owned, r *Run) {
	item := sched.Item{Sub: &r.Sub, Suspect: s.crashVerdict(now, &r.Sub) == crash.RunAlone}
	if w := r.Sub.Work; w != nil && !w.Ref.IsBase() {
		v, ok := s.conf.Table().Version(w.Ref)
		if !ok {
			s.refuseUnsent(now, o, r, wick.NotRunf(wick.CodeNoRoute, "version %s is not configured", w.Ref))
			return
		}
		item.Source = v.Source
	}
	o.runs[r.Sub.Request] = r
	s.perform(now, o, o.sched.Submit(now, item))
}

// park makes a run wait until this daemon has the configuration at which it was
// resolved.
func (s *state) park(now wick.Instant, r *Run) {
	r.parked = now
	s.parked = append(s.parked, r)
}

// unpark submits the parked runs whose configuration has arrived, and refuses
// those that have waited too long.
func (s *state) unpark(now wick.Instant) {
	list := s.parked
	s.parked = nil
	for _, r := range list {
		switch {
		case r.isDecided:
		case s.conf.Offset() >= r.Sub.Config:
			s.submit(now, r)
		case now.Sub(r.parked) > maxParkTime:
			r.refuse(wick.NotRunf(wick.CodeStale, "the owner lacks the configuration at %d", r.Sub.Config))
		default:
			s.parked = append(s.parked, r)
		}
	}
}

// apply implements Event.
func (e Canceled) apply(s *state, now wick.Instant) {
	r := e.Run
	if o := s.owned[r.Sub.Endpoint]; o != nil && o.runs[r.Sub.Request] == r {
		s.perform(now, o, o.sched.Cancel(now, r.Sub.Request))
		return
	}
	fail := wick.NotRunf(wick.CodeCanceled, "caller went away")
	s.abandonClaim(now, r)
	r.refuse(fail)
}

// apply implements Event.
func (e Progressed) apply(s *state, now wick.Instant) {
	s.recordProgress(now, e.Run, e.Tokens)
}

// apply implements Event.
func (e Finished) apply(s *state, now wick.Instant) {
	r := e.Run
	s.finishClaim(now, r, e.Result)
	o := s.owned[r.Sub.Endpoint]
	known := o != nil && o.runs[r.Sub.Request] == r
	if known && e.Crashed {
		s.recordCrash(now, o, r)
	}
	r.allowRetry()
	if !known {
		return
	}
	if !e.Crashed && e.Result.Err == nil {
		s.suspects.Finished(now, r.Sub.Fingerprint)
		s.recordReply(now, o, r, e.Result)
	}
	delete(o.runs, r.Sub.Request)
	s.perform(now, o, o.sched.Done(now, r.Sub.Request, e.Result))
}
