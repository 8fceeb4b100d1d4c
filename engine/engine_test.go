package engine_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"currantwick"
	"currantwick/engine"
	"currantwick/fakes"
	"currantwick/httpc"
)

const model wick.ModelName = "base"

var first = wick.Ref{Adapter: "first", Version: "v1"}

func startEngine(t *testing.T, cfg fakes.EngineConfig) *fakes.Engine {
	t.Helper()
	cfg.Address = "127.0.0.1:0"
	cfg.Model = model
	cfg.BatchSlots = max(cfg.BatchSlots, 4)
	cfg.AdapterSlots = max(cfg.AdapterSlots, 2)
	if cfg.Base == 0 {
		cfg.Base = wick.Duration(2 * time.Millisecond)
	}
	e, err := fakes.StartEngine(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := e.Close(); err != nil {
			t.Error(err)
		}
	})
	return e
}

func newClient() *engine.Client {
	return engine.New(engine.Config{HTTP: httpc.Config{ReadTimeout: wick.Duration(400 * time.Millisecond)}})
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func order(kind wick.OrderKind, view wick.ViewNumber, seq wick.Sequence) wick.Order {
	return wick.Order{
		Kind: kind, Ref: first, Source: "weights/first",
		FencingToken: wick.FencingToken{View: view, Sequence: seq}, Within: wick.Duration(2 * time.Second),
	}
}

// answer collects frames and checks that they are valid and contiguous.
type answer struct {
	t      *testing.T
	frames []wick.Frame
	text   strings.Builder
	next   wick.Tokens
	// onFrame is called for each frame; nil for none.
	onFrame func(wick.Frame) error
}

func (a *answer) emit(f wick.Frame) error {
	if err := f.Check(); err != nil {
		a.t.Errorf("frame %+v: %v", f, err)
	}
	a.frames = append(a.frames, f)
	if f.Kind == wick.FrameText {
		if f.Index != a.next {
			a.t.Errorf("text at %d, want %d", f.Index, a.next)
		}
		a.next += f.Count
		a.text.WriteString(f.Text)
	}
	if a.onFrame != nil {
		return a.onFrame(f)
	}
	return nil
}

func (a *answer) ended() bool {
	return len(a.frames) > 0 && a.frames[len(a.frames)-1].Kind == wick.FrameEnd
}

func job(ref wick.Ref, prompt string, n wick.Tokens) wick.Job {
	return wick.Job{
		Request: "q1", Endpoint: "r1",
		Work: wick.Work{Model: model, Ref: ref, Prompt: prompt, MaxTokens: n},
	}
}

func TestGenerateComplete(t *testing.T) {
	e := startEngine(t, fakes.EngineConfig{})
	c := newClient()
	if err := c.Do(testContext(t), e.Address(), order(wick.OrderLoad, 1, 1)); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		ref  wick.Ref
		have wick.Tokens
	}{
		{"base model", wick.Ref{}, 0},
		{"adapter", first, 0},
		{"resumed", first, 5},
		{"resumed at the end", first, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := job(test.ref, "plan the first", 12)
			name := engine.ModelField(j.Work)
			j.Work.HaveTokens = test.have
			j.Work.Have = fakes.Answer(j.Work.Prompt, name, test.have)
			a := &answer{t: t, next: test.have}
			if err := c.Generate(testContext(t), e.Address(), j, a.emit); err != nil {
				t.Fatal(err)
			}
			if got, want := j.Work.Have+a.text.String(), fakes.Answer(j.Work.Prompt, name, 12); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			last := a.frames[len(a.frames)-1]
			if last.Kind != wick.FrameEnd || last.Count != 12 || last.Ran.Ref != test.ref {
				t.Errorf("last frame is %+v", last)
			}
		})
	}
	if s := e.Stats(); s.BadResumes != 0 || s.Violations != 0 {
		t.Errorf("stats %+v", s)
	}
}

