package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"currantwick"
)

// stabilityWindow is the platform's time for all daemons to learn of a crash.
const stabilityWindow = 3 * time.Second

// barrage is a stream of requests that crash runners.
type barrage struct {
	// request returns the adapter, body and prompt of the n-th request.
	request func(n int) request
	// crashes is the number of crashes after which, within stabilityWindow, the
	// requests must stop. After that up to maxSends may reach a runner.
	crashes int
	// run is how long a request is sent every so often, after calm without any.
	run, every, calm time.Duration

	mu sync.Mutex
	// status counts the answers by status.
	status map[int]int
}

// maxSends is the number of requests that may reach runners once a cause of crashes
// must be known.
const maxSends = 3

// send sends deadly requests through the daemons in turn, each without waiting for
// the answers of the others.
func (b *barrage) send(s *system) {
	b.status = make(map[int]int)
	var group sync.WaitGroup
	end := time.Now().Add(b.run)
	for n := 0; time.Now().Before(end); n++ {
		group.Add(1)
		go func() {
			defer group.Done()
			q := b.request(n)
			q.id, q.to = wick.RequestID(fmt.Sprintf("deadly-%d", n)), string(s.daemons[n%len(s.daemons)].Settings.CallerAddress)
			q.kind, q.timeout = kinds[0], timeout
			res := q.send(http.DefaultClient)
			b.mu.Lock()
			defer b.mu.Unlock()
			b.status[res.status]++
		}()
		sleep(b.every)
	}
	group.Wait()
}

// check runs the barrage beside ordinary callers and checks that it stops crashing
// runners and that other requests are served.
func (b *barrage) check(t *testing.T, seed uint64, deadly func(h http.Header, body []byte) bool) {
	t.Helper()
	var reached arrivals
	s := startSystemWith(t, seed, func(h http.Header, body []byte) bool {
		if !deadly(h, body) {
			return false
		}
		reached.add()
		return true
	})
	s.waitReady(t, startTimeout)
	stop := s.startCallers(t, seed)
	sleep(b.calm)
	begin := time.Now()
	b.send(s)
	end := time.Now()
	s.waitRecovered(t, recoveryTimeout)
	stop()
	s.checkResults(t)
	s.mu.Lock()
	crashes := slices.Clone(s.crashes)
	s.mu.Unlock()
	if len(crashes) == 0 {
		t.Fatal("no runner crashed")
	}
	if b.calm > 0 {
		s.checkServed(t, begin, crashes[min(len(crashes), b.crashes)-1].Add(2*stabilityWindow), end)
	}
	if len(crashes) < b.crashes {
		t.Logf("%d crashes, answers by status %v", len(crashes), b.status)
		return
	}
	sends := reached.after(crashes[b.crashes-1].Add(stabilityWindow))
	t.Logf("%d crashes, %d sends later than %v after number %d; answers by status %v", len(crashes), sends, stabilityWindow, b.crashes, b.status)
	if sends > maxSends {
		t.Errorf("%d deadly requests reached runners later than %v after the crash number %d, want at most %d", sends, stabilityWindow, b.crashes, maxSends)
	}
}

// checkServed checks that sound streams are served at least half as often between
// from and to as they were before begin.
func (s *system) checkServed(t *testing.T, begin, from, to time.Time) {
	t.Helper()
	var sent, served [2]int
	for _, r := range s.results {
		if r.kind.path != kinds[0].path {
			continue
		}
		i := 0
		switch {
		case r.at.Before(begin):
		case r.at.After(from) && r.at.Before(to):
			i = 1
		default:
			continue
		}
		sent[i]++
		if r.status == http.StatusOK {
			served[i]++
		}
	}
	t.Logf("sound streams served: %d of %d before, %d of %d from %v to the end of the deadly requests", served[0], sent[0], served[1], sent[1], from.Sub(begin).Round(time.Second/10))
	const enough = 20
	if sent[0] < enough || sent[1] < enough {
		t.Errorf("%d and %d sound streams, want %d or more of each", sent[0], sent[1], enough)
		return
	}
	if float64(served[1])/float64(sent[1]) < 0.5*float64(served[0])/float64(sent[0]) {
		t.Error("sound streams are served less than half as often as before")
	}
}

// TestRepeatedRequestThatCrashesRunners guards against a request that is sent to
// one runner after the other and crashes each.
func TestRepeatedRequestThatCrashesRunners(t *testing.T) {
	const marker = "the request that crashes runners"
	b := &barrage{
		request: func(int) request { return request{body: marker} },
		crashes: 3, run: 8 * time.Second, every: 60 * time.Millisecond,
	}
	b.check(t, 1, func(_ http.Header, body []byte) bool { return bytes.Equal(body, []byte(marker)) })
}

// TestPartOfPromptsThatCrashesRunners guards against requests that have one part of
// their prompts in common, which crashes each runner, and against refusing sound
// requests with their other parts.
func TestPartOfPromptsThatCrashesRunners(t *testing.T) {
	b := &barrage{
		request: requestWithDeadlyPart,
		crashes: 5, run: 12 * time.Second, every: 60 * time.Millisecond, calm: 2 * time.Second,
	}
	b.check(t, 2, func(h http.Header, _ []byte) bool { return hasDeadlyPart(h) })
}

// deadlyPart is the part of prompts that crashes runners.
const deadlyPart = "dead"

// requestWithDeadlyPart returns the n-th of a series of unlike requests that have
// deadlyPart in common, and their other parts with sound ones.
func requestWithDeadlyPart(n int) request {
	return request{
		adapter: n % adapters, body: fmt.Sprintf("deadly %d", n),
		parts: fmt.Sprintf("%s,%s,%s:30,%d:10", firstPart, rareParts[0], deadlyPart, n),
	}
}

func hasDeadlyPart(h http.Header) bool {
	return strings.Contains(h.Get("Currantwick-Prompt-Prefix"), deadlyPart)
}
