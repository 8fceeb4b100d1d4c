// Package ctrl implements the single control thread of a daemon. It owns all
// control state: configuration, view and lease, the endpoints the daemon owns,
// claims, and budgets. Events come in; what the decision packages return goes
// out through wick.ControlIO and to the waiting runs; traffic goroutines read an
// immutable Snapshot.
package ctrl

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"currantwick"
)

// eventBuffer is how many events may be queued for the control thread before
// their senders block.
const eventBuffer = 4096

// Thread is the control thread. Its methods are safe for concurrent use.
type Thread struct {
	cfg    Config
	events chan Event
	snap   atomic.Pointer[Snapshot]
	gate   *gate
	// state is used by Run alone once it has started.
	state *state
	done  chan struct{}
}

// New returns a thread to be started with Run.
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

// Snapshot returns the newest snapshot of the control state.
func (t *Thread) Snapshot() *Snapshot { return t.snap.Load() }

// Post queues an event for the thread. It blocks while the queue is full, and
// does nothing once the thread has ended.
func (t *Thread) Post(e Event) {
	select {
	case t.events <- e:
	case <-t.done:
	}
}

// Done returns a channel that is closed when the thread has ended.
func (t *Thread) Done() <-chan struct{} { return t.done }

// Run handles events until ctx ends. out carries out the decisions.
func (t *Thread) Run(ctx context.Context, out wick.ControlIO) error {
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
			t.applyQueued(s)
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

// applyQueued applies the events that are already queued, so that one tick and
// one snapshot cover them all.
func (t *Thread) applyQueued(s *state) {
	for range eventBuffer {
		select {
		case e := <-t.events:
			e.apply(s, t.cfg.Clock.Now())
		default:
			return
		}
	}
}
