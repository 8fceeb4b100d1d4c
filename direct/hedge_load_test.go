package direct_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
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

// slowness is which answers of a station take how many times longer.
type slowness struct {
	endpoint wick.EndpointName // all if empty
	part     float64
	factor   time.Duration
}

// station is a pool of simulated endpoints, each with some slots and a queue without
// bounds; an answer takes 20 to 40 ms in a slot. It implements wick.Sender.
type station struct {
	slowness
	slots map[wick.EndpointName]chan struct{}

	mu sync.Mutex
	// sends counts the sends of each request.
	sends map[wick.RequestID]int
}

func (s *station) Send(ctx context.Context, a wick.Attempt) (*wick.Response, error) {
	s.mu.Lock()
	s.sends[a.Exchange.Request]++
	s.mu.Unlock()
	// A hash, so that the time does not depend on the order of the sends.
	draw := float64(xxhash.Sum64String(string(a.Exchange.Request)+string(a.Endpoint))%10007) / 10007
	took := 20*ms + time.Duration(draw*float64(20*ms))
	if draw >= 1-s.part && (s.endpoint == "" || s.endpoint == a.Endpoint) {
		took *= s.factor
	}
	select {
	case s.slots[a.Endpoint] <- struct{}{}:
	case <-ctx.Done():
		return nil, wick.Unknownf(wick.CodeBroken, "canceled in the queue")
	}
	defer func() { <-s.slots[a.Endpoint] }()
	if !sleep(ctx, took) {
		return nil, wick.Unknownf(wick.CodeBroken, "canceled")
	}
	return &wick.Response{Status: 200, Body: &body{Reader: strings.NewReader("id: 1\n\n")}}, nil
}

// runLoad sends requests at random times to a pool of three endpoints with eight slots
// each, hedged up to a ratio. It returns how long they took, in ascending order, and
// which fraction of them was hedged.
func runLoad(t *testing.T, kind wick.Kind, resumable bool, ratio, perSecond float64, slow slowness) (took []time.Duration, hedges float64) {
	const requests = 16000
	synctest.Test(t, func(t *testing.T) {
		r := route(kind, "plain", 2, resumable)
		r.Timeout, r.Objective = wick.Duration(10*time.Second), wick.Duration(2*time.Second)
		v := threeEndpoints(r)
		s := &station{slowness: slow, slots: make(map[wick.EndpointName]chan struct{}), sends: make(map[wick.RequestID]int)}
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
		o, random := new(hedging), rand.New(rand.NewPCG(1, 2))
		front := hedgingServer(&control{view: v}, s, tally.NewLockedSharedBudget(retry), hedgers, o)
		var group errgroup.Group
		for i := range requests {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			o.count(func() {
				if float64(o.sent) > ratio*float64(i) {
					t.Errorf("%d hedges of %d requests, want at most a fraction of %v", o.sent, i, ratio)
				}
			})
			group.Go(func() error {
				began := time.Now()
				_ = front.Forward(t.Context(), &wick.Exchange{Request: wick.RequestID(strconv.Itoa(i)), Host: "h", Path: "/"}, &inline{})
				o.count(func() { took = append(took, time.Since(began)) })
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		once := kind == wick.KindUnsafe || kind == wick.KindStream && !resumable
		for id, n := range s.sends {
			if n > 2 || n > 1 && once {
				t.Errorf("request %s, which may run only once: %v, was sent %d times", id, once, n)
			}
		}
		checkRunning(t, v, 0)
		hedges = float64(o.sent) / requests
	})
	slices.Sort(took)
	return took, hedges
}

// Hedges shorten the slowest answers where other endpoints are faster, and do no harm
// where none is: the extra work stays within the limit, and under overload there is next
// to none.
func TestHedgesUnderLoad(t *testing.T) {
	const safe, unsafe, stream = wick.KindSafe, wick.KindUnsafe, wick.KindStream
	even, bimodal, all := slowness{}, slowness{"", 0.02, 20}, slowness{"", 1, 10}
	// The choice of endpoint keeps requests away from the slow ones by their latency.
	slow, atTimes := slowness{"plain-1", 1, 10}, slowness{"plain-1", 0.1, 40}
	// The capacity is about 800 requests per second: 24 slots, 30 ms each.
	tests := []struct {
		name      string
		kind      wick.Kind
		resumable bool
		perSecond float64
		slow      slowness
		// p99 and p999 are the 99th and 99.9th percentile at most, as a part of those
		// without hedges, and hedges is the range of the fraction of the requests that
		// are hedged.
		p99, p999 float64
		hedges    [2]float64
	}{
		{"no slow answers", safe, false, 200, even, 1.1, 1.1, [2]float64{0, 0.05}},
		{"bimodal", safe, false, 200, bimodal, 0.3, 1.1, [2]float64{0.015, 0.05}},
		{"bimodal streams", stream, true, 200, bimodal, 0.3, 1.1, [2]float64{0.015, 0.05}},
		{"one endpoint that is slow at times", safe, false, 200, atTimes, 1.1, 0.3, [2]float64{0.005, 0.05}},
		{"one slow endpoint", safe, false, 200, slow, 1.1, 1.1, [2]float64{0, 0.05}},
		{"all endpoints slow", safe, false, 40, all, 1.1, 1.1, [2]float64{0, 0.05}},
		{"overload", safe, false, 1200, even, 1.1, 1.1, [2]float64{0, 0.005}},
		{"overload, bimodal", safe, false, 1200, bimodal, 1.1, 1.1, [2]float64{0, 0.005}},
		{"unsafe", unsafe, false, 200, bimodal, 1.1, 1.1, [2]float64{0, 0}},
		{"streams that are not resumable", stream, false, 200, bimodal, 1.1, 1.1, [2]float64{0, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			off, _ := runLoad(t, test.kind, test.resumable, 0, test.perSecond, test.slow)
			on, hedges := runLoad(t, test.kind, test.resumable, 0.05, test.perSecond, test.slow)
			for p, part := range map[float64]float64{0.99: test.p99, 0.999: test.p999} {
				i := int(p * float64(len(off)-1))
				t.Logf("percentile %v: %v without hedges, %v with a fraction of %v", 100*p, off[i], on[i], hedges)
				if on[i] > time.Duration(part*float64(off[i])) {
					t.Errorf("percentile %v: %v, without hedges %v; want at most %v of it", 100*p, on[i], off[i], part)
				}
			}
			if hedges < test.hedges[0] || hedges > test.hedges[1] {
				t.Errorf("%v of the requests were hedged, want %v", hedges, test.hedges)
			}
		})
	}
}
