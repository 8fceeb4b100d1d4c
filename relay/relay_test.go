package relay

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"currantwick"
	"currantwick/config"
	"currantwick/ctrl"
	"currantwick/limit"
	"currantwick/pause"
)

const frameTimeout = 100 * time.Millisecond

// script defines how an owner handles one attempt.
type script struct {
	// refuse is returned instead of a stream.
	refuse *wick.Error
	// tokens are sent from the submission's position on, then fail, or an end
	// frame if fail is nil.
	tokens wick.Tokens
	fail   *wick.Error
	// silent keeps the stream open without further frames after the tokens.
	silent bool
	// wrongRequest sends a frame of another request, skipToken omits a token.
	wrongRequest, skipToken bool
	// slow is the delay before the first frame.
	slow time.Duration
	// ref is the adapter version that the end frame names.
	ref wick.Ref
}

// owners runs the scripts in order and repeats the last one.
type owners struct {
	mu      sync.Mutex
	scripts []script
	subs    []wick.Submission
}

func (o *owners) next(sub wick.Submission) script {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.subs = append(o.subs, sub)
	return o.scripts[min(len(o.subs), len(o.scripts))-1]
}

func (o *owners) Call(context.Context, wick.Address, wick.PeerMessage) (wick.PeerMessage, error) {
	return wick.PeerMessage{}, errors.New("no calls here")
}

func (o *owners) Submit(_ context.Context, _ wick.Address, sub wick.Submission) (wick.FrameStream, error) {
	s := o.next(sub)
	if s.refuse != nil {
		return nil, s.refuse
	}
	return &stream{script: s, frames: s.frames(sub)}, nil
}

// frames returns the frames that a script sends.
func (s script) frames(sub wick.Submission) []wick.Frame {
	out := []wick.Frame{{Request: sub.Request, Kind: wick.FrameStart, Ran: &wick.Ran{Endpoint: sub.Endpoint}}}
	var at wick.Tokens
	if sub.Work != nil {
		at = sub.Work.HaveTokens
	}
	for range s.tokens {
		if s.skipToken && at == 1 {
			at++
		}
		out = append(out, wick.Frame{
			Request: sub.Request, Kind: wick.FrameText, Index: at, Count: 1, Text: fmt.Sprintf("t%d ", at),
		})
		at++
	}
	if s.wrongRequest {
		out = append(out, wick.Frame{Request: "other", Kind: wick.FrameText, Index: at, Count: 1, Text: "x"})
	}
	switch {
	case s.silent:
	case s.fail != nil:
		out = append(out, wick.Frame{Request: sub.Request, Kind: wick.FrameFail, Fail: s.fail})
	default:
		out = append(out, wick.Frame{Request: sub.Request, Kind: wick.FrameEnd, Count: at, Ran: &wick.Ran{Ref: s.ref}, Status: 200})
	}
	return out
}

type stream struct {
	script script
	frames []wick.Frame
	at     int
}

func (s *stream) Next(ctx context.Context) (wick.Frame, error) {
	if s.at == 0 && s.script.slow > 0 && !pause.For(ctx, s.script.slow) {
		return wick.Frame{}, wick.Unknownf(wick.CodeBroken, "closed")
	}
	if s.at == len(s.frames) {
		<-ctx.Done()
		return wick.Frame{}, wick.Unknownf(wick.CodeBroken, "silent")
	}
	s.at++
	return s.frames[s.at-1], nil
}

func (s *stream) Close() error { return nil }

// router offers two endpoints of another daemon.
type router struct{}

func (router) Pick(in *wick.RouteInput) (wick.Target, bool) {
	for i, name := range []wick.EndpointName{"e0", "e1"} {
		if len(in.Avoid) <= i {
			return wick.Target{Index: wick.EndpointIndex(i), Endpoint: name, Owner: "other"}, true
		}
	}
	return wick.Target{}, false
}

// counts implements wick.TrafficObserver and wick.RetryBudget.
type counts struct {
	mu     sync.Mutex
	hedges int
	spent  int
}

func (c *counts) AttemptStarted()                                         {}
func (c *counts) StreamResumed()                                          {}
func (c *counts) RequestFinished(wick.Code, time.Duration, time.Duration) {}
func (c *counts) Earn()                                                   {}

func (c *counts) HedgeStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hedges++
}

func (c *counts) Spend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spent++
	return true
}

