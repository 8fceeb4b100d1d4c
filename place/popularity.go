package place

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantwick"
)

const (
	// minRecentRequests is the value of the short-term count from which the
	// recent rate is considered, as a rise in popularity.
	minRecentRequests = 2.0
	// ceasedOdds is the odds, right after a request for an adapter, that no
	// more requests follow. They grow by a factor of e with each request that
	// was expected since then and did not arrive.
	ceasedOdds = 0.01
	// maxMissed bounds the expected requests that are counted as missed.
	maxMissed = 50.0
	// keepShare is the share of a full set of counts that is kept when the
	// least requested adapters are evicted.
	keepShare = 0.75
)

// Popularity estimates the request rate of each adapter from counts that decay
// exponentially. Its memory is bounded: when it is full, the adapters with the
// lowest rates are evicted.
type Popularity struct {
	// longHalfLife is the half-life of the count for the lasting popularity,
	// shortHalfLife that of the count that detects a rise.
	longHalfLife, shortHalfLife time.Duration
	maxAdapters                 int
	// index maps the hash of an adapter version to its entry in counts.
	// Colliding versions share a count, which costs at most one extra load.
	index  map[uint64]int32
	counts []requestCount
}

// requestCount holds the decayed request counts of one adapter.
type requestCount struct {
	ref wick.Ref
	// long and short are the counts as of at, decayed with the long and the
	// short half-life.
	long, short float64
	at          wick.Instant
}

// NewPopularity returns an empty estimator for at most maxAdapters adapters
// with the given half-lives. All arguments must be positive.
func NewPopularity(longHalfLife, shortHalfLife time.Duration, maxAdapters int) *Popularity {
	return &Popularity{longHalfLife: longHalfLife, shortHalfLife: shortHalfLife, maxAdapters: maxAdapters, index: make(map[uint64]int32)}
}

func hash(ref wick.Ref) uint64 {
	const odd = 0x9e3779b97f4a7c15
	return xxhash.Sum64String(string(ref.Adapter))*odd ^ xxhash.Sum64String(string(ref.Version))
}

// RecordRequest counts a request.
func (h *Popularity) RecordRequest(now wick.Instant, ref wick.Ref) {
	key := hash(ref)
	i, ok := h.index[key]
	if !ok {
		if len(h.counts) >= h.maxAdapters {
			h.evict(now)
		}
		i = int32(len(h.counts))
		h.index[key] = i
		h.counts = append(h.counts, requestCount{ref: ref, at: now})
	}
	c := &h.counts[i]
	c.long, c.short = h.decayed(now, c)
	c.long++
	c.short++
	c.at = max(c.at, now)
}

// decayed returns the counts as of now.
func (h *Popularity) decayed(now wick.Instant, c *requestCount) (long, short float64) {
	age := max(now.Sub(c.at), 0).Seconds()
	return c.long * math.Exp2(-age/h.longHalfLife.Seconds()), c.short * math.Exp2(-age/h.shortHalfLife.Seconds())
}

// rate returns the requests per second estimated from a count. The recent
// rate applies if it has risen, and the estimate falls when the next request is
// overdue.
func (h *Popularity) rate(now wick.Instant, c *requestCount) float64 {
	long, short := h.decayed(now, c)
	rate := long * math.Ln2 / h.longHalfLife.Seconds()
	missed := c.long * math.Ln2 / h.longHalfLife.Seconds() * max(now.Sub(c.at), 0).Seconds()
	rate /= 1 + ceasedOdds*math.Exp(min(missed, maxMissed))
	if short >= minRecentRequests {
		rate = max(rate, (short-1)*math.Ln2/h.shortHalfLife.Seconds())
	}
	return rate
}

// RequestRate returns the request rate of an adapter, in requests per second.
func (h *Popularity) RequestRate(now wick.Instant, ref wick.Ref) float64 {
	i, ok := h.index[hash(ref)]
	if !ok {
		return 0
	}
	return h.rate(now, &h.counts[i])
}

// TotalRate returns the sum of the request rates of all adapters, in requests
// per second.
func (h *Popularity) TotalRate(now wick.Instant) float64 {
	sum := 0.0
	for i := range h.counts {
		sum += h.rate(now, &h.counts[i])
	}
	return sum
}

// Len returns the number of adapters counted.
func (h *Popularity) Len() int { return len(h.counts) }

// evict drops the adapters with the lowest request rates.
func (h *Popularity) evict(now wick.Instant) {
	slices.SortFunc(h.counts, func(a, b requestCount) int {
		x, y := h.rate(now, &a), h.rate(now, &b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	keep := int(float64(h.maxAdapters) * keepShare)
	clear(h.counts[keep:])
	h.counts = h.counts[:keep]
	clear(h.index)
	for i := range h.counts {
		h.index[hash(h.counts[i].ref)] = int32(i)
	}
}
