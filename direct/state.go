package direct

import (
	"cmp"
	"slices"

	"currantwick"
	"currantwick/coord"
)

// State returns a snapshot of the gateway's state for operators.
func (s *Server) State() wick.GatewayState {
	v, now := s.cfg.Control.View(), s.cfg.Clock.Now()
	g := wick.GatewayState{
		Host: s.cfg.Host, Domain: s.cfg.Domain, Ready: v.Ready, Stopping: v.Stopping,
		Daemons: v.Daemons, Shards: v.Shards, Gates: s.gates.states(),
	}
	if v.ServingConfig != nil {
		g.Config, g.ConfigAge = v.ServingConfig.Version, wick.Duration(now.Sub(v.ConfigCurrentAt))
	}
	for _, e := range v.Entries {
		g.Entries = append(g.Entries, e.Host)
	}
	for _, list := range v.Pools {
		for _, r := range list {
			g.Endpoints = append(g.Endpoints, endpointState(r, now))
		}
	}
	slices.SortFunc(g.Endpoints, func(a, b wick.EndpointState) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Name, b.Name))
	})
	if s.cfg.Shares != nil {
		g.Teams = s.cfg.Shares.State()
	}
	return g
}

func endpointState(r *coord.Runner, now wick.Instant) wick.EndpointState {
	m := r.Meter.Read(now)
	e := wick.EndpointState{
		Name: r.Name, Pool: r.Pool, Domain: r.Domain,
		Running: r.OtherLoad.Running + m.Running, Waiting: r.OtherLoad.Waiting + m.Waiting,
		Free: r.OtherLoad.Free, Lag: max(wick.Duration(m.Lag), r.OtherLoad.Lag), FailedShare: max(m.FailedShare, r.OtherLoad.FailedShare),
	}
	for w := range r.Adapters {
		if w.Adapter != "" {
			e.Adapters++
		}
	}
	return e
}
