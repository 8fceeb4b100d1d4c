// Package gate bounds how many requests one daemon has at a pool of plain services, and
// orders the requests that wait for room.
//
// It is made for many daemons in front of a small pool whose demand exceeds its
// capacity, for a moment or for long. Each daemon then has less than a few requests
// there, and sees those of the others 100 to 400 ms late. While the pool has room, as
// with few daemons, or with more capacity than demand, the gate admits everything at
// once.
package gate

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"currantwick"
)

const (
	// waitPart is the part of the objective that requests may wait in the queues of the
	// endpoints, which know no priorities. The rest is for their work and for the wait
	// in the daemon.
	waitPart = 0.25
	// minDepth and maxDepth bound the requests for each slot of the pool. Below the
	// first, slots would be idle where a few endpoints have more than their share;
	// endpoints have queue places for four times their slots, so that the second leaves
	// room for uneven shares.
	minDepth, maxDepth = 1.5, 2.5
	// gain is the rate, per second, at which the limit follows the distance of the pool's
	// load from its target. The load is seen 100 to 400 ms late, so that rates above 4
	// oscillate.
	gain = 1.0
	// refusalCut is the factor by which a refusal for lack of room lowers the limit, at
	// most once in the time of an answer.
	refusalCut = 0.8
	// rankFactor is how many times as many requests each priority may have at the pool as
	// the next lower one that is in use.
	rankFactor, maxRank = 4.0, 3
	// inUseFor is how long a priority counts as in use after its last request.
	inUseFor = 2 * time.Second
	// levels is the number of priorities.
	levels = 10
	// answerWeight is the weight of a new measurement of the time of an answer.
	answerWeight = 0.1
	// defaultAnswer is the assumed time of an answer before any measurement.
	defaultAnswer = 30 * time.Millisecond
	// workRise and workFall are the weights of a measurement above and below the average
	// in the estimate of the time that a request takes without waiting.
	workRise, workFall = 0.03, 0.3
	// refusedHalfLife is the half-life of the share of requests that were refused.
	refusedHalfLife = 2 * time.Second
	// retrySpread is the part of a retry time that is added at random, so that callers
	// do not return together.
	retrySpread = 0.5
	// stuckFactor is the number of usual times of an answer after which a request no
	// longer counts.
	stuckFactor = 4
	// maxDoublings bounds how often the time without requests to an endpoint doubles with
	// its refusals, and forgetAfter is how long refusals are remembered.
	maxDoublings = 3
	forgetAfter  = 2 * time.Second
	// maxPacing bounds the time between two requests of a daemon whose limit is below 1,
	// in times of an answer.
	maxPacing = 10
)

// Pool is what is known of the pool.
type Pool struct {
	// Slots is the sum over its endpoints, Others the number of requests of other
	// daemons there, and Daemons the number of daemons.
	Slots, Others, Daemons int
	// Objective is the shortest objective of the routes to the pool; 0 for none.
	Objective time.Duration
}

// State is the state of a ticket.
type State int

// States of a ticket.
const (
	Waiting State = iota
	Admitted
	Refused
)

// Ticket is a request that passes a gate.
type Ticket struct {
	Urgency wick.Urgency
	// Objective is the latest instant at which the answer is in time, Deadline the one
	// at which the caller leaves. Objective is 0 if there is none.
	Objective, Deadline wick.Instant
	// Draw is a random number from 0 to 1.
	Draw float64

	// State is set by the gate. RetryAfter is set with Refused.
	State      State
	RetryAfter time.Duration

	// until is the instant by which the answer must be there.
	until wick.Instant
	// endpoint is where the request was sent; its zero value before.
	endpoint wick.EndpointStart
	// admittedAt is when it was admitted. It is stuck once that is too long ago.
	admittedAt wick.Instant
	stuck      bool
	seq        uint64
}

func (t *Ticket) level() int { return min(max(int(t.Urgency), 0), levels-1) }

