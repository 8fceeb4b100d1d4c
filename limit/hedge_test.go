package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"currantwick"
)

// Hedges must never be a larger fraction of the requests than the limit: neither of a
// route nor over all routes, from the first request on, however slow the answers are.
func TestHedgeLimits(t *testing.T) {
	tests := []struct {
		name   string
		total  float64
		routes map[wick.RouteName]float64
		slow   float64 // the fraction of answers that take 20 times longer
		// least is the fraction of the requests that are hedged at least.
		least float64
	}{
		{"off", 0, map[wick.RouteName]float64{"a": 0.1}, 1, 0},
		{"a few slow", 0.05, nil, 0.03, 0.02},
		{"half slow", 0.05, nil, 0.5, 0.02},
		{"one route off", 0.05, map[wick.RouteName]float64{"a": 0}, 0.03, 0.01},
		{"one route with more than the total", 0.05, map[wick.RouteName]float64{"a": 0.5}, 0.5, 0.02},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			limits := HedgeLimits{Total: test.total, Routes: test.routes, Percentile: 0.9}
			if err := limits.Check(); err != nil {
				t.Fatal(err)
			}
			total := limits.NewTotal()
			names := []wick.RouteName{"a", "b", "c"}
			hedgers := make(map[wick.RouteName]wick.Hedger)
			for _, name := range names {
				h, err := limits.NewHedger(wick.HedgeKey{Route: name, Pool: "p"}, total)
				if err != nil {
					t.Fatal(err)
				}
				hedgers[name] = h
			}
			r := rand.New(rand.NewPCG(1, 2))
			requests, hedges := make(map[wick.RouteName]float64), make(map[wick.RouteName]float64)
			all, allHedges := 0.0, 0.0
			for range 20000 {
				name := names[r.IntN(len(names))]
				h := hedgers[name]
				all++
				requests[name]++
				if h == nil {
					continue
				}
				h.RequestStarted()
				took := time.Duration((5 + 15*r.Float64()) * float64(time.Millisecond))
				if r.Float64() < test.slow {
					took *= 20
				}
				if d, ok := h.Delay(); ok && took > d && h.TryHedge() {
					hedges[name]++
					allHedges++
				}
				h.ObserveLatency(took)
				most, own := test.routes[name]
				if !own {
					most = test.total
				}
				if hedges[name] > most*requests[name] || allHedges > test.total*all {
					t.Fatalf("%v hedges of %v requests of %s, %v of all %v; limits %v and %v", hedges[name], requests[name], name, allHedges, all, most, test.total)
				}
			}
			if allHedges < test.least*all {
				t.Errorf("%v hedges of %v requests, want a fraction of %v", allHedges, all, test.least)
			}
		})
	}
}

// Hedges must leave retries their part of the shared budget, and be possible where the
// part of a daemon is less than one retry.
func TestSpendSpare(t *testing.T) {
	tests := []struct {
		name    string
		slack   int
		daemons int
		spent   int // retries before
		hedges  int
		retries int // possible afterwards
	}{
		{"one daemon", 100, 1, 0, 35, 35},
		{"half of the budget is spent", 100, 1, 35, 0, 35},
		{"a part of the budget is spent", 100, 1, 30, 5, 35},
		{"a part of less than two retries", 100, 50, 0, 1, 0},
		{"a part of less than two retries, one spent", 100, 50, 1, 0, 0},
		{"a part of less than one retry, not earned yet", 100, 300, 0, 0, 0},
	}
	for _, test := range tests {
		s, err := NewSharedRetries(0.2, test.slack)
		if err != nil {
			t.Fatal(err)
		}
		s.Earn(test.daemons)
		spend := func(most int, take func(int) bool) int {
			n := 0
			for n < most && take(test.daemons) {
				n++
			}
			return n
		}
		spend(test.spent, s.Spend)
		hedges := spend(1000, s.SpendSpare)
		if retries := spend(1000, s.Spend); hedges != test.hedges || retries != test.retries {
			t.Errorf("%s: %d hedges and then %d retries, want %d and %d", test.name, hedges, retries, test.hedges, test.retries)
		}
	}
}
