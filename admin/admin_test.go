package admin

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"currantwick"
	"currantwick/codec"
	"currantwick/config"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const token = "0123456789abcdef"

// fakeOperator implements wick.Operator on an in-memory configuration.
type fakeOperator struct {
	state *config.State
	fail  error
	acted bool
	ready *wick.Error
}

func (f *fakeOperator) Publish(_ context.Context, c wick.Change) (wick.Verdict, error) {
	if f.fail != nil {
		return wick.Verdict{}, f.fail
	}
	v, _ := f.state.Apply(wick.Entry{Offset: f.state.Offset() + 1, Record: wick.Record{Change: &c}})
	return v, nil
}

func (f *fakeOperator) Validate(c wick.Change) []wick.Violation {
	return config.Validate(f.state.Table(), c)
}

func (f *fakeOperator) Select(kind wick.ObjectKind, name string) wick.Checkpoint {
	return f.state.Table().Select(kind, name)
}

func (f *fakeOperator) Audit(_ context.Context, from wick.Offset, limit int) ([]wick.Entry, error) {
	return make([]wick.Entry, min(limit, 3)), f.fail
}

func (f *fakeOperator) Status(context.Context) (wick.Status, error) {
	return wick.Status{Self: wick.Member{Host: "h1"}}, f.fail
}

func (f *fakeOperator) Drain(context.Context) error {
	f.acted = true
	return nil
}

func (f *fakeOperator) DeclareLost(_ context.Context, hosts []wick.HostName) ([]wick.Run, error) {
	f.acted = true
	return []wick.Run{{Host: hosts[0], Incarnation: 1}}, nil
}

func (f *fakeOperator) CheckReady() *wick.Error { return f.ready }

// startServer runs a server until the end of the test.
func startServer(t *testing.T, f *fakeOperator) wick.Address {
	t.Helper()
	s, err := Listen(Config{Address: "127.0.0.1:0", Token: token, Operator: f, Metrics: prometheus.NewRegistry()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return s.Address()
}

// response is an HTTP response.
type response struct {
	status int
	body   string
}

func request(t *testing.T, at wick.Address, method, path, token, body string) response {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + string(at) + path)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, resp, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	return response{resp.StatusCode(), string(resp.Body())}
}

func TestServer(t *testing.T) {
	const put = `{"ID":"c1","Operator":"op","Puts":{"Models":[{"Name":"m","Context":1}]}}`
	tests := []struct {
		name   string
		fail   error
		method string
		path   string
		token  string
		body   string
		status int
		want   string // part of the body
	}{
		{"health", nil, "GET", PathHealth, "", "", 200, "ok"},
		{"metrics", nil, "GET", PathMetrics, "", "", 200, ""},
		{"ready", nil, "GET", PathReady, "", "", 200, "ready"},
		{"publish", nil, "POST", PathChanges, token, put, 200, `{"Change":"c1","Operator":"op","Offset":1}`},
		{"dry run", nil, "POST", PathChanges + "?dry_run=true", token, put, 200, `"Offset":0`},
		{"rejected", nil, "POST", PathChanges, token, strings.Replace(put, "Puts", "Based\":[{\"Key\":{\"Kind\":\"Model\",\"Name\":\"m\"},\"Revision\":4}],\"Puts", 1), 422, "Moved"},
		{"malformed objects never reach the log", errors.New("reached"), "POST", PathChanges, token, `{"ID":"c1","Operator":"op","Puts":{"Models":[{"Name":"m"}]}}`, 422, "WellFormed"},
		{"unknown field", nil, "POST", PathChanges, token, `{"Id":"c1"}`, 400, "Id: unknown field"},
		{"verdict timeout", context.DeadlineExceeded, "POST", PathChanges, token, put, 504, `"Outcome":"Unknown"`},
		{"log down", wick.NotRunf(wick.CodeBroken, "log down"), "POST", PathChanges, token, put, 502, `"Outcome":"NotRun"`},
		{"objects", nil, "GET", PathObjects + "?kind=Model", token, "", 200, `"AsOf":0`},
		{"status", nil, "GET", PathStatus, token, "", 200, `"Host":"h1"`},
		{"audit", nil, "GET", PathAudit + "?from=1&limit=2", token, "", 200, `[{"Offset":0`},
		{"audit from invalid offset", nil, "GET", PathAudit + "?from=x", token, "", 400, "from: want a positive number"},
		{"profiles", nil, "GET", "/debug/pprof/cmdline", token, "", 200, ""},
		{"lost hosts", nil, "POST", PathGone, token, `{"Hosts":["h2"]}`, 200, `[{"Host":"h2","Incarnation":1}]`},
		{"no lost hosts", nil, "POST", PathGone, token, `{"Hosts":[]}`, 400, "must not be empty"},
		{"no such path", nil, "GET", "/v1/none", token, "", 400, "no such path"},
		{"wrong method", nil, "GET", PathDrain, token, "", 400, "no such path"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &fakeOperator{state: config.New(), fail: test.fail}
			got := request(t, startServer(t, f), test.method, test.path, test.token, test.body)
			if got.status != test.status || !strings.Contains(got.body, test.want) {
				t.Errorf("got %+v, want %d with %q", got, test.status, test.want)
			}
		})
	}
}

func TestTokenRequired(t *testing.T) {
	f := &fakeOperator{state: config.New()}
	at := startServer(t, f)
	const put = `{"ID":"c1","Operator":"op","Puts":{"Models":[{"Name":"m","Context":1}]}}`
	for _, path := range []string{PathChanges, PathObjects, PathStatus, PathAudit, PathDrain, PathGone, "/debug/pprof/", "/other"} {
		for _, sent := range []string{"", "wrong", token + "0", token[:15]} {
			for _, method := range []string{"GET", "POST"} {
				got := request(t, at, method, path, sent, put)
				var e wick.Error
				if err := codec.DecodeJSON([]byte(got.body), &e); err != nil || got.status != 401 || e.Code != wick.CodeUnauthorized {
					t.Errorf("%s %s with token %q: %+v, %v", method, path, sent, got, err)
				}
			}
		}
	}
	if f.acted || f.state.Offset() != 0 {
		t.Error("a request without the token had an effect")
	}
}

func TestReadyReportsReason(t *testing.T) {
	f := &fakeOperator{state: config.New(), ready: wick.NotRunf(wick.CodeStale, "no configuration yet")}
	if got := request(t, startServer(t, f), "GET", PathReady, "", ""); got.status != 503 || !strings.Contains(got.body, "no configuration yet") {
		t.Errorf("got %+v", got)
	}
}

func FuzzPublish(f *testing.F) {
	f.Add([]byte(`{"ID":"c1","Operator":"op","Puts":{"Models":[{"Name":"m","Context":1}]}}`))
	f.Add([]byte(`{"Deletes":[{"Kind":"Thing"}],"Based":[{}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s := &Server{cfg: Config{Operator: &fakeOperator{state: config.New()}}, base: context.Background()}
		var c fasthttp.RequestCtx
		c.Init(&fasthttp.Request{}, nil, nil)
		c.Request.SetBody(body)
		s.publish(&c)
		if status := c.Response.StatusCode(); status != 200 && status != 422 && status != 400 {
			t.Errorf("status %d: %s", status, c.Response.Body())
		}
	})
}
