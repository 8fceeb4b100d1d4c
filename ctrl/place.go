package ctrl

import (
	"time"

	"currantwick"
	"currantwick/place"
)

// planInterval is the time between two prefetch plans.
const planInterval = time.Second

// maxPlannedLoads bounds the loads that one plan requests for a pool.
const maxPlannedLoads = 4

// RequestSeen reports that this daemon received a request from a caller.
type RequestSeen struct {
	Pool wick.PoolName
	Ref  wick.Ref
}

// apply implements Event.
func (e RequestSeen) apply(s *state, now wick.Instant) {
	if p := s.placer(e.Pool); p != nil {
		p.RecordRequest(now, e.Ref)
	}
}

// placer returns the placer of a pool; nil if its settings are invalid, which
// newState would have rejected.
func (s *state) placer(pool wick.PoolName) wick.Placer {
	if p := s.placers[pool]; p != nil {
		return p
	}
	cfg := s.cfg.Place
	cfg.Pool = pool
	p, err := place.New(cfg)
	if err != nil {
		return nil
	}
	s.placers[pool] = p
	return p
}

// plan prefetches the adapters that the placers select.
func (s *state) plan(now wick.Instant) {
	if now.Sub(s.lastPlan) < planInterval {
		return
	}
	s.lastPlan = now
	ends := make(map[wick.PoolName][]wick.PlaceEndpoint)
	for _, o := range s.owned {
		if o.acting && o.endpoint.AdapterSlots > 0 {
			ends[o.endpoint.Pool] = append(ends[o.endpoint.Pool], wick.PlaceEndpoint{
				Endpoint: o.endpoint.Name,
				Slots:    o.endpoint.AdapterSlots,
				Adapters: o.sched.Digest(now).Ready,
			})
		}
	}
	for pool, own := range ends {
		if p := s.placer(pool); p != nil {
			s.prefetch(now, p.Plan(now, s.routes.Table(), own))
		}
	}
}

func (s *state) prefetch(now wick.Instant, list []wick.Prefetch) {
	for _, f := range list[:min(maxPlannedLoads, len(list))] {
		v, ok := s.conf.Table().Version(f.Ref)
		o := s.owned[f.Endpoint]
		if ok && o != nil {
			s.perform(now, o, o.sched.Prefetch(now, f.Ref, v.Source))
		}
	}
}
