package ctrl

import (
	"maps"
	"slices"

	"currantwick"
	"currantwick/config"
)

// keepRecent is how many entries of the configuration are kept for peers that
// miss them; those further behind get a checkpoint.
const keepRecent = 512

// readConfig takes in what was read from the configuration's stream.
func (s *state) readConfig(now wick.Instant, e Entries) {
	for _, entry := range e.List {
		s.applyEntry(now, entry)
	}
	if !s.conf.Behind() && !e.More {
		s.fresh = max(s.fresh, e.Sent)
	}
	s.settleConfig(now)
}

func (s *state) applyEntry(now wick.Instant, e wick.Entry) {
	s.addRecent(e)
	if v, ok := s.conf.Apply(e); ok {
		s.judged(now, v)
	}
	s.judgedLate(now)
}

// judgedLate passes on the verdicts on entries that had to wait for a gap to
// close.
func (s *state) judgedLate(now wick.Instant) {
	for _, v := range s.conf.Late() {
		s.judged(now, v)
	}
}

// addRecent adds an entry to the recent ones, which have no gap: a peer that got
// what stands beyond one could not go on.
func (s *state) addRecent(e wick.Entry) {
	if e.Offset <= s.conf.Offset() {
		return
	}
	if n := len(s.recent); n > 0 {
		last := s.recent[n-1].Offset
		if e.Offset <= last {
			return
		}
		if e.Offset > last+1 {
			s.recent = nil
		}
	}
	s.recent = append(s.recent, e)
	if len(s.recent) > 2*keepRecent {
		s.recent = append([]wick.Entry(nil), s.recent[len(s.recent)-keepRecent:]...)
	}
}

// judged passes a verdict on to whoever waits for it, and to the audit trail.
func (s *state) judged(now wick.Instant, v wick.Verdict) {
	s.cfg.Note.Verdict(v)
	if reply, ok := s.awaited[v.Change]; ok {
		delete(s.awaited, v.Change)
		reply <- v
	}
	s.trail.Judged(now, v)
	s.audit(now)
}

// audit writes the verdicts to the audit trail that are this daemon's turn.
func (s *state) audit(now wick.Instant) {
	for _, v := range s.trail.Due(now, s.rank()) {
		s.out.Append(wick.AuditStream, wick.Record{Verdict: &v})
	}
}

// rank returns the daemon's place among the members of the view, from 0, or -1
// if it is no member.
func (s *state) rank() int {
	self := s.cfg.Lease.Self
	return slices.IndexFunc(s.keeper.View().Members, func(m wick.Member) bool {
		return m.Host == self.Host && m.Incarnation == self.Incarnation
	})
}

// settleConfig brings endpoints in line with the configuration.
func (s *state) settleConfig(now wick.Instant) {
	table := s.conf.Table()
	gone := maps.Clone(s.known)
	for end := range table.Endpoints() {
		delete(gone, end.Name)
		if old, ok := s.known[end.Name]; ok && old == end {
			continue
		}
		s.known[end.Name] = end
		s.routes.Put(end)
		s.pace.Put(end.Name, end.Pool)
		s.routes.Leave(end.Name, s.hosts[end.Host])
		s.settleRoute(end.Name)
		if o := s.owned[end.Name]; o != nil {
			o.end = end
			s.perform(now, o, o.sched.Update(now, end))
			s.settleLeaving(now, o)
		}
	}
	for name := range gone {
		delete(s.known, name)
		delete(s.digests, name)
		s.routes.Remove(name)
		s.pace.Remove(name)
		if o := s.owned[name]; o != nil {
			o.drained = true
			s.perform(now, o, o.sched.Drain(now))
		}
	}
	s.settleStores(now)
	s.own(now)
	s.unpark(now)
	s.urgent = true
}

// follow fetches from a peer what it knows and this daemon does not.
func (s *state) follow(peer wick.Address, offset wick.Offset) {
	if offset <= s.conf.Offset() || s.fetching || peer == "" {
		return
	}
	s.fetching = true
	s.out.Fetch(peer, wick.Fetch{Stream: wick.ConfigStream, From: s.conf.Offset() + 1})
}

// apply implements Event.
func (e FetchAsked) apply(s *state, _ wick.Instant) {
	var out wick.Fetched
	switch {
	case e.Fetch.From > s.conf.Offset():
	case len(s.recent) > 0 && s.recent[0].Offset <= e.Fetch.From:
		for _, entry := range s.recent {
			if entry.Offset >= e.Fetch.From {
				out.Entries = append(out.Entries, entry)
			}
		}
	default:
		c := s.conf.Checkpoint()
		out.Checkpoint = &c
	}
	e.Reply <- out
}

// apply implements Event.
func (e FetchAnswered) apply(s *state, now wick.Instant) {
	s.fetching = false
	if e.Err != nil {
		return
	}
	if c := e.Fetched.Checkpoint; c != nil && c.AsOf > s.conf.Offset() {
		s.recent = nil
		if err := s.conf.Restore(*c); err != nil {
			s.cfg.Note.Refused("checkpoint", err)
			return
		}
		s.judgedLate(now)
	}
	for _, entry := range e.Fetched.Entries {
		s.applyEntry(now, entry)
	}
	s.settleConfig(now)
}

// apply implements Event.
func (e Awaited) apply(s *state, _ wick.Instant) { s.awaited[e.Change] = e.Reply }

// apply implements Event.
func (e Forgotten) apply(s *state, _ wick.Instant) { delete(s.awaited, e.Change) }

// checkpoint writes the configuration to the log again, well before the log
// drops the records it was made from. The first member of the view does it.
func (s *state) checkpoint(now wick.Instant) {
	if m := s.conf.Newest(); m != s.mark {
		s.mark, s.markedAt = m, now
	}
	if s.rank() != 0 || s.conf.Offset() <= s.mark.AsOf || now.Sub(s.markedAt) < s.cfg.Checkpoint {
		return
	}
	s.markedAt = now
	for _, part := range config.Split(s.conf.Checkpoint()) {
		s.out.Append(wick.ConfigStream, wick.Record{Checkpoint: &part})
	}
}
