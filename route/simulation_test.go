package route

import (
	"cmp"
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"currantwick"
	"currantwick/tally"
)

const (
	simStep     = 25 * time.Millisecond
	simRunners  = 12
	simGateways = 7
	simSlots    = 8   // batch slots and adapter slots of a runner
	simLoads    = 4.0 // loads per second that the store allows
	digestEvery = 12  // steps between two digests of a runner
)

// simLoad is a workload and the slowdown of the first runners.
type simLoad struct {
	adapters int
	mean     float64 // seconds that a request runs
	rate     float64 // requests per second
	slow     []float64
}

// simJob is a request in the simulated pool.
type simJob struct {
	ref     int
	cost    wick.Cost
	at      int // step of arrival
	ends    int // step in which it ends, once it runs
	gateway int
	target  wick.EndpointIndex
}

// simRunner is a simulated endpoint with a batch, a queue and adapter slots.
type simRunner struct {
	queue, running []simJob
	used           map[int]int // step of the last use, by adapter held
	loading        int         // adapter being loaded, -1 if none
	readyAt        int         // step at which it is loaded
	slow           float64
}

func (r *simRunner) holds(ref int) bool { _, ok := r.used[ref]; return ok }

// step completes a load, starts queued requests and begins the next load. It
// reports whether it started a load from the store.
func (r *simRunner) step(now int, mayLoad bool, started func(simJob)) bool {
	if r.loading >= 0 && now >= r.readyAt {
		r.used[r.loading] = now
		r.loading = -1
	}
	r.queue = slices.DeleteFunc(r.queue, func(j simJob) bool {
		if len(r.running) >= simSlots || !r.holds(j.ref) {
			return false
		}
		r.used[j.ref] = now
		j.ends = now + int(float64(j.cost)*r.slow/simStep.Seconds())
		r.running = append(r.running, j)
		started(j)
		return true
	})
	if r.loading >= 0 || !mayLoad {
		return false
	}
	for _, j := range r.queue {
		if !r.holds(j.ref) && r.freeSlot() {
			r.loading, r.readyAt = j.ref, now+int(250*time.Millisecond/simStep)
			return true
		}
	}
	return false
}

// freeSlot evicts the least recently used adapter that no running or queued
// request needs, and reports whether a slot is free.
func (r *simRunner) freeSlot() bool {
	if len(r.used) < simSlots {
		return true
	}
	victim, oldest := -1, math.MaxInt
	for ref, at := range r.used {
		busy := func(j simJob) bool { return j.ref == ref }
		if at < oldest && !slices.ContainsFunc(r.running, busy) && !slices.ContainsFunc(r.queue, busy) {
			victim, oldest = ref, at
		}
	}
	if victim < 0 {
		return false
	}
	delete(r.used, victim)
	return true
}

// simulate runs for secs simulated seconds and returns the loads per request,
// the share of batch slots in use, and each request's wait before its start.
func simulate(t *testing.T, cfg Config, seed uint64, secs int, l simLoad) (loads, busyShare float64, waits []float64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	sums := make([]float64, l.adapters)
	sum := 0.0
	for i := range sums {
		sum += 1 / float64(i+1)
		sums[i] = sum
	}
	var runners []*simRunner
	for i := range simRunners {
		r := &simRunner{used: make(map[int]int), loading: -1, slow: 1}
		if i < len(l.slow) {
			r.slow = l.slow[i]
		}
		runners = append(runners, r)
	}
	var inFlight [simGateways]tally.Counts
	var builders [simGateways]*Builder
	var routers [simGateways]wick.Router
	for e := range simGateways {
		builders[e] = build(t, cfg, &inFlight[e], simRunners)
		routers[e] = builders[e].Publish()
	}
	loadBudget, loadsStarted, requests, busy := 0.0, 0, 0, 0
	for now := range int(float64(secs) / simStep.Seconds()) {
		for rnd.Float64() < l.rate*simStep.Seconds()/(1+l.rate*simStep.Seconds()) {
			e := rnd.IntN(simGateways)
			j := simJob{ref: sort.SearchFloat64s(sums, rnd.Float64()*sum), at: now, gateway: e}
			j.cost = wick.Cost(l.mean * rnd.ExpFloat64())
			to, _ := routers[e].Pick(&wick.RouteInput{
				Pool: "p", Ref: ref(j.ref), Cost: j.cost, Random: rnd.Uint64(), RequestNumber: uint64(requests), InFlight: &inFlight[e],
			})
			j.target = to.Index
			inFlight[e].Start(to.Index, j.cost)
			runners[to.Index].queue = append(runners[to.Index].queue, j)
			requests++
		}
		loadBudget = min(loadBudget+simLoads*simStep.Seconds(), 2)
		for _, i := range byPendingLoad(runners) {
			r := runners[i]
			r.running = slices.DeleteFunc(r.running, func(j simJob) bool {
				if now < j.ends {
					return false
				}
				inFlight[j.gateway].Done(j.target, j.cost)
				return true
			})
			if r.step(now, loadBudget >= 1, func(j simJob) { waits = append(waits, float64(now-j.at)*simStep.Seconds()) }) {
				loadBudget--
				loadsStarted++
			}
			busy += len(r.running)
			if (now+i)%digestEvery == 0 {
				publishDigest(r, i, builders[:], routers[:])
			}
		}
	}
	for _, r := range runners { // Queued requests count with their wait so far.
		for _, j := range r.queue {
			waits = append(waits, float64(secs)-float64(j.at)*simStep.Seconds())
		}
	}
	steps := float64(secs) / simStep.Seconds()
	return float64(loadsStarted) / float64(requests), float64(busy) / steps / simRunners / simSlots, waits
}

