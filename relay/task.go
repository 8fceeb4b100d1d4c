package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"currantwick"
	"currantwick/config"

	"github.com/cespare/xxhash/v2"
)

// task is one request in progress, across all its attempts.
type task struct {
	req      wick.CallerRequest
	resolved config.Resolved
	offset   wick.Offset
	started  time.Time
	// deadline is the time by which the first token or the reply is due.
	deadline time.Time
	emit     func(wick.Frame) error
	work     *wick.Work
	call     *wick.Call
	// fingerprint identifies the content, prefix the prompt prefix.
	fingerprint wick.Fingerprint
	prefix      wick.Fingerprint
	cost        wick.Cost
	avoid       []wick.EndpointName
	// suspect is set when an endpoint crashed while it ran the task.
	suspect bool
	// moved is set when the task was taken away from an outlier.
	moved bool
	// brokenAt is when an attempt last failed with an unknown outcome.
	brokenAt time.Time
	// overloads counts rejections for overload.
	overloads int

	// mu guards the fields below, which hedged attempts share.
	mu sync.Mutex
	// attempts are the attempts in progress, winner the one whose response is
	// forwarded.
	attempts []*attempt
	winner   *attempt
	// startSent is set once FrameStart was forwarded.
	startSent bool
	// mayHaveRun is set when an endpoint may have run one of the attempts, so
	// that the task as a whole can't be reported as not run.
	mayHaveRun bool
	// have is the text forwarded so far, and haveTokens its number of tokens.
	have            strings.Builder
	haveTokens      wick.Tokens
	firstTokenAfter time.Duration
	end             *wick.Frame
}

const (
	// promptCost and outputCost are the estimated seconds for which a word of
	// the prompt and a token of the output occupy a batch slot. callCost is the
	// estimated cost of a call of a plain service.
	promptCost wick.Cost = 0.0002
	outputCost wick.Cost = 0.02
	callCost   wick.Cost = 0.02
	// maxHedgeCost bounds the cost of a task that may be hedged.
	maxHedgeCost wick.Cost = 2
	// resumeTimeout bounds how long after a break a stream is retried when
	// endpoints reject it for overload.
	resumeTimeout = 30 * time.Second
	// maxOverloads is the number of rejections for overload after which a task
	// fails, unless it resumes a stream.
	maxOverloads = 2
)

func newTask(req wick.CallerRequest, resolved config.Resolved, offset wick.Offset) *task {
	within := resolved.Priority.Deadline
	if req.TimeLeft > 0 && req.TimeLeft < within {
		within = req.TimeLeft
	}
	now := time.Now()
	return &task{
		req:      req,
		resolved: resolved,
		offset:   offset,
		started:  now,
		deadline: now.Add(within.Std()),
	}
}

// prepareCompletion sets up the task as a completion.
func (t *task) prepareCompletion(req wick.CallerRequest) *wick.Error {
	if t.resolved.Pool.Kind != wick.RunnerEndpoint {
		return wick.NotRunf(wick.CodeBadRequest, "route %s is no completion", req.Route)
	}
	bound := t.resolved.Route.MaxTokens
	if bound == 0 {
		bound = t.resolved.Model.Context
	}
	if req.MaxTokens > 0 {
		bound = min(bound, req.MaxTokens)
	}
	t.work = &wick.Work{
		Model:     t.resolved.Model.Name,
		Ref:       t.resolved.Route.Ref,
		Prompt:    req.Prompt,
		MaxTokens: bound,
	}
	t.fingerprint = fingerprintOf(req.Route, req.Prompt)
	t.prefix = wick.Fingerprint(xxhash.Sum64String(req.Prompt[:min(len(req.Prompt), prefixBytes)]))
	words := wick.Cost(strings.Count(req.Prompt, " ") + 1)
	t.cost = words*promptCost + wick.Cost(bound)*outputCost
	return nil
}

