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
	// model is set when the request names a model and adapter.
	model bool
	// runs is the maximum number of times that runners may run it.
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
	// complete is set when the answer was read to its end without an error.
	complete bool
	// timedOut is set when the caller's timeout ended the request.
	timedOut bool
}

const (
	callers = 8
	// timeout is the timeout of callers' requests.
	timeout = 3 * time.Second
	// abortShare is the share of requests that callers abort early.
	abortShare = 0.1
)

// startCallers runs callers until the test ends, or until the function that it returns
// is called, which waits for their last answers.
func (s *system) startCallers(t *testing.T, seed uint64) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var group sync.WaitGroup
	for i := range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			c := &caller{system: s, rand: rand.New(rand.NewPCG(seed, uint64(i)+100)), name: fmt.Sprintf("c%d", i)}
			c.run(ctx)
		}()
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// caller sends requests one at a time over persistent connections.
type caller struct {
	system    *system
	rand      *rand.Rand
	name      string
	client    http.Client
	sent      int
	entries   []string
	refreshAt time.Time
}

func (c *caller) run(ctx context.Context) {
	const pause = 10 * time.Millisecond
	for ctx.Err() == nil {
		sleep(pause)
		if time.Now().After(c.refreshAt) {
			c.resolve()
		}
		if len(c.entries) == 0 {
			continue
		}
		k := pick(c.rand, kinds)
		c.sent++
		q := request{
			id: wick.RequestID(fmt.Sprintf("%s-%d", c.name, c.sent)), to: pick(c.rand, c.entries), kind: k,
			adapter: c.rand.IntN(adapters), timeout: timeout, parts: soundParts(c.rand, c.name, c.sent),
		}
		if c.rand.Float64() < abortShare {
			q.timeout = between(c.rand, time.Millisecond, 40*time.Millisecond)
		}
		res := q.send(&c.client)
		c.system.mu.Lock()
		c.system.results = append(c.system.results, res)
		c.system.mu.Unlock()
	}
}

// firstPart is the first part of all prompts, and rareParts are the second parts of
// sound prompts.
const firstPart = "a0:40"

var rareParts = []string{"b1:20", "b2:20", "b3:20", "b4:20", "b5:20", "b6:20"}

// soundParts returns the parts of a caller's n-th prompt.
func soundParts(r *rand.Rand, caller string, n int) string {
	return fmt.Sprintf("%s,%s,%s-%d:40", firstPart, pick(r, rareParts), caller, n)
}

// resolve fetches the entry addresses from a random daemon. Like real callers, it
// keeps them for one to three times their TTL, and for as long as no new ones
// can be fetched.
func (c *caller) resolve() {
	d := pick(c.rand, c.system.daemons)
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + string(d.Settings.DirectoryAddress) + "/currantwick/resolution?zone=" + string(d.Settings.Domain))
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
	c.refreshAt = time.Now().Add(keep * time.Duration(1+c.rand.IntN(3)))
}

// request is a caller's request.
type request struct {
	id      wick.RequestID
	to      string
	kind    kind
	adapter int
	timeout time.Duration
	// body is "body of " and the id if it is empty; parts is the prompt's list of
	// parts and may be empty.
	body, parts string
}

