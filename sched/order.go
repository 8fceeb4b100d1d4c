package sched

import (
	"math"

	"currantwick"
)

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
// level is passed over for ever.
//
// Long requests fill what short ones leave: part of the batch is kept free for
// the short ones that are usually there, and some more for a burst of them. A
// long request that waits gets into that part bit by bit, until at half its
// time to the first token only Reserve is left.
type Shortest struct {
	// LongShare is the share of the batch that long requests may always take;
	// 0 to 1, 0 meaning a quarter. At least one long request may always run.
	LongShare float64
	// Reserve is the share of the batch that is always kept free of long
	// requests, unless LongShare is more; 0 to 1, 0 meaning an eighth.
	Reserve float64
}

// Defaults of a zero Shortest, and the weights of what makes a request cheap.
const (
	defaultLongShare = 0.25
	defaultReserve   = 0.125
	// burst is how many standard deviations above the average number of short
	// requests the batch has room for.
	burst = 2
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
	long := o.longMayRun(b, runnable)
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

// longMayRun reports whether the batch may take one more long request.
func (o Shortest) longMayRun(b wick.Batch, runnable []*wick.Queued) bool {
	pressed := -1.0
	for _, q := range runnable {
		if q.Long {
			pressed = max(pressed, min(1, patience(b.Now, q)))
		}
	}
	if pressed < 0 {
		return false
	}
	slots := float64(b.Slots)
	least := orDefault(o.Reserve, defaultReserve) * slots
	usual := max(least, b.ShortMean+burst*math.Sqrt(b.ShortMean))
	kept := usual + pressed*(least-usual)
	most := max(1, slots-kept, orDefault(o.LongShare, defaultLongShare)*slots)
	return b.Long+1 <= wick.Slots(most)
}

// patience returns how much of the patience of a request is used up; 1 and more
// if all of it is.
func patience(now wick.Instant, q *wick.Queued) float64 {
	return float64(now.Sub(q.Arrived)) / max(1, aged*float64(q.Due.Sub(q.Arrived)))
}

// score is the cost that is left after the time already waited; lower runs
// first.
func score(now wick.Instant, q *wick.Queued) float64 {
	s := float64(q.Cost) * max(0, 1-patience(now, q))
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
