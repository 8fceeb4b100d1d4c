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
		nodes:        d("nodes", 1, 7),
		seed:         uint64(d("seed", 0, math.MaxInt32)),
		maxWitnesses: []int{7, 5, 3}[d("witnesses", 0, 2)],
		maxDelay:     lags[d("lag", 0, 2)],
	}
	span := spans[d("span", 0, 2)]
	for range d("faults", 0, 16) {
		f := fault{
			kind:     faultKind(d("kind", 0, int(kinds)-1)),
			node:     d("node", 0, p.nodes-1),
			other:    d("other", 0, p.nodes-1),
			at:       time.Duration(d("at", 0, span)) * time.Millisecond,
			duration: time.Duration(d("last", 1, 8000)) * time.Millisecond,
		}
		p.faults = append(p.faults, f)
		p.lastFaultEnd = max(p.lastFaultEnd, f.at+f.duration)
	}
	return p
}

// uniformPlan draws uniformly; rapid prefers small numbers, which shrink well.
func uniformPlan(seed int) plan {
	r := rand.New(rand.NewPCG(uint64(seed), 2))
	return drawPlan(func(_ string, lo, hi int) int { return lo + r.IntN(hi-lo+1) })
}

// settledAt returns the time by which each key must have an acting owner again:
// 5 s after the last fault, or after the platform's host list shows that a host
// is permanently gone.
func (p plan) settledAt() time.Duration {
	at := p.lastFaultEnd + 5*time.Second
	if slices.ContainsFunc(p.faults, func(f fault) bool { return f.kind == kill }) {
		at += listLag
	}
	return at
}

// check runs a plan and returns a description of the violated property, or "".
func (p plan) check(mut mutation) string {
	m := newModel(p, mut)
	m.step(p.settledAt())
	if m.violation != "" {
		return m.violation
	}
	if idle := m.idle(); len(idle) > 0 {
		return fmt.Sprintf("no member acts on %v", idle)
	}
	return ""
}

func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlan(func(label string, lo, hi int) int {
			return rapid.IntRange(lo, hi).Draw(t, label)
		})
		if text := p.check(unmodified); text != "" {
			t.Fatal(text)
		}
	})
}

// TestUniformPlans runs plans with more faults than rapid prefers.
func TestUniformPlans(t *testing.T) {
	for seed := range max(*seeds, 20) {
		if text := uniformPlan(seed).check(unmodified); text != "" {
			t.Errorf("seed %d: %s", seed, text)
		}
	}
}

var seeds = flag.Int("seeds", 0, "plans to run in TestUniformPlans, at least 20, and against each mutation of the rule; 0 stops at the first plan that detects the mutation")

// TestRuleMutations checks that the model finds two owners when the release rule
// is broken.
func TestRuleMutations(t *testing.T) {
	tests := []struct {
		name     string
		mutation mutation
	}{
		{"lease counted from receipt", fromReceipt},
		{"wait only for the previous view", previousOnly},
		{"no wait", noWait},
		{"witness keeps vouching for earlier views", vouchAlways},
		{"any other run at the address taken as proof of an end", anyRunEnds},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			count, tried, first := 0, 0, ""
			for (count == 0 || tried < *seeds) && tried < max(*seeds, 2000) {
				p := uniformPlan(tried)
				m := newModel(p, test.mutation)
				m.step(p.settledAt())
				tried++
				if m.violation != "" {
					count++
					first = cmp.Or(first, m.violation)
				}
			}
			t.Logf("%d of %d seeds showed two owners; %s", count, tried, first)
			if count == 0 {
				t.Error("the model did not detect the mutation")
			}
		})
	}
}

func TestTakeoverAfterKill(t *testing.T) {
	tests := []struct {
		nodes int
		kills int
		// back is when the killed members start again; 0 means never.
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
			m := newModel(plan{nodes: test.nodes, seed: seed, maxWitnesses: 7, maxDelay: 5 * time.Millisecond}, unmodified)
			start := 10*time.Second + time.Duration(seed)*70*time.Millisecond
			m.step(start)
			for i := range test.kills {
				m.terminate(m.nodes[i])
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
			if took >= 5*time.Second || m.violation != "" {
				t.Errorf("took %v, %s", took, m.violation)
			}
		}
	}
}

// TestMemberWithoutRenewals drops the renewals sent to a member whose own
// messages still arrive. Other members must take over from it, and views must not
// change over and over.
func TestMemberWithoutRenewals(t *testing.T) {
	const duration = 60 * time.Second
	for seed := range uint64(5) {
		f := fault{kind: renewalsCut, node: 2, at: 10 * time.Second, duration: duration}
		m := newModel(plan{nodes: 7, seed: seed, maxWitnesses: 7, maxDelay: 5 * time.Millisecond, faults: []fault{f}}, unmodified)
		m.step(f.at)
		before := len(m.log)
		m.step(f.at + 5*time.Second)
		if len(m.idle()) > 0 || len(m.nodes[2].acts) > 0 {
			t.Errorf("seed %d: idle %v, and the member without renewals acts on %v", seed, m.idle(), m.nodes[2].acts)
		}
		m.step(f.at + duration)
		t.Logf("seed %d: %d records while one member received no renewals for %v", seed, len(m.log)-before, duration)
		if len(m.log)-before > 60 {
			t.Errorf("seed %d: too many records", seed)
		}
	}
}