// prepareCall sets up the task as a call of a plain service.
func (t *task) prepareCall(req wick.CallerRequest) *wick.Error {
	route := t.resolved.Route
	if t.resolved.Pool.Kind != wick.ServiceEndpoint {
		return wick.NotRunf(wick.CodeBadRequest, "route %s is no service", req.Route)
	}
	if route.NonIdempotent && req.Key == "" {
		return wick.NotRunf(wick.CodeMissingKey, "route %s is non-idempotent and needs an idempotency key", req.Route)
	}
	if req.Key != "" {
		if err := req.Key.Check(); err != nil {
			return wick.NotRunf(wick.CodeBadRequest, "idempotency key: %v", err)
		}
	}
	t.call = &wick.Call{Path: route.Path, Body: req.Body, Key: req.Key, NonIdempotent: route.NonIdempotent}
	t.fingerprint = fingerprintOf(req.Route, string(req.Body))
	t.cost = callCost
	return nil
}

// attempt is one attempt to run a task on an endpoint. Each has a unique id, so
// that frames of an earlier attempt are never mistaken for its own.
type attempt struct {
	id wick.RequestID
	// cancel ends the attempt.
	cancel context.CancelFunc
	target wick.Target
}

// open adds an attempt to the task.
func (t *task) open(target wick.Target, cancel context.CancelFunc) *attempt {
	a := &attempt{
		id:     wick.RequestID(fmt.Sprintf("%s.%x", t.req.Request, rand.Uint64())),
		cancel: cancel,
		target: target,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, a)
	return a
}

// resetAttempts drops the attempts on the previous target.
func (t *task) resetAttempts() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts, t.winner = nil, nil
}

// hasWinner reports whether an attempt has begun to respond.
func (t *task) hasWinner() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.winner != nil
}

// submission returns the message that hands an attempt to the endpoint's owner.
func (t *task) submission(a *attempt, view wick.ViewNumber) wick.Submission {
	t.mu.Lock()
	defer t.mu.Unlock()
	sub := wick.Submission{
		Request:     a.id,
		Route:       t.req.Route,
		Endpoint:    a.target.Endpoint,
		View:        view,
		Config:      t.offset,
		Level:       t.resolved.Priority.Level,
		Sheddable:   t.resolved.Priority.Sheddable,
		TimeLeft:    t.timeLeft(),
		Fingerprint: t.fingerprint,
		Suspect:     t.suspect,
		Moved:       t.moved,
		Call:        t.call,
	}
	if t.work != nil {
		w := *t.work
		w.Have, w.HaveTokens = t.have.String(), t.haveTokens
		sub.Work = &w
	}
	return sub
}

// timeLeft returns the time left for the first token or the reply. A resumed
// stream gets the full deadline again. The caller must hold t.mu.
func (t *task) timeLeft() wick.Duration {
	if t.haveTokens > 0 {
		return t.resolved.Priority.Deadline
	}
	return wick.Duration(max(time.Until(t.deadline), time.Millisecond))
}

// errSuperseded ends an attempt when another one has begun to respond.
var errSuperseded = errors.New("another attempt has begun to respond")

// selectWinner makes a the winner and cancels the other attempts, unless there
// is a winner already. It reports whether a is the winner. The caller must hold
// t.mu.
func (t *task) selectWinner(a *attempt) bool {
	if t.winner != nil {
		return t.winner == a
	}
	t.winner = a
	for _, other := range t.attempts {
		if other != a {
			other.cancel()
		}
	}
	return true
}

