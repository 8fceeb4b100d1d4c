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

// task is one request on its way, over all its tries.
type task struct {
	ask      wick.Ask
	resolved config.Resolved
	offset   wick.Offset
	started  time.Time
	// due is when the first token or the reply is due.
	due  time.Time
	emit func(wick.Frame) error
	work *wick.Work
	svc  *wick.Call
	// print identifies the content, prefix the start of the prompt.
	print  wick.Fingerprint
	prefix wick.Fingerprint
	cost   wick.Cost
	avoid  []wick.EndpointName
	// suspect tells that an endpoint crashed under the task.
	suspect bool
	// moved tells that the task was taken from an outlier.
	moved bool
	// brokeAt is when a try last broke off.
	brokeAt time.Time
	// overloads counts the refusals for overload.
	overloads int

	// mu guards what follows, which the attempts of a hedged try share.
	mu sync.Mutex
	// attempts are the tries under way, winner the one of them that answers.
	attempts []*attempt
	winner   *attempt
	// begun tells that FrameStart was passed on.
	begun bool
	// everUnknown tells that an endpoint may have run one of the tries, so
	// that the task as a whole can't be said not to have run.
	everUnknown bool
	// have is the text passed on so far, and haveTokens its tokens.
	have       strings.Builder
	haveTokens wick.Tokens
	firstAfter time.Duration
	end        *wick.Frame
}

const (
	// promptCost and answerCost are the estimated seconds a token of the
	// prompt and of the answer occupies a batch slot.
	promptCost wick.Cost = 0.0002
	answerCost wick.Cost = 0.02
	callCost   wick.Cost = 0.02
	// hedgeCost bounds the work that may be hedged.
	hedgeCost wick.Cost = 2
	// resumeWithin bounds the search for an endpoint on which a stream that
	// broke off can go on.
	resumeWithin = 30 * time.Second
	// maxOverloads is how many endpoints may refuse a task for overload.
	maxOverloads = 2
)

func newTask(ask wick.Ask, resolved config.Resolved, offset wick.Offset) *task {
	within := resolved.Priority.Deadline
	if ask.Within > 0 && ask.Within < within {
		within = ask.Within
	}
	now := time.Now()
	return &task{
		ask:      ask,
		resolved: resolved,
		offset:   offset,
		started:  now,
		due:      now.Add(within.Std()),
	}
}

// completion makes the task a completion.
func (t *task) completion(ask wick.Ask) *wick.Error {
	if t.resolved.Pool.Kind != wick.RunnerEndpoint {
		return wick.NotRunf(wick.CodeBadRequest, "route %s is no completion", ask.Route)
	}
	bound := t.resolved.Route.MaxTokens
	if bound == 0 {
		bound = t.resolved.Model.Context
	}
	if ask.MaxTokens > 0 {
		bound = min(bound, ask.MaxTokens)
	}
	t.work = &wick.Work{
		Model:     t.resolved.Model.Name,
		Ref:       t.resolved.Route.Ref,
		Prompt:    ask.Prompt,
		MaxTokens: bound,
	}
	t.print = fingerprint(ask.Route, ask.Prompt)
	t.prefix = wick.Fingerprint(xxhash.Sum64String(ask.Prompt[:min(len(ask.Prompt), prefixBytes)]))
	words := wick.Cost(strings.Count(ask.Prompt, " ") + 1)
	t.cost = words*promptCost + wick.Cost(bound)*answerCost
	return nil
}

// call makes the task a call of a plain service.
func (t *task) call(ask wick.Ask) *wick.Error {
	route := t.resolved.Route
	if t.resolved.Pool.Kind != wick.ServiceEndpoint {
		return wick.NotRunf(wick.CodeBadRequest, "route %s is no service", ask.Route)
	}
	if route.NonIdempotent && ask.Key == "" {
		return wick.NotRunf(wick.CodeMissingKey, "route %s is non-idempotent and needs an idempotency key", ask.Route)
	}
	if ask.Key != "" {
		if err := ask.Key.Check(); err != nil {
			return wick.NotRunf(wick.CodeBadRequest, "idempotency key: %v", err)
		}
	}
	t.svc = &wick.Call{Path: route.Path, Body: ask.Body, Key: ask.Key, NonIdempotent: route.NonIdempotent}
	t.print = fingerprint(ask.Route, string(ask.Body))
	t.cost = callCost
	return nil
}

// attempt is one try of a task. Each has an id of its own, so that frames of an
// older one are never taken for it.
type attempt struct {
	id wick.RequestID
	// cancel ends the try.
	cancel context.CancelFunc
	target wick.Target
}

// open adds an attempt to the task.
func (t *task) open(target wick.Target, cancel context.CancelFunc) *attempt {
	a := &attempt{
		id:     wick.RequestID(fmt.Sprintf("%s.%x", t.ask.Request, rand.Uint64())),
		cancel: cancel,
		target: target,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, a)
	return a
}

// restart forgets the attempts of an earlier try.
func (t *task) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts, t.winner = nil, nil
}

// answering reports whether an attempt has begun to answer.
func (t *task) answering() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.winner != nil
}

// submission returns a try as its owner gets it.
func (t *task) submission(a *attempt, view wick.ViewNumber) wick.Submission {
	t.mu.Lock()
	defer t.mu.Unlock()
	sub := wick.Submission{
		Request:   a.id,
		Route:     t.ask.Route,
		Endpoint:  a.target.Endpoint,
		View:      view,
		Config:    t.offset,
		Level:     t.resolved.Priority.Level,
		Sheddable: t.resolved.Priority.Sheddable,
		Within:    t.within(),
		Print:     t.print,
		Suspect:   t.suspect,
		Moved:     t.moved,
		Call:      t.svc,
	}
	if t.work != nil {
		w := *t.work
		w.Have, w.HaveTokens = t.have.String(), t.haveTokens
		sub.Work = &w
	}
	return sub
}

