package direct_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"currantwick"
	"currantwick/coord"
	"currantwick/direct"
	"currantwick/facts"
	"currantwick/fakes"
	"currantwick/limit"
	"currantwick/tally"
)

// reply is a fake endpoint's response to one send.
type reply struct {
	status int
	notRun bool
	// impliesNotRun is set for a status that callers take for notRun.
	impliesNotRun bool
	body          string
	// unframed is set for a body whose end does not show that it is complete.
	unframed bool
	signal   wick.EndpointSignal
	// cut breaks the body off; err fails the whole send.
	cut bool
	err error
}

var errCut = errors.New("connection reset")

// sender implements wick.Sender with a list of replies.
type sender struct {
	replies []reply
	sent    []wick.Attempt
}

func (s *sender) Send(_ context.Context, a wick.Attempt) (*wick.Response, error) {
	s.sent = append(s.sent, a)
	if len(s.replies) == 0 {
		return nil, wick.NotRunf(wick.CodeNoEndpoint, "no replies left")
	}
	r := s.replies[0]
	s.replies = s.replies[1:]
	if r.err != nil {
		return nil, r.err
	}
	return &wick.Response{Status: r.status, NotRun: r.notRun, ImpliesNotRun: r.impliesNotRun, Unframed: r.unframed, Signal: r.signal, Body: &body{Reader: strings.NewReader(r.body), cut: r.cut}}, nil
}

// body is the body of a reply, which may break off.
type body struct {
	io.Reader
	cut bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && b.cut {
		err = errCut
	}
	return n, err
}

func (b *body) Close() error { return nil }

// writer implements wick.ResponseWriter.
type writer struct {
	status int
	body   bytes.Buffer
}

func (s *writer) WriteHeader(status int, _ []wick.HeaderField) error {
	s.status = status
	return nil
}

func (s *writer) WriteBody(p []byte) error {
	s.body.Write(p)
	return nil
}

// control implements direct.Control with a fixed view.
type control struct {
	view     *coord.View
	wants    []wick.AdapterRequest
	broken   []wick.BrokenAttempt
	answered []wick.Fingerprint
	leaving  []wick.EndpointStart
	trials   []wick.TrialRequest
	ended    []wick.TrialID
}

func (c *control) View() *coord.View { return c.view }

func (c *control) RequestAdapter(w wick.AdapterRequest) { c.wants = append(c.wants, w) }

func (c *control) ReportCachedPrefix(wick.CachedPrefix) {}

func (c *control) ReportBroken(b wick.BrokenAttempt) {
	c.broken = append(c.broken, b)
	close(b.Judged)
}

func (c *control) ReportAnswered(accused []wick.Fingerprint) {
	c.answered = append(c.answered, accused...)
}

func (c *control) RequestTrial(r wick.TrialRequest) { c.trials = append(c.trials, r) }

func (c *control) ReportLeaving(id wick.EndpointStart) { c.leaving = append(c.leaving, id) }

func (c *control) EndTrial(id wick.TrialID) { c.ended = append(c.ended, id) }

// clock implements wick.Clock.
type clock struct{ start time.Time }

func (c clock) Now() wick.Instant { return wick.Instant(time.Since(c.start)) }

var (
	model   = wick.Weights{Model: "m"}
	adapter = wick.Weights{Model: "m", Adapter: "a"}
)

// view returns a view with two endpoints in each pool.
func view(routes ...wick.RouteConfig) *coord.View {
	config := &wick.ServingConfig{Version: 3, Routes: routes, Pools: map[wick.PoolName]wick.PoolConfig{
		"plain": {Name: "plain"}, "llm": {Name: "llm", Engine: &wick.PoolEngine{AdapterSlots: 4}},
	}}
	f := facts.New(facts.Config{})
	f.Apply(0, wick.Fact{Offset: 1, ServingConfig: config})
	v := &coord.View{ServingConfig: config, Routes: f.Routes(), Pools: make(map[wick.PoolName][]*coord.Runner), Ready: true}
	for pool := range config.Pools {
		for _, name := range []wick.EndpointName{"1", "2"} {
			v.Pools[pool] = append(v.Pools[pool], &coord.Runner{
				Runner:       &wick.Runner{Name: wick.EndpointName(pool) + "-" + name, Pool: pool, Slots: 8},
				Meter:        tally.NewMeter(),
				OrdersActive: true,
				Adapters:     map[wick.Weights]coord.Residence{model: {}, adapter: {Revision: 1}},
			})
		}
	}
	return v
}

