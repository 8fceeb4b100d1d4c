// Package limit decides how many loads from a weight store, retries and hedges
// may start. The limits of a weight store hold for all daemons together.
//
// Nothing in it is safe for concurrent use; callers that share a value between
// threads must lock it.
package limit

import (
	"slices"

	"currantwick"
)

// Budget is the owner's side of a weight store's budget. At most one daemon
// owns it at any time, which the lease ensures.
//
// Invariants, whatever messages are lost, late or duplicated, and while
// ownership moves: No more than the store's Knee loads are in flight, given
// that a load ends within LoadTime of the last report of it. And within any
// period T, no more than Rate x (T + TTL) + FullSpeed loads start, plus one for
// each daemon with a static share.
type Budget struct {
	config  StoreConfig
	share   Share
	bucket  bucket
	clients map[wick.HostName]*client
	// unreported are the incarnations of daemons that may still have loads
	// granted by an earlier owner and have not reported to this one.
	unreported map[wick.Incarnation]bool
	ownedSince wick.Instant
	// view is the view in which this daemon became the owner; a request from an
	// earlier view may describe an outdated state. lastView is the last view in
	// which it was the owner.
	view, lastView wick.ViewNumber
	owned          bool
	// pass is the pass, in stride scheduling, at which a client was last served;
	// a client that begins to wait starts no lower.
	pass float64
}

// client is the owner's state of one daemon.
type client struct {
	incarnation wick.Incarnation
	sequence    wick.Sequence
	lastReport  wick.Instant
	// loading is what it last reported; given is what the response to that
	// report granted.
	loading, given wick.Slots
	// lost counts loads of its earlier incarnations that may be in flight until
	// lostUntil.
	lost      wick.Slots
	lostUntil wick.Instant
	// wanted is the cost of the waiting work; loads is the number of loads that
	// it needs.
	wanted wick.Cost
	loads  wick.Slots
	// reserved counts tokens that are reserved for its next request.
	reserved wick.Slots
	// pass rises by the inverse of wanted with each token. The client with the
	// lowest pass is next, so that tokens are distributed in proportion to
	// wanted (stride scheduling).
	pass float64
}

// NewBudget returns a budget that is not owned yet.
func NewBudget(cfg StoreConfig) *Budget {
	return &Budget{config: cfg.withDefaults(), share: grantable(cfg.Store)}
}

// TakeOwnership records that this daemon owns the budget in a view. Calling it
// again while the daemon is the owner only records the newer view. members are
// all daemon incarnations that may have loads in flight under an earlier owner,
// including those that have left; see RecentViews. Nothing is granted until each
// of them has sent a request or its loads must have ended. An owner whose lease
// lapsed continues with its old state if it regains the lease in the same view,
// in which no other daemon can have owned the budget.
func (b *Budget) TakeOwnership(now wick.Instant, view wick.ViewNumber, members []wick.Member) {
	resumes := b.owned || b.clients != nil && view == b.lastView
	b.owned = true
	b.lastView = view
	if resumes {
		return
	}
	b.ownedSince = now
	b.view = view
	b.bucket = bucket{at: now}
	b.clients = make(map[wick.HostName]*client)
	b.unreported = make(map[wick.Incarnation]bool, len(members))
	for _, m := range members {
		b.unreported[m.Incarnation] = true
	}
}

// DropOwnership ends ownership: nothing more is granted.
func (b *Budget) DropOwnership() { b.owned = false }

// HandleRequest handles a request and reports whether there is a response.
// There is none if this daemon does not own the budget, or if the request was
// overtaken by a later one or is older than this daemon's ownership.
func (b *Budget) HandleRequest(now wick.Instant, g wick.Grant) (wick.Grant, bool) {
	if !b.owned || g.View < b.view {
		return wick.Grant{}, false
	}
	c, ok := b.observe(now, g)
	if !ok {
		return wick.Grant{}, false
	}
	g.Given = 0
	if b.settled(now) {
		b.expire(now)
		b.bucket.refill(now, b.share.Rate, float64(b.config.Store.FullSpeed))
		b.reserve()
		g.Given = b.grant(c, g)
	}
	c.given = g.Given
	return g, true
}

