package sched

import (
	"math"

	"currantwick"
)

// FIFO runs requests in order of arrival. It is the baseline policy.
type FIFO struct{}

// Next implements wick.Orderer.
func (FIFO) Next(_ wick.Batch, runnable []*wick.QueuedRequest) int {
	if len(runnable) == 0 {
		return -1
	}
	return 0
}

// Shortest runs the highest level first and the cheapest request within a
// level. A request's cost is discounted the longer it waits, down to 0 once
// half its time to the first token has passed, so that no request starves
// within its level.
//
// Long requests use the slots that short ones leave: part of the batch is kept
// free for the average number of short requests, plus a margin for bursts. As a
// long request waits, this part shrinks linearly; once half its time to the
// first token has passed, only Reserve is kept free.
type Shortest struct {
	// LongShare is the share of the batch that long requests may always use;
	// 0 to 1, 0 meaning a quarter. At least one long request may always run.
	LongShare float64
	// Reserve is the share of the batch that is always kept free of long
	// requests, unless LongShare leaves less; 0 to 1, 0 meaning an eighth.
	Reserve float64
}

// Defaults of a zero Shortest, and the constants of the score.
const (
	defaultLongShare = 0.25
	defaultReserve   = 0.125
	// burstDeviations is the margin for bursts, in standard deviations of the
	// number of short requests. The number is taken as Poisson-distributed, so
	// its deviation is the square root of its average.
	burstDeviations = 2
	// agingShare is the share of the time to the first token after which a
	// request's cost no longer counts.
	agingShare = 0.5
	// groupedWeight and warmWeight favor requests whose adapter is already
	// serving in the batch, and requests whose prompt prefix the engine ran
	// recently.
	groupedWeight = 0.9
	warmWeight    = 0.8
)

// Next implements wick.Orderer.
func (o Shortest) Next(b wick.Batch, runnable []*wick.QueuedRequest) int {
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

// longMayRun reports whether the batch may take one more long request; false if
// no runnable request is long.
func (o Shortest) longMayRun(b wick.Batch, runnable []*wick.QueuedRequest) bool {
	longAging := -1.0
	for _, q := range runnable {
		if q.Long {
			longAging = max(longAging, min(1, aging(b.Now, q)))
		}
	}
	if longAging < 0 {
		return false
	}
	slots := float64(b.Slots)
	reserved := orDefault(o.Reserve, defaultReserve) * slots
	freeForShort := max(reserved, b.ShortMean+burstDeviations*math.Sqrt(b.ShortMean))
	keepFree := freeForShort + longAging*(reserved-freeForShort)
	maxLong := max(1, slots-keepFree, orDefault(o.LongShare, defaultLongShare)*slots)
	return b.Long+1 <= wick.Slots(maxLong)
}

// aging returns the time a request has waited as a fraction of its aging
// period; it may exceed 1.
func aging(now wick.Instant, q *wick.QueuedRequest) float64 {
	return float64(now.Sub(q.Arrived)) / max(1, agingShare*float64(q.Due.Sub(q.Arrived)))
}

// score returns the cost of a request, discounted by the time it has waited;
// the lowest runs first.
func score(now wick.Instant, q *wick.QueuedRequest) float64 {
	s := float64(q.Cost) * max(0, 1-aging(now, q))
	if q.AdapterInBatch {
		s *= groupedWeight
	}
	if q.PrefixCached {
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
