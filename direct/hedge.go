package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"currantwick"
	"currantwick/choose"
	"currantwick/crash"
)

// A hedged attempt runs each sending in a leg, a goroutine that reads the answer up to
// the point where it may be passed on: the whole of a buffered answer, the first
// complete event of a stream. Only the goroutine of the task reads and changes the
// task and writes to the caller; legs share nothing but the race.

// lostFactor is the assumed duration of a first attempt that lost, relative to the time
// after which it was canceled. With 1, a slow endpoint looks nearly as fast as others once
// its slow answers are hedged: in the case of one slow endpoint in TestHedgesUnderLoad it
// then got so many requests that the 99th percentile was 70 ms instead of 40 ms.
const lostFactor = 2

// maxLegs is the number of sendings that run at once.
const maxLegs = 2

// hedgerFor returns the hedger of the next attempt, or nil if the attempt must not be
// hedged.
func (t *task) hedgerFor() wick.Hedger {
	if t.server.cfg.Hedgers == nil || !t.mayRerun() || t.started || t.trial != 0 || t.ran+maxLegs > t.route.Attempts {
		return nil
	}
	return t.server.cfg.Hedgers.Of(wick.HedgeKey{Route: t.route.Name, Pool: t.pool})
}

// newLeg returns a leg that sends the request to an endpoint.
func (t *task) newLeg(ctx context.Context, to target, estimate, remaining time.Duration, second bool) *leg {
	s := t.server
	to.runner.Meter.Start(t.weights, t.exchange.PromptTokens)
	l := &leg{
		target: to, attempt: t.newAttempt(to, remaining), estimate: estimate, second: second, sent: s.cfg.Clock.Now(),
		weight: t.weights, stream: t.route.Kind == wick.KindStream, prefilling: true,
	}
	l.ctx, l.cancel = context.WithCancel(ctx)
	return l
}

// attemptHedged sends the request to an endpoint, and to a second one if the first
// takes longer than the hedger's delay. It passes on the first answer.
func (t *task) attemptHedged(ctx context.Context, to target, hedger wick.Hedger, remaining time.Duration) error {
	if t.sends == 0 {
		hedger.RequestStarted()
	}
	r := newRace()
	defer func() { t.ran += r.close() }()
	first := t.newLeg(ctx, to, t.estimate, remaining, false)
	t.last = to.runner.Name
	t.markSent(to)
	h := hedged{task: t, race: r, hedger: hedger, first: first, admission: t.admission}
	first.admission, t.admission = t.admission, nil
	h.start(first)
	delay, ok := hedger.Delay()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	if !ok {
		timer.Stop()
	}
	for {
		select {
		case l := <-r.results:
			h.running--
			if !l.failed() {
				return h.pass(ctx, l)
			}
			if ended, err := h.fail(ctx, l); ended {
				return err
			}
		case <-timer.C:
			if h.hedge(ctx) == wick.HedgeLimit {
				// The limit is mostly used up by answers that come soon after the delay. The
				// slowest ones are tried again, later each time.
				timer.Reset(delay)
				delay *= 2
			}
		}
	}
}

// hedged is a hedged attempt in progress. It belongs to the goroutine of the task.
type hedged struct {
	task   *task
	race   *race
	hedger wick.Hedger
	first  *leg
	// admission is that of the first leg by the pool's gate; nil if there is none.
	admission *admission
	// running is the number of legs without a result.
	running int
	// failure is the failure of a leg while another was running, and held a leg with a
	// server error.
	failure *retryableError
	held    *leg
	// judging is closed once it is known whether the failure was a crash; nil if it is
	// no evidence of one.
	judging <-chan struct{}
}

// start runs a leg and counts the attempt, unless another leg has a result.
func (h *hedged) start(l *leg) bool {
	t, s := h.task, h.task.server
	if !h.race.start(l, s.cfg.Sender) {
		return false
	}
	s.cfg.Observer.AttemptSent(t.sends > 0)
	t.sends++
	h.running++
	return true
}

// hedge starts a second leg if that is allowed, and returns why it is not.
func (h *hedged) hedge(ctx context.Context) wick.HedgeDenial {
	t, s := h.task, h.task.server
	if h.race.isSettled() {
		return ""
	}
	to, estimate, denied := t.pickSecond(h.first.target)
	var admission *admission
	if denied == "" {
		var admitted bool
		if admission, admitted = t.admitHedge(h.admission, to); !admitted {
			denied = wick.HedgeRoom
		}
	}
	if denied == "" && !h.hedger.TryHedge() {
		denied = wick.HedgeLimit
	}
	if denied == "" && !s.cfg.Retry.SpendSpare(s.cfg.Control.View().Daemons) {
		denied = wick.HedgeBudget
	}
	if denied != "" {
		s.cfg.Observer.HedgeDenied(denied)
		admission.leave(s.cfg.Clock.Now())
		return denied
	}
	l := t.newLeg(ctx, to, estimate, t.remaining(), true)
	if l.admission = admission; admission != nil {
		admission.sent(to)
	}
	if !h.start(l) {
		l.end() // The first leg has just ended.
		return ""
	}
	s.cfg.Observer.HedgeSent()
	s.cfg.Log.Info("hedge sent", "request", t.exchange.Request, "first", h.first.target.runner.Name, "endpoint", to.runner.Name, "after_ms", l.sent.Sub(h.first.sent).Milliseconds())
	return ""
}

