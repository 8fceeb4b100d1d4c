package ctrl

import (
	"currantwick"
	"currantwick/lease"
)

// lease carries out what the keeper decided, in order.
func (s *state) lease(now wick.Instant, actions []lease.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case lease.SendRenewal:
			s.out.Renew(a.To, s.fill(now, a.Renewal))
		case lease.Append:
			s.out.Append(wick.ViewStream, a.Record)
		case lease.Changed:
			s.changeView(now, a)
		}
	}
}

// fill adds to a renewal what daemons must know of one another beside the
// view.
func (s *state) fill(now wick.Instant, r wick.Renewal) wick.Renewal {
	r.Config = s.conf.Offset()
	r.Claims = s.book.Offset()
	for _, o := range s.owned {
		if o.acting {
			r.Digests = append(r.Digests, s.digest(now, o))
		}
	}
	return r
}

// changeView ends what the daemon did under the old view before anybody hears
// of the new one.
func (s *state) changeView(now wick.Instant, c lease.Changed) {
	s.gate.move(c.New.Number)
	s.cfg.Note.View(c.New)
	s.routes.View(c.New, ownerOf)
	for _, o := range s.owned {
		s.keep(o, c.New.Number)
		s.settleOwner(now, o)
	}
	s.own(now)
	s.urgent = true
}

// ownerOf returns the owner of an endpoint in a view.
func ownerOf(v wick.View, name wick.EndpointName) (wick.Member, bool) {
	return lease.Owner(v, lease.EndpointKey(name))
}

// settleRoute tells the router who owns an endpoint.
func (s *state) settleRoute(name wick.EndpointName) {
	m, _ := s.keeper.Owner(lease.EndpointKey(name))
	s.routes.Own(name, m.Host, m.Peer)
}

// apply implements Event.
func (e Renewed) apply(s *state, now wick.Instant) {
	for _, d := range e.Renewal.Digests {
		s.routes.Digest(d)
		s.pace.Heard(now, d)
		s.digests[d.Endpoint] = d
	}
	s.hear(e.Renewal.From, e.Renewal.Config, e.Renewal.Claims)
	s.moved = true
	ack, actions := s.keeper.OnRenewal(now, e.Renewal)
	s.lease(now, actions)
	ack.Config = s.conf.Offset()
	ack.Claims = s.book.Offset()
	e.Reply <- ack
	if m, ok := s.keeper.View().Member(e.Renewal.From); ok {
		s.follow(m.Peer, e.Renewal.Config)
	}
}

// apply implements Event.
func (e Acked) apply(s *state, now wick.Instant) {
	s.lease(now, s.keeper.OnAck(now, e.Sent, e.Ack))
	s.hear(e.Ack.From, e.Ack.Config, e.Ack.Claims)
	s.follow(e.From, e.Ack.Config)
}

// apply implements Event.
func (e Entries) apply(s *state, now wick.Instant) {
	switch e.Stream {
	case wick.ConfigStream:
		s.readConfig(now, e)
	case wick.ViewStream:
		for _, entry := range e.List {
			s.lease(now, s.keeper.OnEntry(now, entry))
		}
	case wick.AuditStream:
		s.trail.Read(e.List, e.More)
	case wick.ClaimStream:
		for _, entry := range e.List {
			s.claims(now, s.book.OnEntry(now, entry))
		}
	}
}

// apply implements Event.
func (e Named) apply(s *state, _ wick.Instant) {
	var runs []wick.Run
	for _, h := range e.Hosts {
		runs = append(runs, s.keeper.Named(h)...)
	}
	e.Reply <- runs
}

// apply implements Event.
func (e LogFailed) apply(s *state, _ wick.Instant) { s.cfg.Note.LogFailed(e.Stream) }

// apply implements Event.
func (e Appended) apply(s *state, now wick.Instant) {
	s.cfg.Note.Appended(e.Stream, e.Err)
	if e.Err == nil {
		return
	}
	switch e.Stream {
	case wick.ViewStream:
		s.lease(now, s.keeper.OnAppendFailed(now))
	case wick.ClaimStream:
		s.claims(now, s.book.OnAppendFailed(now, e.Record))
	}
}
