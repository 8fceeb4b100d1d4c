package tally

import (
	"testing"

	"currantwick"
	"currantwick/limit"
)

// Hedges must never be a larger fraction of the requests than the limit, of a route and
// over all routes, from the first request on, even if each request asks for one.
func TestGatewayHedgers(t *testing.T) {
	tests := []struct {
		name   string
		total  float64
		routes map[wick.RouteName]float64
		// a and b are the hedges of 160 requests of each of two routes.
		a, b float64
	}{
		{"off", 0, map[wick.RouteName]float64{"a": 0.125}, 0, 0},
		{"one limit", 0.0625, nil, 10, 10},
		{"one route off", 0.0625, map[wick.RouteName]float64{"a": 0}, 0, 10},
		{"one route with less", 0.0625, map[wick.RouteName]float64{"a": 0.03125}, 5, 10},
		{"one route with more than the total", 0.0625, map[wick.RouteName]float64{"a": 0.5, "b": 0}, 10, 0},
	}
	for _, test := range tests {
		hedgers, err := NewGatewayHedgers(limit.HedgeLimits{Total: test.total, Routes: test.routes})
		if err != nil || (hedgers == nil) != (test.total == 0) {
			t.Fatalf("%s: got hedgers %v, %v", test.name, hedgers, err)
		}
		hedges := make(map[wick.RouteName]float64)
		for i := range 160 {
			for _, name := range []wick.RouteName{"a", "b"} {
				if hedgers == nil || hedgers.Of(wick.HedgeKey{Route: name}) == nil {
					continue
				}
				h := hedgers.Of(wick.HedgeKey{Route: name})
				h.RequestStarted()
				if h.TryHedge() {
					hedges[name]++
				}
				if most := test.total * 2 * float64(i+1); hedges["a"]+hedges["b"] > most {
					t.Errorf("%s: hedges %v, want at most %v together", test.name, hedges, most)
				}
			}
		}
		if hedges["a"] != test.a || hedges["b"] != test.b {
			t.Errorf("%s: hedges %v, want %v and %v", test.name, hedges, test.a, test.b)
		}
	}
}

// Hedgers of former configurations must not add up.
func TestHedgersAreBounded(t *testing.T) {
	h := NewHedgers(func(int) wick.Hedger { return nil })
	for i := range 3 * maxHedgers {
		h.Of(i)
	}
	if n := len(h.list); n > maxHedgers {
		t.Errorf("%d hedgers are kept, want at most %d", n, maxHedgers)
	}
}
