package direct_test

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantwick"
	"currantwick/coord"
	"currantwick/crash"
	"currantwick/direct"
	"currantwick/fakes"
	"currantwick/tally"
)

const ms = time.Millisecond

// timedReply is a fake endpoint's response to one send: the header comes after some
// time, and each part of the body at a time after the send.
type timedReply struct {
	reply
	after time.Duration
	parts []timedPart
}

type timedPart struct {
	at   time.Duration
	text string
}

// sending is one send of a timedSender, and the body of its response.
type sending struct {
	timedReply
	ctx      context.Context
	sent     time.Time
	endpoint wick.EndpointName
	// canceled is when the context of the send ended, since the start of the test.
	canceled time.Duration
	open     bool
}

// timedSender implements wick.Sender with a list of replies.
type timedSender struct {
	replies []timedReply
	start   time.Time

	mu   sync.Mutex
	list []*sending
}

func (s *timedSender) Send(ctx context.Context, a wick.Attempt) (*wick.Response, error) {
	s.mu.Lock()
	if len(s.list) == len(s.replies) {
		s.mu.Unlock()
		return nil, wick.NotRunf(wick.CodeNoEndpoint, "no replies left")
	}
	r := s.replies[len(s.list)]
	r.parts = slices.Clone(r.parts)
	b := &sending{timedReply: r, ctx: ctx, sent: time.Now(), endpoint: a.Endpoint}
	s.list = append(s.list, b)
	s.mu.Unlock()
	context.AfterFunc(ctx, func() { b.canceled = time.Since(s.start) })
	if !sleep(ctx, r.after) {
		return nil, wick.Unknownf(wick.CodeBroken, "canceled")
	}
	if r.err != nil {
		return nil, r.err
	}
	b.open = true
	return &wick.Response{Status: r.status, NotRun: r.notRun, Signal: r.signal, Body: b}, nil
}

func (b *sending) Read(p []byte) (int, error) {
	switch {
	case len(b.parts) == 0 && b.cut:
		return 0, errCut
	case len(b.parts) == 0:
		return 0, io.EOF
	case !sleep(b.ctx, b.parts[0].at-time.Since(b.sent)):
		return 0, errCut
	}
	part := &b.parts[0]
	n := copy(p, part.text)
	if part.text = part.text[n:]; part.text == "" {
		b.parts = b.parts[1:]
	}
	return n, nil
}

func (b *sending) Close() error {
	b.open = false
	return nil
}

// sleep reports whether the time passed before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// hedging implements wick.Hedgers and wick.Hedger with a fixed delay, and counts hedges
// as a wick.GatewayObserver.
type hedging struct {
	fakes.GatewayObserver
	spent bool
	delay time.Duration
	// delayTakes and tryTakes are how long Delay and TryHedge take, so that a test can
	// have an answer arrive meanwhile.
	delayTakes, tryTakes time.Duration

	mu                           sync.Mutex
	started, attempts, sent, won int
	denied                       []wick.HedgeDenial
}

func (h *hedging) Of(wick.HedgeKey) wick.Hedger   { return h }
func (h *hedging) RequestStarted()                { h.count(func() { h.started++ }) }
func (h *hedging) ObserveLatency(time.Duration)   {}
func (h *hedging) AttemptSent(bool)               { h.count(func() { h.attempts++ }) }
func (h *hedging) HedgeSent()                     { h.count(func() { h.sent++ }) }
func (h *hedging) HedgeWon()                      { h.count(func() { h.won++ }) }
func (h *hedging) HedgeDenied(d wick.HedgeDenial) { h.count(func() { h.denied = append(h.denied, d) }) }

func (h *hedging) Delay() (time.Duration, bool) {
	time.Sleep(h.delayTakes)
	return h.delay, true
}

func (h *hedging) TryHedge() bool {
	time.Sleep(h.tryTakes)
	return !h.spent
}

func (h *hedging) count(add func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	add()
}

// counted is a retry budget that counts what was spent.
type counted struct {
	wick.SharedBudget
	spent int
}

func (c *counted) Spend(daemons int) bool      { return c.count(c.SharedBudget.Spend(daemons)) }
func (c *counted) SpendSpare(daemons int) bool { return c.count(c.SharedBudget.SpendSpare(daemons)) }

