package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawPlan(t *rapid.T) plan {
	p := plan{
		nodes: rapid.IntRange(1, 7).Draw(t, "nodes"),
		seed:  rapid.Uint64().Draw(t, "seed"),
		limit: rapid.SampledFrom([]int{3, 5, 7}).Draw(t, "witnesses"),
	}
	count := rapid.IntRange(0, 8).Draw(t, "faults")
	for range count {
		f := fault{
			kind:  faultKind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind")),
			node:  rapid.IntRange(0, p.nodes-1).Draw(t, "node"),
			other: rapid.IntRange(0, p.nodes-1).Draw(t, "other"),
			at:    time.Duration(rapid.IntRange(0, 20000).Draw(t, "at")) * time.Millisecond,
			last:  time.Duration(rapid.IntRange(1, 8000).Draw(t, "last")) * time.Millisecond,
		}
		p.faults = append(p.faults, f)
		p.maximum = max(p.maximum, f.at+f.last)
	}
	return p
}

// settleTime bounds how long after the last fault each key is acted on.
const settleTime = 5 * time.Second

func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlan(t)
		m := newModel(p, sound)
		m.step(p.maximum + settleTime)
		if m.broken != "" {
			t.Fatal(m.broken)
		}
		if idle := m.idle(); len(idle) > 0 {
			t.Fatalf("%v after the last fault nobody acts on %v", settleTime, idle)
		}
	})
}
