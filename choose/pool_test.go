package choose_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"currantwick"
	"currantwick/choose"
	"currantwick/gate"
	"currantwick/limit"
	"currantwick/tally"
)

// poolCase is one load on a pool of plain services.
type poolCase struct {
	daemons, endpoints int
	// load is the arrival rate relative to the capacity of the endpoints.
	load float64
	// leastWork and mostWork bound the time that a request takes at a sound endpoint.
	leastWork, mostWork time.Duration
	objective           time.Duration
	// slow is the number of endpoints that take 2.5 times as long; refuses is set if
	// one endpoint refuses half of its requests.
	slow    int
	refuses bool
	// mostRefused is the part of the arrivals that endpoints may refuse, leastHigh and
	// leastLow those of the requests that must be served within the objective, by
	// priority.
	mostRefused, leastHigh, leastLow float64
}

func (c poolCase) String() string {
	kind := "sound"
	if c.slow > 0 {
		kind = fmt.Sprintf("%d slow", c.slow)
	}
	if c.refuses {
		kind = "one refuses"
	}
	return fmt.Sprintf("%d daemons, %d endpoints, load %.1f, %s", c.daemons, c.endpoints, c.load, kind)
}

// served counts what callers of one priority got.
type served struct {
	inTime, late, refusedByEndpoint, refusedByDaemon int
}

func (s served) total() int { return s.inTime + s.late + s.refusedByEndpoint + s.refusedByDaemon }

func (s *served) add(o served) {
	s.inTime += o.inTime
	s.late += o.late
	s.refusedByEndpoint += o.refusedByEndpoint
	s.refusedByDaemon += o.refusedByDaemon
}

// share returns a part of the requests.
func (s served) share(n int) float64 { return float64(n) / float64(max(s.total(), 1)) }

func (s served) String() string {
	return fmt.Sprintf("in time %.3f late %.3f refused by endpoint %.3f by daemon %.3f",
		s.share(s.inTime), s.share(s.late), s.share(s.refusedByEndpoint), s.share(s.refusedByDaemon))
}

// poolResult is the result of a simulation.
type poolResult struct {
	// low and high are the two priorities.
	low, high served
	// arrivals counts what endpoints were sent, refused what they refused, and
	// misplaced what they refused for being full while another had a free slot.
	arrivals, refused, misplaced int
	// returned counts callers that came back when the daemon had told them to, and
	// returnedServed those that were served then. Some callers come back, once.
	returned, returnedServed int
}

const (
	simSlots, simPlaces = 6, 30
	simLength           = 4 * time.Second
	// snapshotEvery is how often the load of the pool is recorded; views show records
	// that are from minAge to maxAge old.
	snapshotEvery  = 20 * time.Millisecond
	viewEvery      = 100 * time.Millisecond
	minAge, maxAge = 100 * time.Millisecond, 300 * time.Millisecond
	highShare      = 0.3
	simDeadline    = time.Second
	returnShare    = 0.1
)

// simEvent is something that happens at an instant.
type simEvent struct {
	at  wick.Instant
	seq int
	do  func()
}

type simEvents []simEvent

func (l simEvents) Len() int { return len(l) }

func (l simEvents) Less(a, b int) bool {
	return l[a].at < l[b].at || l[a].at == l[b].at && l[a].seq < l[b].seq
}

func (l simEvents) Swap(a, b int) { l[a], l[b] = l[b], l[a] }

func (l *simEvents) Push(x any) { *l = append(*l, x.(simEvent)) }

func (l *simEvents) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

// simEndpoint is an endpoint that runs requests in its slots, queues them in order of
// arrival, and refuses them when it is full.
type simEndpoint struct {
	running int
	queue   []func()
	slow    float64
	refuses float64
	stats   tally.OutcomeStats
}

func (e *simEndpoint) load() int { return e.running + len(e.queue) }

// simDaemon is a daemon with its requests at each endpoint and its outdated view of
// those of the others.
type simDaemon struct {
	meters []*tally.Meter
	others []wick.EndpointLoad
	budget *limit.SharedRetries
	domain wick.Domain
	gate   *gate.Gate
	// waiting are the requests of the tickets that wait at the gate, and wakeAt is when
	// it is woken next.
	waiting map[*gate.Ticket]*simRequest
	wakeAt  wick.Instant
}

// simRequest is a request of a caller.
type simRequest struct {
	start wick.Instant
	high  bool
	// returned is set if the daemon refused the request before.
	returned bool
	avoid    map[int]bool
	ticket   *gate.Ticket
}