func route(kind wick.Kind, pool wick.PoolName, attempts int, resumable bool) wick.RouteConfig {
	return wick.RouteConfig{
		Name: "r", Host: "h", Prefix: "/", Kind: kind, Attempts: attempts, Resumable: resumable,
		Timeout: wick.Duration(2 * time.Second), Objective: wick.Duration(time.Second), Split: []wick.PoolShare{{Pool: pool, Weight: 1}},
	}
}

func server(t *testing.T, c direct.Control, s wick.Sender, retry wick.SharedBudget) *direct.Server {
	t.Helper()
	return serverAt(t, c, s, retry, clock{time.Now()}, wick.Bounds{RevisionDeadline: wick.Duration(5 * time.Second), EntriesTTL: wick.Duration(5 * time.Second)})
}

func serverAt(t *testing.T, c direct.Control, s wick.Sender, retry wick.SharedBudget, now wick.Clock, bounds wick.Bounds) *direct.Server {
	t.Helper()
	return direct.New(direct.Config{
		Domain:  "d",
		Bounds:  bounds,
		Control: c, Sender: s, Clock: now, Retry: retry,
		Log: slog.New(slog.DiscardHandler), Observer: fakes.GatewayObserver{}, Pauses: new(tally.Pauses), AnsweredParts: new(tally.Parts),
	})
}

