package plog

import (
	"context"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/httpc"

	"github.com/valyala/fasthttp"
)

func startLog(t *testing.T, cfg fakes.LogConfig) (*fakes.Log, *Client) {
	t.Helper()
	cfg.Address = "127.0.0.1:0"
	l, err := fakes.StartLog(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	})
	return l, New(Config{
		Address: l.Address(),
		Wait:    wick.Duration(500 * time.Millisecond),
		HTTP:    httpc.Config{ReadTimeout: wick.Duration(300 * time.Millisecond)},
	})
}

func deadline(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func claim(key wick.ClaimKey) wick.Record {
	return wick.Record{Claims: &wick.Claims{Steps: []wick.Claim{
		{Step: wick.ClaimTaken, Key: key, Request: "q1", Holder: "h1", Incarnation: 1, Life: wick.Duration(time.Minute)},
	}}}
}

func appendAll(t *testing.T, c *Client, keys ...wick.ClaimKey) {
	t.Helper()
	for _, k := range keys {
		if _, err := c.Append(deadline(t), wick.ClaimStream, claim(k)); err != nil {
			t.Fatal(err)
		}
	}
}

func TestRead(t *testing.T) {
	tests := []struct {
		name  string
		keep  int
		from  wick.Offset
		limit int
		want  []wick.Offset
	}{
		{"all", 0, 0, 10, []wick.Offset{1, 2, 3, 4}},
		{"from the middle", 0, 3, 10, []wick.Offset{3, 4}},
		{"limited", 0, 1, 2, []wick.Offset{1, 2}},
		{"from a deleted entry", 2, 1, 10, []wick.Offset{3, 4}},
		{"past the end", 0, 5, 10, nil},
		{"far past the end", 0, 50, 10, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, c := startLog(t, fakes.LogConfig{KeepCount: test.keep})
			appendAll(t, c, "a", "b", "c", "d")
			got, err := c.Read(deadline(t), wick.ClaimStream, test.from, test.limit)
			if err != nil || len(got) != len(test.want) {
				t.Fatalf("got %+v, %v", got, err)
			}
			for i, e := range got {
				if e.Offset != test.want[i] || e.Bad || e.Record.Claims == nil || e.Time == 0 {
					t.Errorf("entry %d is %+v", i, e)
				}
			}
		})
	}
}

// TestReadReturnsOnAppend checks that a waiting read returns soon after an
// append, long before its time bound.
func TestReadReturnsOnAppend(t *testing.T) {
	l, c := startLog(t, fakes.LogConfig{})
	c.wait = 8 * time.Second
	got := make(chan []wick.Entry, 1)
	go func() {
		entries, _ := c.Read(deadline(t), wick.ClaimStream, 1, 10)
		got <- entries
	}()
	eventually(t, "read arrives", func() bool { return l.Stats().Reads > 0 })
	start := time.Now()
	appendAll(t, c, "a")
	if entries := <-got; len(entries) != 1 {
		t.Fatalf("got %+v", entries)
	}
	if d := time.Since(start); d > 2*time.Second {
		t.Errorf("read returned after %v", d)
	}
}

func TestBadRecordDoesNotStopReader(t *testing.T) {
	l, c := startLog(t, fakes.LogConfig{})
	appendAll(t, c, "a")
	for _, body := range []string{`{}`, `"text"`, `{"Claims":{"Steps":[]}}`, `{"Other":1}`, `null`} {
		post(t, l.Address(), body)
	}
	appendAll(t, c, "b")
	got, err := c.Read(deadline(t), wick.ClaimStream, 1, 10)
	if err != nil || len(got) != 7 {
		t.Fatalf("got %+v, %v", got, err)
	}
	for i, e := range got {
		if bad := i > 0 && i < 6; e.Bad != bad || e.Bad && e.Record != (wick.Record{}) {
			t.Errorf("entry %d is %+v", i, e)
		}
	}
}

func post(t *testing.T, addr wick.Address, body string) {
	t.Helper()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/streams/Claims")
	req.SetBodyString(body)
	if err := httpc.New(httpc.Config{}).Do(deadline(t), addr, req, resp); err != nil || resp.StatusCode() != 200 {
		t.Fatalf("append %s: %d, %v", body, resp.StatusCode(), err)
	}
}

func TestAppendOutage(t *testing.T) {
	yes, one := true, 1
	slow := wick.Duration(time.Second)
	tests := []struct {
		name    string
		fault   fakes.LogControl
		outcome wick.Outcome
		last    wick.Offset // 1 if the record was appended
	}{
		{"down", fakes.LogControl{Down: &yes}, wick.NotRun, 0},
		{"reply lost", fakes.LogControl{LoseAnswers: &one}, wick.Unknown, 1},
		{"slow", fakes.LogControl{Slow: &slow}, wick.Unknown, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, c := startLog(t, fakes.LogConfig{})
			l.Control(test.fault)
			_, err := c.Append(deadline(t), wick.ClaimStream, claim("a"))
			if err == nil || wick.AsError(err).Outcome != test.outcome {
				t.Errorf("got %v, want %s", err, test.outcome)
			}
			eventually(t, "last offset as expected", func() bool {
				return l.Stats().Last[wick.ClaimStream] == test.last
			})
		})
	}
}

// eventually waits for a condition to hold.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	limit := time.After(5 * time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-limit:
			t.Fatalf("timed out waiting for: %s", what)
		case <-tick.C:
		}
	}
}

func TestAppendRate(t *testing.T) {
	l, c := startLog(t, fakes.LogConfig{AppendRate: 1000})
	start := time.Now()
	for range 150 {
		appendAll(t, c, "a")
	}
	// 50 are accepted at once, the rest at the configured rate.
	if d := time.Since(start); d < 90*time.Millisecond {
		t.Errorf("150 appends in %v", d)
	}
	if n := l.Stats().Appends; n != 150 {
		t.Errorf("%d appends", n)
	}
}

func FuzzDecodeEntries(f *testing.F) {
	f.Add([]byte(`[]`))
	f.Add([]byte(`[{"Offset":1,"Time":5,"Record":{"Fetch":{}}},{"Offset":2,"Record":null}]`))
	f.Add([]byte(`[{"Offset":3,"Time":5,"Record":{"ViewClosed":{}}}]`))
	f.Add([]byte(`[{"Offset":2},{"Offset":2}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := decodeEntries(data)
		if err != nil {
			return
		}
		last := wick.Offset(0)
		for _, e := range entries {
			if e.Offset <= last {
				t.Errorf("offset %d after %d", e.Offset, last)
			}
			last = e.Offset
			if !e.Bad && e.Record.Check() != nil {
				t.Errorf("entry %d is not marked bad", e.Offset)
			}
		}
	})
}