func (c *counted) count(paid bool) bool {
	if paid {
		c.spent++
	}
	return paid
}

func hedgingServer(c direct.Control, s wick.Sender, retry wick.SharedBudget, hedgers wick.Hedgers, o wick.GatewayObserver) *direct.Server {
	return direct.New(direct.Config{
		Bounds: wick.Bounds{RevisionDeadline: wick.Duration(5 * time.Second)}, Control: c, Sender: s, Clock: clock{time.Now()}, Retry: retry, Hedgers: hedgers,
		Log: slog.New(slog.DiscardHandler), Observer: o, Pauses: new(tally.Pauses), AnsweredParts: new(tally.Parts),
	})
}

// threeEndpoints returns a view with three equal endpoints in each pool.
func threeEndpoints(r wick.RouteConfig) *coord.View {
	v := view(r)
	for pool, list := range v.Pools {
		third, info := *list[0], *list[0].Runner
		info.Name = wick.EndpointName(pool) + "-3"
		third.Runner, third.Meter, third.Adapters = &info, tally.NewMeter(), maps.Clone(third.Adapters)
		v.Pools[pool] = append(list, &third)
	}
	return v
}

// meterWriter is a writer that checks, whenever a part of an answer is passed on, that
// only the endpoint that answers is still counted as busy.
type meterWriter struct {
	writer
	t    *testing.T
	view *coord.View
}

func (w *meterWriter) WriteBody(p []byte) error {
	synctest.Wait()
	checkRunning(w.t, w.view, 1)
	return w.writer.WriteBody(p)
}

func checkRunning(t *testing.T, v *coord.View, most int) {
	t.Helper()
	var sum wick.EndpointLoad
	for _, list := range v.Pools {
		for _, r := range list {
			m := r.Meter.Read(0)
			sum.Running, sum.Waiting = sum.Running+m.Running, sum.Waiting+m.Waiting
		}
	}
	if sum.Running > most || sum.Waiting > wick.Tokens(100*most) {
		t.Errorf("endpoints count %d requests and %d tokens, want at most %d requests", sum.Running, sum.Waiting, most)
	}
}

// checkFailures checks that the endpoints that failed the request are known as failing
// and do not get it again, and that one whose attempt was canceled since another answered
// is not known as failing.
func checkFailures(t *testing.T, v *coord.View, list []*sending, answered bool, lost time.Duration) {
	t.Helper()
	gone := make(map[wick.EndpointName]bool)
	for _, b := range list {
		if gone[b.endpoint] {
			t.Errorf("%s, which failed the request or asked for a pause, got it again", b.endpoint)
		}
		failed := b.err != nil || b.cut || b.status >= 500 && !b.notRun
		gone[b.endpoint] = failed || b.signal.Pause > 0
		if !failed && (!answered || lost == 0 || b.canceled != lost) {
			continue
		}
		for _, r := range slices.Concat(slices.Collect(maps.Values(v.Pools))...) {
			if share := r.Meter.Read(0).FailedShare; r.Name == b.endpoint && (share > 0) != failed {
				t.Errorf("%s failed the request: %v, but its share of failures is %v", b.endpoint, failed, share)
			}
		}
	}
}

