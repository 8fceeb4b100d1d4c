package coord

import (
	"cmp"
	"slices"

	"currantwick"
	"currantwick/terms"
)

// roster holds the lists of entry points and candidates, built from the known
// daemons. Its lists are replaced and never modified.
type roster struct {
	// entries are the daemons that callers may use. daemons estimates the
	// number of running daemons: at least those known to run, but it may count
	// ended ones, whose records stay in the store.
	entries []wick.EntryPoint
	daemons int
	// candidates are the daemons that may hold terms.
	candidates []terms.Candidate
	// stale is set when a daemon joined, changed or left since builtAt.
	stale   bool
	builtAt wick.Instant
}

// rosterInterval is how often the roster is rebuilt even if nothing changed, so
// that a daemon without a link drops out soon after unlinkedGrace: an eighth of
// that time.
const rosterInterval = unlinkedGrace / 8

// daemonsChanged records that a daemon joined, changed or left.
func (s *state) daemonsChanged() { s.roster.stale, s.dirty = true, true }

// reportingDaemons lists the daemons that report to this one. The readiness of a
// daemon that has linked but not reported yet is unknown; it may have been ready
// for a long time.
func (s *state) reportingDaemons() []wick.InstanceState {
	var list []wick.InstanceState
	for _, m := range s.linkedDaemons {
		if m.reported {
			list = append(list, wick.InstanceState{Instance: m.instance, Ready: m.ready})
		}
	}
	return list
}

// knownDaemons lists the daemons that report to this one or to a holder that
// this one has dialed. It may list a daemon twice.
func (s *state) knownDaemons() []wick.InstanceState {
	list := s.reportingDaemons()
	for _, h := range s.holders {
		for _, d := range h.instances {
			list = append(list, d)
		}
	}
	return list
}

// refreshRoster rebuilds the roster if it is stale or old.
func (s *state) refreshRoster(now wick.Instant) {
	if !s.roster.stale && now.Sub(s.roster.builtAt) < rosterInterval {
		return
	}
	s.roster.stale, s.roster.builtAt = false, now
	s.roster.candidates = s.candidates(now)
	ready := map[wick.HostName]bool{s.cfg.Self.Host: s.ready()}
	daemons := []wick.Instance{s.cfg.Self}
	for _, d := range s.knownDaemons() {
		host := d.Instance.Host
		was, seen := ready[host]
		if !seen {
			daemons = append(daemons, d.Instance)
		}
		// One report that a daemon is not ready is enough.
		ready[host] = d.Ready && (was || !seen)
	}
	s.roster.entries = nil
	for _, d := range daemons {
		if ready[d.Host] && d.CallerAddress != "" {
			s.roster.entries = append(s.roster.entries, wick.EntryPoint{Address: d.CallerAddress, Host: d.Host, Domain: d.Domain})
		}
	}
	slices.SortFunc(s.roster.entries, func(a, b wick.EntryPoint) int { return cmp.Compare(a.Host, b.Host) })
	// Records of daemons stay in the store, so a daemon that has just started
	// knows roughly how many there are.
	s.roster.daemons = max(len(daemons), len(s.daemons))
}

// candidates lists the daemons that may hold terms.
func (s *state) candidates(now wick.Instant) []terms.Candidate {
	list := []terms.Candidate{{Host: s.cfg.Self.Host, Incarnation: s.cfg.Self.Incarnation, Capacity: s.cfg.Self.Capacity}}
	seen := map[wick.HostName]bool{s.cfg.Self.Host: true}
	add := func(d wick.Instance) {
		if !seen[d.Host] {
			seen[d.Host] = true
			list = append(list, terms.Candidate{Host: d.Host, Incarnation: d.Incarnation, Capacity: d.Capacity})
		}
	}
	for _, d := range s.knownDaemons() {
		add(d.Instance)
	}
	for _, d := range s.daemons {
		if now.Sub(d.readAt) < unlinkedGrace {
			add(d.instance)
		}
	}
	return list
}
