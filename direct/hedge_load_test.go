package direct_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantwick"
	"currantwick/limit"
	"currantwick/tally"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

// station is a pool of simulated endpoints, each with some slots and a queue without
// bounds. It implements wick.Sender.
type station struct {
	// duration is how long an answer takes in a slot; draw is from 0 to 1, the same for
	// all sends of a request to an endpoint.
	duration func(e wick.EndpointName, draw float64) time.Duration
	slots    map[wick.EndpointName]chan struct{}

	mu sync.Mutex
	// ran counts the sends of each request, all those of all.
	ran map[wick.RequestID]int
	all int
}

func (s *station) Send(ctx context.Context, a wick.Attempt) (*wick.Response, error) {
	s.mu.Lock()
	s.ran[a.Exchange.Request]++
	s.all++
	s.mu.Unlock()
	slot := s.slots[a.Endpoint]
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return nil, wick.Unknownf(wick.CodeBroken, "canceled in the queue")
	}
	defer func() { <-slot }()
	// A hash, so that the draw does not depend on the order of the sends.
	draw := float64(xxhash.Sum64String(string(a.Exchange.Request)+string(a.Endpoint))%10007) / 10007
	if !sleep(ctx, s.duration(a.Endpoint, draw)) {
		return nil, wick.Unknownf(wick.CodeBroken, "canceled")
	}
	return &wick.Response{Status: 200, Body: &body{Reader: io.Reader(strings.NewReader("id: 1\n\n"))}}, nil
}

// load is how the requests of a simulation went.
type load struct {
	times []time.Duration
	// hedges and extra are the hedges and the sends beyond the first of each request, as
	// a fraction of the requests.
	hedges, extra float64
	failed        int
}

func (l *load) percentile(p float64) time.Duration {
	return l.times[int(p*float64(len(l.times)-1))]
}

