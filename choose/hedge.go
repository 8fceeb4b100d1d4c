package choose

import (
	"time"

	"currantwick"
)

// maxHedgeUse is the fraction of a pool's slots in use above which there are no
// hedges. A quarter stays free since daemons see the load of others up to 400 ms late,
// and would fill the endpoints with hedges together.
const maxHedgeUse = 0.75

// PickHedge returns the index of the candidate for a second attempt beside one that is
// running, and its estimate, or why there must be none. The candidate of the running
// attempt must be marked as Avoid. engine is set for a pool of engines. PickHedge marks
// more candidates as Avoid.
func PickHedge(in Input, list []Candidate, engine bool) (int, time.Duration, wick.HedgeDenial) {
	ready, free := 0, 0
	for i := range list {
		c := &list[i]
		c.Avoid = c.Avoid || !c.HasAdapter || c.ReadyIn > 0
		if c.Avoid {
			continue
		}
		ready++
		if c.Running < slotsOf(c) {
			free++
		} else {
			c.Avoid = true
		}
	}
	switch {
	case ready == 0:
		return -1, 0, wick.HedgeEndpoint
	case free == 0 || slotUse(list) > maxHedgeUse:
		return -1, 0, wick.HedgeRoom
	}
	if engine {
		i, estimate := PickEngine(in, list)
		return i, estimate, ""
	}
	return PickService(in, list), 0, ""
}

// slotUse returns the fraction of slots in use. What queues at an endpoint beyond its
// slots is left out, so that one slow endpoint does not make a pool look full.
func slotUse(list []Candidate) float64 {
	used, all := 0, 0
	for i := range list {
		n := slotsOf(&list[i])
		used += min(list[i].Running, n)
		all += n
	}
	return float64(used) / float64(max(all, 1))
}

func slotsOf(c *Candidate) int { return max(int(c.Slots), 1) }