// pass passes on the answer of the leg that won.
func (h *hedged) pass(ctx context.Context, l *leg) error {
	t := h.task
	now := t.server.cfg.Clock.Now()
	// If the second leg won, the first one took at least this long.
	h.hedger.ObserveLatency(now.Sub(h.first.sent))
	if h.held != nil {
		h.dropHeld()
	}
	lost := !h.first.handled
	for _, other := range h.race.legs {
		if other != l && !other.handled {
			other.handled = true
			t.ran++ // It was canceled, but may have run.
		}
	}
	if l.second {
		t.server.cfg.Observer.HedgeWon()
		if lost {
			took := time.Duration(lostFactor * float64(now.Sub(h.first.sent)))
			h.first.target.runner.Meter.Observe(now, took-h.first.estimate, false)
			if t.isPlain() {
				// A plain service is chosen by its work. What was given up as slow counts as
				// late, or an endpoint that is slow at times gets as much as the others.
				h.first.target.runner.Meter.ObserveWork(now, max(took, t.route.Objective.Std()))
			}
		}
	}
	return h.merge(ctx, t.handleLeg(ctx, l))
}

// fail handles the failure of a leg. It reports whether the attempt has ended, and with
// which error.
func (h *hedged) fail(ctx context.Context, l *leg) (ended bool, err error) {
	t := h.task
	if h.running > 0 {
		if l.hasServerError() {
			h.held = l
			l.release()
			return false, nil
		}
		t.besideLeg = h
		err = t.handleLeg(ctx, l)
		t.besideLeg = nil
		l.end()
		return !errors.As(err, &h.failure), err
	}
	if h.held != nil {
		if l.hasServerError() {
			h.dropHeld()
		} else if err = t.handleLeg(ctx, l); !errors.As(err, &h.failure) {
			return true, err
		} else {
			l = h.held
		}
	}
	return true, h.merge(ctx, t.handleLeg(ctx, l))
}

// dropHeld gives up the held server error for the answer of the other leg, and records it
// as handleResponse does for an answer that is not passed on.
func (h *hedged) dropHeld() {
	t, l := h.task, h.held
	l.handled = true
	t.ran++
	t.applySignal(l.target, l.response.Signal)
	t.answered()
	t.recordFailure(l.target)
	l.end()
}

// merge returns the result of the attempt: that of the last leg, merged with the failure
// of the one before if the request may be sent again.
func (h *hedged) merge(ctx context.Context, err error) error {
	var last *retryableError
	if !errors.As(err, &last) {
		return err
	}
	if h.judging != nil && h.task.ran < h.task.route.Attempts { // Only a retry needs the judgment.
		select {
		case <-h.judging:
		case <-ctx.Done():
		}
	}
	if h.failure == nil {
		return err
	}
	// The second sending was paid for, so that if only one of the two arrived, the
	// next one is paid for.
	merged := &retryableError{cause: last.cause, unsent: last.unsent || h.failure.unsent, paid: last.paid}
	if merged.cause.Outcome == wick.NotRun {
		merged.cause = h.failure.cause
	}
	return merged
}

// handleLeg handles the result of a leg as that of an attempt.
func (t *task) handleLeg(ctx context.Context, l *leg) error {
	l.handled = true
	t.last, t.estimate = l.target.runner.Name, l.estimate
	// What is recorded about the answer belongs to the admission of this leg.
	t.admission, l.admission = l.admission, nil
	defer t.leaveGate()
	if l.err != nil {
		return t.handleSendError(ctx, l.target, wick.AsError(l.err))
	}
	return t.handleResponse(ctx, incoming{target: l.target, response: l.response, sent: l.sent, prefilled: l.prefilled, ctx: l.ctx, cancel: l.cancel})
}

// pickSecond picks an endpoint for a second attempt beside one that is running at
// first, or returns why there must be none.
func (t *task) pickSecond(first target) (target, time.Duration, wick.HedgeDenial) {
	s := t.server
	v, now := s.cfg.Control.View(), s.cfg.Clock.Now()
	remaining := t.remaining()
	if remaining < minRemaining {
		return target{}, 0, wick.HedgeTime
	}
	if verdict, _ := v.Verdicts.Of(t.fingerprint, t.parts); verdict != crash.Clear {
		return target{}, 0, wick.HedgeSuspect
	}
	t.newestReady = t.isNewestReady(v, now)
	list := v.Pools[t.pool]
	cands := t.candidates(v, now, list)
	t.avoidPaused(now, list, cands, rand.Float64())
	for i, r := range list {
		if r.Name == first.runner.Name {
			cands[i].Avoid = true
		}
	}
	i, estimate, denied := choose.PickHedge(t.input(v, now), cands, v.ServingConfig.Pools[t.pool].Engine != nil)
	switch {
	case denied != "":
		return target{}, 0, denied
	case i < 0:
		return target{}, 0, wick.HedgeEndpoint
	case estimate > remaining:
		return target{}, 0, wick.HedgeTime
	}
	res, _ := t.residence(v, list[i], now)
	return target{list[i], res.Revision, res.Ready}, estimate, ""
}