// simSnapshot is the load of the pool at an instant: by all daemons, and by each.
type simSnapshot struct {
	total []wick.EndpointLoad
	own   [][]int
}

// poolSim simulates daemons that send requests to one pool.
type poolSim struct {
	poolCase
	rand      *rand.Rand
	now       wick.Instant
	events    simEvents
	seq       int
	backends  []*simEndpoint
	clients   []*simDaemon
	snapshots []simSnapshot
	result    poolResult
}

func (s *poolSim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, do})
}

func (s *poolSim) draw(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rand.Float64()*float64(to-from))
}

// simSeeds is the number of seeds that each case is played with.
const simSeeds = 4

// simulate plays a case with each seed and adds up the results.
func simulate(t *testing.T, c poolCase) poolResult {
	t.Helper()
	var sum poolResult
	for seed := range uint64(simSeeds) {
		r := simulateOnce(t, c, seed+1)
		sum.high.add(r.high)
		sum.low.add(r.low)
		sum.arrivals += r.arrivals
		sum.refused += r.refused
		sum.misplaced += r.misplaced
		sum.returned += r.returned
		sum.returnedServed += r.returnedServed
	}
	return sum
}

func simulateOnce(t *testing.T, c poolCase, seed uint64) poolResult {
	t.Helper()
	s := &poolSim{poolCase: c, rand: rand.New(rand.NewPCG(seed, 2)), now: wick.Instant(time.Second)}
	capacity := 0.0
	for i := range c.endpoints {
		e := &simEndpoint{slow: 1}
		if i < c.slow {
			e.slow = 2.5
		}
		if c.refuses && i == c.endpoints-1 {
			e.refuses = 0.5
		}
		s.backends = append(s.backends, e)
		capacity += simSlots / (c.leastWork + c.mostWork).Seconds() * 2 / e.slow * (1 - e.refuses)
	}
	for i := range c.daemons {
		b, err := limit.NewSharedRetries(0.2, 186)
		if err != nil {
			t.Fatal(err)
		}
		d := &simDaemon{budget: b, others: make([]wick.EndpointLoad, c.endpoints), domain: domainOf(i), gate: gate.New(), waiting: make(map[*gate.Ticket]*simRequest)}
		for range c.endpoints {
			d.meters = append(d.meters, tally.NewMeter())
		}
		s.clients = append(s.clients, d)
		s.after(s.draw(0, viewEvery), func() { s.refreshView(i) })
	}
	s.snapshot()
	s.arrive(capacity * c.load)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return s.result
}

func startOf(i int) wick.EndpointStart {
	return wick.EndpointStart{Endpoint: wick.EndpointName(rune('a' + i))}
}

func domainOf(i int) wick.Domain { return wick.Domain(rune('a' + i%3)) }

func (s *poolSim) ended() bool { return s.now.Sub(0) > time.Second+simLength }

// arrive lets a request arrive at a random daemon, and then the next one.
func (s *poolSim) arrive(rate float64) {
	if s.ended() {
		return
	}
	r := &simRequest{start: s.now, high: s.rand.Float64() < highShare, avoid: make(map[int]bool)}
	d := s.clients[s.rand.IntN(len(s.clients))]
	d.budget.Earn(s.daemons)
	s.enter(d, r)
	s.after(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), func() { s.arrive(rate) })
}

func (s *poolSim) snapshot() {
	n := simSnapshot{}
	for i, e := range s.backends {
		sum := wick.EndpointLoad{}
		for _, d := range s.clients {
			sum.Running += d.meters[i].Read(s.now).Running
			e.stats.Add(s.now, d.meters[i].TakeOutcomes())
		}
		sum.Lag, sum.FailedShare = e.stats.Read(s.now)
		n.total = append(n.total, sum)
	}
	for _, d := range s.clients {
		own := make([]int, s.endpoints)
		for i, m := range d.meters {
			own[i] = m.Read(s.now).Running
		}
		n.own = append(n.own, own)
	}
	s.snapshots = append(s.snapshots, n)
	if !s.ended() {
		s.after(snapshotEvery, s.snapshot)
	}
}

// refreshView gives a daemon an outdated snapshot.
func (s *poolSim) refreshView(daemon int) {
	age := int(s.draw(minAge, maxAge) / snapshotEvery)
	n := s.snapshots[max(len(s.snapshots)-age, 0)]
	for i, load := range n.total {
		load.Running -= n.own[daemon][i]
		s.clients[daemon].others[i] = load
	}
	if !s.ended() {
		s.after(viewEvery, func() { s.refreshView(daemon) })
	}
}