// observe records a daemon's report.
func (b *Budget) observe(now wick.Instant, g wick.Grant) (*client, bool) {
	c := b.clients[g.From]
	if c == nil {
		c = &client{pass: b.pass}
		b.clients[g.From] = c
	}
	if c.incarnation == g.Incarnation && g.Sequence <= c.sequence {
		return nil, false
	}
	if c.incarnation != g.Incarnation {
		c.lost += c.loading + c.given
		c.lostUntil = c.lastReport.Add(b.config.holdTime())
		c.incarnation = g.Incarnation
	}
	c.sequence = g.Sequence
	c.lastReport = now
	c.loading, c.given = g.Loading, 0
	if c.loads == 0 {
		c.pass = max(c.pass, b.pass)
	}
	c.wanted, c.loads = g.Wanted, g.Loads
	delete(b.unreported, g.Incarnation)
	return c, true
}

// settled reports whether all loads granted by earlier owners are known or have
// ended.
func (b *Budget) settled(now wick.Instant) bool {
	return len(b.unreported) == 0 || now.Sub(b.ownedSince) >= b.config.holdTime()
}

// expire deletes clients that have not reported for longer than holdTime, and
// puts the tokens reserved for those that have not reported for a TTL back into
// the bucket.
func (b *Budget) expire(now wick.Instant) {
	for host, c := range b.clients {
		if now.Sub(c.lastReport) >= b.config.TTL {
			b.bucket.tokens += float64(c.reserved)
			c.reserved, c.loads = 0, 0
		}
		if now >= c.lostUntil {
			c.lost = 0
		}
		if now.Sub(c.lastReport) >= b.config.holdTime() && c.lost == 0 {
			delete(b.clients, host)
		}
	}
}

// inFlight returns the maximum number of loads in flight or reserved.
func (b *Budget) inFlight() wick.Slots {
	n := wick.Slots(0)
	for _, c := range b.clients {
		n += c.loading + c.given + c.lost + c.reserved
	}
	return n
}

// reserve distributes the tokens in the bucket among the waiting clients, in
// proportion to the cost of their waiting work.
func (b *Budget) reserve() {
	free := b.share.Slots - b.inFlight()
	for free > 0 && b.bucket.tokens >= 1 {
		c := b.nextClient()
		if c == nil {
			return
		}
		b.bucket.take()
		b.pass = c.pass
		c.pass += 1 / max(float64(c.wanted), minWeight)
		c.reserved++
		free--
	}
}

// minWeight is the minimum weight of a client that wants a load.
const minWeight = 1e-3

// nextClient returns the client with the lowest pass of those that need more
// tokens than are reserved for them, or nil if there is none.
func (b *Budget) nextClient() *client {
	hosts := make([]wick.HostName, 0, len(b.clients))
	for host, c := range b.clients {
		if c.loads > c.reserved {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return nil
	}
	slices.Sort(hosts)
	best := b.clients[hosts[0]]
	for _, host := range hosts[1:] {
		if c := b.clients[host]; c.pass < best.pass {
			best = c
		}
	}
	return best
}

// grant returns how many loads a client may start. Prefetch gets only what no
// client is waiting for, only while fewer than FullSpeed loads are in flight, and
// only from a full bucket, which leaves FullSpeed-1 tokens for the next requests
// that need a load.
func (b *Budget) grant(c *client, g wick.Grant) wick.Slots {
	n := min(c.reserved, g.Loads)
	c.reserved -= n
	c.loads -= n
	if c.reserved > 0 {
		b.bucket.tokens += float64(c.reserved)
		c.reserved = 0
	}
	full := min(b.config.Store.FullSpeed, b.share.Slots)
	for k := g.Prefetch; k > 0 && b.nextClient() == nil; k-- {
		if b.inFlight()+n >= full || b.bucket.tokens < float64(b.config.Store.FullSpeed) {
			break
		}
		b.bucket.take()
		n++
	}
	return n
}
