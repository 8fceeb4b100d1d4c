package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"currantwick"
	"currantwick/crash"
)

// A request is a suspect if it, or a part of its prompt, was pending when an endpoint
// crashed. One attempt at a time may be sent, on trial; the others wait for its result.

const (
	// trialInterval is how often a suspect asks for a trial.
	trialInterval = 100 * time.Millisecond
	// maxTrialWait bounds the wait for a trial, or for the result of another one.
	maxTrialWait = time.Second
)

// checkStopped returns an error if the request is known to crash endpoints.
func (t *task) checkStopped() error {
	if verdict, keys := t.server.cfg.Control.View().Verdicts.Of(t.fingerprint, t.parts); verdict == crash.Stopped {
		return t.stopped(keys)
	}
	return nil
}

// stopped returns the error of a request that crashes endpoints because it has the
// given fingerprints.
func (t *task) stopped(keys []wick.Fingerprint) error {
	format := "requests with %v crash endpoints"
	if t.ran > 0 {
		return wick.Unknownf(wick.CodeBroken, format, t.describe(keys))
	}
	return wick.NotRunf(wick.CodeKilled, format, t.describe(keys))
}

// describe names the parts of the request's prompt that have the given
// fingerprints, or its own fingerprint.
func (t *task) describe(keys []wick.Fingerprint) []string {
	var list []string
	for _, f := range keys {
		name := "fingerprint " + f.String()
		for _, p := range t.exchange.Parts {
			if partFingerprint(p.ID) == f {
				name = "part " + string(p.ID)
			}
		}
		list = append(list, name)
	}
	return list
}

// awaitTrial returns once the request may be sent, and whether it had to wait: a
// suspect waits for a trial or for the result of another attempt.
func (t *task) awaitTrial(ctx context.Context) (waited bool, err error) {
	s := t.server
	end := s.cfg.Clock.Now().Add(min(maxTrialWait, t.remaining()/2))
	var asked wick.Instant
	for {
		v, now := s.cfg.Control.View(), s.cfg.Clock.Now()
		verdict, keys := v.Verdicts.Of(t.fingerprint, t.parts)
		switch verdict {
		case crash.Clear:
			t.endTrial()
			return waited, nil
		case crash.Stopped:
			return waited, t.stopped(keys)
		}
		if v.Trials[t.trial] {
			return waited, nil
		}
		if now >= end {
			return waited, t.refuse(wick.CodeOverload, "%v was pending when an endpoint crashed, and another attempt is on trial", t.describe(keys))
		}
		if t.trial == 0 {
			t.trial = wick.TrialID(rand.Uint64())
		}
		if asked == 0 || now.Sub(asked) >= trialInterval {
			asked = now
			s.cfg.Control.RequestTrial(wick.TrialRequest{Trial: t.trial, Suspects: keys})
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

// answered clears the request and the parts of its prompt: an endpoint has begun to
// answer it.
func (t *task) answered() {
	s := t.server
	s.cfg.AnsweredParts.Add(s.cfg.Clock.Now(), t.parts)
	if _, suspects := s.cfg.Control.View().Verdicts.Of(t.fingerprint, t.parts); len(suspects) > 0 {
		s.cfg.Control.ReportAnswered(suspects)
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
		Endpoint: startOf(r),
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
	if h := t.besideLeg; h != nil {
		h.judging = judged
		return
	}
	select {
	case <-judged:
	case <-ctx.Done():
	}
}
