package lease

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// draw returns a number from lo to hi.
type draw func(label string, lo, hi int) int

func drawPlan(d draw) plan {
	lags := []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 250 * time.Millisecond}
	spans := []int{4000, 8000, 20000}
	p := plan{
		nodes: d("nodes", 1, 7),
		seed:  uint64(d("seed", 0, math.MaxInt32)),
		limit: []int{7, 5, 3}[d("witnesses", 0, 2)],
		lag:   lags[d("lag", 0, 2)],
	}
	span := spans[d("span", 0, 2)]
	for range d("faults", 0, 16) {
		f := fault{
			kind:  faultKind(d("kind", 0, int(kinds)-1)),
			node:  d("node", 0, p.nodes-1),
			other: d("other", 0, p.nodes-1),
			at:    time.Duration(d("at", 0, span)) * time.Millisecond,
			last:  time.Duration(d("last", 1, 8000)) * time.Millisecond,
		}
		p.faults = append(p.faults, f)
		p.maximum = max(p.maximum, f.at+f.last)
	}
	return p
}

// evenPlan draws evenly; rapid prefers small numbers, which shrink well.
func evenPlan(seed int) plan {
	r := rand.New(rand.NewPCG(uint64(seed), 2))
	return drawPlan(func(_ string, lo, hi int) int { return lo + r.IntN(hi-lo+1) })
}

// settled is when each key must be acted on again: 5 s after the last fault,
// or after the platform's list shows that a host is gone for good.
func (p plan) settled() time.Duration {
	at := p.maximum + 5*time.Second
	if slices.ContainsFunc(p.faults, func(f fault) bool { return f.kind == kill }) {
		at += listLag
	}
	return at
}

// verdict runs a plan and tells what was wrong.
func (p plan) verdict(pl plant) string {
	m := newModel(p, pl)
	m.step(p.settled())
	if m.broken != "" {
		return m.broken
	}
	if idle := m.idle(); len(idle) > 0 {
		return fmt.Sprintf("nobody acts on %v", idle)
	}
	return ""
}

func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlan(func(label string, lo, hi int) int {
			return rapid.IntRange(lo, hi).Draw(t, label)
		})
		if text := p.verdict(sound); text != "" {
			t.Fatal(text)
		}
	})
}

// TestEvenPlans tries plans with more faults than rapid prefers.
func TestEvenPlans(t *testing.T) {
	for seed := range max(*seeds, 20) {
		if text := evenPlan(seed).verdict(sound); text != "" {
			t.Errorf("seed %d: %s", seed, text)
		}
	}
}

var seeds = flag.Int("seeds", 0, "plans to try against each planted fault; 0 means up to the first that shows it")

// TestPlantedFaults shows that the model sees two owners when a rule is broken.
func TestPlantedFaults(t *testing.T) {
	tests := []struct {
		name  string
		plant plant
	}{
		{"lease counted from receipt", fromReceipt},
		{"only the view before waited for", previousOnly},
		{"no wait", noWait},
		{"witness vouches for earlier views", vouchAlways},
		{"any other run at the address taken as an end", anyRunEnds},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			count, tried, first := 0, 0, ""
			for (count == 0 || tried < *seeds) && tried < max(*seeds, 2000) {
				p := evenPlan(tried)
				m := newModel(p, test.plant)
				m.step(p.settled())
				tried++
				if m.broken != "" {
					count++
					first = cmp.Or(first, m.broken)
				}
			}
			t.Logf("%d of %d seeds showed two owners; %s", count, tried, first)
			if count == 0 {
				t.Error("the model did not see the planted fault")
			}
		})
	}
}

func TestTakeoverAfterKill(t *testing.T) {
	tests := []struct {
		nodes int
		kills int
		// back is when the killed start again; 0 means never.
		back time.Duration
	}{
		{nodes: 2, kills: 1},
		{nodes: 3, kills: 1},
		{nodes: 7, kills: 1},
		{nodes: 7, kills: 3},
		{nodes: 1, kills: 1, back: time.Second},
		{nodes: 2, kills: 2, back: time.Second},
		{nodes: 7, kills: 4, back: time.Second},
		{nodes: 7, kills: 6, back: 10 * time.Second},
		{nodes: 7, kills: 7, back: time.Second},
		{nodes: 7, kills: 7, back: 60 * time.Second},
	}
	for _, test := range tests {
		for seed := range uint64(5) {
			m := newModel(plan{nodes: test.nodes, seed: seed, limit: 7, lag: 5 * time.Millisecond}, sound)
			start := 10*time.Second + time.Duration(seed)*70*time.Millisecond
			m.step(start)
			for i := range test.kills {
				m.die(m.nodes[i])
			}
			if test.back > 0 {
				start += test.back
				m.step(start)
				for i := range test.kills {
					m.start(i)
				}
			}
			for len(m.idle()) > 0 && m.now < start+10*time.Second {
				m.step(m.now + 10*time.Millisecond)
			}
			took := m.now - start
			t.Logf("%d of %d killed, back after %v: served again after %v", test.kills, test.nodes, test.back, took)
			if took >= 5*time.Second || m.broken != "" {
				t.Errorf("took %v, %s", took, m.broken)
			}
		}
	}
}

// TestDeafMember cuts off what others send to a member, which still reaches
// them. Others must take over from it, and views must not come and go.
func TestDeafMember(t *testing.T) {
	const last = 60 * time.Second
	for seed := range uint64(5) {
		f := fault{kind: deaf, node: 2, at: 10 * time.Second, last: last}
		m := newModel(plan{nodes: 7, seed: seed, limit: 7, lag: 5 * time.Millisecond, faults: []fault{f}}, sound)
		m.step(f.at)
		before := len(m.log)
		m.step(f.at + 5*time.Second)
		if len(m.idle()) > 0 || len(m.nodes[2].acts) > 0 {
			t.Errorf("seed %d: idle %v, and the deaf member acts on %v", seed, m.idle(), m.nodes[2].acts)
		}
		m.step(f.at + last)
		t.Logf("seed %d: %d records while one member was deaf for %v", seed, len(m.log)-before, last)
		if len(m.log)-before > 60 {
			t.Errorf("seed %d: too many", seed)
		}
	}
}
