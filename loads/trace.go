package loads

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"currantwick"
)

// Arrival is a request of a trace.
type Arrival struct {
	// At is the due time of the request since the start of the run.
	At    time.Duration
	Phase int
	Kind  int
	// Adapter is the number of the adapter, from 0.
	Adapter int
	Prompt  wick.Tokens
	Answer  wick.Tokens
}

// Trace generates the requests of a scene in the order of their due times. It is
// deterministic for a seed.
func Trace(s Scene, seed uint64) []Arrival {
	var out []Arrival
	for i := range s.Kinds {
		out = append(out, arrivals(s, i, rand.New(rand.NewPCG(seed, uint64(i)+1)))...)
	}
	slices.SortFunc(out, func(a, b Arrival) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Kind, b.Kind))
	})
	assignAdapters(s, out, rand.New(rand.NewPCG(seed, 0)))
	return out
}

// arrivals generates the requests of one kind as a Poisson process, with random
// lengths and without adapters.
func arrivals(s Scene, kind int, r *rand.Rand) []Arrival {
	k := s.Kinds[kind]
	var out []Arrival
	var start time.Duration
	for i, p := range s.Phases {
		rate := float64(k.Rate)
		if p.Rate > 0 {
			rate *= p.Rate
		}
		at := start
		start += p.For.Std()
		for {
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at >= start {
				break
			}
			out = append(out, Arrival{
				At: at, Phase: i, Kind: kind,
				Prompt: drawLength(r, k.Prompt), Answer: drawLength(r, k.Answer),
			})
		}
	}
	return out
}

// drawLength draws a length uniformly from 0.5 to 1.5 times n.
func drawLength(r *rand.Rand, n wick.Tokens) wick.Tokens {
	if n < 2 {
		return n
	}
	return n/2 + wick.Tokens(r.IntN(int(n)+1))
}

// assignAdapters assigns a random adapter to each request, by a popularity that
// drifts and is shuffled as the scene prescribes.
func assignAdapters(s Scene, trace []Arrival, r *rand.Rand) {
	pop := newPopularity(s, r)
	drift := s.Drift.Std()
	phase := 0
	for i := range trace {
		a := &trace[i]
		for ; phase < a.Phase; phase++ {
			pop.shuffle(s.Phases[phase+1].Shuffle)
		}
		for drift > 0 && a.At >= drift {
			pop.drift()
			drift += s.Drift.Std()
		}
		a.Adapter = pop.draw(s.Kinds[a.Kind].Adapters)
	}
}

// popularity draws adapters from a Zipf distribution.
type popularity struct {
	r *rand.Rand
	// cumulative holds the cumulative weights of the ranks.
	cumulative []float64
	// ranked holds the adapter of each rank.
	ranked []int
}

func newPopularity(s Scene, r *rand.Rand) *popularity {
	p := &popularity{r: r, cumulative: make([]float64, s.Adapters), ranked: r.Perm(s.Adapters)}
	sum := 0.0
	for i := range p.cumulative {
		sum += math.Pow(float64(i+1), -s.Skew)
		p.cumulative[i] = sum
	}
	return p
}

// draw returns a random adapter. If limit is not 0, it returns one numbered below
// limit, by a popularity that falls with the number and never changes.
func (p *popularity) draw(limit int) int {
	n := len(p.cumulative)
	if limit > 0 {
		n = limit
	}
	rank := sort.SearchFloat64s(p.cumulative[:n], p.r.Float64()*p.cumulative[n-1])
	rank = min(rank, n-1)
	if limit > 0 {
		return rank
	}
	return p.ranked[rank]
}

// drift swaps one of the most popular tenth with a random adapter.
func (p *popularity) drift() { p.swap(p.r.IntN(max(1, len(p.ranked)/10))) }

// shuffle swaps each of the n most popular adapters with a random one.
func (p *popularity) shuffle(n int) {
	for rank := range n {
		p.swap(rank)
	}
}

func (p *popularity) swap(rank int) {
	other := p.r.IntN(len(p.ranked))
	p.ranked[rank], p.ranked[other] = p.ranked[other], p.ranked[rank]
}

// Clairvoyant returns the number of loads that a cache with the given slots needs
// for a sequence of adapter uses if it knows the whole sequence beforehand
// (Belady's algorithm). Loads for uses before index first are not counted.
func Clairvoyant(uses []int, slots, first int) int {
	next := make([]int, len(uses))
	seen := map[int]int{}
	for i := len(uses) - 1; i >= 0; i-- {
		next[i] = len(uses)
		if j, ok := seen[uses[i]]; ok {
			next[i] = j
		}
		seen[uses[i]] = i
	}
	held := map[int]int{}
	loads := 0
	for i, u := range uses {
		if _, ok := held[u]; !ok {
			if i >= first {
				loads++
			}
			if len(held) >= slots {
				delete(held, furthestNextUse(held))
			}
		}
		held[u] = next[i]
	}
	return loads
}

// furthestNextUse returns the adapter whose next use is furthest in the future,
// and of several the one with the lowest number.
func furthestNextUse(held map[int]int) int {
	best, at := -1, -1
	for a, n := range held {
		if n > at || n == at && a < best {
			best, at = a, n
		}
	}
	return best
}
