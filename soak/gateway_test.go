package soak

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"currantwick"
	"currantwick/boot"
	"currantwick/fakes"
	"currantwick/procs"

	"golang.org/x/sync/errgroup"
)

const configuration = `{"version":3,"routes":[
	{"name":"r1","host":"h","pathPrefix":"/stream/","kind":"streaming","timeoutMs":9000,"objectiveMs":1000,"service":"s","attempts":1},
	{"name":"r3","host":"h","pathPrefix":"/call/","kind":"unsafe","timeoutMs":9000,"service":"s","attempts":1}],
	"services":[{"name":"s","engine":{"slots":8,"adapterSlots":2,"models":[{"name":"m"}]}}],"limits":{"headerBytes":16384,"bodyBytes":1000}}`

// inProcess is a daemon in the test's process, connected to a fake store and
// runner.
type inProcess struct {
	daemon wick.DaemonConfig
	runner *runner
	state  func() wick.GatewayState
	stop   context.CancelFunc
	group  errgroup.Group
}

func startInProcess(t *testing.T) *inProcess {
	t.Helper()
	store := procs.NewStore(nil)
	run := newRunner(runnerConfig{Name: "i-1", Model: "m", Adapters: 2, Fenced: true, Ledger: new(ledger)}, true)
	atStore, atRunner := httptest.NewServer(store), httptest.NewServer(run)
	t.Cleanup(atStore.Close)
	t.Cleanup(atRunner.Close)
	store.PutConfig(configuration)
	store.PutRunner("i-1", run.storeRecord("s", wick.Address(atRunner.Listener.Addr().String()), "a", 8, "ready"))
	// A malformed record must be ignored.
	store.PutRunner("i-2", `{"service":"s","address":17}`)
	at := procs.FreeAddresses(t, procs.Loopback())
	s := &inProcess{runner: run, daemon: wick.DaemonConfig{
		Host: "front-a-1", Domain: "a",
		CallerAddress: at.Callers, ReadyAddress: at.Ready, DirectoryAddress: at.Directory, PeerAddress: at.Peers,
		StoreAddress: wick.Address(atStore.Listener.Addr().String()),
		Cores:        runtime.NumCPU(), Memory: 8 << 30, Capacity: 1,
		Bounds: wick.Bounds{
			Lease: wick.Duration(time.Second), RequireFencing: true, Grace: wick.Duration(4 * time.Second), RevisionDeadline: wick.Duration(5 * time.Second),
			RetryRatio: 0.2, RetrySlack: 50, EntriesTTL: wick.Duration(5 * time.Second), ChangeDeadline: wick.Duration(2 * time.Second),
		},
	}}
	g, err := boot.NewGateway(boot.GatewayConfig{Daemon: s.daemon, Log: slog.New(slog.DiscardHandler), Observer: fakes.GatewayObserver{}, Conns: fakes.ConnObserver{}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop, s.state = cancel, g.State
	s.group.Go(func() error { return g.Run(ctx) })
	t.Cleanup(func() { cancel() })
	s.waitReady(t)
	return s
}

// waitReady waits until the daemon reports that it is ready.
func (s *inProcess) waitReady(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		if procs.Ready(s.daemon) == nil {
			return
		}
		sleep(20 * time.Millisecond)
	}
	t.Fatal("not ready within 10 s")
}

func (s *inProcess) request(t *testing.T, method, path, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+string(s.daemon.CallerAddress)+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Currantwick-Attempt-Identifier", "q1")
	r.Header.Set("Currantwick-Time-Remaining", "8000")
	// Callers must not be able to set internal headers.
	r.Header.Set("Currantwick-Hold", "forged")
	return r
}

// call sends a request and retries while it is refused, as callers do.
func (s *inProcess) call(t *testing.T, path, model string, length int) *http.Response {
	t.Helper()
	const attempts, interval = 50, 100 * time.Millisecond
	for range attempts {
		r := s.request(t, http.MethodPost, path, strings.Repeat("x", length))
		if model != "" {
			r.Header.Set("Currantwick-Model", model)
			r.Header.Set("Currantwick-Token-Counts", "100,20")
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusServiceUnavailable {
			return resp
		}
		resp.Body.Close()
		sleep(interval)
	}
	t.Fatalf("refused %d times", attempts)
	return nil
}

func TestGatewayServes(t *testing.T) {
	s := startInProcess(t)
	events := ""
	for n := range eventsPerStream {
		events += event("q1", n+1)
	}
	answer := answer("q1")
	tests := []struct {
		name   string
		path   string
		model  string
		length int
		status int
		body   string
	}{
		{"a stream on an adapter that must be loaded", "/stream/x", "m/a1", 10, 200, events},
		{"a stream on a loaded adapter", "/stream/x", "m/a1", 10, 200, events},
		{"a stream on a second adapter", "/stream/x", "m/a2", 10, 200, events},
		{"the base model", "/stream/x", "m", 10, 200, events},
		{"a call", "/call/x", "", 10, 200, answer},
		{"no route", "/other/x", "", 10, 404, ""},
		{"a body over the limit", "/call/x", "", 2000, 413, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			resp := s.call(t, test.path, test.model, test.length)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != test.status || test.status == 200 && (string(body) != test.body || sealOf(resp.Header) != seal) {
				t.Errorf("got %d %q, header %v; want %d %q", resp.StatusCode, body, resp.Header, test.status, test.body)
			}
		})
	}
	for _, h := range s.runner.headers() {
		if h.Get("Currantwick-Hold") != "" || h.Get("Currantwick-Expect-Instance") != "i-1" || h.Get("Currantwick-Attempt-Identifier") != "q1" {
			t.Errorf("the runner received headers %v", h)
		}
	}
}

// TestGatewayStops checks that a stopping daemon reports that it is not ready, lets
// running streams finish, and exits.
func TestGatewayStops(t *testing.T) {
	s := startInProcess(t)
	s.runner.setMode(runnerSlow)
	r := s.request(t, http.MethodPost, "/stream/x", "")
	r.Header.Set("Currantwick-Model", "m")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	s.stop()
	sleep(200 * time.Millisecond)
	unready := procs.Ready(s.daemon)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("the stream was cut off: %v", err)
	}
	if !errors.Is(unready, procs.ErrUnready) || !strings.HasSuffix(string(body), event("q1", eventsPerStream)) {
		t.Errorf("readiness %v, stream %q", unready, body)
	}
	if err := s.group.Wait(); err != nil {
		t.Errorf("the daemon exited with %v", err)
	}
}

func TestGatewayState(t *testing.T) {
	s := startInProcess(t)
	resp := s.call(t, "/stream/x", "m/a1", 10)
	resp.Body.Close()
	got := s.state()
	tests := []struct {
		name string
		ok   bool
	}{
		{"the configuration", got.Config == 3 && got.ConfigAge < wick.Duration(5*time.Second)},
		{"ready", got.Ready && !got.Stopping && got.Daemons == 1},
		{"the daemon is the only entry", slices.Equal(got.Entries, []wick.HostName{"front-a-1"})},
		{"the endpoint with its adapter", len(got.Endpoints) == 1 && got.Endpoints[0].Name == "i-1" && got.Endpoints[0].Adapters == 1},
		{"holds all shards", len(got.Shards) > 0 && !slices.ContainsFunc(got.Shards, func(sh wick.ShardState) bool {
			return sh.Holder != "front-a-1" || !sh.Orders || sh.Fence == 0
		})},
	}
	for _, test := range tests {
		if !test.ok {
			t.Errorf("%s: got %+v", test.name, got)
		}
	}
}