// budget returns a retry budget for one daemon.
func budget(t *testing.T, slack int) wick.SharedBudget {
	t.Helper()
	b, err := limit.NewSharedRetries(0.01, slack)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestForward(t *testing.T) {
	const safe, unsafe, stream = wick.KindSafe, wick.KindUnsafe, wick.KindStream
	notRun := wick.NotRunf(wick.CodeNoEndpoint, "connection refused")
	broken := wick.Unknownf(wick.CodeBroken, "connection reset")
	tests := []struct {
		name      string
		kind      wick.Kind
		attempts  int
		resumable bool
		replies   []reply
		// status and body are what the caller gets; outcome is that of the
		// error.
		status  int
		body    string
		outcome wick.Outcome
		sends   int
	}{
		{"response", unsafe, 1, false, []reply{{status: 200, body: "hi"}}, 200, "hi", "", 1},
		{"endpoint error", unsafe, 1, false, []reply{{status: 500, body: "no"}}, 500, "no", "", 1},
		{"unsafe after a not-run response", unsafe, 1, false, []reply{{status: 503, notRun: true}, {status: 200, body: "hi"}}, 200, "hi", "", 2},
		{"unsafe after a refused connection", unsafe, 1, false, []reply{{err: notRun}, {status: 200, body: "hi"}}, 200, "hi", "", 2},
		{"unsafe after a lost response", unsafe, 3, false, []reply{{err: broken}}, 0, "", wick.Unknown, 1},
		{"unsafe with a broken body", unsafe, 3, false, []reply{{status: 200, body: "h", cut: true}}, 0, "", wick.Unknown, 1},
		{"unsafe after 503 without the not-run header", unsafe, 3, false, []reply{{status: 503, impliesNotRun: true, body: "x"}}, 0, "", wick.Unknown, 1},
		{"stream after 503 without the not-run header", stream, 2, false, []reply{{status: 503, impliesNotRun: true, body: "x"}}, 0, "", wick.Unknown, 1},
		{"safe after 503 without the not-run header", safe, 2, false, []reply{{status: 503, impliesNotRun: true}, {status: 200, body: "hi"}}, 200, "hi", "", 2},
		{"safe with one attempt after 503 without the not-run header", safe, 1, false, []reply{{status: 503, impliesNotRun: true, body: "x"}}, 503, "x", "", 1},
		{"resumable stream after 503 without the not-run header", stream, 2, true, []reply{{status: 503, impliesNotRun: true, body: "x"}}, 503, "x", "", 1},
		{"safe after a lost response", safe, 2, false, []reply{{err: broken}, {status: 200, body: "hi"}}, 200, "hi", "", 2},
		{"safe with a broken body", safe, 2, false, []reply{{status: 200, body: "h", cut: true}, {status: 200, body: "hi"}}, 200, "hi", "", 2},
		{"safe after an endpoint error", safe, 2, false, []reply{{status: 500, body: "no"}, {status: 200, body: "hi"}}, 200, "hi", "", 2},
		{"safe with one attempt", safe, 1, false, []reply{{err: broken}}, 0, "", wick.Unknown, 1},
		{"all endpoints refuse", unsafe, 1, false, []reply{{status: 503, notRun: true}, {status: 503, notRun: true}}, 0, "", wick.NotRun, 2},
		{"stream", stream, 1, false, []reply{{status: 200, body: "id: 1\n\nid: 2\n\n"}}, 200, "id: 1\n\nid: 2\n\n", "", 1},
		{"broken stream that is not resumable", stream, 2, false, []reply{{status: 200, body: "id: 1\n\nid: 2\nda", cut: true}}, 200, "id: 1\n\n", wick.Unknown, 1},
		{
			"broken stream that is resumed", stream, 2, true,
			[]reply{{status: 200, body: "id: 1\n\nid: 2\nda", cut: true}, {status: 200, body: "id: 2\ndata\n\n"}},
			200, "id: 1\n\nid: 2\ndata\n\n", "", 2,
		},
		{
			"stream that breaks before its first event", stream, 2, true,
			[]reply{{status: 200, body: "id: 1\nda", cut: true}, {status: 200, body: "id: 1\ndata\n\n"}},
			200, "id: 1\ndata\n\n", "", 2,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool := wick.PoolName("plain")
			x := &wick.Exchange{Request: "q", Host: "h", Path: "/x", Method: "POST", Target: "/x"}
			if test.kind == stream {
				pool, x.Model, x.Adapter = "llm", "m", "a"
			}
			send, to := &sender{replies: test.replies}, &writer{}
			c := &control{view: view(route(test.kind, pool, test.attempts, test.resumable))}
			err := server(t, c, send, budget(t, 1000)).Forward(t.Context(), x, to)
			var outcome wick.Outcome
			if err != nil {
				outcome = wick.AsError(err).Outcome
			}
			if to.status != test.status || to.body.String() != test.body || outcome != test.outcome || len(send.sent) != test.sends {
				t.Errorf("got %d %q, outcome %q after %d sends; want %d %q, %q after %d",
					to.status, to.body.String(), outcome, len(send.sent), test.status, test.body, test.outcome, test.sends)
			}
		})
	}
}

// A stream resumes after the last complete event, on another endpoint.
func TestResumeAfterLastWholeEvent(t *testing.T) {
	send := &sender{replies: []reply{{status: 200, body: "id: 7\n\nid: 8\n", cut: true}, {status: 200, body: "id: 8\n\n"}}}
	c := &control{view: view(route(wick.KindStream, "llm", 2, true))}
	x := &wick.Exchange{Request: "q", Host: "h", Path: "/", Model: "m", Adapter: "a"}
	if err := server(t, c, send, budget(t, 1000)).Forward(t.Context(), x, &writer{}); err != nil {
		t.Fatal(err)
	}
	if got := send.sent[1].ResumeAfter; got != "7" {
		t.Errorf("resumed after %q, want 7", got)
	}
	if send.sent[0].Endpoint == send.sent[1].Endpoint {
		t.Errorf("resumed on %s, whose stream broke off", send.sent[1].Endpoint)
	}
}