// Gate is the gate of one daemon to one pool. It is used by one goroutine at a time.
type Gate struct {
	pool Pool
	// limit is how many requests of the lowest priority in use may be at the pool. It
	// has a fraction: see paced.
	limit float64
	// at is the instant up to which limit was adjusted, and cutAt that of the last cut.
	at, cutAt wick.Instant
	// sent counts the admitted requests by priority, without stuck ones.
	sent [levels]int
	// inPool lists the admitted requests, the oldest first.
	inPool []*Ticket
	// paced are the instants from which one more request than the whole part of the
	// limit may be sent, by priority.
	paced [levels]wick.Instant
	// usedAt are the instants at which a request of each priority was last seen.
	usedAt [levels]wick.Instant
	// waiting is sorted by priority, then by the time left.
	waiting []*Ticket
	seq     uint64
	// answer is the average time of an answer, spread its mean deviation, and work the
	// time without waiting at an endpoint; 0 before any measurement.
	answer, spread, work time.Duration
	// admitted and refused count requests, decayed up to countedAt.
	admitted, refused float64
	countedAt         wick.Instant
	// endpoints are those that have requests or have refused one lately.
	endpoints map[wick.EndpointStart]endpoint
}

// endpoint is what a gate knows of an endpoint.
type endpoint struct {
	sent int
	// closedUntil is the end of the time in which nothing is sent there after refusals,
	// and refusals is how many there were in a row.
	closedUntil wick.Instant
	refusals    int
}

// New returns a gate that admits everything until the pool is known to be full.
func New() *Gate {
	return &Gate{limit: math.Inf(1), endpoints: make(map[wick.EndpointStart]endpoint)}
}

// Enter lets a request in, lets it wait, or refuses it. It returns the tickets whose
// state has changed, which may include others that wait behind it.
func (g *Gate) Enter(now wick.Instant, p Pool, t *Ticket) []*Ticket {
	g.pool = p
	g.adjust(now)
	l := t.level()
	g.usedAt[l] = now
	t.until = t.Objective
	// An objective that can't be met even without a queue bounds nothing.
	if t.until == 0 || t.until > t.Deadline || t.until.Sub(now) < g.work {
		t.until = t.Deadline
	}
	g.seq++
	t.seq, t.State = g.seq, Waiting
	i, _ := slices.BinarySearchFunc(g.waiting, t, compare)
	g.waiting = slices.Insert(g.waiting, i, t)
	list := g.settle(now)
	if t.State != Waiting {
		return list
	}
	return append(list, g.refuseLate(now, i)...)
}

// TryEnter lets a request in if there is room for it now and no other one waits, and
// reports whether it did. It has no effect on the requests that wait.
func (g *Gate) TryEnter(now wick.Instant, p Pool, t *Ticket) bool {
	g.pool = p
	g.adjust(now)
	if len(g.waiting) > 0 || !g.hasRoom(now, t.level()) {
		return false
	}
	g.admit(now, t)
	return true
}

// MaySend reports whether an admitted request may be sent to an endpoint with a number of
// slots: not while the endpoint has more than twice its part of this daemon's requests,
// and not for the time of an answer after it has refused one.
func (g *Gate) MaySend(now wick.Instant, t *Ticket, id wick.EndpointStart, slots int) bool {
	e := g.endpoints[id]
	part := g.limitOf(now, t.level()) * float64(slots) / float64(max(g.pool.Slots, 1))
	return now >= e.closedUntil && float64(e.sent) < max(2*part, 1)
}

// Sent records that an admitted request is sent to an endpoint.
func (g *Gate) Sent(t *Ticket, id wick.EndpointStart) {
	e := g.endpoints[id]
	e.sent++
	g.endpoints[id], t.endpoint = e, id
}

// Done ends an admitted request. took is the time of the answer, 0 if there was none;
// full is set if an endpoint refused it for lack of room. It returns the tickets whose
// state has changed.
func (g *Gate) Done(now wick.Instant, t *Ticket, took time.Duration, full bool) []*Ticket {
	g.left(now, t, took > 0, full)
	g.adjust(now)
	if i := slices.Index(g.inPool, t); i >= 0 {
		g.inPool = slices.Delete(g.inPool, i, i+1)
	}
	if l := t.level(); !t.stuck {
		// One that was not sent, like a hedge that is denied, has used nothing.
		if n := g.atLeast(l); t.endpoint != (wick.EndpointStart{}) && float64(n) > math.Floor(g.limitOf(now, l)) {
			g.pace(now, l)
		}
		g.sent[l]--
	}
	if took > 0 {
		g.measure(took)
	}
	if full && now.Sub(g.cutAt) > g.answerTime() {
		g.cutAt = now
		// One refusal must not hold back a daemon that has hardly a request at a time.
		g.limit = max(min(g.limit, float64(g.atLeast(0)+1))*refusalCut, min(g.limit, 1))
	}
	return g.settle(now)
}