// forward forwards one frame of an attempt to the caller. It rejects frames of
// other requests, and gaps and duplicates in the text.
func (t *task) forward(a *attempt, f wick.Frame) error {
	if f.Request != a.id {
		return wick.Unknownf(wick.CodeMismatch, "frame of request %s", f.Request)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f.Request = t.req.Request
	switch f.Kind {
	case wick.FrameStart:
		if t.startSent {
			return nil
		}
		t.startSent = true
	case wick.FrameText:
		if !t.selectWinner(a) {
			return errSuperseded
		}
		return t.forwardText(f)
	case wick.FrameEnd:
		if !t.selectWinner(a) {
			return errSuperseded
		}
		return t.forwardEnd(f)
	}
	return t.emitFrame(f)
}

func (t *task) forwardText(f wick.Frame) error {
	if f.Index != t.haveTokens {
		return wick.Unknownf(wick.CodeBroken, "text at token %d, want %d", f.Index, t.haveTokens)
	}
	if t.haveTokens == 0 {
		t.firstTokenAfter = time.Since(t.started)
	}
	t.haveTokens += f.Count
	t.have.WriteString(f.Text)
	return t.emitFrame(f)
}

func (t *task) forwardEnd(f wick.Frame) error {
	if t.work != nil {
		if f.Count != t.haveTokens {
			return wick.Unknownf(wick.CodeBroken, "answer of %d tokens, got %d", f.Count, t.haveTokens)
		}
		if f.Ran == nil || f.Ran.Ref != t.work.Ref {
			return wick.Unknownf(wick.CodeMismatch, "answer ran on another adapter than %s", t.work.Ref)
		}
	}
	t.end = &f
	return t.emitFrame(f)
}

// errCaller marks errors on the caller's side, after which nothing is retried.
var errCaller = errors.New("caller does not accept frames")

func (t *task) emitFrame(f wick.Frame) error {
	if err := t.emit(f); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

// attemptFailure converts the error of an attempt; nil means a complete response.
func (t *task) attemptFailure(err error) *wick.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case errors.Is(err, errCaller):
		return wick.Unknownf(wick.CodeCanceled, "caller went away")
	case errors.Is(err, errSuperseded):
		return wick.Unknownf(wick.CodeCanceled, "another try answers")
	case err != nil:
		return wick.AsError(err)
	case t.end == nil:
		return wick.Unknownf(wick.CodeBroken, "answer without an end")
	}
	return nil
}

// recordFailure records the failure of an attempt and returns the failure to
// report for the task, which is CodeKilled after a second crash.
func (t *task) recordFailure(fail *wick.Error) *wick.Error {
	if fail.Code == wick.CodeOverload {
		t.overloads++
	}
	if fail.Code == wick.CodeSlow {
		t.moved = true
	}
	if fail.Outcome != wick.Unknown {
		return fail
	}
	t.mayHaveRun = true
	t.brokenAt = time.Now()
	if fail.Code != wick.CodeCrashed {
		return fail
	}
	if t.suspect {
		return wick.Unknownf(wick.CodeKilled, "the request crashed its endpoints")
	}
	t.suspect = true
	return fail
}

// taskFailure adjusts a failure to the task as a whole: the outcome is unknown
// if any attempt may have run.
func (t *task) taskFailure(fail *wick.Error) *wick.Error {
	if fail.Outcome != wick.NotRun || !t.mayHaveRun {
		return fail
	}
	adjusted := *fail
	adjusted.Outcome = wick.Unknown
	return &adjusted
}

// mayRetry reports whether the task may be retried after a failure.
func (t *task) mayRetry(fail *wick.Error) bool {
	switch fail.Code {
	case wick.CodeCanceled, wick.CodeKilled, wick.CodeClaimed, wick.CodeClaimsDown,
		wick.CodeBadRequest:
		return false
	case wick.CodeOverload:
		return t.overloads < maxOverloads || t.haveTokens > 0 && time.Since(t.brokenAt) < resumeTimeout
	}
	if fail.Outcome == wick.NotRun {
		return true
	}
	return fail.Outcome == wick.Unknown && !t.resolved.Route.NonIdempotent
}

// usesBudget reports whether a retry counts against the retry budget: the task may
// have run, so that endpoints do its work a second time, or it was rejected for
// overload before its first token, and other endpoints may be overloaded too. After
// any other failure without a run the task only moves to another endpoint, and a
// broken stream that is rejected for overload must be completed.
func (t *task) usesBudget(fail *wick.Error) bool {
	return fail.Outcome != wick.NotRun || fail.Code == wick.CodeOverload && t.haveTokens == 0
}

// mayHedge reports whether the task may be hedged: it is idempotent and cheap,
// no endpoint crashed while running it, and no text was forwarded.
func (t *task) mayHedge() bool {
	return !t.resolved.Route.NonIdempotent && t.cost <= maxHedgeCost && !t.suspect && t.haveTokens == 0
}

// expired reports whether the first token or the reply is overdue. The deadline no
// longer applies once text was forwarded.
func (t *task) expired() bool {
	return t.haveTokens == 0 && !time.Now().Before(t.deadline)
}