func objects() wick.Objects {
	return wick.Objects{
		Models:     []wick.Model{{Name: "m", Context: 100}},
		Stores:     []wick.Store{{Name: "s", Rate: 1, FullSpeed: 1, Knee: 1}},
		Priorities: []wick.Priority{{Name: "p", Deadline: wick.Duration(400 * time.Millisecond)}},
		Pools: []wick.Pool{
			{Name: "runners", Kind: wick.RunnerEndpoint, Model: "m", Store: "s"},
			{Name: "desk", Kind: wick.ServiceEndpoint},
		},
		Routes: []wick.Route{
			{Name: "draft", Pool: "runners", Priority: "p"},
			{Name: "look", Pool: "desk", Priority: "p", Path: "/look"},
			{Name: "confirm", Pool: "desk", Priority: "p", Path: "/confirm", NonIdempotent: true},
		},
	}
}

func newRelay(t *testing.T, o *owners, c *counts, hedge limit.HedgeConfig) *Relay {
	t.Helper()
	conf := config.New()
	change := wick.Change{ID: "c", Operator: "o", Puts: objects()}
	if v, ok := conf.Apply(wick.Entry{Offset: 1, Record: wick.Record{Change: &change}}); !ok || !v.Accepted() {
		t.Fatalf("sample configuration: %v", v.Violations)
	}
	snap := &ctrl.Snapshot{Config: conf.Table(), Offset: 1, Router: router{}}
	return New(Config{
		Self: "self", Snapshot: func() *ctrl.Snapshot { return snap }, Peers: o, FrameTimeout: frameTimeout,
		Retries: c, Hedge: hedge, Observer: c, OnRequest: func(wick.PoolName, wick.Ref) {},
	})
}

func text(n wick.Tokens) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

func TestComplete(t *testing.T) {
	broken := wick.Unknownf(wick.CodeBroken, "cut")
	notRun := wick.NotRunf(wick.CodeNotOwner, "moved")
	crashed := wick.Unknownf(wick.CodeCrashed, "crashed")
	overload := wick.NotRunf(wick.CodeOverload, "full")
	tests := []struct {
		name    string
		scripts []script
		text    string
		code    wick.Code
		outcome wick.Outcome
		// suspect is the expected value in the last submission.
		suspect bool
	}{
		{name: "complete", scripts: []script{{tokens: 4}}, text: text(4)},
		{name: "retried on another endpoint", scripts: []script{{refuse: notRun}, {refuse: notRun}, {tokens: 4}}, text: text(4)},
		{name: "resumes after a cut", scripts: []script{{tokens: 2, fail: broken}, {tokens: 3}}, text: text(5)},
		{name: "resumes twice", scripts: []script{{tokens: 1, fail: broken}, {tokens: 1, fail: broken}, {tokens: 1}}, text: text(3)},
		{name: "resumes after silence", scripts: []script{{tokens: 2, silent: true}, {tokens: 1}}, text: text(3)},
		{name: "resumes after a frame of another request", scripts: []script{{tokens: 2, wrongRequest: true}, {tokens: 1}}, text: text(3)},
		{name: "resumes before a gap", scripts: []script{{tokens: 3, skipToken: true}, {tokens: 2}}, text: text(3)},
		{name: "retries after the wrong adapter", scripts: []script{{tokens: 0, ref: wick.Ref{Adapter: "a", Version: "v"}}, {tokens: 2}}, text: text(2)},
		{name: "never runs", scripts: []script{{refuse: notRun}}, code: wick.CodeNotOwner, outcome: wick.NotRun},
		{
			name: "may have run", scripts: []script{{fail: broken}, {refuse: notRun}},
			code: wick.CodeNotOwner, outcome: wick.Unknown,
		},
		{name: "runs alone after a crash", scripts: []script{{fail: crashed}, {tokens: 2}}, text: text(2), suspect: true},
		{
			name: "stops after two crashes", scripts: []script{{fail: crashed}},
			code: wick.CodeKilled, outcome: wick.Unknown, suspect: true,
		},
		{
			name: "resumes after many rejections",
			scripts: []script{
				{tokens: 1, fail: broken}, {refuse: overload}, {refuse: overload}, {refuse: overload}, {tokens: 1},
			},
			text: text(2),
		},
		{
			name: "rejected for overload", scripts: []script{{refuse: overload}},
			code: wick.CodeOverload, outcome: wick.NotRun,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := &owners{scripts: test.scripts}
			r := newRelay(t, o, &counts{}, limit.HedgeConfig{Policy: wick.HedgeNone})
			var got strings.Builder
			ends := 0
			err := r.Complete(t.Context(), wick.CallerRequest{Request: "q", Route: "draft", Prompt: "p"}, func(f wick.Frame) error {
				if f.Request != "q" {
					t.Errorf("frame of request %s", f.Request)
				}
				got.WriteString(f.Text)
				if f.Kind == wick.FrameEnd {
					ends++
				}
				return nil
			})
			checkFailure(t, err, test.code, test.outcome)
			if test.code == "" && (got.String() != test.text || ends != 1) {
				t.Errorf("got %q with %d ends, want %q", got.String(), ends, test.text)
			}
			if last := o.subs[len(o.subs)-1]; last.Suspect != test.suspect {
				t.Errorf("last submission: suspect is %t, want %t", last.Suspect, test.suspect)
			}
		})
	}
}

