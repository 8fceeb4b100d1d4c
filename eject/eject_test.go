package eject

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantwick"
)

const (
	tick = 20 * time.Millisecond
	// token is the ordinary time per token.
	token = 20 * time.Millisecond
)

func name(i int) wick.EndpointName { return wick.EndpointName(fmt.Sprint("e", i)) }

func at(i int) wick.Instant { return wick.Instant(time.Duration(i) * tick) }

func newTestDetector(t testing.TB, n int) wick.Ejector {
	w, err := New(Config{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		w.Put(name(i), "p")
	}
	return w
}

// recordTick records one tick of a few streams at an endpoint whose time per
// token is slow times the ordinary one, with noise and occasional pauses.
func recordTick(w wick.Ejector, r *rand.Rand, tickIndex, i int, slow, noise float64) {
	for range 1 + r.IntN(6) {
		perToken := float64(token) * slow * max(0.1, 1+noise*r.NormFloat64())
		if r.IntN(100) == 0 {
			perToken *= 5
		}
		w.RecordProgress(at(tickIndex), name(i), 1, time.Duration(perToken))
	}
}

func TestEvaluate(t *testing.T) {
	// Each case has six endpoints and two phases of 5 s.
	tests := []struct {
		name         string
		first, then  []float64 // slowdown; 0 means no samples
		ejects, stay []int     // ejected after the first and the second phase
		shifted      []int     // reported slow after the first phase
	}{
		{"ordinary", []float64{1, 1, 1, 1, 1, 1}, []float64{1, 1, 1, 1, 1, 1}, nil, nil, nil},
		{"one straggler recovers", []float64{1, 1, 10, 1, 1, 1}, []float64{1, 1, 1, 1, 1, 1}, []int{2}, nil, []int{2}},
		{"straggler stays", []float64{1, 1, 10, 1, 1, 1}, []float64{1, 1, 8, 1, 1, 1}, []int{2}, []int{2}, []int{2}},
		{"a little slow", []float64{1, 1, 2, 1, 1, 1}, []float64{1, 1, 1, 1, 1, 1}, nil, nil, []int{2}},
		{"all slow", []float64{9, 9, 9, 9, 9, 9}, []float64{1, 1, 1, 1, 1, 1}, nil, nil, nil},
		{"ejected without samples returns", []float64{10, 1, 1, 1, 1, 1}, []float64{0, 1, 1, 1, 1, 1}, []int{0}, nil, []int{0}},
		{"idle is not slow", []float64{0, 1, 1, 1, 1, 1}, []float64{0, 1, 1, 1, 1, 1}, nil, nil, nil},
		{"too few to compare", []float64{9, 1, 0, 0, 0, 0}, []float64{9, 1, 0, 0, 0, 0}, nil, nil, nil},
		{"limit reached, the slowest are ejected", []float64{10, 20, 30, 1, 1, 1}, []float64{1, 1, 1, 1, 1, 1}, []int{1, 2}, nil, []int{0, 1, 2}},
	}
	const phase = int(5 * time.Second / tick)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newTestDetector(t, 6)
			r := rand.New(rand.NewPCG(1, 2))
			for tickIndex := range 2 * phase {
				slow := tt.first
				if tickIndex >= phase {
					slow = tt.then
				}
				var out, shifted []int
				for i, s := range slow {
					if s > 0 {
						recordTick(w, r, tickIndex, i, s, 0.3)
					}
					h := w.Evaluate(at(tickIndex), name(i))
					if h.Ejected {
						out = append(out, i)
					}
					if h.Slowdown > 1 {
						shifted = append(shifted, i)
					}
				}
				if tickIndex == phase-1 && fmt.Sprint(out, shifted) != fmt.Sprint(tt.ejects, tt.shifted) {
					t.Errorf("after the first phase ejected %v, want %v; slow %v, want %v", out, tt.ejects, shifted, tt.shifted)
				}
				if tickIndex == 2*phase-1 && fmt.Sprint(out) != fmt.Sprint(tt.stay) {
					t.Errorf("at the end ejected %v, want %v", out, tt.stay)
				}
			}
		})
	}
}

// Work must shift away from a slow or stalled endpoint within 150 ms, and the
// endpoint must be ejected within 600 ms.
func TestDetectionTime(t *testing.T) {
	for _, slow := range []float64{5, 10, 1000} {
		w := newTestDetector(t, 18)
		r := rand.New(rand.NewPCG(1, 2))
		shifted, ejected := time.Hour, time.Hour
		for tickIndex := range 150 {
			for i := range 18 {
				if i != 7 || tickIndex < 100 {
					recordTick(w, r, tickIndex, i, 1, 0.3)
					continue
				}
				// Three streams, sampled each tick, occasionally produce a
				// token.
				for range 3 {
					tokens := 0
					if r.Float64() < float64(tick)/float64(token)/slow {
						tokens = 1
					}
					w.RecordProgress(at(tickIndex), name(i), wick.Tokens(tokens), tick)
				}
			}
			h := w.Evaluate(at(tickIndex), name(7))
			since := at(tickIndex).Sub(at(100))
			if h.Slowdown > 1 {
				shifted = min(shifted, since)
			}
			if h.Ejected {
				ejected = min(ejected, since)
			}
		}
		if shifted < 0 || shifted > 150*time.Millisecond || ejected > 600*time.Millisecond {
			t.Errorf("%v times slower: shifted after %v, ejected after %v", slow, shifted, ejected)
		}
		t.Logf("%v times slower: shifted after %v, ejected after %v", slow, shifted, ejected)
	}
}