// left ends a request at its endpoint.
func (g *Gate) left(now wick.Instant, t *Ticket, answered, full bool) {
	e, ok := g.endpoints[t.endpoint]
	if !ok {
		return // It was not sent.
	}
	e.sent--
	switch {
	case answered:
		e.refusals = 0
	case full:
		// The time grows with each refusal, for endpoints that refuse without being full.
		times := float64(int(1)<<min(e.refusals, maxDoublings)) * (1 + t.Draw)
		e.refusals++
		e.closedUntil = now.Add(time.Duration(times * float64(g.answerTime())))
	}
	g.endpoints[t.endpoint] = e
	maps.DeleteFunc(g.endpoints, func(_ wick.EndpointStart, e endpoint) bool {
		return e.sent <= 0 && e.refusals == 0 || e.sent <= 0 && now.Sub(e.closedUntil) > forgetAfter
	})
}

// Cancel removes a request that waits.
func (g *Gate) Cancel(t *Ticket) {
	if i := slices.Index(g.waiting, t); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
	}
}

// Wake returns the tickets whose state has changed with time.
func (g *Gate) Wake(now wick.Instant) []*Ticket {
	g.adjust(now)
	return g.settle(now)
}

// NextWake returns when Wake must be called; false if no request waits.
func (g *Gate) NextWake(now wick.Instant) (wick.Instant, bool) {
	if len(g.waiting) == 0 {
		return 0, false
	}
	next := g.latest(g.waiting[0])
	for _, t := range g.waiting {
		next = min(next, g.latest(t))
	}
	for _, t := range g.inPool {
		if !t.stuck {
			next = min(next, g.stuckAt(t))
			break
		}
	}
	// Another request may be sent without the end of one only by pacing.
	l := g.waiting[0].level()
	if at := g.paced[l]; at > now && float64(g.atLeast(l)) < math.Floor(g.limitOf(now, l))+1 {
		next = min(next, at)
	}
	return max(next, now.Add(time.Millisecond)), true
}

// Stats is the state of a gate for operators.
type Stats struct {
	Sent, Waiting int
	// Limit is infinite until the pool was full once.
	Limit float64
}

// Stats returns the state of the gate.
func (g *Gate) Stats() Stats {
	return Stats{Sent: g.atLeast(0), Waiting: len(g.waiting), Limit: g.limit}
}

// compare orders tickets: higher priority first, then less time left, then the older.
func compare(a, b *Ticket) int {
	return cmp.Or(cmp.Compare(b.level(), a.level()), cmp.Compare(a.until, b.until), cmp.Compare(a.seq, b.seq))
}

// settle admits what has room and refuses what is too late.
func (g *Gate) settle(now wick.Instant) []*Ticket {
	var list []*Ticket
	for len(g.waiting) > 0 {
		t := g.waiting[0]
		// The limit of a lower priority is lower, and counts more requests.
		if !g.hasRoom(now, t.level()) {
			break
		}
		g.waiting = g.waiting[1:]
		g.admit(now, t)
		list = append(list, t)
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(t *Ticket) bool {
		if now < g.latest(t) {
			return false
		}
		list = append(list, g.refuse(now, t, g.turn()))
		return true
	})
	return list
}

func (g *Gate) admit(now wick.Instant, t *Ticket) {
	t.State, t.admittedAt = Admitted, now
	g.sent[t.level()]++
	g.inPool = append(g.inPool, t)
	g.count(now, 1, 0)
}

// refuseLate refuses the waiting requests from an index on whose turn is expected to
// come too late.
func (g *Gate) refuseLate(now wick.Instant, from int) []*Ticket {
	var list []*Ticket
	for i := from; i < len(g.waiting); {
		t := g.waiting[i]
		turn := now.Add(time.Duration(float64(i+1) * float64(g.answerTime()) / max(g.limitOf(now, t.level()), g.least())))
		if late := turn.Sub(g.latest(t)); late > 0 {
			g.waiting = slices.Delete(g.waiting, i, i+1)
			list = append(list, g.refuse(now, t, late))
			continue
		}
		i++
	}
	return list
}

// refuse refuses a request that would have room after a time if no others came.
func (g *Gate) refuse(now wick.Instant, t *Ticket, after time.Duration) *Ticket {
	g.count(now, 0, 1)
	t.State = Refused
	// Others that were refused come back as well.
	t.RetryAfter = time.Duration(float64(after) * (1 + g.refused/max(g.admitted, 1)) * (1 + retrySpread*t.Draw))
	return t
}

// turn is the time in which this daemon sends one request at its limit.
func (g *Gate) turn() time.Duration {
	return time.Duration(float64(g.answerTime()) / max(min(g.limit, float64(max(g.pool.Slots, 1))), g.least()))
}

