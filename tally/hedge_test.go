package tally

import (
	"testing"

	"currantwick"
	"currantwick/limit"
)

// Requests that are expected to take different times must not share a hedger, the same
// ones must, and the limit over all must hold across hedgers.
func TestGatewayHedgers(t *testing.T) {
	tests := []struct {
		name   string
		limits limit.HedgeLimits
		on     bool
		hedges int // possible after 100 requests of each of two routes
	}{
		{"off", limit.HedgeLimits{}, false, 0},
		{"on", limit.HedgeLimits{Total: 0.0625}, true, 12},
		{"one route off", limit.HedgeLimits{Total: 0.0625, Routes: map[wick.RouteName]float64{"b": 0}}, true, 6},
		{"a route with more than the total", limit.HedgeLimits{Total: 0.0625, Routes: map[wick.RouteName]float64{"a": 0.5, "b": 0.5}}, true, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			hedgers, err := NewGatewayHedgers(test.limits)
			if err != nil {
				t.Fatal(err)
			}
			if (hedgers != nil) != test.on {
				t.Fatalf("got hedgers %v, want them: %v", hedgers, test.on)
			}
			if !test.on {
				return
			}
			keys := []wick.HedgeKey{{Route: "a", Pool: "p"}, {Route: "b", Pool: "p"}}
			if a, other := hedgers.Of(keys[0]), hedgers.Of(wick.HedgeKey{Route: "a", Pool: "q"}); a != hedgers.Of(keys[0]) || a == other {
				t.Error("a route and pool must have one hedger of their own")
			}
			hedges := 0
			for range 100 {
				for _, k := range keys {
					if h := hedgers.Of(k); h != nil {
						h.RequestStarted()
						if h.TryHedge() {
							hedges++
						}
					}
				}
			}
			if hedges != test.hedges {
				t.Errorf("%d hedges, want %d", hedges, test.hedges)
			}
		})
	}
	if _, err := NewGatewayHedgers(limit.HedgeLimits{Total: 1}); err == nil {
		t.Error("a ratio of 1 was accepted")
	}
}

// Hedgers of former configurations must not add up.
func TestHedgersAreBounded(t *testing.T) {
	h := NewHedgers(func(int) wick.Hedger { return limit.NoHedger{} })
	for i := range 3 * maxHedgers {
		h.Of(i)
	}
	if n := len(h.list); n > maxHedgers {
		t.Errorf("%d hedgers are kept, want at most %d", n, maxHedgers)
	}
}