// send sends the request and reads its answer.
func (q request) send(client *http.Client) result {
	res := result{id: q.id, kind: q.kind, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	body := q.body
	if body == "" {
		body = "body of " + string(q.id)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.to+q.kind.path, strings.NewReader(body))
	if err != nil {
		return res
	}
	r.Host = host
	r.GetBody = nil // Keeps the client from retrying on its own.
	r.Header.Set("Currantwick-Attempt-Identifier", string(q.id))
	r.Header.Set("Currantwick-Time-Remaining", strconv.FormatInt(timeout.Milliseconds(), 10))
	if q.kind.model {
		r.Header.Set("Currantwick-Model", fmt.Sprintf("%s/%s", model, weights(q.adapter).Adapter))
		r.Header.Set("Currantwick-Token-Counts", "100,20")
	}
	if q.parts != "" {
		r.Header.Set("Currantwick-Prompt-Prefix", q.parts)
	}
	resp, err := client.Do(r)
	if err == nil {
		defer resp.Body.Close()
		var body []byte
		body, err = io.ReadAll(resp.Body)
		res.status, res.body, res.seal, res.retry = resp.StatusCode, string(body), sealOf(resp.Header), resp.Header.Get("Retry-After")
	}
	res.complete = err == nil
	res.timedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
	return res
}

// want returns the complete answer to a request.
func (r result) want() string {
	if !strings.HasPrefix(r.kind.path, "/stream/") {
		return answer(r.id)
	}
	want := ""
	for n := range eventsPerStream {
		want += event(r.id, n+1)
	}
	return want
}

// notRun holds the statuses which guarantee that a request did not run.
var notRun = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// check returns an error if the answer violates a guarantee, given the runs
// that runners recorded.
func (r result) check(runs []run) error {
	want := r.want()
	switch {
	case len(runs) > r.kind.runs:
		return fmt.Errorf("ran %d times, want at most %d", len(runs), r.kind.runs)
	case notRun[r.status] && len(runs) > 0:
		return fmt.Errorf("status %d means not run, but it ran on %s", r.status, runs[0].Runner)
	case r.status == http.StatusBadRequest:
		return errors.New("status 400, for requests that crash runners, but it is sound")
	case r.status == http.StatusNotFound:
		return errors.New("status 404 on a route that is in every configuration")
	case r.status != http.StatusOK:
		return nil
	case r.seal != seal:
		return errors.New("success without a runner's seal header")
	case r.complete && r.body != want:
		return fmt.Errorf("complete answer has wrong body %q", r.body)
	case !strings.HasPrefix(want, r.body):
		return fmt.Errorf("partial answer is not a prefix of the expected one: %q", r.body)
	}
	return nil
}

// checkResults reports every guarantee that the results and the ledger show to
// be violated.
func (s *system) checkResults(t *testing.T) {
	t.Helper()
	for _, b := range s.ledger.violations() {
		t.Error(b)
	}
	counts := make(map[int]int)
	for _, r := range s.results {
		counts[r.status]++
		if err := r.check(s.ledger.ran(r.id)); err != nil {
			t.Errorf("%6.2f s  request %s %s: %v", r.at.Sub(s.startTime).Seconds(), r.id, r.kind.path, err)
		}
	}
	t.Logf("%d requests, by status %v", len(s.results), counts)
	if counts[http.StatusOK] == 0 {
		t.Error("no request succeeded")
	}
}

// waitRecovered waits until every daemon serves every kind of request, including
// the route that only the newest configuration has, and runs one adapter per
// daemon at its newest version.
func (s *system) waitRecovered(t *testing.T, d time.Duration) {
	t.Helper()
	sent := 0
	s.poll(t, d, func() error {
		var errs []error
		for i, d := range s.daemons {
			for _, k := range append(kinds, kind{fmt.Sprintf("/new%d/x", s.version), false, 1}) {
				sent++
				q := request{id: wick.RequestID(fmt.Sprintf("calm-%d", sent)), to: string(d.Settings.CallerAddress), kind: k, adapter: i % adapters, timeout: timeout}
				errs = append(errs, s.probe(q))
			}
		}
		return errors.Join(errs...)
	})
}

// probe sends a request that must succeed once all faults have ended.
func (s *system) probe(q request) error {
	res := q.send(http.DefaultClient)
	runs := s.ledger.ran(q.id)
	switch {
	case res.status != http.StatusOK || !res.complete || res.body != res.want():
		return fmt.Errorf("%s%s: status %d, body %q", q.to, q.kind.path, res.status, res.body)
	case q.kind.model && uint64(runs[0].Revision) != s.revision:
		return fmt.Errorf("%s%s: ran on version %d, not %d", q.to, q.kind.path, runs[0].Revision, s.revision)
	}
	return nil
}
