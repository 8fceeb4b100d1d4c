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

// Arrival is one request of a trace.
type Arrival struct {
	// At is when the request is due to be sent, after the start.
	At    time.Duration
	Phase int
	Kind  int
	// Adapter is the number of the adapter, from 0.
	Adapter int
	Prompt  wick.Tokens
	Answer  wick.Tokens
}

// Trace draws the requests of a scene. The same seed gives the same trace.
func Trace(s Scene, seed uint64) []Arrival {
	var out []Arrival
	for i := range s.Kinds {
		out = append(out, arrivals(s, i, rand.New(rand.NewPCG(seed, uint64(i)+1)))...)
	}
	slices.SortFunc(out, func(a, b Arrival) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Kind, b.Kind))
	})
	name(s, out, rand.New(rand.NewPCG(seed, 0)))
	return out
}

// arrivals draws the times and lengths of one kind as a Poisson process.
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
				Prompt: around(r, k.Prompt), Answer: around(r, k.Answer),
			})
		}
	}
	return out
}

// around draws a length from half to one and a half times the average.
func around(r *rand.Rand, n wick.Tokens) wick.Tokens {
	if n < 2 {
		return n
	}
	return n/2 + wick.Tokens(r.IntN(int(n)+1))
}

// name draws the adapter of each request, by a popularity that drifts and is
// shuffled as the phases say.
func name(s Scene, trace []Arrival, r *rand.Rand) {
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

// popularity draws adapters by Zipf's law.
type popularity struct {
	r *rand.Rand
	// sums holds the running sum of the weights of the ranks.
	sums []float64
	// ranked holds the adapter of each rank.
	ranked []int
}

func newPopularity(s Scene, r *rand.Rand) *popularity {
	p := &popularity{r: r, sums: make([]float64, s.Adapters), ranked: r.Perm(s.Adapters)}
	sum := 0.0
	for i := range p.sums {
		sum += math.Pow(float64(i+1), -s.Skew)
		p.sums[i] = sum
	}
	return p
}

// draw returns an adapter, one of the first so many if limit is not 0.
func (p *popularity) draw(limit int) int {
	n := len(p.sums)
	if limit > 0 {
		n = limit
	}
	rank := sort.SearchFloat64s(p.sums[:n], p.r.Float64()*p.sums[n-1])
	rank = min(rank, n-1)
	if limit > 0 {
		return rank
	}
	return p.ranked[rank]
}

// drift lets one of the most popular tenth change places with any other.
func (p *popularity) drift() { p.swap(p.r.IntN(max(1, len(p.ranked)/10))) }

// shuffle lets the most popular n change places with any others.
func (p *popularity) shuffle(n int) {
	for rank := range n {
		p.swap(rank)
	}
}

func (p *popularity) swap(rank int) {
	other := p.r.IntN(len(p.ranked))
	p.ranked[rank], p.ranked[other] = p.ranked[other], p.ranked[rank]
}

// Clairvoyant counts the loads that one cache of so many slots needs for the
// uses of adapters in order if it knows them all beforehand, from the one
// numbered first on.
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
				delete(held, furthest(held))
			}
		}
		held[u] = next[i]
	}
	return loads
}

// furthest returns the adapter whose next use lies furthest ahead.
func furthest(held map[int]int) int {
	best, at := -1, -1
	for a, n := range held {
		if n > at || n == at && a < best {
			best, at = a, n
		}
	}
	return best
}
