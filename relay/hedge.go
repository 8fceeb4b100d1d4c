package relay

import (
	"context"
	"time"

	"currantwick"
	"currantwick/limit"

	"golang.org/x/sync/errgroup"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	attempt *attempt
	fail    *wick.Error
}

// tryTarget runs the task on one endpoint. Short idempotent work is hedged: if
// the first endpoint takes unusually long, a second one runs the task too, and
// the first to respond is used.
func (r *Relay) tryTarget(ctx context.Context, t *task, target wick.Target) *wick.Error {
	t.resetAttempts()
	if t.haveTokens > 0 {
		r.cfg.Observer.StreamResumed()
	}
	hedger := r.hedgers.Of(t.resolved.Pool.Name)
	if hedger == nil || !t.mayHedge() {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		return r.runAttempt(ctx, t, t.open(target, cancel))
	}
	hedger.RequestStarted()
	began := time.Now()
	fail := r.runHedged(ctx, t, target, hedger)
	if fail == nil {
		hedger.ObserveLatency(t.firstLatency(began))
	}
	return fail
}

// firstLatency returns the time to the first token, or to the reply of a service,
// from began, the start of the attempts on a target. firstTokenAfter counts from
// the start of the task.
func (t *task) firstLatency(began time.Time) time.Duration {
	if t.work == nil {
		return time.Since(began)
	}
	return t.started.Add(t.firstTokenAfter).Sub(began)
}

// runHedged runs one attempt, and a second one if the hedger's delay passes
// before the first responds.
func (r *Relay) runHedged(ctx context.Context, t *task, target wick.Target, hedger wick.Hedger) *wick.Error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	results := make(chan attemptResult, 2)
	start := func(target wick.Target) {
		actx, cancel := context.WithCancel(ctx)
		a := t.open(target, cancel)
		group.Go(func() error {
			defer cancel()
			results <- attemptResult{a, r.runAttempt(actx, t, a)}
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
		case e := <-results:
			attempts--
			last = t.mergeFailure(last, e)
		case <-timer.C:
			if t.hasWinner() || !hedger.TryHedge() {
				continue
			}
			second, ok := r.pickSecond(t, target)
			if !ok {
				continue
			}
			r.cfg.Observer.HedgeStarted()
			start(second)
			attempts++
		}
	}
	_ = group.Wait()
	if t.complete() {
		return nil
	}
	return last
}

// hedgeTimer returns the timer for the second attempt; it is stopped if the
// hedger allows none.
func hedgeTimer(hedger wick.Hedger) *time.Timer {
	delay, ok := hedger.Delay()
	timer := time.NewTimer(delay)
	if !ok {
		timer.Stop()
	}
	return timer
}

// pickSecond picks an endpoint other than target for a hedged attempt.
func (r *Relay) pickSecond(t *task, target wick.Target) (wick.Target, bool) {
	avoid := t.avoid
	t.avoid = append(avoid[:len(avoid):len(avoid)], target.Endpoint)
	defer func() { t.avoid = avoid }()
	second, ok := r.pick(t)
	return second, ok && second.Endpoint != target.Endpoint
}

// mergeFailure returns which of two failures counts for the task: the winner's,
// else one with outcome Unknown, after which an endpoint may have run the task.
func (t *task) mergeFailure(last *wick.Error, e attemptResult) *wick.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last == nil || t.winner == e.attempt || last.Outcome == wick.NotRun && e.fail != nil {
		return e.fail
	}
	return last
}

// complete reports whether the end of the response was forwarded.
func (t *task) complete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end != nil
}

// newHedger returns a hedger, or nil if its settings are out of range. A daemon with
// such settings does not start.
func (r *Relay) newHedger(wick.PoolName) wick.Hedger {
	h, err := limit.NewHedger(r.cfg.Hedge)
	if err != nil {
		return nil
	}
	return h
}