// TestGenerateBroken checks that no fault makes a truncated response look
// complete, and that the outcome is NotRun only if the engine did not run the
// job.
func TestGenerateBroken(t *testing.T) {
	errStop := errors.New("stop")
	tests := []struct {
		name    string
		cfg     fakes.EngineConfig
		ref     wick.Ref
		fault   fakes.EngineControl
		emitErr error
		outcome wick.Outcome
		code    wick.Code
		ran     bool
	}{
		{name: "not resident", ref: first, outcome: wick.NotRun, code: wick.CodeLoadFailed},
		{
			name: "crash", fault: fakes.EngineControl{CrashFor: wick.Duration(time.Hour)},
			outcome: wick.Unknown, code: wick.CodeBroken, ran: true,
		},
		{
			name: "silence", fault: fakes.EngineControl{Silence: true},
			outcome: wick.Unknown, code: wick.CodeBroken, ran: true,
		},
		{
			name: "freeze", fault: fakes.EngineControl{FreezeFor: wick.Duration(time.Second)},
			outcome: wick.Unknown, code: wick.CodeBroken, ran: true,
		},
		{name: "receiver fails", emitErr: errStop, ran: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := startEngine(t, test.cfg)
			a := &answer{t: t}
			a.onFrame = func(f wick.Frame) error {
				if f.Kind == wick.FrameText && f.Index == 3 {
					e.Control(test.fault)
					return test.emitErr
				}
				return nil
			}
			err := newClient().Generate(testContext(t), e.Address(), job(test.ref, "long read", 2000), a.emit)
			if err == nil || a.ended() {
				t.Fatalf("a truncated response was accepted as complete: %v", err)
			}
			if ran := e.Stats().Runs["q1"] == 1; ran != test.ran {
				t.Errorf("ran is %t, want %t", ran, test.ran)
			}
			if test.emitErr != nil {
				if !errors.Is(err, test.emitErr) {
					t.Errorf("got %v, want the receiver's error", err)
				}
				return
			}
			got := wick.AsError(err)
			if got.Outcome != test.outcome || got.Code != test.code {
				t.Errorf("got %v, want %s and %s", got, test.outcome, test.code)
			}
		})
	}
}

func TestGenerateConnectRefused(t *testing.T) {
	e := startEngine(t, fakes.EngineConfig{})
	e.Control(fakes.EngineControl{CrashFor: wick.Duration(time.Hour)})
	err := newClient().Generate(testContext(t), e.Address(), job(wick.Ref{}, "x", 1), (&answer{t: t}).emit)
	if got := wick.AsError(err); got.Outcome != wick.NotRun || got.Code != wick.CodeNoEndpoint {
		t.Errorf("got %v", err)
	}
}

func TestGenerateCancel(t *testing.T) {
	e := startEngine(t, fakes.EngineConfig{})
	ctx, cancel := context.WithCancel(testContext(t))
	a := &answer{t: t}
	a.onFrame = func(f wick.Frame) error {
		if f.Kind == wick.FrameText {
			cancel()
		}
		return nil
	}
	err := newClient().Generate(ctx, e.Address(), job(wick.Ref{}, "x", 100_000), a.emit)
	if got := wick.AsError(err); got.Code != wick.CodeCanceled {
		t.Errorf("got %v", err)
	}
	eventually(t, "the engine cancels the request", func() bool { return e.Stats().Canceled == 1 })
}

func TestQueueFull(t *testing.T) {
	e := startEngine(t, fakes.EngineConfig{QueueBound: 1, Base: wick.Duration(100 * time.Millisecond)})
	c := newClient()
	ctx, cancel := context.WithCancel(testContext(t))
	done := make(chan struct{})
	for range 5 {
		go func() {
			_ = c.Generate(ctx, e.Address(), job(wick.Ref{}, "x", 1000), (&answer{t: t}).emit)
			done <- struct{}{}
		}()
	}
	eventually(t, "batch and queue are full", func() bool {
		r, err := c.Report(ctx, e.Address())
		return err == nil && r.Running == 4 && r.Waiting == 1
	})
	err := c.Generate(ctx, e.Address(), job(wick.Ref{}, "x", 1), (&answer{t: t}).emit)
	if got := wick.AsError(err); got.Outcome != wick.NotRun || got.Code != wick.CodeOverload {
		t.Errorf("got %v", err)
	}
	cancel()
	for range 5 {
		<-done
	}
}

