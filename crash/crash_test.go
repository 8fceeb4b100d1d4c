package crash

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantwick"
)

const minute = wick.Instant(time.Minute)

func fingerprints(n ...wick.Fingerprint) []wick.Fingerprint { return n }

func TestRegistry(t *testing.T) {
	tests := []struct {
		name string
		do   func(r *Registry)
		at   wick.Instant
		want Verdict
	}{
		{"unknown", func(*Registry) {}, 0, Clear},
		{"in flight at a crash", func(r *Registry) { r.Crashed(0, fingerprints(1, 2)) }, 0, RunAlone},
		{"alone at its first crash", func(r *Registry) { r.Crashed(0, fingerprints(1)) }, 0, RunAlone},
		{"twice with others in flight", func(r *Registry) {
			r.Crashed(0, fingerprints(1, 2))
			r.Crashed(0, fingerprints(1, 3))
		}, 0, RunAlone},
		{"again, alone", func(r *Registry) {
			r.Crashed(0, fingerprints(1, 2))
			r.Crashed(0, fingerprints(1))
		}, 0, Stopped},
		{"two copies of it", func(r *Registry) {
			r.Crashed(0, fingerprints(1, 1))
			r.Crashed(0, fingerprints(1, 1))
		}, 0, Stopped},
		{"cleared", func(r *Registry) {
			r.Crashed(0, fingerprints(1, 2))
			r.Finished(0, 1)
		}, 0, Clear},
		{"cleared of old crashes only", func(r *Registry) {
			r.Crashed(0, fingerprints(1, 2))
			r.Finished(0, 1)
			r.Crashed(0, fingerprints(1))
		}, 0, RunAlone},
		{"not cleared once stopped", func(r *Registry) {
			r.Crashed(0, fingerprints(1))
			r.Crashed(0, fingerprints(1))
			r.Finished(0, 1)
		}, 0, Stopped},
		{"stale report of a cleared crash", func(r *Registry) {
			reports := r.Crashed(0, fingerprints(1, 2))
			r.Finished(0, 1)
			r.ApplyReports(0, reports)
		}, 0, Clear},
		{"expired", func(r *Registry) { r.Crashed(0, fingerprints(1, 2)) }, 10 * minute, Clear},
		{"expired report", func(r *Registry) {
			r.ApplyReports(0, []wick.Suspect{{Fingerprint: 1, Crashes: 1, Age: wick.Duration(10 * time.Minute)}})
		}, 0, Clear},
		{"stopped for longer", func(r *Registry) {
			r.ApplyReports(0, []wick.Suspect{{Fingerprint: 1, Crashes: 2, Alone: true}})
		}, 30 * minute, Stopped},
		{"an attempt extends the stop", func(r *Registry) {
			r.ApplyReports(0, []wick.Suspect{{Fingerprint: 1, Crashes: 2, Alone: true}})
			r.Evaluate(50*minute, 1)
		}, 100 * minute, Stopped},
		{"a crash with others in flight at an owner that did not know of the stop", func(r *Registry) {
			r.ApplyReports(0, []wick.Suspect{{Fingerprint: 1, Crashes: 2, Alone: true}})
			r.Crashed(0, fingerprints(1, 2))
		}, 0, Stopped},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(Config{})
			tt.do(r)
			if got := r.Evaluate(tt.at, 1); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestMemoryIsBounded(t *testing.T) {
	r := New(Config{Limit: 64})
	r.Crashed(0, fingerprints(1))
	r.Crashed(0, fingerprints(1))
	for p := wick.Fingerprint(2); p < 1000; p++ {
		r.Crashed(wick.Instant(p), fingerprints(p, p+1000))
	}
	if len(r.entries) > 64 {
		t.Errorf("%d entries", len(r.entries))
	}
	if r.Evaluate(1000, 1) != Stopped {
		t.Error("a stopped request was evicted before suspects")
	}
	if got := len(r.Suspects(1000, 10)); got != 10 {
		t.Errorf("%d suspects, want 10", got)
	}
}

// killer is the request that crashes every engine; all others are innocent.
const killer wick.Fingerprint = 1

// owner is a daemon with one engine.
type owner struct {
	registry *Registry
	inFlight []wick.Fingerprint
	// alone is set while a suspect is in flight.
	alone bool
	// inbox holds the reports in transit.
	inbox [][]wick.Suspect
	// knownCrashes equals cluster.crashes if the owner knows of all crashes;
	// otherwise it is lower.
	knownCrashes int
}

type cluster struct {
	t      *rapid.T
	owners []*owner
	// crashes counts the crashes caused by the killer, uninformed its
	// dispatches by owners that did not know of all earlier crashes.
	crashes    int
	uninformed int
}

// send dispatches a request if its verdict and the batch allow it; the killer
// crashes the engine at once.
func (c *cluster) send(o *owner, p wick.Fingerprint) {
	verdict := o.registry.Evaluate(0, p)
	if verdict == Stopped && p != killer {
		c.t.Fatalf("innocent %d is stopped", p)
	}
	if verdict == Stopped || o.alone || verdict == RunAlone && len(o.inFlight) > 0 {
		return
	}
	o.inFlight = append(o.inFlight, p)
	o.alone = verdict == RunAlone
	if p != killer {
		return
	}
	if o.knownCrashes < c.crashes {
		c.uninformed++
	} else {
		o.knownCrashes++
	}
	c.crashes++
	reports := o.registry.Crashed(0, o.inFlight)
	o.inFlight, o.alone = nil, false
	for _, peer := range c.owners {
		if peer != o {
			peer.inbox = append(peer.inbox, reports)
		}
	}
}

func (c *cluster) finish(o *owner) {
	for _, p := range o.inFlight {
		o.registry.Finished(0, p)
	}
	o.inFlight, o.alone = nil, false
}

// deliver delivers all reports to an owner, in random order and some of them
// repeatedly.
func (c *cluster) deliver(o *owner) {
	for len(o.inbox) > 0 {
		i := rapid.IntRange(0, len(o.inbox)-1).Draw(c.t, "report")
		o.registry.ApplyReports(0, o.inbox[i])
		if rapid.IntRange(0, 3).Draw(c.t, "twice") > 0 {
			o.inbox = append(o.inbox[:i], o.inbox[i+1:]...)
		}
	}
	o.knownCrashes = c.crashes
}

func TestCrashesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{t: t}
		for range rapid.IntRange(1, 5).Draw(t, "owners") {
			c.owners = append(c.owners, &owner{registry: New(Config{})})
		}
		randomOwner := func(t *rapid.T) *owner {
			return c.owners[rapid.IntRange(0, len(c.owners)-1).Draw(t, "owner")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"innocent": func(t *rapid.T) {
				c.send(randomOwner(t), wick.Fingerprint(rapid.IntRange(2, 6).Draw(t, "fingerprint")))
			},
			"killer":  func(t *rapid.T) { c.send(randomOwner(t), killer) },
			"finish":  func(t *rapid.T) { c.finish(randomOwner(t)) },
			"deliver": func(t *rapid.T) { c.deliver(randomOwner(t)) },
			"": func(t *rapid.T) {
				if c.crashes > 2+c.uninformed {
					t.Fatalf("%d crashes, but only %d uninformed dispatches", c.crashes, c.uninformed)
				}
			},
		})
	})
}
