package place

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"currantwick"
	"currantwick/route"
)

// storeTick is the time between two steps of the store, and loadTime the
// duration of one load.
const (
	storeTick = 125 * time.Millisecond
	loadTime  = 250 * time.Millisecond
)

// runner is a simulated endpoint that holds adapters.
type runner struct {
	end  wick.Endpoint
	held []wick.Ref
	lost bool
}

// load is a queued or running load of an adapter.
type load struct {
	runner   int
	ref      wick.Ref
	since    wick.Instant // arrival of the first waiting request
	done     wick.Instant // 0 while it is queued for the store
	prefetch bool         // not requested yet
}

// simulation simulates a pool behind one daemon that sees all requests.
type simulation struct {
	runners    []*runner
	placer     wick.Placer
	builder    *route.Builder
	table      *route.Affinity
	loads      []load
	tokens     float64
	storeLoads int
	waits      []time.Duration
}

func newSimulation(t *testing.T, policy wick.PlacePolicy, n int) *simulation {
	p, err := New(Config{Policy: policy, Pool: "p"})
	if err != nil {
		t.Fatal(err)
	}
	b, err := route.New(route.Config{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	s := &simulation{placer: p, builder: b}
	for i := range n {
		e := wick.Endpoint{
			Name: endName(i), Pool: "p", BatchSlots: 16, AdapterSlots: 8,
			Domain: wick.Domain(fmt.Sprint("d", i%3)),
		}
		s.runners = append(s.runners, &runner{end: e})
		b.Put(e)
	}
	s.publish()
	return s
}

func (s *simulation) publish() { s.table = s.builder.Publish().(*route.Affinity) }

func (s *simulation) publishDigest(i int) {
	r := s.runners[i]
	s.builder.Digest(wick.Digest{Endpoint: r.end.Name, Ready: r.held})
	s.publish()
}

// lose removes runners with all adapters they hold.
func (s *simulation) lose(list ...int) {
	for _, i := range list {
		s.runners[i].lost = true
		s.builder.Remove(s.runners[i].end.Name)
		s.loads = slices.DeleteFunc(s.loads, func(l load) bool { return l.runner == i })
	}
	s.publish()
}

// request routes one request. It waits for a load unless its adapter is held on
// the chosen runner.
func (s *simulation) request(now wick.Instant, ref wick.Ref, random uint64) {
	s.placer.RecordRequest(now, ref)
	to, _ := s.table.Pick(&wick.RouteInput{Pool: "p", Ref: ref, Cost: 1, Random: random})
	i := slices.IndexFunc(s.runners, func(r *runner) bool { return r.end.Name == to.Endpoint })
	if slices.Contains(s.runners[i].held, ref) {
		s.waits = append(s.waits, 0)
		return
	}
	k := slices.IndexFunc(s.loads, func(l load) bool { return l.runner == i && l.ref == ref })
	if k < 0 {
		s.loads = append(s.loads, load{runner: i, ref: ref, since: now})
		k = len(s.loads) - 1
	}
	if s.loads[k].prefetch {
		s.loads[k].prefetch, s.loads[k].since = false, now
	}
	// The wait is estimated from the loads queued before this one and the rate
	// of the store.
	before := 0
	for _, l := range s.loads[:k] {
		if l.done == 0 && !l.prefetch {
			before++
		}
	}
	wait := loadTime + time.Duration(float64(before)/4*float64(time.Second))
	if d := s.loads[k].done; d != 0 {
		wait = d.Sub(now)
	}
	s.waits = append(s.waits, wait)
}

// runStore advances the store: loads with waiting requests first, then
// prefetches.
func (s *simulation) runStore(now wick.Instant) {
	s.tokens = min(s.tokens+4*storeTick.Seconds(), 2)
	for _, prefetch := range []bool{false, true} {
		least := 1.0
		// A prefetch leaves one load for the next request that waits.
		if prefetch {
			least = 2
		}
		for k := range s.loads {
			l := &s.loads[k]
			if l.done == 0 && l.prefetch == prefetch && s.tokens >= least {
				s.tokens--
				s.storeLoads++
				l.done = now.Add(loadTime)
			}
		}
	}
	for k := 0; k < len(s.loads); {
		l := s.loads[k]
		if l.done == 0 || now < l.done {
			k++
			continue
		}
		s.loads = slices.Delete(s.loads, k, k+1)
		r := s.runners[l.runner]
		if len(r.held) >= int(r.end.AdapterSlots) {
			lowest := 0
			for i, h := range r.held {
				if s.placer.RequestRate(now, h) < s.placer.RequestRate(now, r.held[lowest]) {
					lowest = i
				}
			}
			r.held = slices.Delete(r.held, lowest, lowest+1)
		}
		r.held = append(r.held, l.ref)
		s.publishDigest(l.runner)
	}
}

// plan queues the prefetches that the placer plans.
func (s *simulation) plan(now wick.Instant) {
	var local []wick.PlaceEndpoint
	for i, r := range s.runners {
		if r.lost {
			continue
		}
		e := wick.PlaceEndpoint{Endpoint: r.end.Name, Slots: r.end.AdapterSlots, Adapters: slices.Clone(r.held)}
		for _, l := range s.loads {
			if l.runner == i {
				e.Adapters = append(e.Adapters, l.ref)
			}
		}
		local = append(local, e)
	}
	s.loads = slices.DeleteFunc(s.loads, func(l load) bool { return l.prefetch && l.done == 0 })
	for _, f := range s.placer.Plan(now, s.table.Table, local) {
		i := slices.IndexFunc(s.runners, func(r *runner) bool { return r.end.Name == f.Endpoint })
		s.loads = append(s.loads, load{runner: i, ref: f.Ref, prefetch: true})
	}
}

// results are the measurements of one run.
type results struct {
	waiting     float64 // share of the requests that waited
	mean        time.Duration
	storeLoads  int
	maxRegained int // most lost adapters regained by one survivor
}

func (f results) String() string {
	return fmt.Sprintf("%4.1f%% waited, mean %3d ms, %d store loads, at most %d adapters per survivor",
		100*f.waiting, f.mean.Milliseconds(), f.storeLoads, f.maxRegained)
}

// run replays a trace, removes the lost runners after 6000 ticks, two thirds of
// the trace, and returns the results for the following period.
func run(t *testing.T, seed uint64, policy wick.PlacePolicy, zipf float64, interval int, lost []int, period time.Duration) results {
	s := newSimulation(t, policy, 12)
	tr := newTrace(seed, 9000, 3000, 100, zipf)
	var gone []wick.Ref
	from, storeLoads := 0, 0
	end := 6000 + int(period/storeTick)
	for i := range end {
		now := wick.Instant(time.Duration(i) * storeTick)
		if i == 6000 {
			for _, k := range lost {
				gone = append(gone, s.runners[k].held...)
			}
			s.lose(lost...)
			from, storeLoads = len(s.waits), s.storeLoads
		}
		s.runStore(now)
		if i%interval == 0 {
			s.request(now, refOf(tr.refs[i]), uint64(i)*0x9e3779b97f4a7c15)
		}
		if i%8 == 0 {
			s.plan(now)
		}
	}
	f := results{storeLoads: s.storeLoads - storeLoads}
	sum := time.Duration(0)
	for _, w := range s.waits[from:] {
		if w > 0 {
			f.waiting++
		}
		sum += w
	}
	f.waiting /= float64(len(s.waits) - from)
	f.mean = sum / time.Duration(len(s.waits)-from)
	for _, r := range s.runners {
		n := 0
		if r.lost {
			continue
		}
		for _, ref := range gone {
			if slices.Contains(r.held, ref) {
				n++
			}
		}
		f.maxRegained = max(f.maxRegained, n)
	}
	return f
}

var seeds = flag.Int("seeds", 1, "traces that TestRecovery replays")

// add adds one of n runs: waiting and mean are averaged, storeLoads is summed,
// and maxRegained is the maximum.
func (f *results) add(g results, n int) {
	f.waiting += g.waiting / float64(n)
	f.mean += g.mean / time.Duration(n)
	f.storeLoads += g.storeLoads
	f.maxRegained = max(f.maxRegained, g.maxRegained)
}

// Prefetching must not increase the share of requests that wait or the loads
// from the store by much in any case, also after the loss of a failure domain.
// Over all cases it must reduce the share that waits.
func TestRecovery(t *testing.T) {
	tests := []struct {
		name     string
		zipf     float64
		interval int // ticks between requests
		lost     []int
		period   time.Duration
	}{
		{"nothing lost", 1.0, 1, nil, 5 * time.Minute},
		{"a runner lost", 1.0, 1, []int{4}, 30 * time.Second},
		{"a domain lost", 1.0, 1, []int{0, 3, 6, 9}, 30 * time.Second},
		{"a domain lost, steep", 1.2, 1, []int{0, 3, 6, 9}, 30 * time.Second},
		{"a domain lost at half the load", 1.0, 2, []int{0, 3, 6, 9}, 60 * time.Second},
		{"a runner lost at half the load", 1.0, 2, []int{4}, 60 * time.Second},
	}
	gain := 0.0
	for _, tt := range tests {
		var demand, share results
		for seed := range uint64(*seeds) {
			demand.add(run(t, seed, wick.PlaceOnDemand, tt.zipf, tt.interval, tt.lost, tt.period), *seeds)
			share.add(run(t, seed, wick.PlaceByShare, tt.zipf, tt.interval, tt.lost, tt.period), *seeds)
		}
		t.Logf("%s\n  on demand %v\n  by share  %v", tt.name, demand, share)
		if share.waiting > demand.waiting+0.02 || share.storeLoads > demand.storeLoads*6/5 {
			t.Errorf("%s: by share %v\nworse than on demand %v", tt.name, share, demand)
		}
		gain += demand.waiting - share.waiting
	}
	if gain <= 0 {
		t.Error("prefetching does not reduce the share of requests that wait")
	}
}
