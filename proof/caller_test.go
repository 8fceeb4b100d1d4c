package proof

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"

	"github.com/valyala/fasthttp"
)

// answer is what a caller received.
type answer struct {
	route  wick.RouteName
	prompt string
	tokens wick.Tokens
	took   time.Duration
	// status is the HTTP status; 0 if there was none.
	status int
	text   string
	ran    wick.Ran
	// complete is set when the answer ended with a finish reason and "[DONE]".
	complete bool
	// fail is the error in the answer, if any.
	fail *failure
	// err is an error of reading or decoding the answer.
	err error
}

type failure struct {
	Message string       `json:"message"`
	Type    wick.Outcome `json:"type"`
	Code    wick.Code    `json:"code"`
}

type event struct {
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Ran   *wick.Ran `json:"Ran"`
	Error *failure  `json:"error"`
}

// check reports an answer that looks complete but has a wrong text, one that ran
// on another adapter, and one that is neither complete nor ends with an error.
func (a *answer) check(t *testing.T, want wick.Ref) {
	t.Helper()
	full := fakes.Answer(a.prompt, want.String(), a.tokens)
	switch {
	case a.complete && a.text != full:
		t.Errorf("%s: looks complete but is %q, want %q", a.route, a.text, full)
	case a.complete && a.ran.Ref != want:
		t.Errorf("%s: ran on %s, want %s", a.route, a.ran.Ref, want)
	case a.complete:
	case len(a.text) > len(full) || a.text != full[:len(a.text)]:
		t.Errorf("%s: partial answer with wrong text %q", a.route, a.text)
	case a.fail == nil && a.err == nil:
		t.Errorf("%s: neither complete nor an error after %q", a.route, a.text)
	}
}

// request requests a streamed completion and reads it to its end. A prompt may
// contain "want:" and an adapter version; the fake engine counts the request as
// WrongModel if it runs with another.
func (b *cluster) request(addr wick.Address, route wick.RouteName, prompt string, n wick.Tokens) *answer {
	return b.requestWatched(addr, route, prompt, n, func(int) {})
}

// requestWatched is like request, and calls seen with the length of the text
// after each event.
func (b *cluster) requestWatched(addr wick.Address, route wick.RouteName, prompt string, n wick.Tokens, seen func(int)) *answer {
	a := &answer{route: route, prompt: prompt, tokens: n}
	start := time.Now()
	defer func() { a.took = time.Since(start) }()
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body, _ := json.Marshal(struct {
		Model     wick.RouteName `json:"model"`
		Prompt    string         `json:"prompt"`
		MaxTokens wick.Tokens    `json:"max_tokens"`
		Stream    bool           `json:"stream"`
	}{route, prompt, n, true}) // Encoding these types cannot fail.
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/v1/completions")
	req.SetBodyRaw(body)
	x, err := b.http.Open(ctx, addr, req, resp)
	if err != nil {
		a.err = err
		return a
	}
	defer x.Close()
	a.status = resp.StatusCode()
	if a.status != fasthttp.StatusOK {
		var e event
		a.err = json.Unmarshal(resp.Body(), &e)
		a.fail = e.Error
		return a
	}
	a.read(bufio.NewReader(x.Body()), seen)
	return a
}

func (a *answer) read(r *bufio.Reader, seen func(int)) {
	finished := false
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			a.err = err
			return
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			a.complete = finished && a.fail == nil
			return
		}
		var e event
		if a.err = json.Unmarshal(data, &e); a.err != nil {
			return
		}
		if e.Error != nil {
			a.fail = e.Error
			return
		}
		a.text += e.Choices[0].Text
		finished = finished || e.Choices[0].Finish != nil
		if e.Ran != nil {
			a.ran = *e.Ran
		}
		seen(len(a.text))
	}
}

// callerGroup is a group of concurrent callers and their answers.
type callerGroup struct {
	wg  sync.WaitGroup
	mu  sync.Mutex
	all []*answer
}

func (c *callerGroup) add(a *answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, a)
}

// collect waits for all callers, checks their answers, and returns how many were
// complete and how many were not.
func (c *callerGroup) collect(t *testing.T) (complete, incomplete int) {
	t.Helper()
	c.wg.Wait()
	codes := map[string]int{}
	var times []time.Duration
	for _, a := range c.all {
		var i int
		if _, err := fmt.Sscanf(string(a.route), "route-%d", &i); err != nil {
			t.Fatal(err)
		}
		a.check(t, ref(i))
		times = append(times, a.took.Round(time.Millisecond))
		if a.complete {
			complete++
			continue
		}
		incomplete++
		codes[a.reason()]++
	}
	slices.Sort(times)
	t.Logf("%d complete, %d not: %v; took %v in the median, %v at most",
		complete, incomplete, codes, times[len(times)/2], times[len(times)-1])
	return complete, incomplete
}

// slowest waits for all callers and returns the longest time of an answer.
func (c *callerGroup) slowest() time.Duration {
	c.wg.Wait()
	var most time.Duration
	for _, a := range c.all {
		most = max(most, a.took)
	}
	return most
}

// reason describes why an answer is not complete.
func (a *answer) reason() string {
	if a.fail != nil {
		return fmt.Sprintf("%s (%s)", a.fail.Code, a.fail.Type)
	}
	return fmt.Sprintf("incomplete: %v", a.err)
}

// burst starts callers at each entry, and returns when each has received text.
func (b *cluster) burst(each int, n wick.Tokens) *callerGroup {
	b.t.Helper()
	c := &callerGroup{}
	var started atomic.Int64
	for i := range each * len(b.daemons) {
		c.wg.Go(func() {
			var once sync.Once
			onText := func(length int) {
				if length > 0 {
					once.Do(func() { started.Add(1) })
				}
			}
			r := i % b.sizes.adapters
			prompt := fmt.Sprintf("caller %d asks want:%s of day %d", i, ref(r), time.Now().UnixNano())
			c.add(b.requestWatched(b.daemons[i%len(b.daemons)].entry, routeName(r), prompt, n, onText))
		})
	}
	eventually(b.t, "all callers have text", func() bool { return int(started.Load()) == each*len(b.daemons) })
	return c
}

// steady runs callers that send requests in a loop until stop is called.
func (b *cluster) steady(callers int, n wick.Tokens, entry func(i int) wick.Address) (c *callerGroup, stop func()) {
	c = &callerGroup{}
	done := make(chan struct{})
	for i := range callers {
		c.wg.Go(func() {
			for turn := i; ; turn++ {
				select {
				case <-done:
					return
				default:
				}
				r := (turn * 7) % b.sizes.adapters
				prompt := fmt.Sprintf("caller %d turn %d want:%s now", i, turn, ref(r))
				c.add(b.request(entry(turn), routeName(r), prompt, n))
			}
		})
	}
	return c, sync.OnceFunc(func() { close(done) })
}

// anyEntry spreads callers over all daemons.
func (b *cluster) anyEntry(i int) wick.Address { return b.daemons[i%len(b.daemons)].entry }