// byPendingLoad orders the runners by the work that waits for loads, largest
// first, as the owner of a store's load budget does.
func byPendingLoad(runners []*simRunner) []int {
	need := make([]wick.Cost, len(runners))
	order := make([]int, len(runners))
	for i, r := range runners {
		order[i] = i
		for _, j := range r.queue {
			if !r.holds(j.ref) {
				need[i] += j.cost
			}
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(need[b], need[a]) })
	return order
}

// publishDigest sends the digest of a runner to all gateways.
func publishDigest(r *simRunner, i int, builders []*Builder, routers []wick.Router) {
	d := wick.Digest{Endpoint: name(i), Running: wick.Slots(len(r.running)), Slowdown: r.slow}
	for _, j := range r.queue {
		d.Queued += j.cost
	}
	for adapter := range r.used {
		d.Ready = append(d.Ready, ref(adapter))
	}
	for e := range builders {
		builders[e].Digest(d)
		routers[e] = builders[e].Publish()
	}
}

var (
	simSeeds = flag.Int("seeds", 1, "runs of TestPolicies")
	simSecs  = flag.Int("secs", 60, "seconds that each run of TestPolicies simulates")
)

// Requests must wait less than half as long under affinity routing as under
// either baseline, with many adapters and with a few popular ones, and also
// with two slow runners.
func TestPolicies(t *testing.T) {
	slow := []float64{1, 4, 1, 1, 1, 1, 1, 4}
	tests := []struct {
		name string
		load simLoad
	}{
		{"many adapters", simLoad{3000, 6, 6, nil}},
		{"many, two slow", simLoad{3000, 6, 6, slow}},
		{"hot adapters", simLoad{90, 1, 75, nil}},
		{"hot, two slow", simLoad{90, 1, 50, slow}},
	}
	for _, tt := range tests {
		var mean [3]float64
		for k, policy := range []wick.RoutePolicy{wick.RouteAffinity, wick.RouteLeastLoaded, wick.RouteRoundRobin} {
			var loads, busyShare float64
			var waits []float64
			for seed := range uint64(*simSeeds) {
				l, f, w := simulate(t, Config{Policy: policy}, seed, *simSecs, tt.load)
				loads += l / float64(*simSeeds)
				busyShare += f / float64(*simSeeds)
				waits = append(waits, w...)
			}
			slices.Sort(waits)
			for _, w := range waits {
				mean[k] += w / float64(len(waits))
			}
			t.Logf("%-14s %-11s %.3f loads per request, %2.0f%% of slots busy, waits mean %5.2f s, median %5.2f, 99th percentile %6.2f",
				tt.name, policy, loads, 100*busyShare, mean[k], waits[len(waits)/2], waits[len(waits)*99/100])
		}
		if 2*mean[0] >= min(mean[1], mean[2]) {
			t.Errorf("%s: mean waits %.2f, want affinity below half of each baseline", tt.name, mean)
		}
	}
}
