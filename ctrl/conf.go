package ctrl

import (
	"maps"
	"slices"

	"currantwick"
	"currantwick/config"
)

// maxRecentEntries is the number of configuration entries that are kept for
// lagging peers when older ones are dropped, which happens once there are more
// than twice as many. Peers further behind get a checkpoint.
const maxRecentEntries = 512

// handleConfigEntries applies entries read from the configuration stream.
func (s *state) handleConfigEntries(now wick.Instant, e EntriesRead) {
	for _, entry := range e.List {
		s.applyConfigEntry(now, entry)
	}
	if !s.conf.Behind() && !e.More {
		s.currentAt = max(s.currentAt, e.Sent)
	}
	s.reconcileConfig(now)
}

func (s *state) applyConfigEntry(now wick.Instant, e wick.Entry) {
	s.addRecent(e)
	if v, ok := s.conf.Apply(e); ok {
		s.deliverVerdict(now, v)
	}
	s.deliverLateVerdicts(now)
}

// deliverLateVerdicts delivers the verdicts on entries that were held until a
// gap closed.
func (s *state) deliverLateVerdicts(now wick.Instant) {
	for _, v := range s.conf.LateVerdicts() {
		s.deliverVerdict(now, v)
	}
}

// addRecent appends an entry to recentEntries. It drops the earlier ones if
// there is a gap, since a peer could not apply the entries after it.
func (s *state) addRecent(e wick.Entry) {
	if e.Offset <= s.conf.Offset() {
		return
	}
	if n := len(s.recentEntries); n > 0 {
		last := s.recentEntries[n-1].Offset
		if e.Offset <= last {
			return
		}
		if e.Offset > last+1 {
			s.recentEntries = nil
		}
	}
	s.recentEntries = append(s.recentEntries, e)
	if len(s.recentEntries) > 2*maxRecentEntries {
		s.recentEntries = append([]wick.Entry(nil), s.recentEntries[len(s.recentEntries)-maxRecentEntries:]...)
	}
}

// deliverVerdict sends a verdict to its waiter, if any, and to the audit trail.
func (s *state) deliverVerdict(now wick.Instant, v wick.Verdict) {
	s.cfg.Observer.VerdictReached(v)
	if reply, ok := s.verdictWaiters[v.Change]; ok {
		delete(s.verdictWaiters, v.Change)
		reply <- v
	}
	s.trail.AddVerdict(now, v)
	s.appendAudit(now)
}

// appendAudit appends the verdicts that are due from this daemon to the audit
// stream.
func (s *state) appendAudit(now wick.Instant) {
	for _, v := range s.trail.Due(now, s.memberIndex()) {
		s.out.Append(wick.AuditStream, wick.Record{Verdict: &v})
	}
}

// memberIndex returns the index of this daemon among the members of the view,
// or -1 if it is no member.
func (s *state) memberIndex() int {
	self := s.cfg.Lease.Self
	return slices.IndexFunc(s.keeper.View().Members, func(m wick.Member) bool {
		return m.Host == self.Host && m.Incarnation == self.Incarnation
	})
}

// reconcileConfig updates endpoints, stores and ownership to match the
// configuration.
func (s *state) reconcileConfig(now wick.Instant) {
	table := s.conf.Table()
	removed := maps.Clone(s.configured)
	for endpoint := range table.Endpoints() {
		delete(removed, endpoint.Name)
		if old, ok := s.configured[endpoint.Name]; ok && old == endpoint {
			continue
		}
		s.configured[endpoint.Name] = endpoint
		s.routes.Put(endpoint)
		s.ejector.Put(endpoint.Name, endpoint.Pool)
		s.routes.SetLeaving(endpoint.Name, s.leavingHosts[endpoint.Host])
		s.updateRouteOwner(endpoint.Name)
		if o := s.owned[endpoint.Name]; o != nil {
			o.endpoint = endpoint
			s.perform(now, o, o.sched.Update(now, endpoint))
			s.updateDraining(now, o)
		}
	}
	for name := range removed {
		delete(s.configured, name)
		delete(s.digests, name)
		s.routes.Remove(name)
		s.ejector.Remove(name)
		if o := s.owned[name]; o != nil {
			o.draining = true
			s.perform(now, o, o.sched.Drain(now))
		}
	}
	s.reconcileStores(now)
	s.adoptOwned(now)
	s.unpark(now)
	s.publishNow = true
}

// fetchNewer fetches configuration records from a peer that is at a later
// offset, one fetch at a time.
func (s *state) fetchNewer(peer wick.Address, offset wick.Offset) {
	if offset <= s.conf.Offset() || s.fetching || peer == "" {
		return
	}
	s.fetching = true
	s.out.Fetch(peer, wick.Fetch{Stream: wick.ConfigStream, From: s.conf.Offset() + 1})
}

// apply implements Event.
func (e FetchRequested) apply(s *state, _ wick.Instant) {
	var out wick.Fetched
	switch {
	case e.Fetch.From > s.conf.Offset():
	case len(s.recentEntries) > 0 && s.recentEntries[0].Offset <= e.Fetch.From:
		for _, entry := range s.recentEntries {
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
func (e FetchDone) apply(s *state, now wick.Instant) {
	s.fetching = false
	if e.Err != nil {
		return
	}
	if c := e.Fetched.Checkpoint; c != nil && c.AsOf > s.conf.Offset() {
		s.recentEntries = nil
		if err := s.conf.Restore(*c); err != nil {
			s.cfg.Observer.InputRefused("checkpoint", err)
			return
		}
		s.deliverLateVerdicts(now)
	}
	for _, entry := range e.Fetched.Entries {
		s.applyConfigEntry(now, entry)
	}
	s.reconcileConfig(now)
}

// apply implements Event.
func (e VerdictAwaited) apply(s *state, _ wick.Instant) { s.verdictWaiters[e.Change] = e.Reply }

// apply implements Event.
func (e VerdictAbandoned) apply(s *state, _ wick.Instant) { delete(s.verdictWaiters, e.Change) }

// writeCheckpoint appends a checkpoint of the configuration to the log, well
// before the log drops the records it was built from. Only the first member of
// the view does so.
func (s *state) writeCheckpoint(now wick.Instant) {
	if m := s.conf.NewestCheckpoint(); m != s.newestCheckpoint {
		s.newestCheckpoint, s.checkpointAt = m, now
	}
	if s.memberIndex() != 0 || s.conf.Offset() <= s.newestCheckpoint.AsOf || now.Sub(s.checkpointAt) < s.cfg.Checkpoint {
		return
	}
	s.checkpointAt = now
	for _, part := range config.Split(s.conf.Checkpoint()) {
		s.out.Append(wick.ConfigStream, wick.Record{Checkpoint: &part})
	}
}