// within returns the time left for the first token or the reply. A stream that
// goes on has its whole time again. The caller holds the lock.
func (t *task) within() wick.Duration {
	if t.haveTokens > 0 {
		return t.resolved.Priority.Deadline
	}
	return wick.Duration(max(time.Until(t.due), time.Millisecond))
}

// errLost ends an attempt when another one answers.
var errLost = errors.New("another try answers")

// wins makes the attempt the one that answers, and ends the others. It reports
// whether the attempt answers. The caller holds the lock.
func (t *task) wins(a *attempt) bool {
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

// take passes one frame of an attempt on to the caller. It refuses frames of other
// requests, and gaps and repeats in the text.
func (t *task) take(a *attempt, f wick.Frame) error {
	if f.Request != a.id {
		return wick.Unknownf(wick.CodeMismatch, "frame of request %s", f.Request)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f.Request = t.ask.Request
	switch f.Kind {
	case wick.FrameStart:
		if t.begun {
			return nil
		}
		t.begun = true
	case wick.FrameText:
		if !t.wins(a) {
			return errLost
		}
		return t.takeText(f)
	case wick.FrameEnd:
		if !t.wins(a) {
			return errLost
		}
		return t.takeEnd(f)
	}
	return t.pass(f)
}

func (t *task) takeText(f wick.Frame) error {
	if f.Index != t.haveTokens {
		return wick.Unknownf(wick.CodeBroken, "text at token %d, want %d", f.Index, t.haveTokens)
	}
	if t.haveTokens == 0 {
		t.firstAfter = time.Since(t.started)
	}
	t.haveTokens += f.Count
	t.have.WriteString(f.Text)
	return t.pass(f)
}

func (t *task) takeEnd(f wick.Frame) error {
	if t.work != nil {
		if f.Count != t.haveTokens {
			return wick.Unknownf(wick.CodeBroken, "answer of %d tokens, got %d", f.Count, t.haveTokens)
		}
		if f.Ran == nil || f.Ran.Ref != t.work.Ref {
			return wick.Unknownf(wick.CodeMismatch, "answer ran on another adapter than %s", t.work.Ref)
		}
	}
	t.end = &f
	return t.pass(f)
}

// errCaller marks errors of the caller's side, after which nothing is retried.
var errCaller = errors.New("caller does not take frames")

func (t *task) pass(f wick.Frame) error {
	if err := t.emit(f); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

// failure says how a try ended; nil for a whole answer.
func (t *task) failure(err error) *wick.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case errors.Is(err, errCaller):
		return wick.Unknownf(wick.CodeCanceled, "caller went away")
	case errors.Is(err, errLost):
		return wick.Unknownf(wick.CodeCanceled, "another try answers")
	case err != nil:
		return wick.AsError(err)
	case t.end == nil:
		return wick.Unknownf(wick.CodeBroken, "answer without an end")
	}
	return nil
}

// note takes in the failure of a try, and returns it as it holds for the task.
func (t *task) note(fail *wick.Error) *wick.Error {
	if fail.Code == wick.CodeOverload {
		t.overloads++
	}
	if fail.Code == wick.CodeSlow {
		t.moved = true
	}
	if fail.Outcome != wick.Unknown {
		return fail
	}
	t.everUnknown = true
	t.brokeAt = time.Now()
	if fail.Code != wick.CodeCrashed {
		return fail
	}
	if t.suspect {
		return wick.Unknownf(wick.CodeKilled, "the request crashed its endpoints")
	}
	t.suspect = true
	return fail
}

// verdict returns a failure as it holds for the task as a whole.
func (t *task) verdict(fail *wick.Error) *wick.Error {
	if fail.Outcome != wick.NotRun || !t.everUnknown {
		return fail
	}
	whole := *fail
	whole.Outcome = wick.Unknown
	return &whole
}

// mayRepeat reports whether the task may be tried again after a failure.
func (t *task) mayRepeat(fail *wick.Error) bool {
	switch fail.Code {
	case wick.CodeCanceled, wick.CodeKilled, wick.CodeClaimed, wick.CodeClaimsDown,
		wick.CodeBadRequest:
		return false
	case wick.CodeOverload:
		return t.overloads < maxOverloads || t.haveTokens > 0 && time.Since(t.brokeAt) < resumeWithin
	}
	if fail.Outcome == wick.NotRun {
		return true
	}
	return fail.Outcome == wick.Unknown && !t.resolved.Route.NonIdempotent
}

// costs reports whether trying again puts load on endpoints a second time, or
// on ones that may be overloaded too. Any other try that did not run only moves,
// and a stream that broke off is to be finished.
func (t *task) costs(fail *wick.Error) bool {
	return fail.Outcome != wick.NotRun || fail.Code == wick.CodeOverload && t.haveTokens == 0
}

// short reports whether the task may be hedged: it is idempotent and cheap, and
// nothing of its answer was passed on.
func (t *task) short() bool {
	return !t.resolved.Route.NonIdempotent && t.cost <= hedgeCost && !t.suspect && t.haveTokens == 0
}

// expired reports that the first token or the reply is overdue. Once a stream
// has begun, it is finished however long that takes.
func (t *task) expired() bool {
	return t.haveTokens == 0 && !time.Now().Before(t.due)
}
