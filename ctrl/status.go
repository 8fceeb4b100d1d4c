package ctrl

import (
	"cmp"
	"slices"

	"currantwick"
	"currantwick/lease"
)

// StatusAsked is an operator's question what the daemon knows.
type StatusAsked struct {
	// Reply takes the answer; it has room for one.
	Reply chan<- wick.Status
}

// told is what another daemon said of itself last.
type told struct {
	config wick.Offset
	claims wick.Offset
}

// hear notes how far another daemon is.
func (s *state) hear(from wick.HostName, config, claims wick.Offset) {
	s.told[from] = told{config, claims}
}

// apply implements Event.
func (e StatusAsked) apply(s *state, now wick.Instant) { e.Reply <- s.status(now) }

func (s *state) status(now wick.Instant) wick.Status {
	out := wick.Status{
		Self:     s.cfg.Lease.Self,
		View:     s.keeper.View().Number,
		Stale:    !s.isCurrent(now),
		Stopping: s.stopping,
		Config:   s.conf.Offset(),
		Claims:   s.book.Offset(),
		Objects:  s.conf.Table().Counts(),
	}
	if until, ok := s.keeper.Lease(now); ok {
		out.Lease = wick.Duration(until.Sub(now))
	}
	owns := make(map[wick.HostName]int)
	for _, end := range s.known {
		st := s.endpointStatus(now, end)
		owns[st.Owner]++
		out.Endpoints = append(out.Endpoints, st)
	}
	slices.SortFunc(out.Endpoints, func(a, b wick.EndpointStatus) int { return cmp.Compare(a.Name, b.Name) })
	leaving := s.leavingEntries()
	for _, m := range s.keeper.View().Members {
		t := s.told[m.Host]
		if m.Host == s.cfg.Lease.Self.Host {
			t = told{out.Config, out.Claims}
		}
		out.Daemons = append(out.Daemons, wick.DaemonStatus{
			Member: m, Config: t.config, Claims: t.claims, Owns: owns[m.Host], Leaving: leaving[m.Host],
		})
	}
	return out
}

func (s *state) endpointStatus(now wick.Instant, end wick.Endpoint) wick.EndpointStatus {
	owner, _ := s.keeper.Owner(lease.EndpointKey(end.Name))
	st := wick.EndpointStatus{
		Name: end.Name, Pool: end.Pool, Domain: end.Domain, Address: end.Address,
		Owner: owner.Host, Leaving: end.Leaving || s.hosts[end.Host],
	}
	if o := s.owned[end.Name]; o != nil && o.acting {
		d := s.digest(now, o)
		st.Acting, st.Digest = true, &d
	} else if d, ok := s.digests[end.Name]; ok {
		st.Digest = &d
	}
	return st
}