func checkFailure(t *testing.T, err error, code wick.Code, outcome wick.Outcome) {
	t.Helper()
	if code == "" {
		if err != nil {
			t.Errorf("failed: %v", err)
		}
		return
	}
	var fail *wick.Error
	if !errors.As(err, &fail) || fail.Code != code || fail.Outcome != outcome {
		t.Errorf("got %v, want %s (%s)", err, code, outcome)
	}
}

func TestInvoke(t *testing.T) {
	broken := wick.Unknownf(wick.CodeBroken, "cut")
	notRun := wick.NotRunf(wick.CodeNotOwner, "moved")
	tests := []struct {
		name     string
		route    wick.RouteName
		key      wick.ClaimKey
		scripts  []script
		attempts int
		code     wick.Code
		outcome  wick.Outcome
	}{
		{name: "complete", route: "confirm", key: "k", scripts: []script{{}}, attempts: 1},
		{name: "retried on another endpoint", route: "confirm", key: "k", scripts: []script{{refuse: notRun}, {}}, attempts: 2},
		{
			name: "non-idempotent call is not retried", route: "confirm", key: "k", scripts: []script{{fail: broken}, {}},
			attempts: 1, code: wick.CodeBroken, outcome: wick.Unknown,
		},
		{name: "idempotent call is retried", route: "look", scripts: []script{{fail: broken}, {}}, attempts: 2},
		{name: "needs a key", route: "confirm", code: wick.CodeMissingKey, outcome: wick.NotRun},
		{name: "invalid key", route: "confirm", key: "a b", code: wick.CodeBadRequest, outcome: wick.NotRun},
		{name: "not a service", route: "draft", code: wick.CodeBadRequest, outcome: wick.NotRun},
		{name: "no route", route: "none", code: wick.CodeNoRoute, outcome: wick.NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := &owners{scripts: test.scripts}
			r := newRelay(t, o, &counts{}, limit.HedgeConfig{Policy: wick.HedgeNone})
			_, err := r.Invoke(t.Context(), wick.CallerRequest{Request: "q", Route: test.route, Key: test.key})
			checkFailure(t, err, test.code, test.outcome)
			if len(o.subs) != test.attempts {
				t.Errorf("%d attempts, want %d", len(o.subs), test.attempts)
			}
		})
	}
}

func TestHedge(t *testing.T) {
	const learn = 40
	o := &owners{scripts: make([]script, learn, learn+2)}
	for i := range o.scripts {
		o.scripts[i] = script{tokens: 2}
	}
	o.scripts = append(o.scripts, script{tokens: 2, slow: 80 * time.Millisecond}, script{tokens: 2})
	c := &counts{}
	r := newRelay(t, o, c, limit.HedgeConfig{Ratio: 0.5})
	for i := range learn + 1 {
		var got strings.Builder
		req := wick.CallerRequest{Request: "q", Route: "draft", Prompt: "p", MaxTokens: 10}
		err := r.Complete(t.Context(), req, func(f wick.Frame) error {
			got.WriteString(f.Text)
			return nil
		})
		if err != nil || got.String() != text(2) {
			t.Fatalf("request %d: %q, %v", i, got.String(), err)
		}
	}
	if c.hedges == 0 {
		t.Error("a slow attempt was not hedged")
	}
}