// stuckAt returns when an admitted request no longer counts: its endpoint may have
// stopped, and others have room.
func (g *Gate) stuckAt(t *Ticket) wick.Instant {
	return t.admittedAt.Add(stuckFactor * g.needed())
}

// latest returns the instant at which a request must be sent.
func (g *Gate) latest(t *Ticket) wick.Instant { return t.until.Add(-g.needed()) }

// needed is the time that an answer takes with a margin.
func (g *Gate) needed() time.Duration { return g.answerTime() + g.spread }

func (g *Gate) answerTime() time.Duration {
	if g.answer == 0 {
		return defaultAnswer
	}
	return g.answer
}

// measure adds the time of an answer.
func (g *Gate) measure(took time.Duration) {
	if g.answer == 0 {
		g.answer, g.work = took, took
	}
	diff := took - g.answer
	g.answer += time.Duration(answerWeight * float64(diff))
	g.spread += time.Duration(answerWeight * float64(max(diff, -diff)-g.spread))
	weight := workRise
	if took < g.work {
		weight = workFall
	}
	g.work += time.Duration(weight * float64(took-g.work))
}

// target is the number of requests of all daemons that the pool should have at most.
func (g *Gate) target() float64 {
	depth := maxDepth
	if g.pool.Objective > 0 && g.work > 0 {
		depth = 1 + waitPart*g.pool.Objective.Seconds()/g.work.Seconds()
		depth = min(max(depth, minDepth), maxDepth)
	}
	return depth * float64(max(g.pool.Slots, 1))
}

// least is the lowest limit: half of this daemon's part of the slots. What is known of the
// load of others may be wrong or very old.
func (g *Gate) least() float64 {
	return float64(max(g.pool.Slots, 1)) / float64(max(g.pool.Daemons, 1)) / 2
}

// adjust moves the limit towards the value at which the pool has its target load.
func (g *Gate) adjust(now wick.Instant) {
	for _, t := range g.inPool {
		if now < g.stuckAt(t) {
			break
		}
		if !t.stuck {
			t.stuck = true
			g.sent[t.level()]--
		}
	}
	elapsed := now.Sub(g.at).Seconds()
	g.at = now
	target, own := g.target(), g.atLeast(0)
	load := float64(g.pool.Others + own)
	if load > target {
		// A limit that was not in use may be far above the requests that are there. Twice
		// this daemon's part lets a short peak pass.
		g.limit = min(g.limit, max(float64(own+2), 2*target/float64(max(g.pool.Daemons, 1))))
	}
	g.limit *= math.Exp(gain * (1 - load/target) * min(elapsed, 1))
	g.limit = min(max(g.limit, g.least()), target)
}

// rank returns how many priorities below one are in use.
func (g *Gate) rank(now wick.Instant, level int) int {
	n := 0
	for l := range level {
		if g.usedAt[l] > 0 && now.Sub(g.usedAt[l]) < inUseFor || g.sent[l] > 0 {
			n++
		}
	}
	return min(n, maxRank)
}

// limitOf returns how many requests of a priority and of higher ones may be at the pool.
func (g *Gate) limitOf(now wick.Instant, level int) float64 {
	return g.limit * math.Pow(rankFactor, float64(g.rank(now, level)))
}

// atLeast counts the requests at the pool of a priority and of higher ones.
func (g *Gate) atLeast(level int) int {
	n := 0
	for _, v := range g.sent[level:] {
		n += v
	}
	return n
}

// hasRoom reports whether a request of a priority may be sent now.
func (g *Gate) hasRoom(now wick.Instant, level int) bool {
	whole, part := math.Modf(g.limitOf(now, level))
	n := float64(g.atLeast(level))
	return n < whole || n < whole+1 && part > 0 && now >= g.paced[level]
}

// pace sets when the next request above the whole part of the limit may be sent, so that
// there is one for the fraction of the time.
func (g *Gate) pace(now wick.Instant, level int) {
	_, part := math.Modf(g.limitOf(now, level))
	times := min(1/max(part, 0.01)-1, maxPacing)
	g.paced[level] = now.Add(time.Duration(times * float64(g.answerTime())))
}

// count adds to the numbers of admitted and refused requests.
func (g *Gate) count(now wick.Instant, admitted, refused float64) {
	k := math.Exp2(-now.Sub(g.countedAt).Seconds() / refusedHalfLife.Seconds())
	g.countedAt = now
	g.admitted = g.admitted*k + admitted
	g.refused = g.refused*k + refused
}