// A request is not retried beyond the budget, and its error has a Retry-After.
func TestRetriesStayWithinBudget(t *testing.T) {
	refusal := reply{status: 503, notRun: true}
	send := &sender{replies: slices.Repeat([]reply{refusal}, 9)}
	c := &control{view: view(route(wick.KindUnsafe, "plain", 1, false))}
	// The budget uses 70% of the slack of two, which allows one retry.
	s := server(t, c, send, budget(t, 2))
	for range 3 {
		err := s.Forward(t.Context(), &wick.Exchange{Request: "q", Host: "h", Path: "/"}, &writer{})
		if e := wick.AsError(err); e.Outcome != wick.NotRun || e.RetryAfter <= 0 {
			t.Errorf("got %v with retry after %v, want not run and a positive time", e, e.RetryAfter)
		}
	}
	if len(send.sent) != 4 {
		t.Errorf("%d sends of 3 requests with one retry in the budget, want 4", len(send.sent))
	}
}

func TestRefusals(t *testing.T) {
	ready := func() *coord.View { return view(route(wick.KindUnsafe, "plain", 1, false)) }
	tests := []struct {
		name string
		view *coord.View
		path string
		code wick.Code
	}{
		{"no configuration", &coord.View{}, "/", wick.CodeStale},
		{"no route", view(wick.RouteConfig{Host: "h", Prefix: "/a/"}), "/b", wick.CodeNoRoute},
		{"no endpoint", func() *coord.View { v := ready(); v.Pools = nil; return v }(), "/", wick.CodeNoEndpoint},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := server(t, &control{view: test.view}, &sender{}, budget(t, 1000))
			e := wick.AsError(s.Forward(t.Context(), &wick.Exchange{Request: "q", Host: "h", Path: test.path}, &writer{}))
			if e.Code != test.code || e.Outcome != wick.NotRun {
				t.Errorf("got %v, want %s and not run", e, test.code)
			}
		})
	}
}

// The endpoint gets the caller's remaining time, bounded by the route's
// timeout.
func TestTimeLeft(t *testing.T) {
	tests := []struct {
		name   string
		within time.Duration
		most   time.Duration
	}{
		{"caller's deadline", time.Second, time.Second},
		{"route's timeout", time.Minute, 2 * time.Second},
		{"no deadline", 0, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			send := &sender{replies: []reply{{status: 200}}}
			c := &control{view: view(route(wick.KindUnsafe, "plain", 1, false))}
			x := &wick.Exchange{Request: "q", Host: "h", Path: "/", TimeLeft: wick.Duration(test.within)}
			if err := server(t, c, send, budget(t, 1000)).Forward(t.Context(), x, &writer{}); err != nil {
				t.Fatal(err)
			}
			got := send.sent[0].TimeLeft.Std()
			if got > test.most || got < test.most-500*time.Millisecond {
				t.Errorf("endpoint got %v, want just under %v", got, test.most)
			}
		})
	}
}

// An older version of an adapter is not used once the newer one has been known
// for a third of RevisionDeadline.
func TestOlderVersionIsNotUsed(t *testing.T) {
	tests := []struct {
		name      string
		announced time.Duration
		sends     int
	}{
		{"just announced", 0, 1},
		{"announced a while ago", -3 * time.Second, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := view(route(wick.KindStream, "llm", 1, false))
			f := facts.New(facts.Config{})
			f.Apply(wick.Instant(test.announced), wick.Fact{Offset: 9, NewRevision: &wick.Loaded{Weights: adapter, Revision: 2}})
			v.Newest = f.Newest()
			send, c := &sender{replies: []reply{{status: 200}}}, &control{view: v}
			x := &wick.Exchange{Request: "q", Host: "h", Path: "/", Model: "m", Adapter: "a", TimeLeft: wick.Duration(300 * time.Millisecond)}
			_ = server(t, c, send, budget(t, 1000)).Forward(t.Context(), x, &writer{})
			if len(send.sent) != test.sends {
				t.Errorf("%d sends, want %d", len(send.sent), test.sends)
			}
			if test.sends == 0 && (len(c.wants) == 0 || c.wants[0].Revision != 2) {
				t.Errorf("requested %+v, want version 2", c.wants)
			}
		})
	}
}

