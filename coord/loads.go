package coord

import (
	"cmp"
	"math"
	"slices"
	"time"

	"currantwick"
	"currantwick/slots"
)

const (
	// slotWaitLogAfter is how long an adapter waits for a slot before a warning
	// is logged, and slotWaitLogEvery the least time between warnings for one
	// endpoint.
	slotWaitLogAfter = 500 * time.Millisecond
	slotWaitLogEvery = time.Second
)

const (
	// maxLoadsPerUpdate bounds the loads in one update; the largest changes
	// come first. With loadsInterval and about 27 bytes a load it keeps the
	// updates of the four holders to one daemon within the 28 KB/s that control
	// traffic may use.
	maxLoadsPerUpdate = 26
	// manyLinks is the number of linked daemons at which small changes are no
	// longer sent. With fewer, every change is.
	manyLinks = 16
	// With at least manyLinks linked daemons, a load is sent when the relative
	// changes of its fields add up to 1. A change of the running requests
	// counts 1 if it reaches both 1/runningDivisor of them and
	// minRunningChange.
	runningDivisor   = 8
	minRunningChange = 2
	// minWaitingChange is the change of unprocessed prompt tokens that counts
	// 1: about 20 ms of an engine's time.
	minWaitingChange = 500
	// minPendingChange is the same for the adapters that requests wait for.
	minPendingChange = 2
	// minLagChange is the same for the lag that daemons observed.
	minLagChange = wick.Duration(100 * time.Millisecond)
)

// updateLoads passes the ledgers the number of requests of all daemons that use
// each adapter, and adds up the loads of the endpoints in this daemon's shards.
func (s *state) updateLoads(now wick.Instant) {
	for _, e := range s.sortedEndpoints {
		if !s.terms.Holds(e.shard) {
			continue
		}
		own := e.meter.Read(now).EndpointLoad
		sum := own
		sum.Running += e.linked.Running
		sum.Waiting += e.linked.Waiting
		if l := s.ledgers[e.info.Name]; l != nil {
			uses := e.meter.Uses()
			for w := range l.Placements {
				l.Use(now, w, uses[w]+e.uses[w])
			}
			sum.Free, sum.PendingAdapters = l.Free(now), l.PendingCount()
			s.logSlotWait(now, e, l)
		}
		e.health.Add(now, e.meter.TakeOutcomes())
		sum.Lag, sum.FailedShare = e.health.Read(now)
		if sum != e.total || own != e.ownReported {
			e.total, e.ownReported = sum, own
			s.invalidate(e)
		}
	}
	if now >= s.nextLoads {
		s.nextLoads = now.Add(loadsInterval)
		s.countLoading(now)
		s.queueLoads()
	}
}

// queueLoads selects the loads of endpoints in this daemon's shards that the next
// update contains.
func (s *state) queueLoads() {
	minChange := 1.0
	if len(s.linkedDaemons) < manyLinks {
		minChange = 0
	}
	type changed struct {
		endpoint *endpoint
		diff     float64
	}
	var list []changed
	for _, e := range s.sortedEndpoints {
		if !s.terms.Holds(e.shard) || e.total == e.sentLoad {
			continue
		}
		if diff := loadChange(e.sentLoad, e.total); diff >= minChange {
			list = append(list, changed{e, diff})
		}
	}
	slices.SortStableFunc(list, func(a, b changed) int { return cmp.Compare(b.diff, a.diff) })
	for _, c := range list[:min(len(list), maxLoadsPerUpdate)] {
		e := c.endpoint
		e.sentLoad = e.total
		s.out.loads = append(s.out.loads, wick.NamedLoad{Endpoint: e.info.Name, Load: e.total})
	}
}

// loadChange returns how much two loads differ. A result of 1 or more is large
// enough to affect the choice of an endpoint.
func loadChange(old, now wick.EndpointLoad) float64 {
	diff := math.Abs(float64(now.Running-old.Running)) / float64(max(now.Running/runningDivisor, minRunningChange))
	diff += math.Abs(float64(now.Waiting-old.Waiting)) / minWaitingChange
	diff += math.Abs(float64(now.PendingAdapters-old.PendingAdapters)) / minPendingChange
	diff += math.Abs(float64(now.Lag-old.Lag)) / float64(minLagChange)
	if (old.Free > 0) != (now.Free > 0) || old.FailedShare != now.FailedShare {
		diff++
	}
	return diff
}

// logSlotWait logs a warning when adapters wait long for a slot of an endpoint.
func (s *state) logSlotWait(now wick.Instant, e *endpoint, l *slots.Ledger) {
	c := l.Usage(now)
	if c.Oldest < slotWaitLogAfter || now.Sub(e.slotWaitLogged) < slotWaitLogEvery {
		return
	}
	e.slotWaitLogged = now
	s.log.Warn("adapters wait for slots", "endpoint", e.info.Name, "oldest_ms", c.Oldest.Milliseconds(), "wants", c.Requested, "slots", c.Slots,
		"in_use", c.InUse, "incoming", c.Incoming, "leaving", c.Unloading, "unsure", c.Unsure, "replaced", c.Replaced,
		"memory_mb", c.Memory, "memory_taken_mb", c.Taken, "synced", c.Synced, "busy", c.Busy, "running", e.total.Running)
}
