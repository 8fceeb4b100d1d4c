package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"currantwick"
	"currantwick/crash"
)

// A request that was pending when an endpoint crashed is a suspect. One attempt at
// a time may be sent, on trial; the others wait for its result.

const (
	// trialInterval is how often a suspect asks for a trial.
	trialInterval = 100 * time.Millisecond
	// maxTrialWait bounds the wait for a trial, or for the result of another one.
	maxTrialWait = time.Second
)

// checkStopped returns an error if the request is known to crash endpoints.
func (t *task) checkStopped() error {
	if t.server.cfg.Control.View().Verdicts[t.fingerprint] == crash.Stopped {
		return t.stopped()
	}
	return nil
}

// stopped returns the error of a request that crashed endpoints.
func (t *task) stopped() error {
	if t.ran > 0 {
		return wick.Unknownf(wick.CodeBroken, "the request crashed its endpoints")
	}
	return wick.NotRunf(wick.CodeKilled, "the request crashed its endpoints")
}

// awaitTrial returns once the request may be sent, and whether it had to wait: a
// suspect waits for a trial or for the result of another attempt.
func (t *task) awaitTrial(ctx context.Context) (waited bool, err error) {
	s := t.server
	end := s.cfg.Clock.Now().Add(min(maxTrialWait, t.remaining()/2))
	var asked wick.Instant
	for {
		v, now := s.cfg.Control.View(), s.cfg.Clock.Now()
		switch v.Verdicts[t.fingerprint] {
		case crash.Clear:
			t.endTrial()
			return waited, nil
		case crash.Stopped:
			return waited, t.stopped()
		}
		if v.Trials[t.trial] {
			return waited, nil
		}
		if now >= end {
			return waited, t.refuse(wick.CodeOverload, "the request was pending when an endpoint crashed, and another attempt is on trial")
		}
		if t.trial == 0 {
			t.trial = wick.TrialID(rand.Uint64())
		}
		if asked == 0 || now.Sub(asked) >= trialInterval {
			asked = now
			s.cfg.Control.RequestTrial(wick.TrialRequest{Trial: t.trial, Request: t.fingerprint})
		}
		timer := time.NewTimer(min(trialInterval, end.Sub(now)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return waited, t.contextError(ctx, errors.New("waiting for the trial of a suspect"))
		case <-v.Changed():
		case <-timer.C:
		}
		timer.Stop()
		waited = true
	}
}

// onTrial reports whether the request is sent on trial.
func (t *task) onTrial() bool { return t.trial != 0 && t.server.cfg.Control.View().Trials[t.trial] }

// endTrial gives up the request's trial.
func (t *task) endTrial() {
	if t.trial != 0 {
		t.server.cfg.Control.EndTrial(t.trial)
		t.trial = 0
	}
}

// answered clears the request if it is a suspect: an endpoint has begun to answer
// it.
func (t *task) answered() {
	if t.server.cfg.Control.View().Verdicts[t.fingerprint] != crash.Clear {
		t.server.cfg.Control.ReportAnswered(t.fingerprint)
	}
	t.endTrial()
}

// reportBroken reports that an endpoint's answer broke off; begun is set if a part
// of it that callers can use had arrived. If the request may be sent again, it
// waits until it is known whether the endpoint crashed.
func (t *task) reportBroken(ctx context.Context, to target, begun bool) {
	r := to.runner
	judged := make(chan struct{})
	t.server.cfg.Control.ReportBroken(wick.BrokenAttempt{
		Endpoint: wick.CrashID{Endpoint: r.Name, Started: r.Started},
		Address:  r.Address,
		Request:  wick.PendingRequest{Request: t.fingerprint, Parts: t.parts, Trial: t.onTrial()},
		Trial:    t.trial,
		Begun:    begun,
		Judged:   judged,
	})
	t.trial = 0 // It ends with the judgment.
	if !t.mayRerun() || t.ran >= t.route.Attempts {
		return
	}
	select {
	case <-judged:
	case <-ctx.Done():
	}
}
