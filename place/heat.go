package place

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantwick"
)

const (
	// leastRise is the number of requests within a few half-lives of a rise
	// from which they count as one.
	leastRise = 2.0
	// gone is the odds, for an adapter that was just used, that its requests
	// have ceased since. They grow by a factor of e with each request that
	// should have come by now and has not.
	gone = 0.01
	// mostMissed bounds the requests that are taken as missed.
	mostMissed = 50.0
	// keepPart is the part of a full set of counts that is kept when the
	// coldest are forgotten.
	keepPart = 0.75
)

// Heats counts the requests of adapters, each fading with age. Its memory is
// bounded: when it is full, the coldest adapters are forgotten.
type Heats struct {
	// life and rise are half-lives: one tells what is popular, the other what
	// is becoming so.
	life, rise time.Duration
	most       int
	// index finds an adapter's count by the hash of its name. Two that collide
	// share their count, which costs no more than a load.
	index map[uint64]int32
	list  []heat
}

// heat is the count of one adapter.
type heat struct {
	ref wick.Ref
	// slow and fast are faded counts as of at.
	slow, fast float64
	at         wick.Instant
}

// NewHeats returns counts of at most so many adapters with the given
// half-lives, all positive.
func NewHeats(life, rise time.Duration, most int) *Heats {
	return &Heats{life: life, rise: rise, most: most, index: make(map[uint64]int32)}
}

func hash(ref wick.Ref) uint64 {
	const odd = 0x9e3779b97f4a7c15
	return xxhash.Sum64String(string(ref.Adapter))*odd ^ xxhash.Sum64String(string(ref.Version))
}

// Seen notes a request.
func (h *Heats) Seen(now wick.Instant, ref wick.Ref) {
	key := hash(ref)
	i, ok := h.index[key]
	if !ok {
		if len(h.list) >= h.most {
			h.forget(now)
		}
		i = int32(len(h.list))
		h.index[key] = i
		h.list = append(h.list, heat{ref: ref, at: now})
	}
	c := &h.list[i]
	c.slow, c.fast = h.faded(now, c)
	c.slow++
	c.fast++
	c.at = max(c.at, now)
}

// faded returns the counts as of now.
func (h *Heats) faded(now wick.Instant, c *heat) (slow, fast float64) {
	age := max(now.Sub(c.at), 0).Seconds()
	return c.slow * math.Exp2(-age/h.life.Seconds()), c.fast * math.Exp2(-age/h.rise.Seconds())
}

// rate returns the requests a second that a count stands for. What has risen
// lately counts as its recent rate, and what is overdue for less.
func (h *Heats) rate(now wick.Instant, c *heat) float64 {
	slow, fast := h.faded(now, c)
	rate := slow * math.Ln2 / h.life.Seconds()
	missed := c.slow * math.Ln2 / h.life.Seconds() * max(now.Sub(c.at), 0).Seconds()
	rate /= 1 + gone*math.Exp(min(missed, mostMissed))
	if fast >= leastRise {
		rate = max(rate, (fast-1)*math.Ln2/h.rise.Seconds())
	}
	return rate
}

// Heat returns the rate of requests for an adapter, in requests a second.
func (h *Heats) Heat(now wick.Instant, ref wick.Ref) float64 {
	i, ok := h.index[hash(ref)]
	if !ok {
		return 0
	}
	return h.rate(now, &h.list[i])
}

// Total returns the rate of all requests, as the sum of that of each adapter.
func (h *Heats) Total(now wick.Instant) float64 {
	sum := 0.0
	for i := range h.list {
		sum += h.rate(now, &h.list[i])
	}
	return sum
}

// Len returns how many adapters are counted.
func (h *Heats) Len() int { return len(h.list) }

// forget drops the coldest adapters.
func (h *Heats) forget(now wick.Instant) {
	slices.SortFunc(h.list, func(a, b heat) int {
		x, y := h.rate(now, &a), h.rate(now, &b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	keep := int(float64(h.most) * keepPart)
	clear(h.list[keep:])
	h.list = h.list[:keep]
	clear(h.index)
	for i := range h.list {
		h.index[hash(h.list[i].ref)] = int32(i)
	}
}