// runLoad sends requests of one kind at random times to a pool of three endpoints with eight
// slots each, hedged up to a ratio.
func runLoad(t *testing.T, kind wick.Kind, resumable bool, ratio, perSecond float64, duration func(wick.EndpointName, float64) time.Duration) *load {
	const requests = 4000
	out := new(load)
	synctest.Test(t, func(t *testing.T) {
		r := route(kind, "plain", 2, resumable)
		r.Timeout, r.Objective = wick.Duration(10*time.Second), wick.Duration(2*time.Second)
		v := threeEndpoints(r)
		s := &station{duration: duration, slots: make(map[wick.EndpointName]chan struct{}), ran: make(map[wick.RequestID]int)}
		for _, e := range v.Pools["plain"] {
			s.slots[e.Name] = make(chan struct{}, e.Slots)
		}
		hedgers, err := tally.NewGatewayHedgers(limit.HedgeLimits{Total: ratio, Percentile: 0.95})
		if err != nil {
			t.Fatal(err)
		}
		retry, err := limit.NewSharedRetries(0.2, 100)
		if err != nil {
			t.Fatal(err)
		}
		o := new(hedging)
		front := hedgingServer(&control{view: v}, s, tally.NewLockedSharedBudget(retry), hedgers, o)
		random := rand.New(rand.NewPCG(1, 2))
		var group errgroup.Group
		var mu sync.Mutex
		for i := range requests {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			o.count(func() {
				if float64(o.sent) > ratio*float64(i) {
					t.Errorf("%d hedges of %d requests, want at most a fraction of %v", o.sent, i, ratio)
				}
			})
			group.Go(func() error {
				began := time.Now()
				err := front.Forward(t.Context(), &wick.Exchange{Request: wick.RequestID(fmt.Sprint(i)), Host: "h", Path: "/"}, &inline{})
				mu.Lock()
				defer mu.Unlock()
				out.times = append(out.times, time.Since(began))
				if err != nil {
					out.failed++
				}
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		most := r.Attempts
		if kind == wick.KindUnsafe || kind == wick.KindStream && !resumable {
			most = 1
		}
		for id, n := range s.ran {
			if n > most {
				t.Errorf("request %s was sent %d times, want at most %d", id, n, most)
			}
		}
		out.hedges, out.extra = float64(o.sent)/requests, float64(s.all-len(s.ran))/requests
		checkRunning(t, v, 0)
	})
	slices.Sort(out.times)
	return out
}

// Hedges shorten the slowest answers where other endpoints are faster, and do no harm
// where none is: the extra work stays within the limit, and under overload there is next
// to none.
func TestHedgesUnderLoad(t *testing.T) {
	const safe, unsafe, stream = wick.KindSafe, wick.KindUnsafe, wick.KindStream
	usual := func(draw float64) time.Duration { return 20*ms + time.Duration(draw*float64(20*ms)) }
	even := func(_ wick.EndpointName, draw float64) time.Duration { return usual(draw) }
	bimodal := func(_ wick.EndpointName, draw float64) time.Duration {
		if draw > 0.98 {
			return 800 * ms
		}
		return usual(draw)
	}
	// lottery is one endpoint that is slow with a part of its requests, so that its
	// average latency does not keep requests away from it.
	lottery := func(e wick.EndpointName, draw float64) time.Duration {
		if e == "plain-1" && draw > 0.9 {
			return 1500 * ms
		}
		return usual(draw)
	}
	slow := func(e wick.EndpointName, draw float64) time.Duration {
		if e == "plain-1" {
			return 10 * usual(draw)
		}
		return usual(draw)
	}
	allSlow := func(_ wick.EndpointName, draw float64) time.Duration { return 10 * usual(draw) }
	// The capacity is about 800 requests per second: 24 slots, 30 ms each.
	tests := []struct {
		name      string
		kind      wick.Kind
		resumable bool
		perSecond float64
		duration  func(wick.EndpointName, float64) time.Duration
		// p99 and p999 are the 99th and 99.9th percentile at most, as a part of those
		// without hedges, and hedges is the range of the fraction of the requests that
		// are hedged.
		p99, p999 float64
		hedges    [2]float64
	}{
		{"no slow answers", safe, false, 200, even, 1.1, 1.1, [2]float64{0, 0.05}},
		{"bimodal", safe, false, 200, bimodal, 0.3, 1.1, [2]float64{0.015, 0.05}},
		{"bimodal streams", stream, true, 200, bimodal, 0.3, 1.1, [2]float64{0.015, 0.05}},
		{"one endpoint that is slow at times", safe, false, 200, lottery, 1.1, 0.3, [2]float64{0.005, 0.05}},
		{"one slow endpoint", safe, false, 200, slow, 1.1, 1.1, [2]float64{0, 0.05}},
		{"all endpoints slow", safe, false, 40, allSlow, 1.1, 1.1, [2]float64{0, 0.05}},
		{"overload", safe, false, 1200, even, 1.1, 1.1, [2]float64{0, 0.005}},
		{"overload, bimodal", safe, false, 1200, bimodal, 1.1, 1.1, [2]float64{0, 0.005}},
		{"unsafe", unsafe, false, 200, bimodal, 1.1, 1.1, [2]float64{0, 0}},
		{"streams that are not resumable", stream, false, 200, bimodal, 1.1, 1.1, [2]float64{0, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			off := runLoad(t, test.kind, test.resumable, 0, test.perSecond, test.duration)
			on := runLoad(t, test.kind, test.resumable, 0.05, test.perSecond, test.duration)
			t.Logf("p50 %v to %v, p99 %v to %v, p99.9 %v to %v, hedges %.4f, extra %.4f, failed %d to %d", off.percentile(0.5), on.percentile(0.5), off.percentile(0.99), on.percentile(0.99), off.percentile(0.999), on.percentile(0.999), on.hedges, on.extra, off.failed, on.failed)
			for p, part := range map[float64]float64{0.99: test.p99, 0.999: test.p999} {
				if most := time.Duration(part * float64(off.percentile(p))); on.percentile(p) > most {
					t.Errorf("percentile %v at %v, without hedges at %v; want at most %v", 100*p, on.percentile(p), off.percentile(p), most)
				}
			}
			if on.hedges < test.hedges[0] || on.hedges > test.hedges[1] || on.extra > 0.05 {
				t.Errorf("%.4f of the requests were hedged and %.4f sent again; want from %v to %v", on.hedges, on.extra, test.hedges[0], test.hedges[1])
			}
			if on.failed > off.failed+len(off.times)/100 {
				t.Errorf("%d requests failed, without hedges %d", on.failed, off.failed)
			}
		})
	}
}
