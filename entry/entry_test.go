package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantwick"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// front responds with two tokens, or fails as configured.
type front struct {
	// before and after are the failures before and after the first token; nil
	// for none.
	before, after *wick.Error
	// hold blocks requests until it is closed; nil blocks none.
	hold chan struct{}
}

func (f *front) Complete(_ context.Context, req wick.CallerRequest, emit func(wick.Frame) error) error {
	if f.hold != nil {
		<-f.hold
	}
	if f.before != nil {
		return f.before
	}
	ran := &wick.Ran{Endpoint: "r1", Ref: wick.Ref{Adapter: "a", Version: "v1"}}
	frames := []wick.Frame{
		{Request: req.Request, Kind: wick.FrameHeartbeat},
		{Request: req.Request, Kind: wick.FrameStart, Ran: ran},
		{Request: req.Request, Kind: wick.FrameText, Count: 1, Text: "one "},
		{Request: req.Request, Kind: wick.FrameText, Index: 1, Count: 1, Text: "two "},
		{Request: req.Request, Kind: wick.FrameEnd, Count: 2, Ran: ran},
	}
	for i, fr := range frames {
		if i == 3 && f.after != nil {
			return f.after
		}
		if err := emit(fr); err != nil {
			return err
		}
	}
	return nil
}

func (f *front) Invoke(context.Context, wick.CallerRequest) (wick.Reply, error) {
	if f.before != nil {
		return wick.Reply{}, f.before
	}
	return wick.Reply{Status: 201, Body: []byte("done")}, nil
}

func (f *front) EntryPoints(near wick.Domain) wick.EntryList {
	return wick.EntryList{Entries: []wick.EntryPoint{{Address: "127.0.0.1:1", Host: "h", Domain: near}}}
}

// start serves a front and returns its base URL.
func start(t *testing.T, f *front, requests int) string {
	t.Helper()
	s, err := Listen(Config{
		Address: "127.0.0.1:0", BodyBytes: 1 << 10, MaxRequests: requests, MaxConnections: 100,
		Idle: time.Minute, Front: f,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return s.Run(ctx) })
	t.Cleanup(func() {
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return "http://" + string(s.Address())
}

// exchange sends one request on a new connection.
func exchange(t *testing.T, method, url, body string, header http.Header) (int, string) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	req.SetConnectionClose()
	for k := range header {
		req.Header.Set(k, header.Get(k))
	}
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, resp, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode(), string(resp.Body())
}

func TestExchanges(t *testing.T) {
	overload := wick.NotRunf(wick.CodeOverload, "full")
	broken := wick.Unknownf(wick.CodeBroken, "cut")
	const stream = `{"model":"m","prompt":"p","stream":true}`
	tests := []struct {
		name   string
		front  front
		method string
		path   string
		body   string
		header http.Header
		status int
		// has lists what the response must contain, hasNot what it must not.
		has    []string
		hasNot string
	}{
		{name: "entries", method: "GET", path: "/v1/entries?domain=d1", status: 200, has: []string{`"Domain":"d1"`}},
		{name: "no such path", method: "GET", path: "/v2", status: 400, has: []string{"not run"}},
		{name: "wrong method", method: "GET", path: "/v1/completions", status: 400, has: []string{"not run"}},
		{name: "malformed body", method: "POST", path: "/v1/completions", body: "{", status: 400, has: []string{"not run: malformed body"}},
		{name: "no model", method: "POST", path: "/v1/completions", body: `{"prompt":"p"}`, status: 400, has: []string{"not run"}},
		{name: "negative max_tokens", method: "POST", path: "/v1/completions", body: `{"model":"m","max_tokens":-1}`, status: 400, has: []string{"not run"}},
		{name: "too large", method: "POST", path: "/v1/completions", body: strings.Repeat("x", 2<<10), status: 413, has: []string{"not run"}},
		{
			name: "invalid deadline", method: "POST", path: "/v1/completions", body: stream,
			header: http.Header{"X-Deadline-Ms": {"soon"}}, status: 400, has: []string{"not run"},
		},
		{
			name: "invalid request id", method: "POST", path: "/v1/completions", body: stream,
			header: http.Header{"X-Request-Id": {"a b"}}, status: 400, has: []string{"not run"},
		},
		{
			name: "not streamed", method: "POST", path: "/v1/completions", body: `{"model":"m","prompt":"p"}`,
			status: 200, has: []string{`"text":"one two "`, `"finish_reason":"stop"`, `"Version":"v1"`, `"completion_tokens":2`},
		},
		{
			name: "not streamed, broken", front: front{after: broken}, method: "POST", path: "/v1/completions",
			body: `{"model":"m"}`, status: 502, has: []string{"unknown whether it ran"}, hasNot: "one",
		},
		{
			name: "stream", method: "POST", path: "/v1/completions", body: stream, status: 200,
			has: []string{`"text":"one "`, `"text":"two "`, `"finish_reason":"stop"`, "data: [DONE]"},
		},
		{
			name: "stream, rejected", front: front{before: overload}, method: "POST", path: "/v1/completions",
			body: stream, status: 429, has: []string{"not run: full"}, hasNot: "data:",
		},
		{
			name: "stream, broken", front: front{after: broken}, method: "POST", path: "/v1/completions",
			body: stream, status: 200, has: []string{`"text":"one "`, "unknown whether it ran"}, hasNot: "[DONE]",
		},
		{name: "call", method: "POST", path: "/v1/calls/confirm", body: "b", status: 201, has: []string{"done"}},
		{
			name: "call, rejected", front: front{before: wick.NotRunf(wick.CodeMissingKey, "no key")},
			method: "POST", path: "/v1/calls/confirm", status: 400, has: []string{"not run: no key", "MissingKey"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			url := start(t, &test.front, 10)
			status, body := exchange(t, test.method, url+test.path, test.body, test.header)
			if status != test.status {
				t.Errorf("status %d, want %d: %s", status, test.status, body)
			}
			for _, part := range test.has {
				if !strings.Contains(body, part) {
					t.Errorf("response lacks %q: %s", part, body)
				}
			}
			if test.hasNot != "" && strings.Contains(body, test.hasNot) {
				t.Errorf("response contains %q: %s", test.hasNot, body)
			}
		})
	}
}

// TestFull checks that a server at its limit rejects requests, and that the
// request being served is completed.
func TestFull(t *testing.T) {
	f := &front{hold: make(chan struct{})}
	url := start(t, f, 1)
	deadline := time.Now().Add(5 * time.Second)
	var group errgroup.Group
	group.Go(func() error {
		// The requests below occupy the only slot too, for a moment each.
		status, body := exchange(t, "POST", url+"/v1/completions", `{"model":"m"}`, nil)
		for status == 429 && time.Now().Before(deadline) {
			status, body = exchange(t, "POST", url+"/v1/completions", `{"model":"m"}`, nil)
		}
		if status != 200 {
			t.Errorf("held request: status %d: %s", status, body)
		}
		return nil
	})
	for {
		status, body := exchange(t, "GET", url+"/v1/entries", "", nil)
		if status == 429 && strings.Contains(body, "not run") {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("status %d while another request is held: %s", status, body)
		}
	}
	close(f.hold)
	_ = group.Wait()
}
