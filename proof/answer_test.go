package proof

import (
	"syscall"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/fault"
)

// links returns the names of the first n links of a kind.
func (b *cluster) links(kind string, n int) []fault.LinkName {
	var out []fault.LinkName
	for i := range n {
		out = append(out, linkName(kind, i))
	}
	return out
}

// TestCompleteAnswers injects faults into engines and links while answers are
// streamed. Every answer must be complete, as other connections or engines remain.
// One that isn't must end with an error and must not look complete.
func TestCompleteAnswers(t *testing.T) {
	const each, tokens = 8, 200
	tests := []struct {
		name  string
		fault func(b *cluster)
	}{
		{"engine links reset", func(b *cluster) {
			b.control(b.proxy.Control, fault.Control{Links: b.links("engine", 3), Reset: true})
		}},
		{"engine links silent", func(b *cluster) {
			b.control(b.proxy.Control, fault.Control{Links: b.links("engine", 3), Silence: true})
		}},
		{"peer links silent", func(b *cluster) {
			b.control(b.proxy.Control, fault.Control{Links: b.links("peer", 3), Silence: true})
		}},
		{"peer links lossy", func(b *cluster) {
			share := 0.05
			b.control(b.proxy.Control, fault.Control{Links: b.links("peer", 3), Loss: &share, Duplicate: &share})
		}},
		{"engine crash", func(b *cluster) {
			b.control(b.fakes.Engines[0], fakes.EngineControl{CrashFor: ms(500)})
		}},
		{"engine freeze", func(b *cluster) {
			b.control(b.fakes.Engines[1], fakes.EngineControl{FreezeFor: ms(4000)})
		}},
	}
	b := startCluster(t, defaultSizes())
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b.t = t
			c := b.burst(each, tokens)
			start := time.Now()
			test.fault(b)
			_, incomplete := c.collect(t)
			t.Logf("all answers ended %v after the fault", time.Since(start).Round(time.Millisecond))
			if incomplete > 0 {
				t.Errorf("%d answers were not completed", incomplete)
			}
			zero := 0.0
			b.control(b.proxy.Control, fault.Control{Mode: fault.Pass, Loss: &zero, Duplicate: &zero})
			b.waitReady()
		})
	}
	for i, s := range b.engineStats() {
		if s.BadResumes > 0 || s.WrongModel > 0 || s.Violations > 0 {
			t.Errorf("engine %d: %d bad resumes, %d requests on a wrong model, %d violations", i, s.BadResumes, s.WrongModel, s.Violations)
		}
	}
}

// TestNoEvictionWhileServing checks that an adapter is never evicted while it
// serves requests, with few slots, many adapters, and lost answers to orders.
func TestNoEvictionWhileServing(t *testing.T) {
	z := defaultSizes()
	z.adapters, z.engine.AdapterSlots = 12, 2
	b := startCluster(t, z)
	c, stop := b.steady(12, 25, b.anyEntry)
	lose := 1
	for range 4 {
		for _, e := range b.fakes.Engines {
			b.control(e, fakes.EngineControl{LoseAnswers: &lose})
		}
		before := loads(b.engineStats())
		eventually(t, "adapters are loaded", func() bool { return loads(b.engineStats()) >= before+4 })
	}
	stop()
	complete, _ := c.collect(t)
	if complete == 0 {
		t.Error("no answer was complete")
	}
	unloads := 0
	for i, s := range b.engineStats() {
		unloads += s.Unloads
		if s.Violations > 0 || s.WrongModel > 0 {
			t.Errorf("engine %d: %d violations, %d requests on a wrong model", i, s.Violations, s.WrongModel)
		}
	}
	t.Logf("%d loads, %d unloads", loads(b.engineStats()), unloads)
	if unloads == 0 {
		t.Error("no idle adapter was evicted, so the test checked nothing")
	}
}

func loads(all []fakes.EngineStats) int {
	n := 0
	for _, s := range all {
		n += s.Loads
	}
	return n
}

// TestGracefulStop stops a daemon under load, once an owner of engines and once
// one that owns none. No stream may be cut off, the daemon must exit cleanly, and
// requests through the others must not wait for the handover.
func TestGracefulStop(t *testing.T) {
	tests := []struct {
		name string
		pick func(b *cluster) *daemon
		// bound is how long a short request may take during the stop.
		bound time.Duration
	}{
		{"owner of engines", func(b *cluster) *daemon { return b.owner(0) }, 3 * time.Second},
		{"owner of none", (*cluster).nonOwner, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := startCluster(t, defaultSizes())
			c := b.burst(6, 300)
			gone := test.pick(b)
			rest := b.others(gone)
			steady, stop := b.steady(4, 20, func(i int) wick.Address { return rest[i%2].entry })
			gone.signal(syscall.SIGTERM)
			eventually(t, "the others no longer list the daemon", func() bool { return len(b.entries(rest[0].entry).Entries) == 2 })
			if err := gone.waitExit(waitTimeout); err != nil {
				t.Errorf("the daemon stopped with %v", err)
			}
			if _, incomplete := c.collect(t); incomplete > 0 {
				t.Errorf("%d streams were cut off", incomplete)
			}
			stop()
			if _, incomplete := steady.collect(t); incomplete > 0 {
				t.Errorf("%d requests through the others failed", incomplete)
			}
			if most := steady.slowest(); most > test.bound {
				t.Errorf("a request through the others took %v, want at most %v", most, test.bound)
			}
		})
	}
}

// nonOwner returns a daemon that owns no engine.
func (b *cluster) nonOwner() *daemon {
	b.t.Helper()
	for _, d := range b.daemons {
		owns := false
		for i := range b.sizes.engines {
			owns = owns || b.owner(i) == d
		}
		if !owns {
			return d
		}
	}
	b.t.Fatal("each daemon owns an engine")
	return nil
}