// The first answer is passed on, whole and once; an attempt that fails does not beat
// one that is still running; nothing that may run only once is sent twice; and the
// attempt that lost is canceled at once, gives back what it held, and is no evidence
// against its endpoint. In each row the hedge is due after 100 ms.
func TestHedge(t *testing.T) {
	const safe, unsafe, stream, one, two, never = wick.KindSafe, wick.KindUnsafe, wick.KindStream, "id: 1\n\n", "id: 2\n\n", time.Hour
	whole := func(after time.Duration, status int, text string) timedReply {
		return timedReply{reply{status: status}, after, []timedPart{{after, text}}}
	}
	events := func(parts ...timedPart) timedReply { return timedReply{reply{status: 200}, 10 * ms, parts} }
	cut := func(parts ...timedPart) timedReply {
		return timedReply{reply{status: 200, cut: true}, 10 * ms, parts}
	}
	fails := func(after time.Duration) timedReply {
		return timedReply{reply: reply{err: wick.Unknownf(wick.CodeBroken, "reset")}, after: after}
	}
	refuses := func(after time.Duration) timedReply {
		return timedReply{reply: reply{status: 503, notRun: true}, after: after}
	}
	pauses := timedReply{reply{status: 503, notRun: true, signal: wick.EndpointSignal{Pause: wick.Duration(time.Second)}}, 10 * ms, nil}
	large := strings.Repeat("a", 300<<10)
	unsent := func(after time.Duration) timedReply {
		return timedReply{reply: reply{err: wick.NotRunf(wick.CodeNoEndpoint, "refused")}, after: after}
	}
	slow, answer := whole(900*ms, 200, "slow"), whole(30*ms, 200, "c")
	tests := []struct {
		name      string
		kind      wick.Kind
		attempts  int
		resumable bool
		replies   []timedReply
		// status, body and took are what the caller gets and when; it leaves at 4 s.
		status int
		body   string
		took   time.Duration
		sends  int
		hedges int
		won    int
		broken int // reports of broken answers
		// lost is when the first or second attempt is canceled; 0 if it ends by itself.
		lost time.Duration
	}{
		{"in time", safe, 2, false, []timedReply{whole(50*ms, 200, "a")}, 200, "a", 50 * ms, 1, 0, 0, 0, 0},
		{"a large answer", safe, 2, false, []timedReply{whole(50*ms, 200, large)}, 200, large, 50 * ms, 1, 0, 0, 0, 0},
		{"the second answers first", safe, 2, false, []timedReply{slow, whole(30*ms, 200, "b")}, 200, "b", 130 * ms, 2, 1, 1, 0, 130 * ms},
		{"the first answers first", safe, 2, false, []timedReply{whole(150*ms, 200, "a"), slow}, 200, "a", 150 * ms, 2, 1, 0, 0, 150 * ms},
		{"a part is no answer", safe, 2, false, []timedReply{events(timedPart{20 * ms, "a"}, timedPart{900 * ms, "a"}), answer}, 200, "c", 130 * ms, 2, 1, 1, 0, 130 * ms},
		{"404 is an answer", safe, 2, false, []timedReply{slow, whole(30*ms, 404, "b")}, 404, "b", 130 * ms, 2, 1, 1, 0, 130 * ms},
		{"the first breaks", safe, 2, false, []timedReply{fails(120 * ms), whole(100*ms, 200, "b")}, 200, "b", 200 * ms, 2, 1, 1, 1, 0},
		{"the second breaks", safe, 2, false, []timedReply{whole(200*ms, 200, "a"), fails(20 * ms)}, 200, "a", 200 * ms, 2, 1, 0, 1, 0},
		{"the second refuses", safe, 2, false, []timedReply{whole(200*ms, 200, "a"), refuses(20 * ms)}, 200, "a", 200 * ms, 2, 1, 0, 0, 0},
		{"the second fails with 500", safe, 2, false, []timedReply{whole(200*ms, 200, "a"), whole(20*ms, 500, "b")}, 200, "a", 200 * ms, 2, 1, 0, 0, 0},
		{"both break", safe, 2, false, []timedReply{fails(150 * ms), fails(100 * ms), answer}, 0, "", 200 * ms, 2, 1, 0, 2, 0},
		{"both break, one attempt is left", safe, 3, false, []timedReply{fails(150 * ms), fails(100 * ms), answer}, 200, "c", 230 * ms, 3, 1, 0, 2, 0},
		{"500 and then a break", safe, 2, false, []timedReply{whole(150*ms, 500, "a"), fails(100 * ms)}, 500, "a", 200 * ms, 2, 1, 0, 1, 0},
		{"500 twice", safe, 2, false, []timedReply{whole(150*ms, 500, "a"), whole(100*ms, 500, "b")}, 500, "b", 200 * ms, 2, 1, 0, 0, 0},
		{"500 and then a refusal", safe, 2, false, []timedReply{whole(150*ms, 500, "a"), refuses(100 * ms), answer}, 200, "c", 230 * ms, 3, 1, 0, 0, 0},
		{"both refuse", safe, 2, false, []timedReply{refuses(150 * ms), refuses(100 * ms), answer}, 200, "c", 230 * ms, 3, 1, 0, 0, 0},
		{"one breaks, one is not sent", safe, 2, false, []timedReply{fails(150 * ms), unsent(100 * ms), answer}, 200, "c", 230 * ms, 3, 1, 0, 1, 0},
		{"one is not sent, one breaks", safe, 2, false, []timedReply{unsent(150 * ms), fails(100 * ms), answer}, 200, "c", 230 * ms, 3, 1, 0, 1, 0},
		{"one asks for a pause", safe, 2, false, []timedReply{pauses, slow, answer}, 200, "c", 140 * ms, 3, 1, 1, 0, 0},
		{"the caller leaves", safe, 2, false, []timedReply{events(timedPart{never, "a"}), events(timedPart{never, "a"})}, 0, "", 4 * time.Second, 2, 1, 0, 0, 4 * time.Second},
		{"unsafe", unsafe, 3, false, []timedReply{slow}, 200, "slow", 900 * ms, 1, 0, 0, 0, 0},
		{"one attempt", safe, 1, false, []timedReply{slow}, 200, "slow", 900 * ms, 1, 0, 0, 0, 0},
		{"a retry that is the last attempt", safe, 2, false, []timedReply{fails(50 * ms), slow}, 200, "slow", 950 * ms, 2, 0, 0, 1, 0},
		{"a stream that is not resumable", stream, 3, false, []timedReply{events(timedPart{400 * ms, one})}, 200, one, 400 * ms, 1, 0, 0, 0, 0},
		{"a stream that has begun", stream, 2, true, []timedReply{events(timedPart{50 * ms, one}, timedPart{400 * ms, two})}, 200, one + two, 400 * ms, 1, 0, 0, 0, 0},
		{"a begun stream goes on elsewhere", stream, 3, true, []timedReply{cut(timedPart{50 * ms, one}), events(timedPart{400 * ms, two})}, 200, one + two, 450 * ms, 2, 0, 0, 1, 0},
		{"404 to a stream is an answer", stream, 2, true, []timedReply{events(timedPart{900 * ms, one}), whole(30*ms, 404, "b")}, 404, "b", 130 * ms, 2, 1, 1, 0, 130 * ms},
		{"500 to a stream, the other breaks", stream, 3, true, []timedReply{whole(150*ms, 500, "a"), cut(timedPart{100 * ms, one}), events(timedPart{30 * ms, two})}, 200, one + two, 230 * ms, 3, 1, 1, 1, 0},
		{"the second stream is refused while the adapter is new", stream, 2, true, []timedReply{events(timedPart{130 * ms, one}), refuses(20 * ms)}, 200, one, 130 * ms, 2, 1, 0, 0, 0},
		{"the second stream ends inside an event", stream, 2, true, []timedReply{events(timedPart{200 * ms, one}), events(timedPart{20 * ms, "id"})}, 200, one, 200 * ms, 2, 1, 0, 1, 0},
		{"the second stream begins first", stream, 2, true, []timedReply{events(timedPart{50 * ms, "id: 1\n"}, timedPart{900 * ms, "\n"}), events(timedPart{30 * ms, one}, timedPart{300 * ms, two})}, 200, one + two, 400 * ms, 2, 1, 1, 0, 130 * ms},
		{"the first stream begins first", stream, 2, true, []timedReply{events(timedPart{150 * ms, one}, timedPart{300 * ms, two}), events(timedPart{80 * ms, one})}, 200, one + two, 300 * ms, 2, 1, 0, 0, 150 * ms},
		{"the second stream breaks before an event", stream, 2, true, []timedReply{events(timedPart{200 * ms, one}), cut(timedPart{20 * ms, "id"})}, 200, one, 200 * ms, 2, 1, 0, 1, 0},
		{"the stream that won breaks", stream, 2, true, []timedReply{events(timedPart{900 * ms, one}), cut(timedPart{20 * ms, one})}, 200, one, 120 * ms, 2, 1, 1, 1, 120 * ms},
		{"the stream that won breaks, one attempt is left", stream, 3, true, []timedReply{events(timedPart{900 * ms, one}), cut(timedPart{20 * ms, one}), events(timedPart{30 * ms, two})}, 200, one + two, 150 * ms, 3, 1, 1, 1, 120 * ms},
		{"the stream that won stalls", stream, 2, true, []timedReply{events(timedPart{never, one}), events(timedPart{20 * ms, one}, timedPart{never, two})}, 200, one, 4 * time.Second, 2, 1, 1, 0, 120 * ms},
		{"the stream that won stalls, one attempt is left", stream, 3, true, []timedReply{events(timedPart{never, one}), events(timedPart{20 * ms, one}, timedPart{never, two}), events(timedPart{30 * ms, two})}, 200, one + two, 1850 * ms, 3, 1, 1, 0, 120 * ms},
		{"the first breaks, the stream that won stalls", stream, 3, true, []timedReply{fails(120 * ms), events(timedPart{30 * ms, one}, timedPart{never, two}), events(timedPart{30 * ms, two})}, 200, one + two, 1860 * ms, 3, 1, 1, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, pool := &wick.Exchange{Request: "q", Host: "h", Path: "/x", PromptTokens: 100}, wick.PoolName("plain")
				if test.kind == stream {
					pool, x.Model, x.Adapter = "llm", "m", "a"
				}
				r := route(test.kind, pool, test.attempts, test.resumable)
				r.Objective, r.Timeout = wick.Duration(100*ms), wick.Duration(6*time.Second)
				c := &control{view: threeEndpoints(r)}
				send, to, h := &timedSender{replies: test.replies, start: time.Now()}, &meterWriter{t: t, view: c.view}, &hedging{delay: 100 * ms}
				ctx, cancel := context.WithCancel(t.Context())
				defer time.AfterFunc(4*time.Second, cancel).Stop()
				retry := &counted{SharedBudget: budget(t, 1000)}
				err := hedgingServer(c, send, retry, h, h).Forward(ctx, x, to)
				took := time.Since(send.start)
				if to.status != test.status || to.body.String() != test.body || took != test.took {
					t.Errorf("got %d %.40q after %v: %v; want %d %.40q after %v", to.status, to.body.String(), took, err, test.status, test.body, test.took)
				}
				if len(send.list) != test.sends || h.sent != test.hedges || h.won != test.won || len(c.broken) != test.broken {
					t.Errorf("%d sends, %d hedges, %d won, %d reported as broken; want %d, %d, %d, %d", len(send.list), h.sent, h.won, len(c.broken), test.sends, test.hedges, test.won, test.broken)
				}
				arrived := 0
				for _, b := range send.list {
					if b.err == nil || wick.AsError(b.err).Outcome != wick.NotRun {
						arrived++
					}
				}
				if retry.spent != arrived-1 || h.started > 1 {
					t.Errorf("%d arrivals, %d of them paid for, of a request that was counted %d times", arrived, retry.spent, h.started)
				}
				synctest.Wait()
				checkRunning(t, c.view, 0)
				if slices.ContainsFunc(send.list, func(b *sending) bool { return b.open }) {
					t.Error("a connection was left open")
				}
				if test.hedges > 0 && send.list[0].endpoint == send.list[1].endpoint {
					t.Error("hedged at the same endpoint")
				}
				checkFailures(t, c.view, send.list, test.status > 0, test.lost)
				if test.lost > 0 && min(send.list[0].canceled, send.list[1].canceled) != test.lost {
					t.Errorf("attempts canceled at %v and %v, want one at %v", send.list[0].canceled, send.list[1].canceled, test.lost)
				}
			})
		})
	}
}

