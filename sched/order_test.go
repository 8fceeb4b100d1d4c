package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"currantwick"
	"currantwick/evict"
)

func TestOrder(t *testing.T) {
	q := func(level wick.Level, cost wick.Cost, long bool, waited time.Duration) *wick.QueuedRequest {
		now := 100 * sec
		return &wick.QueuedRequest{
			Level: level, Cost: cost, Long: long,
			Arrived: now.Add(-waited), Due: now.Add(10*time.Second - waited),
		}
	}
	warm := q(0, 1.1, false, 0)
	warm.PrefixCached = true
	grouped := q(0, 1.05, false, 0)
	grouped.AdapterInBatch = true
	batch := wick.Batch{Now: 100 * sec, Slots: 8, Running: 4, Long: 0, ShortWaiting: 1}
	full := batch
	full.Long, full.ShortMean = 4, 1.5
	reserved := full
	reserved.ShortMean, reserved.Long = 0, 7
	tests := []struct {
		name     string
		policy   wick.Orderer
		batch    wick.Batch
		runnable []*wick.QueuedRequest
		want     int
	}{
		{"fifo", FIFO{}, batch, []*wick.QueuedRequest{q(0, 9, true, 0), q(9, 1, false, 0)}, 0},
		{"fifo none", FIFO{}, batch, nil, -1},
		{"short first", Shortest{}, batch, []*wick.QueuedRequest{q(0, 9, true, 0), q(0, 1, false, 0)}, 1},
		{"level first", Shortest{}, batch, []*wick.QueuedRequest{q(0, 1, false, 0), q(1, 9, true, 0)}, 1},
		{"aged first", Shortest{}, batch, []*wick.QueuedRequest{q(0, 1, false, 0), q(0, 9, true, 5*time.Second)}, 1},
		{"long request beyond the slots left by short ones", Shortest{}, full, []*wick.QueuedRequest{q(0, 9, true, 0)}, -1},
		{"long request that has waited", Shortest{}, full, []*wick.QueuedRequest{q(0, 9, true, 4*time.Second)}, 0},
		{"long request within LongShare", Shortest{LongShare: 0.8}, full, []*wick.QueuedRequest{q(0, 9, true, 0)}, 0},
		{"long request fills the batch while no short one waits", Shortest{}, wick.Batch{Now: 100 * sec, Slots: 8, Long: 4}, []*wick.QueuedRequest{q(0, 9, true, 0)}, 0},
		{"long request leaves the reserve", Shortest{}, reserved, []*wick.QueuedRequest{q(0, 9, true, 0)}, -1},
		{"one long request in a batch of one", Shortest{}, wick.Batch{Now: 100 * sec, Slots: 1, ShortWaiting: 3}, []*wick.QueuedRequest{q(0, 9, true, 0)}, 0},
		{"warm prompt", Shortest{}, batch, []*wick.QueuedRequest{q(0, 1, false, 0), warm}, 1},
		{"adapter already in the batch", Shortest{}, batch, []*wick.QueuedRequest{q(0, 1, false, 0), grouped}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.policy.Next(tt.batch, tt.runnable); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestAdmit(t *testing.T) {
	low := &wick.QueuedRequest{Level: 1, Sheddable: true}
	b := func(waiting wick.Slots, wait time.Duration, lowest *wick.QueuedRequest) wick.Backlog {
		return wick.Backlog{Waiting: waiting, EstimatedWait: wait, ShedCandidate: lowest}
	}
	q := func(level wick.Level, sheddable bool) *wick.QueuedRequest {
		return &wick.QueuedRequest{Level: level, Sheddable: sheddable, Due: sec}
	}
	tests := []struct {
		name    string
		policy  wick.Admitter
		backlog wick.Backlog
		queued  *wick.QueuedRequest
		want    wick.Admission
	}{
		{"bounded", Bounded{Limit: 2}, b(1, time.Hour, nil), q(0, true), wick.Admit},
		{"bounded full", Bounded{Limit: 2}, b(2, 0, nil), q(9, false), wick.Shed},
		{"in time", Deadline{}, b(0, time.Second, nil), q(0, true), wick.Admit},
		{"too late", Deadline{}, b(0, time.Second+1, nil), q(0, true), wick.Shed},
		{"too late but not sheddable", Deadline{}, b(0, time.Hour, nil), q(0, false), wick.Admit},
		{"full", Deadline{Limit: 2}, b(2, 0, nil), q(9, false), wick.Shed},
		{"full with a request of a lower level", Deadline{Limit: 2}, b(2, 0, low), q(2, true), wick.Displace},
		{"full with a request of the same level", Deadline{Limit: 2}, b(2, 0, low), q(1, true), wick.Shed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.policy.Admit(tt.backlog, tt.queued); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

// arrival is a request of a stream, with the number of tokens of its answer.
type arrival struct {
	at     wick.Instant
	tokens wick.Tokens
}

const (
	shortTokens wick.Tokens = 10
	longTokens  wick.Tokens = 300
	tokenTime               = 20 * ms
	streamBatch wick.Slots  = 16
)

// stream returns random arrivals; short and long are the shares of the batch's
// capacity that short and long requests take up.
func stream(seed uint64, seconds int, short, long float64) []arrival {
	r := rand.New(rand.NewPCG(seed, 2))
	var out []arrival
	add := func(share float64, tokens wick.Tokens) {
		rate := share * float64(streamBatch) / (float64(tokens) * time.Duration(tokenTime).Seconds())
		for now := 0.0; rate > 0; {
			now += r.ExpFloat64() / rate
			if now > float64(seconds) {
				return
			}
			out = append(out, arrival{3*sec + wick.Instant(now*float64(sec)), tokens})
		}
	}
	add(short, shortTokens)
	add(long, longTokens)
	slices.SortFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// waits runs a stream on one endpoint. It returns the waiting times of the
// short and of the long requests, and how many were refused.
func waits(order wick.Orderer, in []arrival) (short, long []wick.Instant, refused int) {
	e := New(Config{
		Endpoint: runner(streamBatch, 1), Kind: wick.RunnerEndpoint,
		Order: order, Evict: evict.Frequency{}, Admit: Bounded{Limit: 1 << 20},
	})
	e.Takeover(0, 1)
	e.Report(2*sec, 2*sec-1, wick.Report{Boot: "b"})
	type running struct {
		id  wick.RequestID
		end wick.Instant
	}
	var batch []running
	at := map[wick.RequestID]arrival{}
	do := func(now wick.Instant, actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Refuse:
				refused++
			case Dispatch:
				x := at[a.Sub.Request]
				batch = append(batch, running{a.Sub.Request, now + wick.Instant(x.tokens)*tokenTime})
				if x.tokens == shortTokens {
					short = append(short, now-x.at)
				} else {
					long = append(long, now-x.at)
				}
			}
		}
	}
	for i := 0; i < len(in) || len(batch) > 0; {
		slices.SortFunc(batch, func(a, b running) int { return int(a.end - b.end) })
		if i < len(in) && (len(batch) == 0 || in[i].at < batch[0].end) {
			id := fmt.Sprint("s", i)
			it := work(id, 0, 2*in[i].tokens)
			it.Sub.TimeLeft = wick.Duration(20 * time.Second)
			at[it.Sub.Request] = in[i]
			do(in[i].at, e.Submit(in[i].at, it))
			i++
			continue
		}
		r := batch[0]
		batch = batch[1:]
		do(r.end, e.Done(r.end, r.id, Result{Tokens: at[r.id].tokens}))
	}
	return short, long, refused
}

func percentile(xs []wick.Instant, p float64) time.Duration {
	slices.Sort(xs)
	return time.Duration(xs[min(len(xs)-1, int(p*float64(len(xs))))])
}

func TestShortLatencyWithLongRequests(t *testing.T) {
	service := time.Duration(wick.Instant(shortTokens) * tokenTime)
	tests := []struct {
		name        string
		short, long float64
		// maxOfAlone bounds the 99th percentile of the latency of short
		// requests relative to a run without long requests, maxOfFIFO relative
		// to a run under FIFO.
		maxOfAlone float64
		maxOfFIFO  float64
	}{
		{"half full", 0.3, 0.3, 1.3, 1},
		{"more short than long", 0.4, 0.3, 1.3, 0.5},
		{"as much long as short", 0.3, 0.4, 1.4, 0.7},
		{"more long than short", 0.2, 0.5, 1.5, 0.5},
		{"nearly full, mostly long", 0.2, 0.6, 7, 0.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			alone, _, _ := waits(Shortest{}, stream(1, 300, tt.short, 0))
			mixed := stream(1, 300, tt.short, tt.long)
			short, long, refused := waits(Shortest{}, mixed)
			fifo, _, _ := waits(FIFO{}, mixed)
			base := percentile(alone, 0.99) + service
			got := percentile(short, 0.99) + service
			t.Logf("99th percentile of short requests: %v alone, %v with long ones, %v under FIFO; longest wait of a long one %v",
				base, got, percentile(fifo, 0.99)+service, percentile(long, 1))
			if float64(got) > tt.maxOfAlone*float64(base) {
				t.Errorf("%v with long requests, %v alone", got, base)
			}
			if most := tt.maxOfFIFO * float64(percentile(fifo, 0.99)+service); float64(got) > most {
				t.Errorf("%v with long requests, more than %v", got, time.Duration(most))
			}
			if refused > 0 {
				t.Errorf("%d refused", refused)
			}
		})
	}
}
