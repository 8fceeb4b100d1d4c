package ctrl

import (
	"currantwick"
	"currantwick/lease"
	"currantwick/sched"
)

// owned is an endpoint that the daemon owns, or did until its last requests
// end.
type owned struct {
	end   wick.Endpoint
	sched *sched.Endpoint
	// runs are the runs that were submitted and have not finished.
	runs map[wick.RequestID]*Run
	// boot is the engine's start as last reported; empty if not known.
	boot string
	// drained tells that no new work is taken.
	drained bool
	// acting tells that the daemon may dispatch and give orders.
	acting bool
	// kept is the newest view up to which nobody but the daemon has owned the
	// endpoint since it acted last; 0 if there is none.
	kept wick.ViewNumber
}

// idle reports whether the endpoint can be forgotten.
func (o *owned) idle() bool { return !o.acting && len(o.runs) == 0 }

// mine reports whether the daemon owns an endpoint in the newest view, even
// while it may not act.
func (s *state) mine(name wick.EndpointName) bool {
	m, ok := s.keeper.Owner(lease.EndpointKey(name))
	_, known := s.known[name]
	return known && ok && m.Host == s.cfg.Lease.Self.Host
}

// own starts to keep the state of endpoints that the daemon now owns.
func (s *state) own(now wick.Instant) {
	for name, end := range s.known {
		if s.owned[name] == nil && s.mine(name) {
			s.settleOwner(now, s.adopt(end))
		}
	}
}

func (s *state) adopt(end wick.Endpoint) *owned {
	pool, _ := s.conf.Table().Pool(end.Pool)
	o := &owned{
		end:  end,
		runs: make(map[wick.RequestID]*Run),
		sched: sched.New(sched.Config{
			Endpoint: end,
			Kind:     pool.Kind,
			Order:    s.cfg.Policy.Order,
			Evict:    s.cfg.Policy.Evict,
			Admit:    s.cfg.Policy.Admit,
		}),
	}
	s.owned[end.Name] = o
	return o
}

// settleOwner starts or ends acting for an endpoint, as the lease says.
func (s *state) settleOwner(now wick.Instant, o *owned) {
	_, acts := s.keeper.Acts(now, lease.EndpointKey(o.end.Name))
	_, known := s.known[o.end.Name]
	acts = acts && known
	if acts == o.acting {
		return
	}
	o.acting = acts
	s.cfg.Note.Acting(o.end.Name, acts)
	if !acts {
		s.perform(now, o, o.sched.Release(now))
		return
	}
	s.perform(now, o, s.takeUp(now, o))
	s.settleLeaving(now, o)
}

// takeUp makes an endpoint's schedule act in the newest view. It goes on where
// it was if nobody else can have owned the endpoint since it acted last.
func (s *state) takeUp(now wick.Instant, o *owned) []sched.Action {
	view := s.keeper.View().Number
	last := o.kept
	o.kept = view
	if last == view {
		return o.sched.Continue(now, view)
	}
	return o.sched.Takeover(now, view)
}

// keep notes that a view was adopted. It must see each of them, since the
// earlier ones are forgotten soon.
func (s *state) keep(o *owned, view wick.ViewNumber) {
	if o.kept != 0 && s.keeper.Kept(lease.EndpointKey(o.end.Name), o.kept) {
		o.kept = view
		return
	}
	o.kept = 0
}

// perform carries out what an endpoint's schedule decided.
func (s *state) perform(now wick.Instant, o *owned, actions []sched.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = append(actions[1:], s.one(now, o, a)...)
	}
}

// one carries out one action and returns those that follow from it.
func (s *state) one(now wick.Instant, o *owned, a sched.Action) []sched.Action {
	switch a := a.(type) {
	case sched.Dispatch:
		return s.dispatch(now, o, a)
	case sched.Refuse:
		s.refuse(now, o, a)
	case sched.CancelRun:
		if r := o.runs[a.Request]; r != nil {
			r.stop()
		}
	case sched.Order:
		return s.order(now, o, a.Order)
	case sched.WantLoad:
		s.wantLoad(o, a)
	case sched.Forgo:
		s.forgo(o, a.Ref)
	case sched.ReadReport:
		s.out.Report(o.end)
	}
	return nil
}

// dispatch lets the run's traffic goroutine send the request, unless the lease
// has ended meanwhile.
func (s *state) dispatch(now wick.Instant, o *owned, a sched.Dispatch) []sched.Action {
	r := o.runs[a.Sub.Request]
	until, ok := s.keeper.Acts(now, lease.EndpointKey(o.end.Name))
	if r == nil || !ok {
		fail := wick.NotRunf(wick.CodeNotOwner, "the lease on %s has ended", o.end.Name)
		if r != nil {
			s.drop(now, o, r, fail)
		}
		return o.sched.Done(now, a.Sub.Request, sched.Result{Err: fail})
	}
	if r.claimed {
		until = min(until, r.claimUntil)
	}
	r.sent = now
	r.settle(Decision{Endpoint: o.end, Until: until, Boot: o.boot, view: s.keeper.View().Number, gate: s.gate})
	return nil
}

func (s *state) refuse(now wick.Instant, o *owned, a sched.Refuse) {
	if r := o.runs[a.Request]; r != nil {
		s.drop(now, o, r, a.Err)
	}
}

// drop ends a run that was never sent to the endpoint.
func (s *state) drop(now wick.Instant, o *owned, r *Run, fail *wick.Error) {
	delete(o.runs, r.Sub.Request)
	s.unclaim(now, r)
	if cause := r.Cause(); cause != nil {
		fail = cause
	}
	r.refuse(fail)
}

// order gives an order to the engine if the lease allows it.
func (s *state) order(now wick.Instant, o *owned, ord wick.Order) []sched.Action {
	until, ok := s.keeper.Acts(now, lease.EndpointKey(o.end.Name))
	if !ok {
		fail := wick.NotRunf(wick.CodeNotOwner, "the lease on %s has ended", o.end.Name)
		return o.sched.OrderDone(now, ord, fail)
	}
	s.out.Order(o.end, ord, until)
	return nil
}

// apply implements Event.
func (e Ordered) apply(s *state, now wick.Instant) {
	o := s.owned[e.Endpoint]
	if o == nil {
		return
	}
	s.loadEnded(now, o, e.Order, e.Err)
	s.perform(now, o, o.sched.OrderDone(now, e.Order, e.Err))
}

// apply implements Event.
func (e Reported) apply(s *state, now wick.Instant) {
	o := s.owned[e.Endpoint]
	if o == nil || e.Err != nil {
		return
	}
	o.boot = e.Report.Boot
	s.perform(now, o, o.sched.Report(now, e.Sent, e.Report))
}
