package direct

import (
	"sync"
	"time"

	"currantwick"
	"currantwick/coord"
)

// stallInterval is how often a stalled stream that can't move is looked at again.
const stallInterval = 100 * time.Millisecond

// stallWatch moves a stream on which no complete event arrives for too long, even if
// bytes do, to another endpoint. It breaks the stream off only if the next attempt is
// possible; otherwise the stream stays, since its endpoint may go on.
type stallWatch struct {
	after time.Duration
	// mayMove reports whether the stream may move, and pays for the retry if so. begun is
	// set once an event was complete.
	mayMove func(begun bool) bool
	cancel  func()

	// mu is held while mayMove runs, which reads the task.
	mu    sync.Mutex
	timer *time.Timer
	// moved is set once the stream was broken off, and stopped at its end. begun is set
	// once an event of the answer was complete.
	moved, stopped, begun bool
}

// watchStall returns a watch on a stream, or nil if no other endpoint may continue it.
// It acts shortly before callers give up.
func (t *task) watchStall(from *incoming) *stallWatch {
	if !t.route.Resumable || t.ran >= t.route.Attempts {
		return nil
	}
	w := &stallWatch{
		after:   t.latestBegin(),
		mayMove: func(begun bool) bool { return t.payForMove(from.target.runner.Name, begun) },
		cancel:  from.cancel,
		begun:   t.started,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.after, w.check)
	return w
}

func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.moved || w.stopped {
		return
	}
	if w.moved = w.mayMove(w.begun); w.moved {
		w.cancel()
		return
	}
	w.timer.Reset(stallInterval)
}

// reset starts the time again. It must be called at each complete event.
func (w *stallWatch) reset() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begun = true
	w.timer.Reset(w.after)
}

// stop ends the watch. It reports whether the stream was broken off, so that the next
// attempt is paid for.
func (w *stallWatch) stop() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.moved
}

// payForMove reports whether the request may continue at an endpoint other than from,
// and takes the retry out of the budget if so. A stream that has not begun stays once
// pick would refuse it as too late.
func (t *task) payForMove(from wick.EndpointName, begun bool) bool {
	s := t.server
	v, now := s.cfg.Control.View(), s.cfg.Clock.Now()
	if !begun && now.Sub(t.start) >= t.latestBegin() {
		return false
	}
	if t.remaining() < minRemaining || !t.hasOther(v, now, from) {
		return false
	}
	return s.cfg.Retry.Spend(v.Daemons)
}

// hasOther reports whether an endpoint other than from may serve the request.
func (t *task) hasOther(v *coord.View, now wick.Instant, from wick.EndpointName) bool {
	for _, r := range v.Pools[t.pool] {
		if r.Name == from || t.avoid[r.Name] || t.server.cfg.Pauses.Until(now, startOf(r)) > 0 {
			continue
		}
		if t.canServe(v, r, now) {
			return true
		}
	}
	return false
}