func TestOrders(t *testing.T) {
	lose := 1
	delay := wick.Duration(300 * time.Millisecond)
	late := order(wick.OrderLoad, 2, 1)
	late.Within = wick.Duration(50 * time.Millisecond)
	type step struct {
		order   wick.Order
		fault   fakes.EngineControl
		outcome wick.Outcome // Answered for success
	}
	tests := []struct {
		name     string
		fencing  bool
		steps    []step
		resident int
	}{
		{"load", true, []step{{order(wick.OrderLoad, 1, 1), fakes.EngineControl{}, wick.Answered}}, 1},
		{"load twice", false, []step{
			{order(wick.OrderLoad, 1, 1), fakes.EngineControl{}, wick.Answered},
			{order(wick.OrderLoad, 1, 2), fakes.EngineControl{}, wick.Answered},
		}, 1},
		{"unload an adapter that is not resident", false, []step{
			{order(wick.OrderUnload, 1, 1), fakes.EngineControl{}, wick.Answered},
		}, 0},
		{"order of an old view rejected", true, []step{
			{order(wick.OrderLoad, 2, 1), fakes.EngineControl{}, wick.Answered},
			{order(wick.OrderUnload, 1, 9), fakes.EngineControl{}, wick.NotRun},
		}, 1},
		{"order of an old view accepted", false, []step{
			{order(wick.OrderLoad, 2, 1), fakes.EngineControl{}, wick.Answered},
			{order(wick.OrderUnload, 1, 9), fakes.EngineControl{}, wick.Answered},
		}, 0},
		{"lost response", false, []step{
			{order(wick.OrderLoad, 1, 1), fakes.EngineControl{LoseAnswers: &lose}, wick.Unknown},
		}, 1},
		{"deadline exceeded", false, []step{
			{late, fakes.EngineControl{DelayOrders: &delay}, wick.NotRun},
		}, 0},
		{"load fails", false, []step{
			{order(wick.OrderLoad, 1, 1), fakes.EngineControl{FailLoads: &lose}, wick.NotRun},
			{order(wick.OrderLoad, 1, 2), fakes.EngineControl{}, wick.Answered},
		}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := startEngine(t, fakes.EngineConfig{ChecksFencing: test.fencing})
			c := newClient()
			for i, s := range test.steps {
				e.Control(s.fault)
				got := wick.Answered
				if err := c.Do(testContext(t), e.Address(), s.order); err != nil {
					got = wick.AsError(err).Outcome
				}
				if got != s.outcome {
					t.Errorf("step %d: got %s, want %s", i, got, s.outcome)
				}
			}
			r, err := c.Report(testContext(t), e.Address())
			if err != nil || len(r.Resident) != test.resident {
				t.Errorf("report %+v, %v", r, err)
			}
		})
	}
}

// TestFakeCountsUnloadDuringRequest checks that the fake engine counts an unload
// of an adapter in use as a violation.
func TestFakeCountsUnloadDuringRequest(t *testing.T) {
	e := startEngine(t, fakes.EngineConfig{})
	c := newClient()
	if err := c.Do(testContext(t), e.Address(), order(wick.OrderLoad, 1, 1)); err != nil {
		t.Fatal(err)
	}
	a := &answer{t: t}
	a.onFrame = func(f wick.Frame) error {
		if f.Kind == wick.FrameText && f.Index == 3 {
			return c.Do(testContext(t), e.Address(), order(wick.OrderUnload, 1, 2))
		}
		return nil
	}
	if err := c.Generate(testContext(t), e.Address(), job(first, "x", 20), a.emit); err != nil {
		t.Fatal(err)
	}
	if s := e.Stats(); s.Violations != 1 || s.Evicted != 1 {
		t.Errorf("stats %+v", s)
	}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	limit := time.After(5 * time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-limit:
			t.Fatalf("timed out waiting until %s", what)
		case <-tick.C:
		}
	}
}