// enter brings a request to the gate of its daemon.
func (s *poolSim) enter(d *simDaemon, r *simRequest) {
	p := gate.Pool{Slots: s.endpoints * simSlots, Daemons: s.daemons, Objective: s.objective}
	for _, o := range d.others {
		p.Others += o.Running
	}
	r.ticket = &gate.Ticket{Urgency: 3, Objective: r.start.Add(s.objective), Deadline: r.start.Add(simDeadline), Draw: s.rand.Float64()}
	if r.high {
		r.ticket.Urgency = 5
	}
	d.waiting[r.ticket] = r
	s.settle(d, d.gate.Enter(s.now, p, r.ticket))
}

// settle carries out what a gate decided and wakes it again in time.
func (s *poolSim) settle(d *simDaemon, decided []*gate.Ticket) {
	for _, t := range decided {
		r := d.waiting[t]
		delete(d.waiting, t)
		if t.State == gate.Admitted {
			s.send(d, r)
			continue
		}
		s.of(r).refusedByDaemon++
		if !r.returned && s.rand.Float64() < returnShare {
			// Package direct bounds the time by what callers honour.
			after := min(t.RetryAfter, time.Duration(0.3*float64(t.Deadline.Sub(s.now))))
			s.after(max(after, 100*time.Millisecond), func() {
				if s.ended() {
					return
				}
				s.result.returned++
				s.enter(d, &simRequest{start: s.now, high: r.high, returned: true, avoid: make(map[int]bool)})
			})
		}
	}
	at, ok := d.gate.NextWake(s.now)
	if !ok || d.wakeAt > s.now && d.wakeAt <= at {
		return
	}
	d.wakeAt = at
	s.after(at.Sub(s.now), func() {
		if d.wakeAt == s.now {
			s.settle(d, d.gate.Wake(s.now))
		}
	})
}

// send picks an endpoint and sends a request there, as package direct does.
func (s *poolSim) send(d *simDaemon, r *simRequest) {
	list := make([]choose.Candidate, s.endpoints)
	for i, m := range d.meters {
		own, others := m.Read(s.now), d.others[i]
		list[i] = choose.Candidate{
			Domain: domainOf(i), Slots: simSlots, Running: own.Running + others.Running,
			Lag: max(own.Lag, others.Lag.Std()), FailedShare: max(own.FailedShare, others.FailedShare), Work: own.Work, Avoid: r.avoid[i],
		}
	}
	open := slices.Clone(list)
	for i := range open {
		open[i].Avoid = open[i].Avoid || !d.gate.MaySend(s.now, r.ticket, startOf(i), simSlots)
	}
	in := choose.Input{Domain: d.domain, Daemons: s.daemons, Random: s.rand.Uint64()}
	i := choose.PickService(in, open)
	if i < 0 {
		i = choose.PickService(in, list)
	}
	if i < 0 {
		s.of(r).refusedByEndpoint++
		s.settle(d, d.gate.Done(s.now, r.ticket, 0, false))
		return
	}
	s.attempt(d, r, i)
}

func (s *poolSim) of(r *simRequest) *served {
	if r.returned {
		return new(served)
	}
	if r.high {
		return &s.result.high
	}
	return &s.result.low
}

// attempt is the arrival of a request at an endpoint.
func (s *poolSim) attempt(d *simDaemon, r *simRequest, i int) {
	e := s.backends[i]
	d.gate.Sent(r.ticket, startOf(i))
	s.result.arrivals++
	full := e.load() >= simPlaces
	if full || s.rand.Float64() < e.refuses {
		s.result.refused++
		for _, o := range s.backends {
			if full && o.load() < simSlots {
				s.result.misplaced++
				break
			}
		}
		r.avoid[i] = true
		if choose.RefusalIsFailure(simSlots, d.others[i].Running+d.meters[i].Read(s.now).Running) {
			d.meters[i].Observe(s.now, 0, true)
		}
		decided := d.gate.Done(s.now, r.ticket, 0, full)
		if d.budget.Spend(s.daemons) {
			s.enter(d, r)
		} else {
			s.of(r).refusedByEndpoint++
		}
		s.settle(d, decided)
		return
	}
	sent := s.now
	d.meters[i].Start(wick.Weights{}, 0)
	run := func() {
		s.after(time.Duration(float64(s.draw(s.leastWork, s.mostWork))*e.slow), func() {
			d.meters[i].Observe(s.now, s.now.Sub(sent), false)
			d.meters[i].ObserveWork(s.now, s.now.Sub(sent))
			d.meters[i].Done(wick.Weights{})
			s.finish(e)
			s.settle(d, d.gate.Done(s.now, r.ticket, s.now.Sub(sent), false))
			if s.now.Sub(r.start) <= s.objective {
				s.of(r).inTime++
				if r.returned {
					s.result.returnedServed++
				}
			} else {
				s.of(r).late++
			}
		})
	}
	if e.running < simSlots {
		e.running++
		run()
		return
	}
	e.queue = append(e.queue, run)
}