// deliberate is a control that takes 200 ms to judge a possible crash.
type deliberate struct{ control }

func (*deliberate) ReportBroken(b wick.BrokenAttempt) {
	time.AfterFunc(200*ms, func() { close(b.Judged) })
}

// A retry must wait for the judgment of a possible crash, so a hedge that is due when the
// first attempt has a result must not be sent instead, nor count as an attempt. A request
// without attempts left must fail without that wait.
func TestHedgesAndJudgments(t *testing.T) {
	breaks := func(after time.Duration) timedReply {
		return timedReply{reply: reply{err: wick.Unknownf(wick.CodeBroken, "reset")}, after: after}
	}
	answers, refuses := timedReply{reply{status: 200}, 50 * ms, nil}, timedReply{reply{status: 503, notRun: true}, 100 * ms, nil}
	tests := []struct {
		name                        string
		delay, delayTakes, tryTakes time.Duration
		replies                     []timedReply
		sends, hedges               int
		took                        time.Duration
	}{
		{"a failure when the hedge is due", 0, 100 * ms, 0, []timedReply{breaks(50 * ms), answers}, 2, 0, 350 * ms},
		{"an answer while the limit is checked", 0, 0, 100 * ms, []timedReply{answers, answers}, 1, 0, 100 * ms},
		{"both break, no attempt is left", 100 * ms, 0, 0, []timedReply{breaks(150 * ms), breaks(150 * ms), answers}, 2, 1, 250 * ms},
		{"one breaks, one attempt is left", 100 * ms, 0, 0, []timedReply{breaks(150 * ms), refuses, answers}, 3, 1, 400 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// Where the hedge is due and a result is there, a select chooses at random.
			for range 20 {
				synctest.Test(t, func(t *testing.T) {
					send, start := &timedSender{replies: test.replies}, time.Now()
					h := &hedging{delay: test.delay, delayTakes: test.delayTakes, tryTakes: test.tryTakes}
					c := &deliberate{control{view: threeEndpoints(route(wick.KindSafe, "plain", 2, false))}}
					err := hedgingServer(c, send, budget(t, 1000), h, h).Forward(t.Context(), &wick.Exchange{Request: "q", Host: "h", Path: "/"}, &writer{})
					if took := time.Since(start); len(send.list) != test.sends || h.attempts != test.sends || h.sent != test.hedges || took != test.took {
						t.Errorf("%d sends, counted as %d attempts, %d hedges, %v: %v; want %d, %d, %v", len(send.list), h.attempts, h.sent, took, err, test.sends, test.hedges, test.took)
					}
					checkRunning(t, c.view, 0)
				})
			}
		})
	}
}

