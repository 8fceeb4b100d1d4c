package conns_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"currantwick"
	"currantwick/conns"

	"golang.org/x/sync/errgroup"
)

// counted is a server that counts its connections. It answers once enough requests are
// there at the same time.
type counted struct {
	mu             sync.Mutex
	open, most     int
	held, enough   int
	enoughArrived  chan struct{}
	requestArrived chan struct{}
}

func (s *counted) start(t *testing.T) wick.Address {
	t.Helper()
	s.enoughArrived, s.requestArrived = make(chan struct{}), make(chan struct{}, 100)
	server := httptest.NewUnstartedServer(s)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.open++
			s.most = max(s.most, s.open)
		case http.StateClosed:
			s.open--
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return addressOf(server.Listener)
}

func (s *counted) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if s.held++; s.held == s.enough {
		close(s.enoughArrived)
	}
	s.mu.Unlock()
	s.requestArrived <- struct{}{}
	select {
	case <-s.enoughArrived:
	case <-r.Context().Done():
	}
}

func (s *counted) mostOpen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}

func get(ctx context.Context, p *conns.Pool, addr wick.Address, most int) error {
	_, _, err := p.Fetch(ctx, addr, &conns.Request{Method: http.MethodGet, Target: "/", Host: "h", MaxIdle: time.Hour, MaxOpen: most})
	return err
}

// Nothing bounded the connections that all daemons have to an endpoint. A request must
// wait for a connection, and must not fail for want of one.
func TestMaxOpen(t *testing.T) {
	tests := []struct {
		name           string
		most, requests int
		wait           time.Duration
		// enough is the number of requests that must be at the server before it answers.
		enough             int
		leastOpen, maxOpen int
	}{
		{"no bound", 0, 10, time.Minute, 10, 10, 10},
		{"bounded", 3, 20, time.Minute, 3, 3, 3},
		{"a bound of one", 1, 5, time.Minute, 1, 1, 1},
		{"none becomes free in time", 2, 4, time.Millisecond, 4, 4, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &counted{enough: test.enough}
			addr := s.start(t)
			over := 0
			var mu sync.Mutex
			p := conns.New(conns.Config{PerAddress: 20, ConnWait: test.wait, OnLimited: func(beyond bool) {
				mu.Lock()
				defer mu.Unlock()
				if beyond {
					over++
				}
			}})
			var group errgroup.Group
			for range test.requests {
				group.Go(func() error { return get(t.Context(), p, addr, test.most) })
			}
			if err := group.Wait(); err != nil {
				t.Errorf("a request failed: %v", err)
			}
			if n := s.mostOpen(); n < test.leastOpen || n > test.maxOpen || (over > 0) != (test.most > 0 && n > test.most) {
				t.Errorf("%d connections were open, %d beyond the bound, want %d to %d", n, over, test.leastOpen, test.maxOpen)
			}
		})
	}
}

// A request whose caller leaves while it waits for a connection must return at once, with
// nothing written, and must not keep the connection from others.
func TestMaxOpenCanceled(t *testing.T) {
	s := &counted{enough: 1000}
	addr := s.start(t)
	waits := make(chan struct{}, 10)
	awaitWait := func() {
		select {
		case <-waits:
		case <-s.requestArrived:
			t.Fatal("a request beyond the bound was sent")
		}
	}
	p := conns.New(conns.Config{ConnWait: time.Minute, OnLimited: func(bool) { waits <- struct{}{} }})
	var group errgroup.Group
	t.Cleanup(func() { group.Wait() })
	group.Go(func() error { return get(t.Context(), p, addr, 1) })
	<-s.requestArrived
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	group.Go(func() error {
		failed <- get(ctx, p, addr, 1)
		return nil
	})
	awaitWait()
	group.Go(func() error { return get(t.Context(), p, addr, 1) })
	awaitWait()
	cancel()
	var e *conns.Error
	if err := <-failed; !errors.As(err, &e) || e.Written || !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want a cancellation with nothing written", err)
	}
	close(s.enoughArrived)
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	if n := s.mostOpen(); n != 1 {
		t.Errorf("%d connections were open, want 1", n)
	}
}

// A connection that breaks must make room for a request that waits, and must not count
// afterwards: else requests would wait for ConnWait, or more connections would be opened.
func TestMaxOpenBroken(t *testing.T) {
	var mu sync.Mutex
	open, most, served := 0, 0, 0
	const broken, requests = 6, 12
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		open++
		most = max(most, open)
		served++
		breaks := served <= broken
		mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		mu.Lock()
		open--
		mu.Unlock()
		if breaks {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	p := conns.New(conns.Config{ConnWait: time.Minute})
	failed := make(chan error, requests)
	for range requests {
		go func() { failed <- get(t.Context(), p, addressOf(server.Listener), 2) }()
	}
	failures := 0
	for range requests {
		select {
		case err := <-failed:
			if err != nil {
				failures++
			}
		case <-time.After(20 * time.Second):
			t.Fatal("a request waits though connections have been closed")
		}
	}
	if failures != broken || most > 2 {
		t.Errorf("%d requests failed and %d were there at once, want %d and at most 2", failures, most, broken)
	}
}