// finish frees a slot of an endpoint.
func (s *poolSim) finish(e *simEndpoint) {
	if len(e.queue) == 0 {
		e.running--
		return
	}
	next := e.queue[0]
	e.queue = e.queue[1:]
	next()
}

// smallPools are the loads that TestSmallPools plays.
func smallPools() []poolCase {
	usual := poolCase{daemons: 58, endpoints: 7, leastWork: 15 * time.Millisecond, mostWork: 60 * time.Millisecond, objective: 200 * time.Millisecond}
	var list []poolCase
	// At a load of 2.5 the requests of high priority alone take 0.75 of the capacity. Most
	// refusals by endpoints are those of the first half second.
	for _, row := range []struct{ load, mostRefused, leastHigh, leastLow float64 }{
		{0.5, 0.01, 0.99, 0.99}, {0.9, 0.01, 0.95, 0.95}, {1.2, 0.04, 0.95, 0.5}, {2.5, 0.12, 0.75, 0.08},
	} {
		sound := usual
		sound.load, sound.mostRefused, sound.leastHigh, sound.leastLow = row.load, row.mostRefused, row.leastHigh, row.leastLow
		slow, refuses := sound, sound
		slow.slow, refuses.refuses = 2, true
		// The others take the load of the endpoint that refuses, which brings them close
		// to their capacity.
		refuses.mostRefused = max(refuses.mostRefused, 0.02)
		list = append(list, sound, slow, refuses)
	}
	few := usual
	few.daemons, few.endpoints, few.load = 7, 3, 0.5
	few.mostRefused, few.leastHigh, few.leastLow = 0, 0.99, 0.99
	// Daemons that measure an endpoint often, and daemons that hardly do, chose alike.
	often, seldom := usual, usual
	often.daemons, often.endpoints, often.load = 7, 30, 0.9
	often.mostRefused, often.leastHigh, often.leastLow = 0.001, 0.99, 0.99
	seldom.daemons, seldom.load = 300, 0.9
	seldom.mostRefused, seldom.leastHigh, seldom.leastLow = 0.005, 0.98, 0.98
	tight := usual
	tight.daemons, tight.endpoints, tight.load, tight.leastWork, tight.mostWork, tight.objective = 60, 3, 0.9, 15*time.Millisecond, 15*time.Millisecond, 120*time.Millisecond
	tight.mostRefused, tight.leastHigh, tight.leastLow = 0.01, 0.99, 0.99
	return append(list, few, often, seldom, tight)
}

// Many daemons that see each other's load late sent their requests to the same
// endpoint of a small pool, which refused them while others had room.
func TestSmallPools(t *testing.T) {
	for _, c := range smallPools() {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			r := simulate(t, c)
			if n := float64(r.refused) / float64(r.arrivals); n > c.mostRefused {
				t.Errorf("%.3f of the arrivals were refused, want at most %.3f", n, c.mostRefused)
			}
			high, low := r.high.share(r.high.inTime), r.low.share(r.low.inTime)
			if high < c.leastHigh || low < c.leastLow {
				t.Errorf("of high priority %.3f were served in time, of low %.3f, want at least %.3f and %.3f", high, low, c.leastHigh, c.leastLow)
			}
			// With room for all, the difference is chance.
			if c.load > 1 && low > high {
				t.Errorf("of high priority %.3f were served in time, fewer than the %.3f of low", high, low)
			}
			t.Logf("%v: %d arrivals, refused %.3f, misplaced %.3f; %d of %d served that came back; high %v; low %v", c, r.arrivals,
				float64(r.refused)/float64(r.arrivals), float64(r.misplaced)/float64(r.arrivals), r.returnedServed, r.returned, r.high, r.low)
		})
	}
}