// changing is a control whose view changes after 50 ms.
type changing struct {
	control
	start time.Time
	next  *coord.View
}

func (c *changing) View() *coord.View {
	if time.Since(c.start) < 50*ms {
		return c.view
	}
	return c.next
}

// While extra work would do harm, or can't help, there is no hedge, and the cause is
// counted. Each row changes the view between the first attempt and the hedge.
func TestHedgeDenied(t *testing.T) {
	x := &wick.Exchange{Request: "q", Host: "h", Path: "/x", Model: "m", Adapter: "a"}
	each := func(change func(i int, r *coord.Runner)) func(*coord.View) {
		return func(v *coord.View) {
			for i, r := range v.Pools["llm"] {
				change(i, r)
			}
		}
	}
	load := func(running ...int) func(*coord.View) {
		return each(func(i int, r *coord.Runner) { r.OtherLoad.Running = running[i] })
	}
	same := func(*coord.View) {}
	accused := &control{view: view(route(wick.KindStream, "llm", 1, false))}
	_ = server(t, accused, &sender{replies: []reply{{err: wick.Unknownf(wick.CodeBroken, "reset")}}}, budget(t, 0)).Forward(t.Context(), x, &writer{})
	evidence := crash.NewSuspects(crash.Config{})
	evidence.AddCrash(0, wick.CrashReport{Pending: []wick.PendingRequest{accused.broken[0].Request}})
	tests := []struct {
		name   string
		change func(*coord.View)
		spent  bool // the limit on hedges is reached
		low    bool // the retry budget is low
		left   time.Duration
		want   []wick.HedgeDenial
	}{
		{"hedged", same, false, false, 0, nil},
		{"the limit is reached", same, true, false, 0, []wick.HedgeDenial{wick.HedgeLimit}},
		{"the retry budget is low", same, false, true, 0, []wick.HedgeDenial{wick.HedgeBudget}},
		{"one endpoint is overfull", load(30, 1, 1), false, false, 0, nil},
		{"the others are full", load(1, 8, 8), false, false, 0, []wick.HedgeDenial{wick.HedgeRoom}},
		{"the pool is nearly full", load(7, 7, 7), false, false, 0, []wick.HedgeDenial{wick.HedgeRoom}},
		{"no other endpoint", func(v *coord.View) { v.Pools["llm"] = v.Pools["llm"][:1] }, false, false, 0, []wick.HedgeDenial{wick.HedgeEndpoint}},
		{"no other has the adapter", each(func(i int, r *coord.Runner) {
			if i > 0 {
				delete(r.Adapters, adapter)
			}
		}), false, false, 0, []wick.HedgeDenial{wick.HedgeEndpoint}},
		{"the adapter is loading", each(func(_ int, r *coord.Runner) {
			r.Adapters[adapter] = coord.Residence{Revision: 1, Ready: wick.Instant(time.Second)}
		}), false, false, 0, []wick.HedgeDenial{wick.HedgeEndpoint}},
		{"the request is a suspect", func(v *coord.View) { v.Verdicts = evidence.Verdicts(0) }, false, false, 0, []wick.HedgeDenial{wick.HedgeSuspect}},
		{"the others would answer too late", each(func(_ int, r *coord.Runner) { r.OtherLoad.Waiting = 1e9 }), false, false, 0, []wick.HedgeDenial{wick.HedgeTime}},
		{"no time is left", same, false, false, 110 * ms, []wick.HedgeDenial{wick.HedgeTime}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := route(wick.KindStream, "llm", 2, true)
				c := &changing{control{view: threeEndpoints(r)}, time.Now(), threeEndpoints(r)}
				test.change(c.next)
				send := &timedSender{start: time.Now(), replies: slices.Repeat([]timedReply{{reply{status: 200}, 150 * ms, nil}}, 2)}
				h, request := &hedging{delay: 100 * ms, spent: test.spent}, *x
				request.TimeLeft = wick.Duration(test.left)
				err := hedgingServer(c, send, unlimited{test.low}, h, h).Forward(t.Context(), &request, &writer{})
				if !slices.Equal(h.denied, test.want) || (len(send.list) == 2) != (test.want == nil) {
					t.Errorf("denied %v after %d sends, want %v; %v", h.denied, len(send.list), test.want, err)
				}
			})
		})
	}
}

