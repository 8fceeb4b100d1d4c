package evict

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"currantwick"
)

// use is one request of a trace.
type use struct {
	at      wick.Instant
	adapter int
}

// driftingTrace returns a trace of n requests at a rate of perSecond, with
// Zipf-distributed popularity of the adapters. Before each driftInterval-th
// request, one of the most popular tenth of the adapters swaps popularity with
// a random one.
func driftingTrace(seed uint64, n, adapters int, skew, perSecond float64, driftInterval int) []use {
	r := rand.New(rand.NewPCG(seed, 1))
	sums := make([]float64, adapters)
	sum := 0.0
	for i := range sums {
		sum += math.Pow(float64(i+1), -skew)
		sums[i] = sum
	}
	names := r.Perm(adapters)
	out := make([]use, n)
	now := 0.0
	for i := range out {
		now += r.ExpFloat64() / perSecond
		if i%driftInterval == 0 {
			a, b := r.IntN(adapters/10), r.IntN(adapters)
			names[a], names[b] = names[b], names[a]
		}
		x := r.Float64() * sum
		lo, hi := 0, adapters-1
		for lo < hi {
			if mid := (lo + hi) / 2; sums[mid] < x {
				lo = mid + 1
			} else {
				hi = mid
			}
		}
		out[i] = use{wick.Instant(now * float64(time.Second)), names[lo]}
	}
	return out
}

// countLoads counts the loads of a cache with the given number of slots under a
// policy.
func countLoads(policy wick.Evictor, trace []use, slots int) int {
	counters := map[int]*Counter{}
	clock := NewClock(wick.Slots(slots))
	var held []int
	var idle []wick.AdapterUsage
	in := map[int]bool{}
	loads := 0
	for _, u := range trace {
		c := counters[u.adapter]
		if c == nil {
			c = &Counter{}
			counters[u.adapter] = c
		}
		clock.Touch(c, u.at)
		if in[u.adapter] {
			continue
		}
		loads++
		in[u.adapter] = true
		if len(held) < slots {
			held = append(held, u.adapter)
			continue
		}
		idle = idle[:0]
		for _, a := range held {
			idle = append(idle, wick.AdapterUsage{Frequency: clock.Frequency(counters[a]), LastUsed: counters[a].Last()})
		}
		// With DeadlineUsed at 1, each miss loads the adapter.
		v := policy.Victim(u.at, wick.AdapterUsage{Frequency: clock.Frequency(c), LastUsed: u.at, DeadlineUsed: 1}, idle)
		delete(in, held[v])
		held[v] = u.adapter
	}
	return loads
}

// optimalLoads counts the loads of Belady's optimal cache, which knows the
// whole trace.
func optimalLoads(trace []use, slots int) int {
	next := make([]int, len(trace))
	seen := map[int]int{}
	for i := len(trace) - 1; i >= 0; i-- {
		next[i] = len(trace)
		if j, ok := seen[trace[i].adapter]; ok {
			next[i] = j
		}
		seen[trace[i].adapter] = i
	}
	until := map[int]int{}
	loads := 0
	for i, u := range trace {
		if _, ok := until[u.adapter]; !ok {
			loads++
			if len(until) == slots {
				worst, far := -1, -1
				for a, n := range until {
					if n > far {
						worst, far = a, n
					}
				}
				delete(until, worst)
			}
		}
		until[u.adapter] = next[i]
	}
	return loads
}

func TestLoadsComparedWithOptimal(t *testing.T) {
	tests := []struct {
		skew  float64
		slots int
		// atMost bounds the loads under Frequency as a share of those under
		// LRU.
		atMost float64
	}{
		{0.8, 96, 0.9},
		{1.0, 96, 0.9},
		{1.0, 192, 0.9},
		{1.2, 96, 0.9},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("skew=%v/slots=%d", tt.skew, tt.slots), func(t *testing.T) {
			trace := driftingTrace(1, 24000, 3000, tt.skew, 40, 50)
			best := float64(optimalLoads(trace, tt.slots))
			lru := float64(countLoads(LRU{}, trace, tt.slots))
			frequency := float64(countLoads(Frequency{}, trace, tt.slots))
			t.Logf("loads per request: optimal %.3f; LRU %.2f times, Frequency %.2f times that; Frequency/LRU %.2f",
				best/float64(len(trace)), lru/best, frequency/best, frequency/lru)
			if frequency > tt.atMost*lru {
				t.Errorf("Frequency loads %.2f times as often as LRU", frequency/lru)
			}
		})
	}
}
