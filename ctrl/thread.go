// Package ctrl is the one control thread of a daemon. It owns all control
// state: configuration, view and lease, the endpoints the daemon owns, claims,
// and budgets. Events go in; what the decision packages answer goes out through
// wick.Outside and to the waiting runs; traffic goroutines read an immutable
// Snapshot.
package ctrl

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"currantwick"
)

// eventBuffer is how many events may wait for the control thread before their
// senders do.
const eventBuffer = 4096

// Thread runs the control state. Its methods are safe for concurrent use.
type Thread struct {
	cfg    Config
	events chan Event
	snap   atomic.Pointer[Snapshot]
	gate   *gate
	// state belongs to Run from its start on.
	state *state
	done  chan struct{}
}

// New returns a thread that Run starts.
func New(cfg Config) (*Thread, error) {
	g := &gate{}
	s, err := newState(cfg, g)
	if err != nil {
		return nil, fmt.Errorf("control thread: %w", err)
	}
	t := &Thread{
		cfg:    cfg,
		events: make(chan Event, eventBuffer),
		gate:   g,
		state:  s,
		done:   make(chan struct{}),
	}
	t.snap.Store(s.snapshot(cfg.Clock.Now()))
	return t, nil
}

// Snapshot returns the newest control state. It never changes.
func (t *Thread) Snapshot() *Snapshot { return t.snap.Load() }

// Post hands an event to the thread. It waits while the thread is busy, and
// does nothing once the thread has ended.
func (t *Thread) Post(e Event) {
	select {
	case t.events <- e:
	case <-t.done:
	}
}

// Done is closed when the thread has ended.
func (t *Thread) Done() <-chan struct{} { return t.done }

// Run handles events until ctx ends. out carries out what is decided.
func (t *Thread) Run(ctx context.Context, out wick.Outside) error {
	defer close(t.done)
	s := t.state
	s.out = out
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-t.events:
			e.apply(s, t.cfg.Clock.Now())
			t.drain(s)
		case <-timer.C:
		}
		now := t.cfg.Clock.Now()
		s.tick(now)
		if s.publishes(now) {
			t.snap.Store(s.snapshot(now))
		}
		timer.Reset(max(0, s.next().Sub(t.cfg.Clock.Now())))
	}
}

// drain applies the events that wait already, so that one tick and one
// snapshot serve them all.
func (t *Thread) drain(s *state) {
	for range eventBuffer {
		select {
		case e := <-t.events:
			e.apply(s, t.cfg.Clock.Now())
		default:
			return
		}
	}
}