// simulateNoise runs a pool of ordinary endpoints for 6 s. It describes the
// first endpoint that is ejected, or returns an empty string.
func simulateNoise(n int, noise float64, seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 0))
	w, _ := New(Config{})
	batch := make([]float64, n)
	for i := range n {
		w.Put(name(i), "p")
		batch[i] = 1 + r.Float64()/2
	}
	for tickIndex := range 300 {
		for i := range n {
			if r.IntN(3) == 0 {
				recordTick(w, r, tickIndex, i, batch[i], noise)
			}
			if w.Evaluate(at(tickIndex), name(i)).Ejected {
				return fmt.Sprintf("%s of %d after %v", name(i), n, at(tickIndex).Sub(0))
			}
		}
	}
	return ""
}

// Noise alone must not eject an endpoint, for any number of endpoints and
// streams.
func TestNoiseEjectsNoEndpoint(t *testing.T) {
	found := []struct {
		endpoints int
		noise     float64
		seed      uint64
	}{
		{16, 0.7, 0x1203077ca0},
	}
	for _, f := range found {
		if out := simulateNoise(f.endpoints, f.noise, f.seed); out != "" {
			t.Errorf("ejected %s", out)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "endpoints")
		noise := rapid.Float64Range(0, 0.7).Draw(t, "noise")
		if out := simulateNoise(n, noise, rapid.Uint64().Draw(t, "seed")); out != "" {
			t.Fatalf("ejected %s", out)
		}
	})
}

// One owner must never eject more than a third of the pool, even when endpoints
// change speed and join.
func TestMaxEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, _ := New(Config{})
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		n := rapid.IntRange(1, 20).Draw(t, "endpoints")
		slow := make([]float64, n)
		for i := range n {
			w.Put(name(i), "p")
			slow[i] = 1
		}
		for tickIndex := range 400 {
			if r.IntN(10) == 0 {
				slow[r.IntN(n)] = []float64{1, 1, 5, 20}[r.IntN(4)]
			}
			if r.IntN(100) == 0 {
				w.Put(name(n), "p")
			}
			out := 0
			for i := range n {
				recordTick(w, r, tickIndex, i, slow[i], 0.5)
				if w.Evaluate(at(tickIndex), name(i)).Ejected {
					out++
				}
			}
			if 3*out > n+1 {
				t.Fatalf("%d of %d ejected", out, n)
			}
		}
	})
}

// Owners that eject endpoints at the same time may together exceed the limit.
// They must return to it once they have received each other's delayed digests.
func TestOwnersExchangeDigests(t *testing.T) {
	const n = 12
	tests := []struct {
		slow []int
		want int
	}{
		{nil, 0}, {[]int{3}, 1}, {[]int{3, 8}, 2}, {[]int{0, 2, 4, 6, 8}, 4}, {[]int{0, 1, 2, 3, 4, 5}, 4},
	}
	for _, tt := range tests {
		var owners []wick.Ejector
		for range n {
			owners = append(owners, newTestDetector(t, n))
		}
		r := rand.New(rand.NewPCG(1, 2))
		out := make([]bool, n)
		peak, ticksOverLimit := 0, 0
		for tickIndex := range 500 {
			count := 0
			for i, w := range owners {
				slow := 1.0
				if tickIndex >= 100 && slices.Contains(tt.slow, i) {
					slow = 10 + float64(i)
				}
				recordTick(w, r, tickIndex, i, slow, 0.3)
				h := w.Evaluate(at(tickIndex), name(i))
				out[i] = h.Ejected
				if h.Ejected {
					count++
				}
				if tickIndex%15 != i {
					continue
				}
				for k, o := range owners {
					if k != i {
						o.ApplyDigest(at(tickIndex), wick.Digest{Endpoint: name(i), TimePerToken: h.TimePerToken, Slowdown: h.Slowdown, Ejected: h.Ejected})
					}
				}
			}
			peak = max(peak, count)
			if count > n/3 {
				ticksOverLimit++
			}
		}
		for i, o := range out {
			if o && !slices.Contains(tt.slow, i) {
				t.Errorf("%v slow: %s ejected", tt.slow, name(i))
			}
		}
		got := 0
		for _, o := range out {
			if o {
				got++
			}
		}
		over := time.Duration(ticksOverLimit) * tick
		t.Logf("%v slow: %d ejected, at most %d, over the limit for %v", tt.slow, got, peak, over)
		if got != tt.want || over > time.Second {
			t.Errorf("%v slow: %d ejected, want %d; over the limit for %v", tt.slow, got, tt.want, over)
		}
	}
}

func TestNone(t *testing.T) {
	w, err := New(Config{Policy: wick.EjectNone})
	if err != nil {
		t.Fatal(err)
	}
	if h := w.Evaluate(0, name(0)); h.Ejected || h.Slowdown != 1 {
		t.Errorf("baseline returned %+v", h)
	}
}

func TestConfigIsChecked(t *testing.T) {
	for _, cfg := range []Config{{Policy: "x"}, {ReduceAt: 0.5}, {ReturnBelow: 9}, {MaxEjectedShare: 1}, {EjectionTime: -1}} {
		if _, err := New(cfg); err == nil {
			t.Errorf("New accepted %+v", cfg)
		}
	}
}

// BenchmarkEvaluate measures one call of RecordProgress and one of Evaluate, by
// number of endpoints.
func BenchmarkEvaluate(b *testing.B) {
	for _, n := range []int{12, 1000, 10000} {
		b.Run(fmt.Sprint("endpoints=", n), func(b *testing.B) {
			w := newTestDetector(b, n)
			for i := range n {
				w.ApplyDigest(0, wick.Digest{Endpoint: name(i), TimePerToken: wick.Duration(token)})
			}
			e := name(3)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := wick.Instant(time.Duration(i) * time.Millisecond)
				w.RecordProgress(now, e, 1, token)
				w.Evaluate(now, e)
			}
		})
	}
}
