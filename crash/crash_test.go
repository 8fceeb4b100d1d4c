package crash

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantwick"
)

const minute = wick.Instant(time.Minute)

func prints(n ...wick.Fingerprint) []wick.Fingerprint { return n }

func TestRegister(t *testing.T) {
	tests := []struct {
		name string
		do   func(r *Register)
		at   wick.Instant
		want Verdict
	}{
		{"unknown", func(*Register) {}, 0, Clear},
		{"in flight at a crash", func(r *Register) { r.Crashed(0, prints(1, 2)) }, 0, Alone},
		{"alone at its first crash", func(r *Register) { r.Crashed(0, prints(1)) }, 0, Alone},
		{"twice beside others", func(r *Register) {
			r.Crashed(0, prints(1, 2))
			r.Crashed(0, prints(1, 3))
		}, 0, Alone},
		{"again, alone", func(r *Register) {
			r.Crashed(0, prints(1, 2))
			r.Crashed(0, prints(1))
		}, 0, Stopped},
		{"two copies of it", func(r *Register) {
			r.Crashed(0, prints(1, 1))
			r.Crashed(0, prints(1, 1))
		}, 0, Stopped},
		{"cleared", func(r *Register) {
			r.Crashed(0, prints(1, 2))
			r.Finished(0, 1)
		}, 0, Clear},
		{"cleared of old crashes only", func(r *Register) {
			r.Crashed(0, prints(1, 2))
			r.Finished(0, 1)
			r.Crashed(0, prints(1))
		}, 0, Alone},
		{"not cleared once stopped", func(r *Register) {
			r.Crashed(0, prints(1))
			r.Crashed(0, prints(1))
			r.Finished(0, 1)
		}, 0, Stopped},
		{"stale news of what it was cleared of", func(r *Register) {
			news := r.Crashed(0, prints(1, 2))
			r.Finished(0, 1)
			r.Learn(0, news)
		}, 0, Clear},
		{"expired", func(r *Register) { r.Crashed(0, prints(1, 2)) }, 10 * minute, Clear},
		{"expired news", func(r *Register) {
			r.Learn(0, []wick.Suspect{{Print: 1, Crashes: 1, Age: wick.Duration(10 * time.Minute)}})
		}, 0, Clear},
		{"stopped for longer", func(r *Register) {
			r.Learn(0, []wick.Suspect{{Print: 1, Crashes: 2, Alone: true}})
		}, 30 * minute, Stopped},
		{"stopped while it is still sent", func(r *Register) {
			r.Learn(0, []wick.Suspect{{Print: 1, Crashes: 2, Alone: true}})
			r.Judge(50*minute, 1)
		}, 100 * minute, Stopped},
		{"a crash beside others at an owner that had not heard", func(r *Register) {
			r.Learn(0, []wick.Suspect{{Print: 1, Crashes: 2, Alone: true}})
			r.Crashed(0, prints(1, 2))
		}, 0, Stopped},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(Config{})
			tt.do(r)
			if got := r.Judge(tt.at, 1); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestMemoryIsBounded(t *testing.T) {
	r := New(Config{Limit: 64})
	r.Crashed(0, prints(1))
	r.Crashed(0, prints(1))
	for p := wick.Fingerprint(2); p < 1000; p++ {
		r.Crashed(wick.Instant(p), prints(p, p+1000))
	}
	if len(r.entries) > 64 {
		t.Errorf("%d entries", len(r.entries))
	}
	if r.Judge(1000, 1) != Stopped {
		t.Error("forgot a stopped request before suspects")
	}
	if got := len(r.Suspects(1000, 10)); got != 10 {
		t.Errorf("%d suspects, want 10", got)
	}
}

// killer is the request that crashes every engine; all others are innocent.
const killer wick.Fingerprint = 1

// owner is a daemon with one engine.
type owner struct {
	register *Register
	flying   []wick.Fingerprint
	// alone tells that a suspect is in flight.
	alone bool
	// inbox holds the news that are under way.
	inbox [][]wick.Suspect
	// heard counts the killer's crashes if the owner knows of all; else it is
	// less.
	heard int
}

type cluster struct {
	t      *rapid.T
	owners []*owner
	// crashes counts the killer's, and uninformed its dispatches by owners
	// that had not heard of all earlier ones.
	crashes    int
	uninformed int
}

// send dispatches a request if the owner may, and lets the engine run it.
func (c *cluster) send(o *owner, p wick.Fingerprint) {
	verdict := o.register.Judge(0, p)
	if verdict == Stopped && p != killer {
		c.t.Fatalf("innocent %d is stopped", p)
	}
	if verdict == Stopped || o.alone || verdict == Alone && len(o.flying) > 0 {
		return
	}
	o.flying = append(o.flying, p)
	o.alone = verdict == Alone
	if p != killer {
		return
	}
	if o.heard < c.crashes {
		c.uninformed++
	} else {
		o.heard++
	}
	c.crashes++
	news := o.register.Crashed(0, o.flying)
	o.flying, o.alone = nil, false
	for _, peer := range c.owners {
		if peer != o {
			peer.inbox = append(peer.inbox, news)
		}
	}
}

func (c *cluster) finish(o *owner) {
	for _, p := range o.flying {
		o.register.Finished(0, p)
	}
	o.flying, o.alone = nil, false
}

// hear delivers all news to an owner, in any order and some twice.
func (c *cluster) hear(o *owner) {
	for len(o.inbox) > 0 {
		i := rapid.IntRange(0, len(o.inbox)-1).Draw(c.t, "news")
		o.register.Learn(0, o.inbox[i])
		if rapid.IntRange(0, 3).Draw(c.t, "twice") > 0 {
			o.inbox = append(o.inbox[:i], o.inbox[i+1:]...)
		}
	}
	o.heard = c.crashes
}

func TestKillerIsStopped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{t: t}
		for range rapid.IntRange(1, 5).Draw(t, "owners") {
			c.owners = append(c.owners, &owner{register: New(Config{})})
		}
		one := func(t *rapid.T) *owner {
			return c.owners[rapid.IntRange(0, len(c.owners)-1).Draw(t, "owner")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"innocent": func(t *rapid.T) {
				c.send(one(t), wick.Fingerprint(rapid.IntRange(2, 6).Draw(t, "print")))
			},
			"killer": func(t *rapid.T) { c.send(one(t), killer) },
			"finish": func(t *rapid.T) { c.finish(one(t)) },
			"hear":   func(t *rapid.T) { c.hear(one(t)) },
			"": func(t *rapid.T) {
				if c.crashes > 2+c.uninformed {
					t.Fatalf("%d crashes, %d of them uninformed", c.crashes, c.uninformed)
				}
			},
		})
	})
}
