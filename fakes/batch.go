package fakes

import (
	"context"
	"slices"
	"strings"
	"time"

	"currantwick"
	"currantwick/pause"

	"github.com/valyala/fasthttp"
)

// sequence is a request that an engine runs or queues.
type sequence struct {
	request wick.RequestID
	model   string
	prompt  string
	level   wick.Level
	key     uint32
	// max is the length of the whole answer.
	max  wick.Tokens
	conn *conn
	// changed holds a value after a field below has changed.
	changed chan struct{}

	// The engine's lock guards these.
	ready wick.Tokens // length of the answer so far, at most max
	err   *failureText
	// broken is set when the request ends without an answer: the engine crashed
	// or closed, or the caller has gone.
	broken bool
	// canceled is set when nobody waits for the answer any more.
	canceled bool
}

func (s *sequence) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// runBatch runs the steps of the batch until the engine closes.
func (e *Engine) runBatch(ctx context.Context) error {
	for {
		d, ok := e.beginStep()
		if !ok {
			select {
			case <-ctx.Done():
				return nil
			case <-e.wake:
			}
			continue
		}
		if !pause.For(ctx, d) {
			return nil
		}
		if ch := e.server.freezeEnd(); ch != nil {
			select {
			case <-ctx.Done():
				return nil
			case <-ch:
			}
		}
		e.endStep()
	}
}

func (e *Engine) wakeBatch() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// beginStep fills the batch from the queue and returns the duration of the next
// step, or false if the batch is empty.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropCanceled()
	var prefill wick.Tokens
	for len(e.waiting) > 0 && len(e.running) < int(e.cfg.BatchSlots) {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		prefill += e.startSequence(s)
	}
	n := len(e.running)
	if n == 0 {
		return 0, false
	}
	e.stats.Steps++
	e.stats.BatchSum += n
	d := e.cfg.Base + wick.Duration(n)*e.cfg.PerSequence + wick.Duration(prefill)*e.cfg.PerPromptToken
	return time.Duration(float64(d) * e.faults.slow), true
}

// dropCanceled removes the requests that are canceled or whose callers have
// disconnected; e.mu is held.
func (e *Engine) dropCanceled() {
	gone := func(s *sequence) bool {
		if !s.canceled && !s.conn.gone() {
			return false
		}
		s.broken = true
		s.notify()
		e.stats.Canceled++
		return true
	}
	e.running = slices.DeleteFunc(e.running, gone)
	e.waiting = slices.DeleteFunc(e.waiting, gone)
}

// startSequence adds a request to the batch and returns how many tokens must be
// prefilled; e.mu is held.
func (e *Engine) startSequence(s *sequence) wick.Tokens {
	if !e.serves(s.model) {
		e.stats.NotResident++
		s.err = &failureText{Message: "model " + s.model + " was unloaded", NotRun: true}
		s.notify()
		return 0
	}
	e.stats.Runs[s.request]++
	e.stats.RunsOn[s.model]++
	if wrongModel(s.prompt, s.model) {
		e.stats.WrongModel++
	}
	e.running = append(e.running, s)
	if e.faults.killMarker != "" && strings.Contains(s.prompt, e.faults.killMarker) {
		e.crash(e.faults.killDown)
		return 0
	}
	cached := e.prefix.use(s.model, s.prompt)
	uncached := promptTokens(s.prompt) + s.ready - cached
	e.stats.Cached += cached
	e.stats.Prefilled += uncached
	return uncached
}

// wrongModel reports whether a prompt contains "want:NAME" with the name of
// another model.
func wrongModel(prompt, model string) bool {
	_, rest, ok := strings.Cut(prompt, "want:")
	if !ok {
		return false
	}
	want, _, _ := strings.Cut(rest, " ")
	return want != model
}

// endStep adds one token to each request in the batch and removes the finished
// ones.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		if s.ready < s.max {
			s.ready++
			e.stats.Tokens++
		}
		s.notify()
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if s.ready < s.max {
			return false
		}
		e.stats.Finished++
		return true
	})
}

// serves reports whether the engine can run a model now; e.mu is held.
func (e *Engine) serves(model string) bool {
	return model == string(e.cfg.Model) || e.resident[model]
}

// submit queues a request by priority level, or returns the status and text of
// a refusal.
func (e *Engine) submit(s *sequence) (status int, text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lifetime.Err() != nil {
		return fasthttp.StatusServiceUnavailable, "engine is closing"
	}
	if !e.serves(s.model) {
		e.stats.NotResident++
		return fasthttp.StatusNotFound, "model " + s.model + " is not resident"
	}
	if e.queueFull() {
		e.stats.QueueFull++
		return fasthttp.StatusTooManyRequests, "queue is full"
	}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].level < s.level {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, s)
	e.wakeBatch()
	return fasthttp.StatusOK, ""
}

// queueFull reports whether the queue has reached its bound. A request waits for
// the next step even if the batch has free slots, so the batch slots count too;
// e.mu is held.
func (e *Engine) queueFull() bool {
	bound := e.cfg.BatchSlots + e.cfg.QueueBound
	return e.cfg.QueueBound > 0 && len(e.waiting)+len(e.running) >= int(bound)
}

// cancel removes a request at the next step.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.canceled = true
	e.wakeBatch()
}

// abortAll ends all requests without an answer; e.mu is held.
func (e *Engine) abortAll() {
	for _, s := range slices.Concat(e.waiting, e.running) {
		s.broken = true
		s.notify()
	}
	e.waiting = nil
	e.running = nil
}

// crash drops all connections and all state, and restarts the engine after d;
// e.mu is held.
func (e *Engine) crash(d time.Duration) {
	e.abortAll()
	e.stats.Crashes++
	e.server.crash(d)
	e.clearState()
}
