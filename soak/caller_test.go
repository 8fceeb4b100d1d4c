package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"currantwick"
)

// kind is a kind of request that callers send.
type kind struct {
	path string
	// model tells that it names an adapter.
	model bool
	// runs is how many runners may run it.
	runs int
}

var kinds = []kind{
	{"/stream/x", true, 1},
	{"/stream/again/x", true, 2},
	{"/safe/x", false, 2},
	{"/unsafe/x", false, 1},
}

// result is what a caller saw of a request.
type result struct {
	id   wick.RequestID
	kind kind
	at   time.Time
	// status is 0 if no answer began.
	status int
	body   string
	seal   string
	retry  string
	// whole tells that the answer ended as it should.
	whole bool
	// left tells that the caller left.
	left bool
}

const (
	callers = 8
	// within is the time that callers give a request.
	within = 3 * time.Second
	// leaving is the share of requests whose callers leave early.
	leaving = 0.1
)

// startCallers runs callers until ctx ends, and returns a function that waits
// for their last answers.
func (s *site) startCallers(ctx context.Context, seed uint64) func() {
	var group sync.WaitGroup
	for i := range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &caller{site: s, rand: rand.New(rand.NewPCG(seed, uint64(i)+100)), name: fmt.Sprintf("c%d", i)}
			c.run(ctx)
		}()
	}
	return group.Wait
}

// caller sends one request after another, over connections that it keeps open.
type caller struct {
	site    *site
	rand    *rand.Rand
	name    string
	client  http.Client
	sent    int
	entries []string
	until   time.Time
}

func (c *caller) run(ctx context.Context) {
	const pause = 10 * time.Millisecond
	for ctx.Err() == nil {
		sleep(pause)
		if time.Now().After(c.until) {
			c.ask()
		}
		if len(c.entries) == 0 {
			continue
		}
		k := pick(c.rand, kinds)
		c.sent++
		q := request{id: wick.RequestID(fmt.Sprintf("%s-%d", c.name, c.sent)), to: pick(c.rand, c.entries), kind: k, adapter: c.rand.IntN(adapters), within: within}
		if c.rand.Float64() < leaving {
			q.within = between(c.rand, time.Millisecond, 40*time.Millisecond)
		}
		res := q.send(&c.client)
		c.site.mu.Lock()
		c.site.results = append(c.site.results, res)
		c.site.mu.Unlock()
	}
}

// ask asks a daemon which addresses to use, and keeps the answer as callers do:
// some for longer than they should, all while there is no new one.
func (c *caller) ask() {
	d := pick(c.rand, c.site.daemons)
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + string(d.settings.DirectoryAddress) + "/currantwick/resolution?zone=" + string(d.settings.Domain))
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || len(answer.Addresses) == 0 {
		return
	}
	c.entries = answer.Addresses
	keep := time.Duration(answer.TTLS * float64(time.Second))
	c.until = time.Now().Add(keep * time.Duration(1+c.rand.IntN(3)))
}

// request is one request of a caller.
type request struct {
	id      wick.RequestID
	to      string
	kind    kind
	adapter int
	within  time.Duration
}

// send sends the request and reads its answer.
func (q request) send(client *http.Client) result {
	res := result{id: q.id, kind: q.kind, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.within)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.to+q.kind.path, strings.NewReader("body of "+string(q.id)))
	if err != nil {
		return res
	}
	r.Host = host
	r.GetBody = nil // The client must not send a request again by itself.
	r.Header.Set("Currantwick-Attempt-Identifier", string(q.id))
	r.Header.Set("Currantwick-Time-Remaining", strconv.FormatInt(within.Milliseconds(), 10))
	if q.kind.model {
		r.Header.Set("Currantwick-Model", fmt.Sprintf("%s/%s", model, weights(q.adapter).Adapter))
		r.Header.Set("Currantwick-Token-Counts", "100,20")
	}
	resp, err := client.Do(r)
	if err == nil {
		defer resp.Body.Close()
		var body []byte
		body, err = io.ReadAll(resp.Body)
		res.status, res.body, res.seal, res.retry = resp.StatusCode, string(body), sealOf(resp.Header), resp.Header.Get("Retry-After")
	}
	res.whole = err == nil
	res.left = errors.Is(ctx.Err(), context.DeadlineExceeded)
	return res
}

// want returns the whole answer to a request.
func (r result) want() string {
	if !strings.HasPrefix(r.kind.path, "/stream/") {
		return answer(r.id)
	}
	want := ""
	for n := range parts {
		want += event(r.id, n+1)
	}
	return want
}

// notRun lists the statuses that promise that a request did not run.
var notRun = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// check returns what is wrong with what the caller saw.
func (r result) check(runs []run) error {
	want := r.want()
	switch {
	case len(runs) > r.kind.runs:
		return fmt.Errorf("ran %d times, not %d at most", len(runs), r.kind.runs)
	case notRun[r.status] && len(runs) > 0:
		return fmt.Errorf("status %d says that it did not run, but it ran at %s", r.status, runs[0].Runner)
	case r.status == http.StatusNotFound:
		return errors.New("status 404 on a route that always stood")
	case r.status != http.StatusOK:
		return nil
	case r.seal != seal:
		return errors.New("success without a runner's mark")
	case r.whole && r.body != want:
		return fmt.Errorf("answer ended with %q", r.body)
	case !strings.HasPrefix(want, r.body):
		return fmt.Errorf("answer is no beginning of the right one: %q", r.body)
	}
	return nil
}

// judge checks all that callers and runners saw.
func (s *site) judge(t *testing.T) {
	t.Helper()
	for _, b := range s.ledger.violations() {
		t.Error(b)
	}
	counts := make(map[int]int)
	for _, r := range s.results {
		counts[r.status]++
		if err := r.check(s.ledger.ran(r.id)); err != nil {
			t.Errorf("%6.2f s  request %s %s: %v", r.at.Sub(s.began).Seconds(), r.id, r.kind.path, err)
		}
	}
	t.Logf("%d requests, by status %v", len(s.results), counts)
	if counts[http.StatusOK] == 0 {
		t.Error("no request succeeded")
	}
}

// waitCalm waits until every daemon serves every kind of request, knows the
// newest configuration, and uses the newest version of each adapter.
func (s *site) waitCalm(t *testing.T, d time.Duration) {
	t.Helper()
	sent := 0
	s.until(t, d, func() error {
		var errs []error
		for i, d := range s.daemons {
			for _, k := range append(kinds, kind{fmt.Sprintf("/safe/new%d/x", s.version), false, 1}) {
				sent++
				q := request{id: wick.RequestID(fmt.Sprintf("calm-%d", sent)), to: string(d.settings.CallerAddress), kind: k, adapter: i % adapters, within: within}
				errs = append(errs, s.calm(q))
			}
		}
		return errors.Join(errs...)
	})
}

// calm sends a request that must succeed when all faults have ended.
func (s *site) calm(q request) error {
	res := q.send(http.DefaultClient)
	runs := s.ledger.ran(q.id)
	switch {
	case res.status != http.StatusOK || !res.whole || res.body != res.want():
		return fmt.Errorf("%s%s: status %d, body %q", q.to, q.kind.path, res.status, res.body)
	case q.kind.model && uint64(runs[0].Revision) != s.revision:
		return fmt.Errorf("%s%s: ran on version %d, not %d", q.to, q.kind.path, runs[0].Revision, s.revision)
	}
	return nil
}
