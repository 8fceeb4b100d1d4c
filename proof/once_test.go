package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"currantwick"
	"currantwick/entry"
	"currantwick/fakes"
	"currantwick/fault"

	"github.com/valyala/fasthttp"
)

// sendCommand sends a command and returns its outcome, which is Unknown if the
// connection broke. It calls onError, if not nil, with the body of an error.
func (b *cluster) sendCommand(addr wick.Address, key wick.ClaimKey, onError func(string)) wick.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/v1/calls/confirm")
	req.Header.Set(entry.HeaderKey, string(key))
	req.SetBodyString(`{"Key":"` + string(key) + `"}`)
	if err := b.http.Do(ctx, addr, req, resp); err != nil {
		return wick.Unknown
	}
	if onError != nil && resp.StatusCode() != fasthttp.StatusOK {
		onError(string(resp.Body()))
	}
	return wick.Outcome(resp.Header.Peek(entry.HeaderOutcome))
}

// outcomes counts the outcomes of all attempts with one key.
type outcomes map[wick.Outcome]int

// TestAtMostOnceUnderServiceFaults sends each command several times concurrently
// through different entries, while links to services, to the log and between
// daemons fail, answers of services and of the log are lost, and services crash. No
// command may run twice, and one whose attempts all had the outcome NotRun must not
// have run.
func TestAtMostOnceUnderServiceFaults(t *testing.T) {
	z := defaultSizes()
	z.services = 3
	b := startCluster(t, z)
	one := 1
	tests := []struct {
		name  string
		fault func()
	}{
		{"none", func() {}},
		{"answers of services lost", func() {
			for _, s := range b.fakes.Services {
				b.control(s, fakes.ServiceControl{LoseAnswers: &one})
			}
		}},
		{"services crash", func() {
			b.control(b.fakes.Services[rand.N(3)], fakes.ServiceControl{CrashAfter: true, DownFor: ms(50)})
		}},
		{"links to services silent", func() {
			b.control(b.proxy.Control, fault.Control{Links: b.links("service", 3), Silence: true})
		}},
		{"links between daemons silent", func() {
			b.control(b.proxy.Control, fault.Control{Links: b.links("peer", 3), Silence: true})
		}},
		{"answers of the log lost", func() { b.control(b.fakes.Log, fakes.LogControl{LoseAnswers: &one}) }},
		{"links to the log reset", func() {
			b.control(b.proxy.Control, fault.Control{Links: []fault.LinkName{"log"}, Reset: true})
		}},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b.t = t
			seen := b.commands(fmt.Sprint("k", i), test.fault)
			sum := outcomes{}
			ran := b.ran(t)
			for key, got := range seen {
				n := ran[key]
				switch {
				case n > 1:
					t.Errorf("%s ran %d times", key, n)
				case n == 0 && got[wick.Answered] > 0:
					t.Errorf("%s was answered but never ran", key)
				case n == 1 && got[wick.NotRun] == attempts:
					t.Errorf("%s ran, but all attempts had the outcome NotRun", key)
				}
				for o, c := range got {
					sum[o] += c
				}
			}
			t.Logf("%d keys, outcomes %v", len(seen), sum)
			if sum[wick.Answered] == 0 {
				t.Error("no command was answered")
			}
		})
	}
}

// attempts is the number of times that each command is sent.
const attempts = 3

// commands sends commands for about a second, and injects the fault four times
// meanwhile.
func (b *cluster) commands(prefix string, fault func()) map[wick.ClaimKey]outcomes {
	const keys, every = 40, 25 * time.Millisecond
	var mu sync.Mutex
	var wg sync.WaitGroup
	seen := map[wick.ClaimKey]outcomes{}
	for k := range keys {
		key := wick.ClaimKey(fmt.Sprintf("%s-%d", prefix, k))
		seen[key] = outcomes{}
		for i := range attempts {
			wg.Go(func() {
				sleep(time.Duration(k)*every + rand.N(2*every))
				o := b.sendCommand(b.anyEntry(i), key, nil)
				mu.Lock()
				defer mu.Unlock()
				seen[key][o]++
			})
		}
	}
	for range 4 {
		sleep(keys / 5 * every)
		fault()
	}
	wg.Wait()
	return seen
}

// ran returns how often each key ran on all services together.
func (b *cluster) ran(t *testing.T) map[wick.ClaimKey]int {
	t.Helper()
	out := map[wick.ClaimKey]int{}
	for _, a := range b.fakes.Services {
		var s fakes.ServiceStats
		eventually(t, "a service returns its stats", func() bool { return b.get(a, "/stats", &s) == nil })
		for key, n := range s.RunsOf {
			out[key] += n
		}
	}
	return out
}

// TestCommandRetriedElsewhere stops one of three services for the whole test. A
// refused connection means that the command did not run, so each command must be
// retried on another service and answered.
func TestCommandRetriedElsewhere(t *testing.T) {
	z := defaultSizes()
	z.services = 3
	b := startCluster(t, z)
	b.control(b.fakes.Services[0], fakes.ServiceControl{CrashNow: true, DownFor: ms(60_000)})
	link := string(b.proxy.Links[linkName("service", 0)])
	eventually(t, "the link to the service refuses connections", func() bool {
		c, err := net.Dial("tcp", link)
		if err != nil {
			return true
		}
		return c.Close() != nil
	})
	sum := outcomes{}
	for k := range 30 {
		sum[b.sendCommand(b.anyEntry(k), wick.ClaimKey(fmt.Sprint("elsewhere-", k)), func(text string) { t.Log(text) })]++
	}
	t.Logf("outcomes %v", sum)
	if sum[wick.Answered] != 30 {
		t.Errorf("%d of 30 commands were not answered", 30-sum[wick.Answered])
	}
}
