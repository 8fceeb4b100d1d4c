package place

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"currantwick"
)

// trace is a sequence of requests for adapters of drifting popularity.
type trace struct {
	refs []int32
	// moves holds, for each request, the two ranks that are swapped before it;
	// first holds the initial adapters by rank.
	moves [][2]int
	first []int
	gap   time.Duration // between requests
}

// newTrace draws requests for adapters from a Zipf distribution. Every drift
// requests, one of the 300 most popular adapters swaps ranks with a random one.
func newTrace(seed uint64, requests, adapters, drift int, zipf float64) trace {
	r := rand.New(rand.NewPCG(seed, 7))
	sums := make([]float64, adapters)
	sum := 0.0
	for i := range sums {
		sum += 1 / math.Pow(float64(i+1), zipf)
		sums[i] = sum
	}
	rank := r.Perm(adapters)
	tr := trace{gap: 100 * time.Millisecond, first: slices.Clone(rank)}
	for i := range requests {
		var move [2]int
		if i%drift == 0 {
			move = [2]int{r.IntN(300), r.IntN(adapters)}
		}
		rank[move[0]], rank[move[1]] = rank[move[1]], rank[move[0]]
		tr.moves = append(tr.moves, move)
		k := sort.SearchFloat64s(sums, r.Float64()*sum)
		tr.refs = append(tr.refs, int32(rank[k]))
	}
	return tr
}

// byNext orders adapters by their next use, latest first.
type byNext []struct {
	ref  int32
	next int
}

func (h byNext) Len() int           { return len(h) }
func (h byNext) Less(i, j int) bool { return h[i].next > h[j].next }
func (h byNext) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *byNext) Push(x any) {
	*h = append(*h, x.(struct {
		ref  int32
		next int
	}))
}

func (h *byNext) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// clairvoyant returns the loads of an optimal cache, which knows all requests
// and evicts the adapter with the latest next use.
func (tr trace) clairvoyant(slots int) int {
	next := make([]int, len(tr.refs))
	last := map[int32]int{}
	for i := len(tr.refs) - 1; i >= 0; i-- {
		next[i] = len(tr.refs) + i
		if j, ok := last[tr.refs[i]]; ok {
			next[i] = j
		}
		last[tr.refs[i]] = i
	}
	held := map[int32]int{} // next use by adapter
	var order byNext
	loads := 0
	for i, ref := range tr.refs {
		if _, ok := held[ref]; !ok {
			loads++
			for len(held) >= slots {
				x := heap.Pop(&order).(struct {
					ref  int32
					next int
				})
				if at, ok := held[x.ref]; ok && at == x.next {
					delete(held, x.ref)
				}
			}
		}
		held[ref] = next[i]
		heap.Push(&order, struct {
			ref  int32
			next int
		}{ref, next[i]})
	}
	return loads
}

// lru returns the loads of a cache that evicts the least recently used adapter.
func (tr trace) lru(slots int) int {
	used := map[int32]int{}
	loads := 0
	for i, ref := range tr.refs {
		if _, ok := used[ref]; !ok {
			loads++
			if len(used) >= slots {
				delete(used, lowestScore(used, func(r int32) float64 { return float64(used[r]) }))
			}
		}
		used[ref] = i
	}
	return loads
}

// oracle returns the loads of a cache that knows the current popularity rank
// of each adapter, but not the future requests, and evicts the least popular.
func (tr trace) oracle(slots int) int {
	rank := slices.Clone(tr.first)
	rankOf := make([]int, len(rank))
	for p, ref := range rank {
		rankOf[ref] = p
	}
	held := map[int32]int{}
	loads := 0
	for i, ref := range tr.refs {
		a, b := tr.moves[i][0], tr.moves[i][1]
		rank[a], rank[b] = rank[b], rank[a]
		rankOf[rank[a]], rankOf[rank[b]] = a, b
		if _, ok := held[ref]; ok {
			continue
		}
		loads++
		if len(held) >= slots {
			delete(held, lowestScore(held, func(r int32) float64 { return -float64(rankOf[r]) }))
		}
		held[ref] = i
	}
	return loads
}

// byRate returns the loads of a cache that evicts the adapter with the lowest
// estimated request rate.
func (tr trace) byRate(slots int, h *Popularity) int {
	held := map[int32]int{}
	loads := 0
	for i, ref := range tr.refs {
		now := wick.Instant(time.Duration(i) * tr.gap)
		h.RecordRequest(now, refOf(ref))
		if _, ok := held[ref]; ok {
			continue
		}
		loads++
		if len(held) >= slots {
			delete(held, lowestScore(held, func(r int32) float64 { return h.RequestRate(now, refOf(r)) }))
		}
		held[ref] = i
	}
	return loads
}

func lowestScore(held map[int32]int, score func(int32) float64) int32 {
	best, low := int32(-1), math.Inf(1)
	for r := range held {
		if s := score(r); s < low || s == low && r < best {
			best, low = r, s
		}
	}
	return best
}

func refOf(i int32) wick.Ref {
	return wick.Ref{Adapter: wick.AdapterName(fmt.Sprint("a", i)), Version: "v1"}
}

// Compares the loads per request with those of a clairvoyant cache, of a cache
// that knows the current popularity, and of LRU. The limits detect regressions
// of the measured results. A cache that learns the popularity from the requests
// can't reach the targets, 1.25 times the clairvoyant cache and 0.75 of LRU.
func TestLoadsPerRequest(t *testing.T) {
	tests := []struct {
		slots       int
		zipf        float64
		ofBest      float64
		ofLRU       float64
		oracleLimit float64
	}{
		{96, 0.8, 1.24, 0.86, 1.18},
		{96, 1.0, 1.26, 0.83, 1.18},
		{96, 1.2, 1.32, 0.82, 1.19},
		{144, 0.8, 1.29, 0.85, 1.22},
		{144, 1.0, 1.31, 0.84, 1.20},
		{144, 1.2, 1.37, 0.84, 1.21},
	}
	for _, tt := range tests {
		tr := newTrace(1, 24000, 3000, 50, tt.zipf)
		best, lru, oracle := tr.clairvoyant(tt.slots), tr.lru(tt.slots), tr.oracle(tt.slots)
		got := tr.byRate(tt.slots, NewPopularity(defaultHalfLife, defaultRecentHalfLife, defaultMaxAdapters))
		ofBest, ofLRU := float64(got)/float64(best), float64(got)/float64(lru)
		ofOracle := float64(oracle) / float64(best)
		t.Logf("%d slots, Zipf %.1f: %.3f loads per request, %.2f of clairvoyant, %.2f of LRU; popularity known %.2f, LRU %.2f of clairvoyant",
			tt.slots, tt.zipf, float64(got)/float64(len(tr.refs)), ofBest, ofLRU, ofOracle, float64(lru)/float64(best))
		if ofBest > tt.ofBest || ofLRU > tt.ofLRU || ofOracle > tt.oracleLimit {
			t.Errorf("%d slots, Zipf %.1f: %.3f of clairvoyant, %.3f of LRU, known %.3f", tt.slots, tt.zipf, ofBest, ofLRU, ofOracle)
		}
	}
}
