package coord

import (
	"maps"
	"time"

	"currantwick"
	"currantwick/choose"
)

// copiesInterval is how often copies of busy adapters are planned. It is shorter than
// the time of a load, since a rising demand fills an engine within a few of them.
const copiesInterval = 100 * time.Millisecond

// planCopies asks the ledgers of this daemon's shards for copies of busy adapters.
func (s *state) planCopies(now wick.Instant) {
	if now < s.nextCopies || !s.terms.HoldsAny() {
		return
	}
	s.nextCopies = now.Add(copiesInterval)
	byPool := make(map[wick.PoolName][]choose.CopyEngine)
	for _, e := range s.sortedEndpoints {
		l := s.ledgers[e.info.Name]
		if l == nil || !e.takesRequests() || !s.mayOrder(e.shard) || s.cfg.Pauses.Until(now, e.start()) > 0 {
			continue
		}
		byPool[e.info.Pool] = append(byPool[e.info.Pool], choose.CopyEngine{
			Name:    e.info.Name,
			Slots:   e.info.Slots,
			Running: e.total.Running,
			Uses:    s.allUses(e),
			Free:    l.Free(now),
			Holds:   func(w wick.Weights) bool { return holds(e, w) },
			Cached:  func(w wick.Weights) bool { return e.cached[w] },
		})
	}
	for _, list := range byPool {
		for _, c := range choose.PlanCopies(list) {
			l := s.ledgers[c.Endpoint]
			l.RequestAdapter(now, c.Weights, s.facts.Newest()[c.Weights].Number)
			s.log.Info("copy of a busy adapter requested", "endpoint", c.Endpoint, "weights", c.Weights.String())
			s.cfg.Observer.CopyRequested()
		}
	}
}

func holds(e *endpoint, w wick.Weights) bool {
	_, ok := e.adapters[w]
	return ok
}

// allUses returns how many requests of all daemons use each adapter of an endpoint in
// this daemon's shards.
func (s *state) allUses(e *endpoint) map[wick.Weights]int {
	own := e.meter.Uses()
	uses := make(map[wick.Weights]int, len(own)+len(e.uses))
	maps.Copy(uses, own)
	for w, n := range e.uses {
		uses[w] += n
	}
	return uses
}
