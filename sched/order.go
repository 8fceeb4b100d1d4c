package sched

import "currantwick"

// FIFO runs requests in order of arrival. It is the baseline.
type FIFO struct{}

// Next implements wick.Orderer.
func (FIFO) Next(_ wick.Batch, runnable []*wick.Queued) int {
	if len(runnable) == 0 {
		return -1
	}
	return 0
}

// Shortest runs the highest level first and the cheapest request within a
// level. A request's cost counts for less the longer it waits, and for nothing
// once half its time to the first token is used up, so that no request of a
// level is passed over for ever. Long requests fill what short ones leave.
type Shortest struct {
	// LongShare is the share of the batch that long requests may take while
	// short ones wait; 0 to 1. At least one long request may always run.
	LongShare float64
	// Reserve is the share of the batch that long requests leave free for
	// short ones that are yet to come; 0 to 1.
	Reserve float64
}

// Defaults of a zero Shortest, and the weights of what makes a request cheap.
const (
	defaultLongShare = 0.5
	defaultReserve   = 0.125
	// aged is the share of the time to the first token after which cost no
	// longer counts.
	aged = 0.5
	// groupedWeight and warmWeight prefer requests whose adapter serves in the
	// batch, and whose prompt begins like one that the engine ran lately.
	groupedWeight = 0.9
	warmWeight    = 0.8
)

// Next implements wick.Orderer.
func (o Shortest) Next(b wick.Batch, runnable []*wick.Queued) int {
	long := b.Long < o.longSlots(b)
	best, bestScore := -1, 0.0
	for i, q := range runnable {
		if q.Long && !long {
			continue
		}
		if best >= 0 && q.Level < runnable[best].Level {
			continue
		}
		s := score(b.Now, q)
		if best < 0 || q.Level > runnable[best].Level || s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// longSlots returns how many long requests the batch may hold now.
func (o Shortest) longSlots(b wick.Batch) wick.Slots {
	share := 1 - orDefault(o.Reserve, defaultReserve)
	if b.ShortWaiting > 0 {
		share = min(share, orDefault(o.LongShare, defaultLongShare))
	}
	return max(1, wick.Slots(share*float64(b.Slots)))
}

// score is the cost that is left after the time already waited; lower runs
// first.
func score(now wick.Instant, q *wick.Queued) float64 {
	patience := aged * float64(q.Due.Sub(q.Arrived))
	s := float64(q.Cost) * max(0, 1-float64(now.Sub(q.Arrived))/max(1, patience))
	if q.Grouped {
		s *= groupedWeight
	}
	if q.Warm {
		s *= warmWeight
	}
	return s
}

func orDefault(v, def float64) float64 {
	if v > 0 {
		return v
	}
	return def
}
