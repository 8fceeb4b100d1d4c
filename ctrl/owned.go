package ctrl

import (
	"currantwick"
	"currantwick/lease"
	"currantwick/sched"
)

// owned is an endpoint that the daemon owns, or owned before and still has
// requests at.
type owned struct {
	endpoint wick.Endpoint
	sched    *sched.Endpoint
	// runs are the submitted runs that have not finished.
	runs map[wick.RequestID]*Run
	// boot identifies the engine's last reported start; empty if unknown.
	boot string
	// draining is set while no new work is accepted.
	draining bool
	// acting is set while the daemon may dispatch requests and give orders.
	acting bool
	// ownedThrough is the newest view up to which this daemon has been the only
	// owner since it last acted; 0 if there is none.
	ownedThrough wick.ViewNumber
}

// idle reports whether the endpoint's state can be dropped.
func (o *owned) idle() bool { return !o.acting && len(o.runs) == 0 }

// ownsEndpoint reports whether the daemon owns an endpoint in the newest view,
// even while it may not act for it.
func (s *state) ownsEndpoint(name wick.EndpointName) bool {
	m, ok := s.keeper.Owner(lease.EndpointKey(name))
	_, configured := s.configured[name]
	return configured && ok && m.Host == s.cfg.Lease.Self.Host
}

// adoptOwned creates the state of endpoints that the daemon has come to own.
func (s *state) adoptOwned(now wick.Instant) {
	for name, endpoint := range s.configured {
		if s.owned[name] == nil && s.ownsEndpoint(name) {
			s.updateActing(now, s.adopt(endpoint))
		}
	}
}

func (s *state) adopt(endpoint wick.Endpoint) *owned {
	pool, _ := s.conf.Table().Pool(endpoint.Pool)
	o := &owned{
		endpoint: endpoint,
		runs:     make(map[wick.RequestID]*Run),
		sched: sched.New(sched.Config{
			Endpoint: endpoint,
			Kind:     pool.Kind,
			Order:    s.cfg.Policy.Order,
			Evict:    s.cfg.Policy.Evict,
			Admit:    s.cfg.Policy.Admit,
		}),
	}
	s.owned[endpoint.Name] = o
	return o
}

// updateActing starts or stops acting for an endpoint, according to the lease.
func (s *state) updateActing(now wick.Instant, o *owned) {
	_, acts := s.keeper.MayAct(now, lease.EndpointKey(o.endpoint.Name))
	_, configured := s.configured[o.endpoint.Name]
	acts = acts && configured
	if acts == o.acting {
		return
	}
	o.acting = acts
	s.cfg.Observer.ActingChanged(o.endpoint.Name, acts)
	if !acts {
		s.perform(now, o, o.sched.Release(now))
		return
	}
	s.perform(now, o, s.resumeOrTakeOver(now, o))
	s.updateDraining(now, o)
}

// resumeOrTakeOver makes an endpoint's scheduler act in the newest view. The
// scheduler continues from its previous state if nobody else can have owned the
// endpoint since it last acted.
func (s *state) resumeOrTakeOver(now wick.Instant, o *owned) []sched.Action {
	view := s.keeper.View().Number
	last := o.ownedThrough
	o.ownedThrough = view
	if last == view {
		return o.sched.Continue(now, view)
	}
	return o.sched.Takeover(now, view)
}

// updateOwnedThrough updates ownedThrough when a view is adopted. It must be
// called for every view, since earlier ones are soon dropped.
func (s *state) updateOwnedThrough(o *owned, view wick.ViewNumber) {
	if o.ownedThrough != 0 && s.keeper.OwnedSince(lease.EndpointKey(o.endpoint.Name), o.ownedThrough) {
		o.ownedThrough = view
		return
	}
	o.ownedThrough = 0
}

// perform carries out the actions of an endpoint's scheduler.
func (s *state) perform(now wick.Instant, o *owned, actions []sched.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = append(actions[1:], s.performOne(now, o, a)...)
	}
}

// performOne carries out one action and returns those that result from it.
func (s *state) performOne(now wick.Instant, o *owned, a sched.Action) []sched.Action {
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
		return s.sendOrder(now, o, a.Order)
	case sched.RequestLoad:
		s.queueLoad(o, a)
	case sched.CancelLoad:
		s.withdrawLoad(o, a.Ref)
	case sched.ReadReport:
		s.out.ReadReport(o.endpoint)
	}
	return nil
}

// dispatch lets the run's traffic goroutine send the request, unless the lease
// has ended meanwhile.
func (s *state) dispatch(now wick.Instant, o *owned, a sched.Dispatch) []sched.Action {
	r := o.runs[a.Sub.Request]
	until, ok := s.keeper.MayAct(now, lease.EndpointKey(o.endpoint.Name))
	if r == nil || !ok {
		fail := wick.NotRunf(wick.CodeNotOwner, "the lease on %s has ended", o.endpoint.Name)
		if r != nil {
			s.refuseUnsent(now, o, r, fail)
		}
		return o.sched.Done(now, a.Sub.Request, sched.Result{Err: fail})
	}
	if r.claimed {
		until = min(until, r.claimUntil)
	}
	r.dispatchedAt = now
	r.decide(Decision{Endpoint: o.endpoint, Until: until, Boot: o.boot, view: s.keeper.View().Number, gate: s.gate})
	return nil
}

func (s *state) refuse(now wick.Instant, o *owned, a sched.Refuse) {
	if r := o.runs[a.Request]; r != nil {
		s.refuseUnsent(now, o, r, a.Err)
	}
}

// refuseUnsent ends a run that was never sent to the endpoint.
func (s *state) refuseUnsent(now wick.Instant, o *owned, r *Run, fail *wick.Error) {
	delete(o.runs, r.Sub.Request)
	s.abandonClaim(now, r)
	if cause := r.Cause(); cause != nil {
		fail = cause
	}
	r.refuse(fail)
}

// sendOrder gives an order to the engine if the lease allows it.
func (s *state) sendOrder(now wick.Instant, o *owned, ord wick.Order) []sched.Action {
	until, ok := s.keeper.MayAct(now, lease.EndpointKey(o.endpoint.Name))
	if !ok {
		fail := wick.NotRunf(wick.CodeNotOwner, "the lease on %s has ended", o.endpoint.Name)
		return o.sched.OrderDone(now, ord, fail)
	}
	s.out.Order(o.endpoint, ord, until)
	return nil
}

// apply implements Event.
func (e OrderDone) apply(s *state, now wick.Instant) {
	o := s.owned[e.Endpoint]
	if o == nil {
		return
	}
	s.loadEnded(now, o, e.Order, e.Err)
	s.perform(now, o, o.sched.OrderDone(now, e.Order, e.Err))
}

// apply implements Event.
func (e ReportRead) apply(s *state, now wick.Instant) {
	o := s.owned[e.Endpoint]
	if o == nil || e.Err != nil {
		return
	}
	o.boot = e.Report.Boot
	s.perform(now, o, o.sched.Report(now, e.Sent, e.Report))
}
