package ctrl

import (
	"currantwick"
	"currantwick/lease"
)

// lease carries out the actions of the lease keeper, in order.
func (s *state) lease(now wick.Instant, actions []lease.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case lease.SendRenewal:
			s.out.SendRenewal(a.To, s.fillRenewal(now, a.Renewal))
		case lease.Append:
			s.out.Append(wick.ViewStream, a.Record)
		case lease.Changed:
			s.changeView(now, a)
		}
	}
}

// fillRenewal adds to a renewal what daemons exchange in addition to the view:
// stream offsets and the digests of their endpoints.
func (s *state) fillRenewal(now wick.Instant, r wick.Renewal) wick.Renewal {
	r.Config = s.conf.Offset()
	r.Claims = s.tracker.Offset()
	for _, o := range s.owned {
		if o.acting {
			r.Digests = append(r.Digests, s.digest(now, o))
		}
	}
	return r
}

// changeView ends the work of the old view before the new view is sent to
// anybody.
func (s *state) changeView(now wick.Instant, c lease.Changed) {
	s.gate.setView(c.New.Number)
	s.cfg.Observer.ViewAdopted(c.New)
	s.routes.View(c.New, ownerOf)
	for _, o := range s.owned {
		s.updateOwnedThrough(o, c.New.Number)
		s.updateActing(now, o)
	}
	s.adoptOwned(now)
	s.publishNow = true
}

// ownerOf returns the owner of an endpoint in a view.
func ownerOf(v wick.View, name wick.EndpointName) (wick.Member, bool) {
	return lease.Owner(v, lease.EndpointKey(name))
}

// updateRouteOwner passes the owner of an endpoint to the router.
func (s *state) updateRouteOwner(name wick.EndpointName) {
	m, _ := s.keeper.Owner(lease.EndpointKey(name))
	s.routes.SetOwner(name, m.Host, m.Peer)
}

// apply implements Event.
func (e RenewalReceived) apply(s *state, now wick.Instant) {
	for _, d := range e.Renewal.Digests {
		s.routes.Digest(d)
		s.ejector.ApplyDigest(now, d)
		s.digests[d.Endpoint] = d
	}
	s.recordOffsets(e.Renewal.From, e.Renewal.Config, e.Renewal.Claims)
	s.dirty = true
	ack, actions := s.keeper.OnRenewal(now, e.Renewal)
	s.lease(now, actions)
	ack.Config = s.conf.Offset()
	ack.Claims = s.tracker.Offset()
	e.Reply <- ack
	if m, ok := s.keeper.View().Member(e.Renewal.From); ok {
		s.fetchNewer(m.Peer, e.Renewal.Config)
	}
}

// apply implements Event.
func (e RenewalAcked) apply(s *state, now wick.Instant) {
	s.lease(now, s.keeper.OnAck(now, e.Sent, e.Ack))
	s.recordOffsets(e.Ack.From, e.Ack.Config, e.Ack.Claims)
	s.fetchNewer(e.From, e.Ack.Config)
}

// apply implements Event.
func (e EntriesRead) apply(s *state, now wick.Instant) {
	switch e.Stream {
	case wick.ConfigStream:
		s.handleConfigEntries(now, e)
	case wick.ViewStream:
		for _, entry := range e.List {
			s.lease(now, s.keeper.OnEntry(now, entry))
		}
	case wick.AuditStream:
		s.trail.ApplyEntries(e.List, e.More)
	case wick.ClaimStream:
		for _, entry := range e.List {
			s.applyClaimActions(now, s.tracker.OnEntry(now, entry))
		}
	}
}

// apply implements Event.
func (e RunsRequested) apply(s *state, _ wick.Instant) {
	var runs []wick.Run
	for _, h := range e.Hosts {
		runs = append(runs, s.keeper.RunsOn(h)...)
	}
	e.Reply <- runs
}

// apply implements Event.
func (e LogFailed) apply(s *state, _ wick.Instant) { s.cfg.Observer.LogReadFailed(e.Stream) }

// apply implements Event.
func (e Appended) apply(s *state, now wick.Instant) {
	s.cfg.Observer.AppendFinished(e.Stream, e.Err)
	if e.Err == nil {
		return
	}
	switch e.Stream {
	case wick.ViewStream:
		s.lease(now, s.keeper.OnAppendFailed(now))
	case wick.ClaimStream:
		s.applyClaimActions(now, s.tracker.OnAppendFailed(now, e.Record))
	}
}
