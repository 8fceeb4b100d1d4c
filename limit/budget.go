// Package limit decides how much may start: loads from a weight store whose
// limits hold for all daemons together, retries, and hedges.
//
// Nothing in it is safe for concurrent use; whoever shares a value between
// threads locks it.
package limit

import (
	"slices"

	"currantwick"
)

// Budget is the owner's side of a weight store's budget. At any time at most
// one daemon owns it, which the lease sees to.
//
// It keeps two promises, whatever messages are lost, late or doubled, and while
// ownership moves. No more than the store's Knee loads are in flight, given
// that a load ends within LoadTime of the last report of it. And no more than
// Rate x (T + TTL) + FullSpeed loads start within any time T, but for the burst
// of one load of each holder of a static share.
type Budget struct {
	config StoreConfig
	share  Share
	bucket bucket
	askers map[wick.HostName]*asker
	// unheard are the runs of daemons that may still have loads of an earlier
	// owner and have not reported since this one began.
	unheard map[wick.Incarnation]bool
	since   wick.Instant
	// view is the one in which this daemon began to own the budget; a question
	// from before it may tell of a state long past. latest is the one in which
	// it owned the budget last.
	view, latest wick.ViewNumber
	owned        bool
	// pass is the least pass of those that want something.
	pass float64
}

// asker is what the owner knows of one daemon.
type asker struct {
	incarnation wick.Incarnation
	sequence    wick.Sequence
	heard       wick.Instant
	// loading is what it last reported, and given what it was given since.
	loading, given wick.Slots
	// lost counts loads of its earlier incarnations that may be in flight
	// until lostUntil.
	lost      wick.Slots
	lostUntil wick.Instant
	// wanted is the cost of what waits; loads is how many loads that needs.
	wanted wick.Cost
	loads  wick.Slots
	// reserved counts tokens that are kept for its next question.
	reserved wick.Slots
	// pass rises with each token by the inverse of wanted: the asker with the
	// lowest pass is next, so that tokens go out in proportion to wanted.
	pass float64
}

// NewBudget returns a budget that is not owned yet.
func NewBudget(cfg StoreConfig) *Budget {
	return &Budget{config: cfg.withDefaults(), share: granted(cfg.Store)}
}

// Own tells that this daemon owns the budget in a view; while it does, it may be
// told again and again. members are all runs of daemons that may have loads in
// flight under an earlier owner, those that are gone included, see Recent. Until
// each of them has asked, or its loads must have ended, nothing is given. An
// owner whose lease lapsed goes on where it was if it has the lease again in the
// same view, in which nobody else can have owned the budget.
func (b *Budget) Own(now wick.Instant, view wick.ViewNumber, members []wick.Member) {
	goesOn := b.owned || b.askers != nil && view == b.latest
	b.owned = true
	b.latest = view
	if goesOn {
		return
	}
	b.since = now
	b.view = view
	b.bucket = bucket{at: now}
	b.askers = make(map[wick.HostName]*asker)
	b.unheard = make(map[wick.Incarnation]bool, len(members))
	for _, m := range members {
		b.unheard[m.Incarnation] = true
	}
}

// Disown ends ownership: nothing more is given.
func (b *Budget) Disown() { b.owned = false }

// Ask answers a question, and reports whether it did: a daemon that does not
// own the budget gives no answer, nor does one to a question that was overtaken
// by a later one or is older than its ownership.
func (b *Budget) Ask(now wick.Instant, g wick.Grant) (wick.Grant, bool) {
	if !b.owned || g.View < b.view {
		return wick.Grant{}, false
	}
	a, ok := b.hear(now, g)
	if !ok {
		return wick.Grant{}, false
	}
	g.Given = 0
	if b.settled(now) {
		b.expire(now)
		b.bucket.fill(now, b.share.Rate, float64(b.config.Store.FullSpeed))
		b.reserve()
		g.Given = b.give(a, g)
	}
	a.given = g.Given
	return g, true
}

// hear notes what an asker reports.
func (b *Budget) hear(now wick.Instant, g wick.Grant) (*asker, bool) {
	a := b.askers[g.From]
	if a == nil {
		a = &asker{pass: b.pass}
		b.askers[g.From] = a
	}
	if a.incarnation == g.Incarnation && g.Sequence <= a.sequence {
		return nil, false
	}
	if a.incarnation != g.Incarnation {
		a.lost += a.loading + a.given
		a.lostUntil = a.heard.Add(b.config.hold())
		a.incarnation = g.Incarnation
	}
	a.sequence = g.Sequence
	a.heard = now
	a.loading, a.given = g.Loading, 0
	if a.loads == 0 {
		a.pass = max(a.pass, b.pass)
	}
	a.wanted, a.loads = g.Wanted, g.Loads
	delete(b.unheard, g.Incarnation)
	return a, true
}

// settled reports whether all loads of earlier owners are known or over.
func (b *Budget) settled(now wick.Instant) bool {
	return len(b.unheard) == 0 || now.Sub(b.since) >= b.config.hold()
}

// expire forgets askers that were not heard for long, and gives back what was
// reserved for those that were not heard for a TTL.
func (b *Budget) expire(now wick.Instant) {
	for host, a := range b.askers {
		if now.Sub(a.heard) >= b.config.TTL {
			b.bucket.tokens += float64(a.reserved)
			a.reserved, a.loads = 0, 0
		}
		if now >= a.lostUntil {
			a.lost = 0
		}
		if now.Sub(a.heard) >= b.config.hold() && a.lost == 0 {
			delete(b.askers, host)
		}
	}
}

// inFlight is the most loads that may be in flight or reserved.
func (b *Budget) inFlight() wick.Slots {
	n := wick.Slots(0)
	for _, a := range b.askers {
		n += a.loading + a.given + a.lost + a.reserved
	}
	return n
}

// reserve hands the tokens in the bucket out to those that wait, in proportion
// to what waits there.
func (b *Budget) reserve() {
	room := b.share.Slots - b.inFlight()
	for room > 0 && b.bucket.tokens >= 1 {
		a := b.next()
		if a == nil {
			return
		}
		b.bucket.take()
		b.pass = a.pass
		a.pass += 1 / max(float64(a.wanted), leastWanted)
		a.reserved++
		room--
	}
}

// leastWanted is the least weight of an asker that wants a load.
const leastWanted = 1e-3

// next returns the asker with the lowest pass of those that need more than is
// reserved for them, nil if there is none.
func (b *Budget) next() *asker {
	hosts := make([]wick.HostName, 0, len(b.askers))
	for host, a := range b.askers {
		if a.loads > a.reserved {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return nil
	}
	slices.Sort(hosts)
	best := b.askers[hosts[0]]
	for _, host := range hosts[1:] {
		if a := b.askers[host]; a.pass < best.pass {
			best = a
		}
	}
	return best
}

// give returns how many loads an asker may start. Prefetch gets what nobody
// waits for, only as long as the store runs at full speed, and only from a full
// bucket, so that the next request that needs a load finds a token.
func (b *Budget) give(a *asker, g wick.Grant) wick.Slots {
	n := min(a.reserved, g.Loads)
	a.reserved -= n
	a.loads -= n
	if a.reserved > 0 {
		b.bucket.tokens += float64(a.reserved)
		a.reserved = 0
	}
	full := min(b.config.Store.FullSpeed, b.share.Slots)
	for k := g.Prefetch; k > 0 && b.next() == nil; k-- {
		if b.inFlight()+n >= full || b.bucket.tokens < float64(b.config.Store.FullSpeed) {
			break
		}
		b.bucket.take()
		n++
	}
	return n
}
