package share

import (
	"math"
	"time"

	"currantwick"
)

// Holder grants the allotments of the teams of one shard. Its buckets start empty, since
// it does not know what the holder before it granted.
//
// It grants only the part of the rate that belongs to the daemons that take units from it
// and from no other holder. Two holders of a shard, and the daemons without one, so stay
// within the rate together. It is not safe for concurrent use.
type Holder struct {
	cfg Config
	// members are the daemons that take units from this holder, with the time of their
	// last report.
	members map[wick.HostName]wick.Instant
	// known is the number of daemons that may use units.
	known int
	// part is the part of the rates that is granted, and credit its integral over time
	// in seconds, up to creditAt.
	part, credit float64
	creditAt     wick.Instant
	// startedAt is when the holder began, or began again after a pause.
	startedAt wick.Instant
	buckets   map[wick.TeamName]*bucket
	sweptAt   wick.Instant
}

// bucket is the token bucket of a team.
type bucket struct {
	allotment wick.Allotment
	// level is at most the burst, and negative by the reserve or by a large request.
	level float64
	// credit is that of the holder when level was computed.
	credit float64
	// fullAt is when units were last lost because the bucket was full.
	fullAt wick.Instant
	// held is what each daemon holds ahead of requests, as far as the holder knows, and
	// stock their sum.
	held  map[wick.HostName]float64
	stock float64
}

// sweepInterval is how often buckets that are full are dropped. A full bucket is the
// same as none, as it would have filled since the start of the holder.
const sweepInterval = 10 * time.Second

// NewHolder returns a holder without members.
func NewHolder(now wick.Instant, cfg Config) *Holder {
	h := &Holder{cfg: cfg}
	h.reset(now)
	return h
}

func (h *Holder) reset(now wick.Instant) {
	h.members, h.buckets = make(map[wick.HostName]wick.Instant), make(map[wick.TeamName]*bucket)
	h.part, h.credit, h.creditAt, h.sweptAt, h.startedAt = 0, 0, now, now, now
}

// Tick drops members that are silent. It must be called several times per second.
func (h *Holder) Tick(now wick.Instant, known int) {
	h.advance(now)
	h.known = known
	for host, at := range h.members {
		if now.Sub(at) > memberTimeout {
			h.remove(host)
		}
	}
	h.setPart(now)
	if now.Sub(h.sweptAt) >= sweepInterval {
		h.sweptAt = now
		h.sweep(now)
	}
}

// Join records that a daemon takes units from this holder and from no other one.
func (h *Holder) Join(now wick.Instant, host wick.HostName) {
	h.advance(now)
	h.members[host] = now
	h.setPart(now)
}

// Leave records that a daemon no longer takes units from this holder.
func (h *Holder) Leave(now wick.Instant, host wick.HostName) {
	h.advance(now)
	h.remove(host)
	h.setPart(now)
}

// Part returns the part of the rates that is granted.
func (h *Holder) Part() float64 { return h.part }

func (h *Holder) remove(host wick.HostName) {
	if _, ok := h.members[host]; !ok {
		return
	}
	delete(h.members, host)
	for _, b := range h.buckets {
		b.setHeld(host, 0)
	}
}

// advance adds up the credit until now.
func (h *Holder) advance(now wick.Instant) {
	if now.Sub(h.creditAt) > pauseThreshold {
		h.reset(now)
		return
	}
	h.credit += h.part * max(now.Sub(h.creditAt), 0).Seconds()
	h.creditAt = max(now, h.creditAt)
}

// setPart updates the part of the rates after a change of the members. A few missing
// daemons change nothing: of two holders, only one can have nearly all daemons.
func (h *Holder) setPart(now wick.Instant) {
	n, known := len(h.members), max(h.known, len(h.members), 1)
	part := float64(n) / float64(known)
	if known-n <= int(missingOvershoot*h.cfg.Overshoot*float64(known)) {
		part = 1
	}
	if part < h.part {
		// Full buckets get smaller.
		for _, b := range h.buckets {
			h.settle(now, b, part)
		}
	}
	h.part = part
}

// settle brings the level of a bucket up to date. Its capacity is the given part of the
// burst.
func (h *Holder) settle(now wick.Instant, b *bucket, part float64) {
	b.level += float64(b.allotment.Rate) * (h.credit - b.credit)
	b.credit = h.credit
	if capacity := b.allotment.Burst * part; b.level >= capacity {
		b.level, b.fullAt = capacity, now
	}
}

