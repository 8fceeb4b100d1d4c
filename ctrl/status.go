package ctrl

import (
	"cmp"
	"slices"

	"currantwick"
	"currantwick/lease"
)

// StatusRequested is an operator's request for the daemon's status.
type StatusRequested struct {
	// Reply takes the answer; its buffer holds one.
	Reply chan<- wick.Status
}

// peerOffsets are the offsets of the streams that another daemon last reported.
type peerOffsets struct {
	config wick.Offset
	claims wick.Offset
}

// recordOffsets records the offsets that another daemon has reached.
func (s *state) recordOffsets(from wick.HostName, config, claims wick.Offset) {
	s.peerOffsets[from] = peerOffsets{config, claims}
}

// apply implements Event.
func (e StatusRequested) apply(s *state, now wick.Instant) { e.Reply <- s.status(now) }

func (s *state) status(now wick.Instant) wick.Status {
	out := wick.Status{
		Self:     s.cfg.Lease.Self,
		View:     s.keeper.View().Number,
		Stale:    !s.isCurrent(now),
		Stopping: s.stopping,
		Config:   s.conf.Offset(),
		Claims:   s.tracker.Offset(),
		Objects:  s.conf.Table().Counts(),
	}
	if until, ok := s.keeper.Lease(now); ok {
		out.Lease = wick.Duration(until.Sub(now))
	}
	owns := make(map[wick.HostName]int)
	for _, endpoint := range s.configured {
		st := s.endpointStatus(now, endpoint)
		owns[st.Owner]++
		out.Endpoints = append(out.Endpoints, st)
	}
	slices.SortFunc(out.Endpoints, func(a, b wick.EndpointStatus) int { return cmp.Compare(a.Name, b.Name) })
	leaving := s.leavingEntries()
	for _, m := range s.keeper.View().Members {
		t := s.peerOffsets[m.Host]
		if m.Host == s.cfg.Lease.Self.Host {
			t = peerOffsets{out.Config, out.Claims}
		}
		out.Daemons = append(out.Daemons, wick.DaemonStatus{
			Member: m, Config: t.config, Claims: t.claims, Owns: owns[m.Host], Leaving: leaving[m.Host],
		})
	}
	return out
}

func (s *state) endpointStatus(now wick.Instant, endpoint wick.Endpoint) wick.EndpointStatus {
	owner, _ := s.keeper.Owner(lease.EndpointKey(endpoint.Name))
	st := wick.EndpointStatus{
		Name: endpoint.Name, Pool: endpoint.Pool, Domain: endpoint.Domain, Address: endpoint.Address,
		Owner: owner.Host, Leaving: endpoint.Leaving || s.leavingHosts[endpoint.Host],
	}
	if o := s.owned[endpoint.Name]; o != nil && o.acting {
		d := s.digest(now, o)
		st.Acting, st.Digest = true, &d
	} else if d, ok := s.digests[endpoint.Name]; ok {
		st.Digest = &d
	}
	return st
}
