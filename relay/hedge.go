package relay

import (
	"context"
	"time"

	"currantwick"
	"currantwick/limit"
	"currantwick/tally"

	"golang.org/x/sync/errgroup"
)

// ending is how one attempt ended.
type ending struct {
	attempt *attempt
	fail    *wick.Error
}

// tryAt tries one endpoint, and for short idempotent work a second one beside
// it if the first takes unusually long. Whichever answers first wins.
func (r *Relay) tryAt(ctx context.Context, t *task, target wick.Target) *wick.Error {
	t.restart()
	if t.haveTokens > 0 {
		r.cfg.Note.Resume()
	}
	hedger := r.hedger(t.resolved.Pool.Name)
	if hedger == nil || !t.short() {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		return r.try(ctx, t, t.open(target, cancel))
	}
	hedger.Began()
	began := time.Now()
	fail := r.hedged(ctx, t, target, hedger)
	if fail == nil {
		hedger.Took(t.firstAnswer(began))
	}
	return fail
}

// firstAnswer returns the time from the start of a try to its first token, or to
// the reply of a service.
func (t *task) firstAnswer(began time.Time) time.Duration {
	if t.work == nil {
		return time.Since(began)
	}
	return t.started.Add(t.firstAfter).Sub(began)
}

// hedged runs one attempt, and a second one once the hedger's delay has passed
// without an answer.
func (r *Relay) hedged(ctx context.Context, t *task, target wick.Target, hedger wick.Hedger) *wick.Error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	ends := make(chan ending, 2)
	start := func(target wick.Target) {
		actx, cancel := context.WithCancel(ctx)
		a := t.open(target, cancel)
		group.Go(func() error {
			defer cancel()
			ends <- ending{a, r.try(actx, t, a)}
			return nil
		})
	}
	start(target)
	attempts := 1
	timer := hedgeTimer(hedger)
	defer timer.Stop()
	var last *wick.Error
	for attempts > 0 {
		select {
		case e := <-ends:
			attempts--
			last = t.worse(last, e)
		case <-timer.C:
			if t.answering() || !hedger.Hedge() {
				continue
			}
			second, ok := r.pickBeside(t, target)
			if !ok {
				continue
			}
			r.cfg.Note.Hedge()
			start(second)
			attempts++
		}
	}
	_ = group.Wait()
	if t.whole() {
		return nil
	}
	return last
}

// hedgeTimer returns a timer for the second attempt, stopped if there is to be
// none.
func hedgeTimer(hedger wick.Hedger) *time.Timer {
	delay, ok := hedger.Delay()
	timer := time.NewTimer(delay)
	if !ok {
		timer.Stop()
	}
	return timer
}

// pickBeside chooses another endpoint than the one that is tried already.
func (r *Relay) pickBeside(t *task, target wick.Target) (wick.Target, bool) {
	avoid := t.avoid
	t.avoid = append(avoid[:len(avoid):len(avoid)], target.Endpoint)
	defer func() { t.avoid = avoid }()
	second, ok := r.pick(t)
	return second, ok && second.Endpoint != target.Endpoint
}

// worse returns which of two failures counts for the task: that of the attempt
// that began to answer, else one after which an endpoint may have run it.
func (t *task) worse(last *wick.Error, e ending) *wick.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last == nil || t.winner == e.attempt || last.Outcome == wick.NotRun && e.fail != nil {
		return e.fail
	}
	return last
}

// whole reports whether the answer's end was passed on.
func (t *task) whole() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end != nil
}

// hedger returns the hedger of a pool; nil if its settings are out of range,
// which the start of the daemon would have refused.
func (r *Relay) hedger(pool wick.PoolName) wick.Hedger {
	if h, ok := r.hedgers.Load(pool); ok {
		return h.(*tally.Hedges)
	}
	h, err := limit.NewHedger(r.cfg.Hedge)
	if err != nil {
		return nil
	}
	kept, _ := r.hedgers.LoadOrStore(pool, tally.NewHedges(h))
	return kept.(*tally.Hedges)
}
