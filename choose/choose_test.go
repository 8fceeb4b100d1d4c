package choose_test

import (
	"fmt"
	"testing"
	"time"

	"currantwick"
	"currantwick/choose"
)

func TestPickEngine(t *testing.T) {
	w := wick.Weights{Model: "m", Adapter: "a"}
	ready := choose.Candidate{Name: "ready", Domain: "d", Slots: 8, BaseLoaded: true, HasAdapter: true, OrdersActive: true, FreeSlots: 4}
	cold := choose.Candidate{Name: "cold", Domain: "d", Slots: 8, BaseLoaded: true, OrdersActive: true, FreeSlots: 4}
	with := func(c choose.Candidate, f func(*choose.Candidate)) choose.Candidate {
		f(&c)
		return c
	}
	tests := []struct {
		name string
		list []choose.Candidate
		want int
	}{
		{"none", nil, -1},
		{"the one that has the adapter loaded", []choose.Candidate{cold, ready}, 1},
		{"not behind a long prompt", []choose.Candidate{with(ready, func(c *choose.Candidate) { c.Waiting = 20000 }), cold}, 1},
		{"not where it failed", []choose.Candidate{with(ready, func(c *choose.Candidate) { c.Avoid = true }), cold}, 1},
		{"not one with recent failures", []choose.Candidate{with(ready, func(c *choose.Candidate) { c.FailedShare = 0.8 }), cold}, 1},
		{"not one that is slow", []choose.Candidate{with(ready, func(c *choose.Candidate) { c.Lag = time.Second }), cold}, 1},
		{"not one that is full", []choose.Candidate{with(ready, func(c *choose.Candidate) { c.Running = 40 }), cold}, 1},
		{"not one whose load takes long", []choose.Candidate{with(ready, func(c *choose.Candidate) { c.ReadyIn = time.Second }), cold}, 1},
		{"a cached copy", []choose.Candidate{cold, with(cold, func(c *choose.Candidate) { c.Cached = true })}, 1},
		{"a free adapter slot", []choose.Candidate{with(cold, func(c *choose.Candidate) { c.FreeSlots = 0 }), cold}, 1},
		{"fewer waiting adapters", []choose.Candidate{with(cold, func(c *choose.Candidate) { c.PendingAdapters = 9 }), cold}, 1},
		{"the model is loaded", []choose.Candidate{with(cold, func(c *choose.Candidate) { c.BaseLoaded = false }), cold}, 1},
		{"not during the prefill of a long prompt", []choose.Candidate{with(ready, func(c *choose.Candidate) { c.Waiting = 3000 }), with(ready, func(c *choose.Candidate) { c.Waiting = 1000; c.Running = 9 })}, 1},
		{"the same domain", []choose.Candidate{with(ready, func(c *choose.Candidate) { c.Domain = "e" }), ready}, 1},
		{"none that accepts orders", []choose.Candidate{with(cold, func(c *choose.Candidate) { c.OrdersActive = false })}, -1},
		{"an endpoint that has the adapter but takes no orders", []choose.Candidate{with(ready, func(c *choose.Candidate) { c.OrdersActive = false })}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, _ := choose.PickEngine(choose.Input{Adapter: w, Prompt: 500, Domain: "d", PrefillRate: choose.DefaultPrefillRate}, test.list)
			if got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

func TestPickService(t *testing.T) {
	avoided := make([]choose.Candidate, 200)
	for i := range avoided {
		avoided[i] = choose.Candidate{Slots: 6, Avoid: true}
	}
	idle := choose.Candidate{Name: "idle", Domain: "d", Slots: 6}
	tests := []struct {
		name string
		list []choose.Candidate
		want int
	}{
		{"none", nil, -1},
		{"the idle one", []choose.Candidate{{Name: "busy", Domain: "d", Slots: 6, Running: 30}, idle}, 1},
		{"not where it failed", []choose.Candidate{{Name: "bad", Domain: "d", Slots: 6, Avoid: true}, idle}, 1},
		{"the only usable one of many", append(avoided, idle), 200},
		{"not the slow one", []choose.Candidate{{Name: "slow", Domain: "d", Slots: 6, Lag: 300 * time.Millisecond}, idle}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for random := range uint64(50) {
				if got := choose.PickService(choose.Input{Domain: "d", Random: random}, test.list); got != test.want {
					t.Fatalf("got %d, want %d", got, test.want)
				}
			}
		})
	}
}

// All daemons must choose the same endpoint to load an adapter, whatever their
// random number, and the homes of different adapters must be spread.
func TestHomesAgree(t *testing.T) {
	list := make([]choose.Candidate, 12)
	for i := range list {
		list[i] = choose.Candidate{Name: wick.EndpointName(rune('a' + i)), Domain: "d", Slots: 8, BaseLoaded: true, OrdersActive: true, FreeSlots: 4}
	}
	seen := make(map[int]bool)
	for _, name := range []wick.AdapterName{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"} {
		in := choose.Input{Adapter: wick.Weights{Model: "m", Adapter: name}, Domain: "d", PrefillRate: choose.DefaultPrefillRate}
		first, _ := choose.PickEngine(in, list)
		in.Random = 77
		if again, _ := choose.PickEngine(in, list); again != first {
			t.Errorf("%s: endpoint %d and then %d", name, first, again)
		}
		seen[first] = true
	}
	if len(seen) < 4 {
		t.Errorf("eight adapters went to %d endpoints", len(seen))
	}
}

// The penalty for endpoints that are not a home must grow with the number of
// daemons, so that many daemons don't all load adapters on one endpoint that
// looks slightly better.
func TestHomePenaltyGrowsWithDaemons(t *testing.T) {
	tests := []struct {
		daemons int
		home    bool
	}{
		{7, false},
		{73, true},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.daemons), func(t *testing.T) {
			in := choose.Input{Adapter: wick.Weights{Model: "m", Adapter: "a1"}, Domain: "d", PrefillRate: choose.DefaultPrefillRate, Daemons: test.daemons}
			list := make([]choose.Candidate, 12)
			for i := range list {
				list[i] = choose.Candidate{Name: wick.EndpointName(rune('a' + i)), Domain: "d", Slots: 8, BaseLoaded: true, OrdersActive: true, FreeSlots: 4}
			}
			home, _ := choose.PickEngine(in, list)
			list[home].Avoid = true
			second, _ := choose.PickEngine(in, list)
			list[home].Avoid = false
			for i := range list {
				list[i].Lag = 200 * time.Millisecond
			}
			other := 0
			for other == home || other == second {
				other++
			}
			list[other].Lag = 0
			if got, _ := choose.PickEngine(in, list); (got != other) != test.home {
				t.Errorf("got endpoint %d, home %d, endpoint without lag %d", got, home, other)
			}
		})
	}
}

// BenchmarkPickEngine measures the choice for one request in a large deployment.
func BenchmarkPickEngine(b *testing.B) {
	list := make([]choose.Candidate, 90)
	for i := range list {
		list[i] = choose.Candidate{Name: wick.EndpointName(fmt.Sprintf("i-%08x", i)), Domain: "d", Slots: 32, BaseLoaded: true, OrdersActive: true, FreeSlots: 4}
	}
	in := choose.Input{Adapter: wick.Weights{Model: "m", Adapter: "a17"}, Prompt: 600, Domain: "d", PrefillRate: choose.DefaultPrefillRate}
	for b.Loop() {
		choose.PickEngine(in, list)
	}
}

// BenchmarkPickService measures the choice for one request in a large pool.
func BenchmarkPickService(b *testing.B) {
	list := make([]choose.Candidate, 64)
	for i := range list {
		list[i] = choose.Candidate{Domain: "d", Slots: 6, Running: i % 11, Work: 30 * time.Millisecond}
	}
	for b.Loop() {
		choose.PickService(choose.Input{Domain: "d", Daemons: 60, Random: 7}, list)
	}
}
