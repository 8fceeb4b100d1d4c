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

// sequence is a request in an engine.
type sequence struct {
	request wick.RequestID
	model   string
	prompt  string
	level   wick.Level
	key     uint32
	// max is the length of the whole answer.
	max  wick.Tokens
	conn *conn
	// changed holds a value if a field below has changed.
	changed chan struct{}

	// The engine's lock guards these.
	ready wick.Tokens // length of the answer so far, at most max
	err   *failureText
	// broken tells that the engine crashed.
	broken bool
	// canceled tells that nobody waits for the answer any more.
	canceled bool
}

func (s *sequence) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// step runs the batch until the engine closes.
func (e *Engine) step(ctx context.Context) error {
	for {
		d, ok := e.begin()
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
		if ch := e.gate.thaw(); ch != nil {
			select {
			case <-ctx.Done():
				return nil
			case <-ch:
			}
		}
		e.end()
	}
}

func (e *Engine) kick() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// begin fills the batch and returns how long its next step takes, or false if
// there is nothing to do.
func (e *Engine) begin() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropCanceled()
	var prefill wick.Tokens
	for len(e.waiting) > 0 && len(e.running) < int(e.cfg.BatchSlots) {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		prefill += e.enter(s)
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

// dropCanceled takes out the requests whose callers have gone; e.mu is held.
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

// enter moves a request into the batch and returns how many tokens must be
// prefilled; e.mu is held.
func (e *Engine) enter(s *sequence) wick.Tokens {
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
	fresh := promptTokens(s.prompt) + s.ready - cached
	e.stats.Cached += cached
	e.stats.Prefilled += fresh
	return fresh
}

// wrongModel reports whether a prompt names the model it wants, and it is not
// the one.
func wrongModel(prompt, model string) bool {
	_, rest, ok := strings.Cut(prompt, "want:")
	if !ok {
		return false
	}
	want, _, _ := strings.Cut(rest, " ")
	return want != model
}

// end gives each request in the batch its next token.
func (e *Engine) end() {
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

// submit queues a request by its level, or refuses it with a status.
func (e *Engine) submit(s *sequence) (status int, text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life.Err() != nil {
		return fasthttp.StatusServiceUnavailable, "engine is closing"
	}
	if !e.serves(s.model) {
		e.stats.NotResident++
		return fasthttp.StatusNotFound, "model " + s.model + " is not resident"
	}
	if e.full() {
		e.stats.QueueFull++
		return fasthttp.StatusTooManyRequests, "queue is full"
	}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].level < s.level {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, s)
	e.kick()
	return fasthttp.StatusOK, ""
}

// full reports whether the queue is over its bound. Requests wait even for free
// places in the batch until the next step, so those places count; e.mu is held.
func (e *Engine) full() bool {
	bound := e.cfg.BatchSlots + e.cfg.QueueBound
	return e.cfg.QueueBound > 0 && len(e.waiting)+len(e.running) >= int(bound)
}

// cancel takes a request out at the next step.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.canceled = true
	e.kick()
}

// breakAll ends all requests without an answer; e.mu is held.
func (e *Engine) breakAll() {
	for _, s := range slices.Concat(e.waiting, e.running) {
		s.broken = true
		s.notify()
	}
	e.waiting = nil
	e.running = nil
}

// crash drops all connections and comes back cold after a time; e.mu is held.
func (e *Engine) crash(d time.Duration) {
	e.breakAll()
	e.stats.Crashes++
	e.gate.crash(d)
	e.cold()
}