// inline is a wick.Sender that answers at once, and a wick.ResponseWriter that discards
// the answer. It records how many goroutines run during a send.
type inline struct {
	body       string
	goroutines int
}

func (s *inline) Send(context.Context, wick.Attempt) (*wick.Response, error) {
	s.goroutines = runtime.NumGoroutine()
	return &wick.Response{Status: 200, Body: &body{Reader: strings.NewReader(s.body)}}, nil
}
func (*inline) WriteHeader(int, []wick.HeaderField) error { return nil }
func (*inline) WriteBody([]byte) error                    { return nil }

// Without -hedge-ratio, a request must be served as before hedges existed: without
// goroutines of its own.
func TestNoGoroutinesWithoutHedging(t *testing.T) {
	for _, hedgers := range []wick.Hedgers{nil, &hedging{delay: time.Hour}} {
		send, before := &inline{body: "answer"}, runtime.NumGoroutine()
		s := hedgingServer(&control{view: view(route(wick.KindSafe, "plain", 2, false))}, send, budget(t, 0), hedgers, fakes.GatewayObserver{})
		err := s.Forward(t.Context(), &wick.Exchange{Request: "q", Host: "h", Path: "/"}, send)
		if more := send.goroutines > before; more != (hedgers != nil) || err != nil {
			t.Errorf("hedgers %v: %d goroutines during a request, %d before; %v", hedgers, send.goroutines, before, err)
		}
	}
}

// BenchmarkForward measures a request that is answered at once. With hedging off, it must
// allocate no more than before hedges existed: 36 times for a safe request, 39 for a
// stream.
func BenchmarkForward(b *testing.B) {
	for _, kind := range []wick.Kind{wick.KindSafe, wick.KindStream} {
		for name, hedgers := range map[string]wick.Hedgers{"off": nil, "on": &hedging{delay: time.Hour}} {
			b.Run(kind.String()+", hedging "+name, func(b *testing.B) {
				send, c := &inline{body: "id: 1\n\n"}, &control{view: view(route(kind, "plain", 2, true))}
				s := hedgingServer(c, send, unlimited{false}, hedgers, fakes.GatewayObserver{})
				x := &wick.Exchange{Request: "q", Host: "h", Path: "/", TimeLeft: wick.Duration(time.Second)}
				b.ReportAllocs()
				for b.Loop() {
					if err := s.Forward(b.Context(), x, send); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// unlimited implements wick.SharedBudget. It may be low, and then has retries only.
type unlimited struct{ low bool }

func (unlimited) Earn(int)              {}
func (unlimited) Spend(int) bool        { return true }
func (u unlimited) SpendSpare(int) bool { return !u.low }
