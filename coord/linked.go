package coord

import "currantwick"

// linkedDaemon is a daemon that dialed this one.
type linkedDaemon struct {
	link     wick.Link
	instance wick.Instance
	// reported is set once the daemon has sent a report; ready is the readiness
	// in its last one.
	reported, ready bool
	// known are the offsets before which the daemon said that it knows every
	// record, and resentAt when records that it lacked were last sent.
	known    [wick.NumTopics]wick.Offset
	resentAt wick.Instant
	loads    map[wick.EndpointName]wick.EndpointLoad
	uses     map[wick.EndpointName]map[wick.Weights]int
}

// dropOldLink closes an earlier link of a daemon that dials again.
func (s *state) dropOldLink(host wick.HostName) {
	for l, m := range s.linkedDaemons {
		if m.instance.Host == host {
			s.removeLinked(m)
			l.Close()
		}
	}
}

// removeLinked removes a daemon that dialed this one, and its load.
func (s *state) removeLinked(m *linkedDaemon) {
	delete(s.linkedDaemons, m.link)
	for name, load := range m.loads {
		if e := s.endpoints[name]; e != nil {
			e.linked.Running -= load.Running
			e.linked.Waiting -= load.Waiting
		}
	}
	for name, uses := range m.uses {
		if e := s.endpoints[name]; e != nil {
			for w, n := range uses {
				e.addUses(w, -n)
			}
		}
	}
}

// applyReport applies the report of a linked daemon.
func (s *state) applyReport(now wick.Instant, m *linkedDaemon, r *wick.InstanceReport) {
	copy(m.known[:], r.Known)
	if m.reported {
		s.resend(now, m)
	} else {
		m.resentAt = now
		m.link.Post(wick.LinkMessage{Update: s.fullUpdate(now, m)})
	}
	if !m.reported || m.ready != r.Ready {
		m.reported, m.ready = true, r.Ready
		s.out.instance(m.instance.Host)
		s.daemonsChanged()
	}
	for _, l := range r.Loads {
		old := m.loads[l.Endpoint]
		m.loads[l.Endpoint] = l.Load
		if e := s.endpoints[l.Endpoint]; e != nil {
			e.linked.Running += l.Load.Running - old.Running
			e.linked.Waiting += l.Load.Waiting - old.Waiting
		}
	}
	for _, u := range r.Uses {
		s.applyUses(m, u)
	}
	for _, o := range r.EndpointStats {
		if e := s.endpoints[o.Endpoint]; e != nil {
			e.health.Add(now, o)
		}
	}
	for _, k := range r.CachedPrefixes {
		if e := s.endpoints[k.Endpoint]; e != nil && e.meter.AddPrefix(k.PrefixID) {
			s.out.cachedPrefix = append(s.out.cachedPrefix, k)
		}
	}
	s.addEvidence(now, r.Evidence, daemonEvidence)
	s.setLeaving(now, r.Leaving, false)
	if len(r.TrialRequests) > 0 {
		s.grantTrials(now, m, r.TrialRequests)
	}
	s.applyShareReport(now, m, r.Allotments)
	for _, id := range r.EndedTrials {
		s.trials.End(id)
	}
	for _, w := range r.AdapterRequests {
		if e := s.endpoints[w.Endpoint]; e != nil {
			s.request(now, e, w)
		}
	}
}

// applyUses updates the number of a linked daemon's requests that use an
// adapter.
func (s *state) applyUses(m *linkedDaemon, u wick.AdapterUse) {
	uses := m.uses[u.Endpoint]
	if uses == nil {
		uses = make(map[wick.Weights]int)
		m.uses[u.Endpoint] = uses
	}
	old := uses[u.Weights]
	uses[u.Weights] = u.Count
	if u.Count == 0 {
		delete(uses, u.Weights)
	}
	if e := s.endpoints[u.Endpoint]; e != nil {
		e.addUses(u.Weights, u.Count-old)
	}
}
