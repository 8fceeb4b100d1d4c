package direct

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"currantwick"
	"currantwick/coord"
	"currantwick/crash"
	"currantwick/facts"
	"currantwick/fakes"
	"currantwick/tally"
)

// arbiter implements Control. It has one verdict, on all requests.
type arbiter struct {
	mu       sync.Mutex
	view     *coord.View
	answered int
	ended    int
	asked    int
	// grant makes it grant each trial, and change is called when a trial is
	// requested.
	grant  bool
	change func(v *coord.View)
}

func (a *arbiter) View() *coord.View {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view
}

func (a *arbiter) RequestAdapter(wick.AdapterRequest)   {}
func (a *arbiter) ReportCachedPrefix(wick.CachedPrefix) {}

func (a *arbiter) ReportBroken(b wick.BrokenAttempt) { close(b.Judged) }

func (a *arbiter) ReportAnswered([]wick.Fingerprint) { a.answered++ }

func (a *arbiter) ReportLeaving(wick.EndpointStart) {}

func (a *arbiter) EndTrial(wick.TrialID) { a.ended++ }

func (a *arbiter) RequestTrial(r wick.TrialRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked++
	next := *a.view
	if a.grant {
		next.Trials = map[wick.TrialID]bool{r.Trial: true}
	}
	if a.change != nil {
		a.change(&next)
	}
	a.view = &next
}

// once implements wick.Sender with one reply for all attempts.
type once struct {
	body string
	err  error
	sent int
}

func (s *once) Send(context.Context, wick.Attempt) (*wick.Response, error) {
	s.sent++
	if s.err != nil {
		return nil, s.err
	}
	return &wick.Response{Status: 200, Body: whole{strings.NewReader(s.body)}}, nil
}

// whole implements wick.Body.
type whole struct{ io.Reader }

func (whole) Close() error { return nil }

// sink implements wick.ResponseWriter.
type sink struct{}

func (sink) WriteHeader(int, []wick.HeaderField) error { return nil }
func (sink) WriteBody([]byte) error                    { return nil }

// unlimited implements wick.SharedBudget.
type unlimited struct{}

func (unlimited) Earn(int)       {}
func (unlimited) Spend(int) bool { return true }

func (unlimited) SpendSpare(int) bool { return true }

// started implements wick.Clock.
type started time.Time

func (c started) Now() wick.Instant { return wick.Instant(time.Since(time.Time(c))) }

func TestSuspectsAreTried(t *testing.T) {
	x := &wick.Exchange{Request: "q", Host: "h", Path: "/x", TimeLeft: wick.Duration(1200 * time.Millisecond)}
	evidence := crash.NewSuspects(crash.Config{})
	evidence.AddCrash(0, wick.CrashReport{Pending: []wick.PendingRequest{{Request: fingerprintOf(x)}}})
	suspect := evidence.Verdicts(0)
	evidence.Stop(0, wick.StoppedCause{Keys: []wick.Fingerprint{fingerprintOf(x)}, Stop: wick.Duration(time.Minute)})
	stopped := evidence.Verdicts(0)
	var none crash.Verdicts
	tests := []struct {
		name     string
		verdicts crash.Verdicts
		grant    bool
		change   func(v *coord.View)
		sendErr  error
		sent     int
		code     wick.Code
		answered int
		// asked is set if a trial is requested, and ended if it is given up.
		asked, ended bool
	}{
		{"not a suspect", none, false, nil, nil, 1, "", 0, false, false},
		{"stopped", stopped, false, nil, nil, 0, wick.CodeKilled, 0, false, false},
		{"a suspect on trial", suspect, true, nil, nil, 1, "", 1, true, true},
		{"a suspect on trial that breaks off", suspect, true, nil, wick.Unknownf(wick.CodeBroken, "reset"), 1, wick.CodeBroken, 0, true, false},
		{"another attempt is answered", suspect, false, func(v *coord.View) { v.Verdicts = none }, nil, 1, "", 0, true, true},
		{"another attempt crashes", suspect, false, func(v *coord.View) { v.Verdicts = stopped }, nil, 0, wick.CodeKilled, 0, true, true},
		{"no trial in time", suspect, false, nil, nil, 0, wick.CodeOverload, 0, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			config := &wick.ServingConfig{Version: 1, Pools: map[wick.PoolName]wick.PoolConfig{"p": {Name: "p"}}, Routes: []wick.RouteConfig{{
				Name: "r", Host: "h", Prefix: "/", Kind: wick.KindUnsafe, Attempts: 1, Timeout: wick.Duration(2 * time.Second),
				Split: []wick.PoolShare{{Pool: "p", Weight: 1}},
			}}}
			f := facts.New(facts.Config{})
			f.Apply(0, wick.Fact{Offset: 1, ServingConfig: config})
			c := &arbiter{grant: test.grant, change: test.change, view: &coord.View{
				ServingConfig: config, Routes: f.Routes(), Ready: true, Verdicts: test.verdicts,
				Pools: map[wick.PoolName][]*coord.Runner{"p": {{Runner: &wick.Runner{Name: "e", Pool: "p", Slots: 8}, Meter: tally.NewMeter()}}},
			}}
			send := &once{body: "answer", err: test.sendErr}
			s := New(Config{Control: c, Sender: send, Clock: started(time.Now()), Retry: unlimited{}, Log: slog.New(slog.DiscardHandler), Observer: fakes.GatewayObserver{}, Pauses: new(tally.Pauses), AnsweredParts: new(tally.Parts)})
			err := s.Forward(t.Context(), x, sink{})
			var e *wick.Error
			code := wick.Code("")
			if errors.As(err, &e) {
				code = e.Code
			}
			if send.sent != test.sent || code != test.code || c.answered != test.answered || (c.asked > 0) != test.asked || (c.ended > 0) != test.ended {
				t.Errorf("%d sends, code %q, answered %d, trials asked %d and given up %d; want %+v", send.sent, code, c.answered, c.asked, c.ended, test)
			}
			if test.code == wick.CodeOverload && e.RetryAfter <= 0 {
				t.Error("no time to come back")
			}
		})
	}
}
