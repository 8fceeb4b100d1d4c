package direct_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"currantwick"
	"currantwick/coord"
	"currantwick/direct"
	"currantwick/fakes"
	"currantwick/tally"

	"golang.org/x/sync/errgroup"
)

// heldSender implements wick.Sender. Requests to it run until they are released.
type heldSender struct {
	mu      sync.Mutex
	sent    int
	release chan struct{}
}

func (s *heldSender) Send(ctx context.Context, _ wick.Attempt) (*wick.Response, error) {
	s.mu.Lock()
	s.sent++
	s.mu.Unlock()
	select {
	case <-s.release:
	case <-ctx.Done():
		return nil, wick.Unknownf(wick.CodeBroken, "canceled")
	}
	return (&sender{replies: []reply{{status: 200, body: "hi"}}}).Send(ctx, wick.Attempt{})
}

func (s *heldSender) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// until waits until a condition holds.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// frozen is a clock that stands still, so that no request waits too long.
type frozen struct{}

func (frozen) Now() wick.Instant { return wick.Instant(time.Minute) }

func frozenServer(t *testing.T, v *coord.View, send wick.Sender) *direct.Server {
	t.Helper()
	return serverAt(t, &control{view: v}, send, tally.NewLockedSharedBudget(budget(t, 1000)), frozen{}, wick.Bounds{ChangeDeadline: wick.Duration(time.Hour)})
}

// crowd returns a view of a deployment of 60 daemons.
func crowd(kind wick.Kind, others int) *coord.View {
	r := route(kind, "plain", 1, false)
	r.Timeout, r.Objective = wick.Duration(30*time.Second), wick.Duration(20*time.Second)
	v := view(r)
	v.Daemons = 60
	for _, e := range v.Pools["plain"] {
		e.OtherLoad.Running = others
	}
	return v
}

// Requests to a full pool were sent, and its endpoints refused them. They must wait in
// the daemon, and stop waiting when their callers leave; with room none may wait.
func TestPoolGate(t *testing.T) {
	tests := []struct {
		name   string
		kind   wick.Kind
		others int
		// waits is set if some of the requests must wait.
		waits bool
	}{
		{"room", wick.KindUnsafe, 2, false},
		{"full", wick.KindUnsafe, 40, true},
		{"full, for streams, which no gate bounds", wick.KindStream, 40, false},
	}
	const requests = 8
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			send := &heldSender{release: make(chan struct{})}
			s := frozenServer(t, crowd(test.kind, test.others), send)
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			for range requests {
				group.Go(func() error {
					return s.Forward(ctx, &wick.Exchange{Request: "q", Host: "h", Path: "/x"}, &writer{})
				})
			}
			sum := func() int {
				n := send.count()
				for _, g := range s.State().Gates {
					n += g.Waiting
				}
				return n
			}
			until(t, "all requests are sent or wait", func() bool { return sum() == requests })
			if waits := send.count() < requests; waits != test.waits {
				t.Errorf("%d of %d requests were sent", send.count(), requests)
			}
			cancel()
			if err := group.Wait(); err == nil {
				t.Error("no request ended with its caller")
			}
			for _, g := range s.State().Gates {
				if g.Waiting != 0 || g.Sent != 0 {
					t.Errorf("%d wait and %d are at the pool after their callers left", g.Waiting, g.Sent)
				}
			}
		})
	}
}

// A request that can't be sent in time must be refused at once, as not run.
func TestPoolGateRefusal(t *testing.T) {
	v := crowd(wick.KindUnsafe, 40)
	send := &heldSender{release: make(chan struct{})}
	s := frozenServer(t, v, send)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	for range 8 {
		group.Go(func() error {
			return s.Forward(ctx, &wick.Exchange{Request: "q", Host: "h", Path: "/x"}, &writer{})
		})
	}
	until(t, "a request waits", func() bool { return len(s.State().Gates) > 0 && s.State().Gates[0].Waiting > 0 })
	err := s.Forward(t.Context(), &wick.Exchange{Request: "r", Host: "h", Path: "/x", TimeLeft: wick.Duration(55 * time.Millisecond)}, &writer{})
	e := wick.AsError(err)
	if err == nil || e.Outcome != wick.NotRun || e.RetryAfter <= 0 {
		t.Errorf("got %v, want a refusal with a time to come back", err)
	}
	cancel()
	if err := group.Wait(); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("requests ended with %v", err)
	}
}

// The gates of pools that a configuration no longer has were kept for ever.
func TestRemovedPool(t *testing.T) {
	c := &control{view: view(route(wick.KindSafe, "plain", 1, false))}
	s := server(t, c, &sender{replies: []reply{{status: 200}, {status: 200}, {status: 200}}}, budget(t, 1000))
	for _, pool := range []wick.PoolName{"plain", "b", "c"} {
		v := view(route(wick.KindSafe, pool, 1, false))
		v.Pools[pool], v.ServingConfig.Pools = v.Pools["plain"], map[wick.PoolName]wick.PoolConfig{pool: {Name: pool}}
		c.view = v
		if err := s.Forward(t.Context(), &wick.Exchange{Request: "q", Host: "h", Path: "/x"}, &writer{}); err != nil {
			t.Fatal(err)
		}
		if g := s.State().Gates; len(g) != 1 || g[0].Pool != pool {
			t.Errorf("gates %+v, want that of %s", g, pool)
		}
	}
}

// stateHandler is a log handler that needs the locks of the gates.
type stateHandler struct {
	slog.Handler
	server *direct.Server
	full   atomic.Int32
}

func (h *stateHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h *stateHandler) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "pool is full" {
		h.server.State()
		h.full.Add(1)
	}
	return nil
}

// The line about a full pool was written with the gate's lock held.
func TestFullPoolLog(t *testing.T) {
	h := &stateHandler{Handler: slog.DiscardHandler}
	h.server = direct.New(direct.Config{
		Control: &control{view: crowd(wick.KindUnsafe, 40)}, Sender: &heldSender{release: make(chan struct{})}, Clock: frozen{}, Retry: budget(t, 1000),
		Log: slog.New(h), Observer: fakes.GatewayObserver{}, Pauses: new(tally.Pauses), AnsweredParts: new(tally.Parts),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	for range 8 {
		group.Go(func() error {
			return h.server.Forward(ctx, &wick.Exchange{Request: "q", Host: "h", Path: "/x"}, &writer{})
		})
	}
	until(t, "the line is written", func() bool { return h.full.Load() > 0 })
	cancel()
	if err := group.Wait(); err == nil {
		t.Error("no request ended with its caller")
	}
}