// A new version is loaded on an endpoint that doesn't hold an older one, and
// requests move there once it can serve.
func TestNewVersionLoadsOnAnotherEndpoint(t *testing.T) {
	tests := []struct {
		name string
		// second is the version on the second endpoint, if any; ready is set
		// when its load has ended.
		second    wick.Revision
		ready     bool
		to        wick.EndpointName
		requested []wick.EndpointName
	}{
		{"not loaded", 0, false, "llm-1", []wick.EndpointName{"llm-2"}},
		{"loading", 2, false, "llm-1", nil},
		{"ready", 2, true, "llm-2", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := view(route(wick.KindStream, "llm", 1, false))
			second := v.Pools["llm"][1]
			delete(second.Adapters, adapter)
			if test.second > 0 {
				second.Adapters[adapter] = coord.Residence{Revision: test.second}
				if !test.ready {
					second.Adapters[adapter] = coord.Residence{Revision: test.second, Ready: wick.Instant(time.Hour)}
				}
			}
			f := facts.New(facts.Config{})
			f.Apply(0, wick.Fact{Offset: 9, NewRevision: &wick.Loaded{Weights: adapter, Revision: 2}})
			v.Newest = f.Newest()
			send, c := &sender{replies: []reply{{status: 200}, {status: 200}}}, &control{view: v}
			s := server(t, c, send, budget(t, 1000))
			for range 2 {
				x := &wick.Exchange{Request: "q", Host: "h", Path: "/", Model: "m", Adapter: "a", TimeLeft: wick.Duration(300 * time.Millisecond)}
				if err := s.Forward(t.Context(), x, &writer{}); err != nil {
					t.Fatal(err)
				}
			}
			var requested []wick.EndpointName
			for _, w := range c.wants {
				requested = append(requested, w.Endpoint)
			}
			if send.sent[0].Endpoint != test.to || !slices.Equal(requested, test.requested) {
				t.Errorf("sent to %s and requested on %v, want %s and %v", send.sent[0].Endpoint, requested, test.to, test.requested)
			}
		})
	}
}

func TestBrokenAttemptsAreReported(t *testing.T) {
	event := "id: 1\ndata: x\n\n"
	tests := []struct {
		name   string
		kind   wick.Kind
		reply  reply
		report bool
		begun  bool
	}{
		{"no answer", wick.KindStream, reply{err: wick.Unknownf(wick.CodeBroken, "reset")}, true, false},
		{"not a byte sent", wick.KindStream, reply{err: wick.NotRunf(wick.CodeNoEndpoint, "refused")}, false, false},
		{"a header only", wick.KindStream, reply{status: 200, cut: true}, true, false},
		{"half an event", wick.KindStream, reply{status: 200, body: "id: 1\nda", cut: true}, true, false},
		{"an event", wick.KindStream, reply{status: 200, body: event + "id: 2", cut: true}, true, true},
		{"a whole stream", wick.KindStream, reply{status: 200, body: event}, false, false},
		{"half a reply", wick.KindUnsafe, reply{status: 200, body: "ha", cut: true}, true, false},
		{"a refusal", wick.KindUnsafe, reply{status: 503, notRun: true}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &control{view: view(route(test.kind, "plain", 1, false))}
			x := &wick.Exchange{Request: "q", Host: "h", Path: "/x"}
			err := server(t, c, &sender{replies: []reply{test.reply}}, budget(t, 0)).Forward(t.Context(), x, &writer{})
			if reported := len(c.broken) > 0; reported != test.report || reported && c.broken[0].Begun != test.begun {
				t.Errorf("reported %+v, want report %v, begun %v; error %v", c.broken, test.report, test.begun, err)
			}
		})
	}
}