// sweep drops full buckets without stock.
func (h *Holder) sweep(now wick.Instant) {
	for team, b := range h.buckets {
		h.settle(now, b, h.part)
		if b.level >= b.allotment.Burst*h.part && h.part == 1 && len(b.held) == 0 {
			delete(h.buckets, team)
		}
	}
}

// bucketOf returns the bucket of a team, up to date.
func (h *Holder) bucketOf(now wick.Instant, team wick.TeamName, a wick.Allotment) *bucket {
	b := h.buckets[team]
	if b == nil || b.allotment.Unit != a.Unit {
		// A level in another unit means nothing: a debt of tokens would take a rate of
		// requests hours to pay.
		b = &bucket{allotment: a, held: make(map[wick.HostName]float64)}
		h.buckets[team] = b
	}
	h.settle(now, b, h.part)
	if b.allotment != a {
		b.allotment = a
		h.settle(now, b, h.part)
	}
	return b
}

// setHeld records what a daemon holds ahead of requests.
func (b *bucket) setHeld(host wick.HostName, units float64) {
	b.stock += units - b.held[host]
	b.held[host] = units
	if units == 0 {
		delete(b.held, host)
	}
	if len(b.held) == 0 {
		b.stock = 0 // Rounding errors do not add up.
	}
}

// Answer answers what a member asks about a team whose allotment is a.
func (h *Holder) Answer(now wick.Instant, host wick.HostName, ask wick.AllotmentAsk, a wick.Allotment) wick.AllotmentGrant {
	h.advance(now)
	g := wick.AllotmentGrant{Team: ask.Team}
	if a.Rate == 0 {
		for _, units := range ask.Needs {
			g.Units += units
		}
		return g
	}
	b := h.bucketOf(now, ask.Team, a)
	b.giveBack(now, ask, a.Burst*h.part)
	capacity, reserve, large := a.Burst*h.part, h.reserve(now, a), largeSlack*h.cfg.slack(a)
	// missing is what the bucket lacks since it started empty. It does not show that the
	// team is over its limit.
	missing := max(capacity-float64(a.Rate)*h.credit, 0)
	for _, units := range ask.Needs {
		if units < 0 {
			continue // A malformed ask must not add to the bucket.
		}
		if !fits(float64(units), b.level, capacity, reserve, large) {
			g.Over = g.Over || !fits(float64(units), b.level+missing, capacity, reserve, large)
			continue
		}
		b.level -= float64(units)
		g.Units += units
	}
	b.setHeld(host, max(float64(ask.Held), 0))
	ahead := h.ahead(b, ask.Want, capacity)
	b.level -= ahead
	b.setHeld(host, b.held[host]+ahead)
	g.Units += wick.Units(ahead)
	if g.Over {
		g.Room, g.Rate = b.level+reserve, wick.PerSecond(float64(a.Rate)*h.part)
	}
	return g
}

// reserve returns how far a bucket may go below zero now. It grows during the first
// window, so that holders that follow each other quickly do not add up theirs.
func (h *Holder) reserve(now wick.Instant, a wick.Allotment) float64 {
	age := now.Sub(h.startedAt).Seconds() / max(h.cfg.Window.Seconds(), 1)
	return h.cfg.reserve(a) * h.part * min(age, 1)
}

// giveBack applies returned units. Units that were granted before the bucket was last full
// are lost: had they not been granted, the bucket would have been full earlier.
func (b *bucket) giveBack(now wick.Instant, ask wick.AllotmentAsk, capacity float64) {
	if ask.Returned <= 0 || now.Add(-ask.Age.Std()) <= b.fullAt {
		return
	}
	b.level = min(b.level+float64(ask.Returned), capacity)
}

// ahead returns how many units to grant ahead of requests. A bucket that is less than half
// full grants none, so that nothing is held back near the limit.
func (h *Holder) ahead(b *bucket, want wick.Units, capacity float64) float64 {
	most := stockBurst*capacity + stockSlack*h.cfg.slack(b.allotment)*h.part
	return math.Floor(max(0, min(float64(want), b.level-capacity/2, most-b.stock)))
}
