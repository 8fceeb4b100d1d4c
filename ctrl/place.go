package ctrl

import (
	"time"

	"currantwick"
	"currantwick/place"
)

// planEvery is the time between two plans of what to load ahead of requests.
const planEvery = time.Second

// maxAhead bounds the loads that one plan asks for.
const maxAhead = 4

// Seen tells that a request entered at this daemon.
type Seen struct {
	Pool wick.PoolName
	Ref  wick.Ref
}

// apply implements Event.
func (e Seen) apply(s *state, now wick.Instant) {
	if p := s.placer(e.Pool); p != nil {
		p.Seen(now, e.Ref)
	}
}

// placer returns the placer of a pool; nil if its settings are out of range,
// which New would have refused.
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

// plan loads ahead of requests what the placers think worth it.
func (s *state) plan(now wick.Instant) {
	if now.Sub(s.planned) < planEvery {
		return
	}
	s.planned = now
	ends := make(map[wick.PoolName][]wick.PlaceEnd)
	for _, o := range s.owned {
		if o.acting && o.end.AdapterSlots > 0 {
			ends[o.end.Pool] = append(ends[o.end.Pool], wick.PlaceEnd{
				Endpoint: o.end.Name,
				Slots:    o.end.AdapterSlots,
				Held:     o.sched.Digest(now).Ready,
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
	for _, f := range list[:min(maxAhead, len(list))] {
		v, ok := s.conf.Table().Version(f.Ref)
		o := s.owned[f.Endpoint]
		if ok && o != nil {
			s.perform(now, o, o.sched.Prefetch(now, f.Ref, v.Source))
		}
	}
}