func TestPausedEndpoints(t *testing.T) {
	full := func(d time.Duration) reply {
		return reply{status: 503, notRun: true, signal: wick.EndpointSignal{Pause: wick.Duration(d)}}
	}
	ok := reply{status: 200, body: "answer"}
	tests := []struct {
		name    string
		replies []reply
		sends   int
		code    wick.Code
		// retryAfter is set if the caller is told when to come back, leaving if the
		// endpoint is reported as leaving, and waits if the request waits.
		retryAfter, leaving, waits bool
	}{
		{"one endpoint is paused", []reply{full(time.Second), ok}, 2, "", false, false, false},
		{"both, for a moment", []reply{full(200 * time.Millisecond), full(200 * time.Millisecond), ok}, 3, "", false, false, true},
		{"both, for longer than the request may wait", []reply{full(20 * time.Second), full(20 * time.Second)}, 2, wick.CodeNoEndpoint, true, false, false},
		{"one is leaving and answers", []reply{{status: 200, body: "answer", signal: wick.EndpointSignal{Leaving: true}}}, 1, "", false, true, false},
		{"one is leaving and refuses", []reply{{status: 503, notRun: true, signal: wick.EndpointSignal{Leaving: true}}, ok}, 2, "", false, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			send := &sender{replies: test.replies}
			c := &control{view: view(route(wick.KindUnsafe, "plain", 1, false))}
			began := time.Now()
			err := server(t, c, send, budget(t, 1000)).Forward(t.Context(), &wick.Exchange{Request: "q", Host: "h", Path: "/x"}, &writer{})
			took := time.Since(began)
			var e *wick.Error
			code := wick.Code("")
			if errors.As(err, &e) {
				code = e.Code
			}
			if len(send.sent) != test.sends || code != test.code || (e != nil && e.RetryAfter > 0) != test.retryAfter || (len(c.leaving) > 0) != test.leaving {
				t.Errorf("%d sends, code %q, leaving %v; want %+v: %v", len(send.sent), code, c.leaving, test, err)
			}
			if (took > 150*time.Millisecond) != test.waits {
				t.Errorf("took %v, waits: %v", took, test.waits)
			}
			if len(send.sent) == 2 && send.sent[0].Endpoint == send.sent[1].Endpoint {
				t.Error("sent to the same endpoint again")
			}
		})
	}
}

// A pause is no failure: it does not count against the endpoint later.
func TestPauseIsNoFailure(t *testing.T) {
	c := &control{view: view(route(wick.KindUnsafe, "plain", 1, false))}
	refusal := reply{status: 503, notRun: true, signal: wick.EndpointSignal{Pause: wick.Duration(time.Second)}}
	if err := server(t, c, &sender{replies: []reply{refusal, {status: 200}}}, budget(t, 1000)).Forward(t.Context(), &wick.Exchange{Request: "q", Host: "h", Path: "/x"}, &writer{}); err != nil {
		t.Fatal(err)
	}
	for _, r := range c.view.Pools["plain"] {
		if o := r.Meter.TakeOutcomes(); o.Failed > 0 {
			t.Errorf("%s has %d failures", r.Name, o.Failed)
		}
	}
}

// A stream that ends inside an event was broken off, however its end is framed, and so
// was one without an event whose end says nothing.
func TestStreamsThatEndEarly(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	tests := []struct {
		name     string
		reply    reply
		complete bool
		// passed is what the caller got, broken is set if the break is reported.
		passed string
		broken bool
	}{
		{"whole", reply{status: 200, body: event}, true, event, false},
		{"whole, without a length", reply{status: 200, body: event, unframed: true}, true, event, false},
		{"inside an event", reply{status: 200, body: event + "id: 2\nda"}, false, event, true},
		{"inside an event, without a length", reply{status: 200, body: event + "id: 2\nda", unframed: true}, false, event, true},
		{"no event, without a length", reply{status: 200, unframed: true}, false, "", true},
		{"no event, but with a length", reply{status: 200}, true, "", false},
		{"an error with a body that is no stream", reply{status: 500, body: "failed"}, true, "failed", false},
		{"an error without a length", reply{status: 500, body: "failed", unframed: true}, true, "failed", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &control{view: view(route(wick.KindStream, "plain", 1, false))}
			to := &writer{}
			err := server(t, c, &sender{replies: []reply{test.reply}}, budget(t, 0)).Forward(t.Context(), &wick.Exchange{Request: "q", Host: "h", Path: "/x"}, to)
			if (err == nil) != test.complete || to.body.String() != test.passed || (len(c.broken) > 0) != test.broken {
				t.Errorf("passed %q, reported %v, error %v; want %q, %v, complete %v", to.body.String(), c.broken, err, test.passed, test.broken, test.complete)
			}
		})
	}
}
