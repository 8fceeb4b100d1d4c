// Package slots decides which adapters an endpoint holds, as the one holder of
// its orders. Reports of endpoints lag, so the ledger counts from its own
// orders: what may be there, is on its way or may still be carried out takes a
// slot.
//
// Every order names the number of orders that the endpoint accepted before it.
// An order without an answer is therefore settled by the next one: if that is
// accepted, the lost one was not carried out and never will be; if it conflicts,
// the endpoint is asked what it holds.
package slots

import (
	"time"

	"currantwick"
)

const (
	// maxIncoming is how many adapters an endpoint loads at once, and
	// crowdedIncoming how many while the weight store is slow: it serves no more
	// then, and those that come later may be wanted more.
	maxIncoming     = 4
	crowdedIncoming = 2
	// crowdedFrom is from when the weight store counts as slow.
	crowdedFrom = 1.3
	// defaultFresh and defaultCached are the times of a load from the weight
	// store and from a copy at the endpoint, as the platform's sheets state
	// them, with the way there and back. Both are adjusted by what happens.
	defaultFresh  = 265 * time.Millisecond
	defaultCached = 35 * time.Millisecond
	// leastTime and mostTime bound what is learned about a load.
	leastTime = 20 * time.Millisecond
	mostTime  = 3 * time.Second
	// growTime is by how much a load takes longer than thought when the
	// endpoint still refuses a request, and shrink by how much a time that
	// sufficed is lowered.
	growTime = 25 * time.Millisecond
	shrink   = 0.995
	// restTime is how long an adapter must be idle, and ready, before it may be
	// unloaded: the age of the newest figures of all daemons, and the way of a
	// request.
	restTime = 200 * time.Millisecond
	// retryTime is the pause after an order that was refused or lost, and
	// reportLag the age that reports of endpoints may have.
	retryTime = 150 * time.Millisecond
	reportLag = 300 * time.Millisecond
	// wantFor is how long a wish for an adapter counts after it was last made;
	// longer than the interval at which waiting requests repeat it.
	wantFor = 700 * time.Millisecond
)

// Place is an adapter in a slot.
type Place struct {
	Revision wick.Revision
	// Ready is when the adapter can serve, as far as is known.
	Ready wick.Instant
	// Used is when a request last used the adapter; InUse counts those now.
	Used  wick.Instant
	InUse int
	// incoming tells that the load may not have ended; leaving that the adapter
	// was ordered out while it was in use.
	incoming, leaving bool
	// left is the number of orders that the endpoint has accepted once it was
	// ordered out.
	left wick.OrderCount
	// replaced tells that the load replaces an older version, which keeps its
	// slot until then.
	replaced bool
	cached   bool
	// unsure tells that the order to load was lost.
	unsure bool
}

// want is an adapter that requests wait for.
type want struct {
	revision wick.Revision
	// count is how often the adapter was asked for; each waiting request does
	// so again after a while.
	count int
	since wick.Instant
	last  wick.Instant
	// after is when the next order for it may be made.
	after wick.Instant
}

// Step is what the ledger asks for.
type Step uint8

// The steps of a ledger.
const (
	// StepNone means that there is nothing to do now.
	StepNone Step = iota
	// StepOrder means that the order returned is to be given.
	StepOrder
	// StepInspect means that the endpoint is to be asked for its report.
	StepInspect
)

// Ledger is the state of one endpoint at the holder of its orders. It is not
// safe for concurrent use.
type Ledger struct {
	capacity wick.Slots
	// base is the model that an empty endpoint loads, and models those that it
	// holds.
	base   wick.ModelName
	models map[wick.ModelName]bool
	places map[wick.Weights]*Place
	wants  map[wick.Weights]*want
	recent *Recent
	// orders is the number of orders that the endpoint accepted.
	orders wick.OrderCount
	// synced tells that orders and places are known. least is the lowest number
	// of orders that a report must show to be new enough.
	synced bool
	least  wick.OrderCount
	// busy tells that an order or a question is under way.
	busy bool
	// check is when to ask for the adapters that are leaving; 0 if none is.
	check wick.Instant
	// next is the earliest time for the next step.
	next          wick.Instant
	fresh, cached time.Duration
	// crowd is by how much loads from the weight store take longer now.
	crowd float64
}

// New returns the ledger of an endpoint that holds at most capacity adapters
// and, if nothing else is wanted, the model base. recent is what it held last.
func New(capacity wick.Slots, base wick.ModelName, recent *Recent) *Ledger {
	return &Ledger{
		capacity: capacity,
		base:     base,
		models:   make(map[wick.ModelName]bool),
		places:   make(map[wick.Weights]*Place),
		wants:    make(map[wick.Weights]*want),
		recent:   recent,
		fresh:    defaultFresh,
		cached:   defaultCached,
		crowd:    1,
	}
}

// Usable tells that requests may count on the adapter: neither was it ordered
// out while it was in use, nor was the order to load it lost.
func (p Place) Usable() bool { return !p.leaving && !p.unsure }

// Places calls yield for each model and each adapter that has a slot.
func (l *Ledger) Places(yield func(wick.Weights, Place) bool) {
	for m := range l.models {
		if !yield(wick.Weights{Model: m}, Place{}) {
			return
		}
	}
	for w, p := range l.places {
		if !yield(w, *p) {
			return
		}
	}
}

// SetCapacity changes how many adapters the endpoint holds.
func (l *Ledger) SetCapacity(n wick.Slots) { l.capacity = n }

// SetCrowd tells how many adapters are on their way to all endpoints, and from
// how many on each takes longer in proportion.
func (l *Ledger) SetCrowd(incoming, knee int) {
	l.crowd = max(1, float64(incoming+1)/float64(max(knee, 1)))
}

// Want notes that requests wait for an adapter, at least at a version.
func (l *Ledger) Want(now wick.Instant, w wick.Weights, r wick.Revision) {
	if w.Adapter == "" && l.models[w.Model] {
		return
	}
	if p := l.places[w]; p != nil && p.Revision >= r && !p.leaving {
		p.Used = now
		return
	}
	v := l.wants[w]
	if v == nil {
		v = &want{since: now}
		l.wants[w] = v
	}
	v.count++
	v.revision, v.last = max(v.revision, r), now
}

// Use notes how many requests use an adapter now.
func (l *Ledger) Use(now wick.Instant, w wick.Weights, n int) {
	p := l.places[w]
	if p == nil {
		return
	}
	if n > 0 || p.InUse > 0 {
		p.Used = now
	}
	p.InUse = n
}

// Early notes that the endpoint refused a request since the load of its adapter
// had not ended.
func (l *Ledger) Early(now wick.Instant, w wick.Weights) {
	p := l.places[w]
	if p == nil {
		return
	}
	p.Ready = now.Add(growTime)
	if p.cached {
		l.cached = min(l.cached+growTime, mostTime)
	} else {
		l.fresh = min(l.fresh+growTime, mostTime)
	}
}

// Doubt notes that the endpoint does not hold an adapter that it should.
func (l *Ledger) Doubt(now wick.Instant, w wick.Weights) {
	if p := l.places[w]; w.Adapter != "" && (p == nil || p.incoming) {
		return
	}
	l.synced, l.least = false, l.orders
	l.next = max(l.next, now)
}

// Next returns the next step, and the order for StepOrder. models tells that a
// base model may be loaded now.
func (l *Ledger) Next(now wick.Instant, models bool) (Step, wick.RunnerOrder) {
	if l.busy || now < l.next {
		return StepNone, wick.RunnerOrder{}
	}
	if !l.synced || l.check > 0 && now >= l.check {
		l.busy = true
		return StepInspect, wick.RunnerOrder{}
	}
	l.settle(now)
	o, ok := l.order(now, models)
	if !ok {
		return StepNone, wick.RunnerOrder{}
	}
	o.Expected = l.orders
	l.busy = true
	return StepOrder, o
}

// order returns the order that should be given now.
func (l *Ledger) order(now wick.Instant, models bool) (wick.RunnerOrder, bool) {
	w, v := l.choose(now)
	if v == nil && len(l.models) == 0 && l.base != "" {
		w, v = wick.Weights{Model: l.base}, &want{}
	}
	switch {
	case v == nil:
		return wick.RunnerOrder{}, false
	case !l.models[w.Model]:
		return wick.RunnerOrder{Kind: wick.OrderLoad, Weights: w.Base()}, models
	case l.taken() < l.capacity:
		return wick.RunnerOrder{Kind: wick.OrderLoad, Weights: w, Revision: v.revision}, true
	}
	victim, ok := l.victim(now)
	return wick.RunnerOrder{Kind: wick.OrderUnload, Weights: victim}, ok
}

// settle ends loads whose time is over and forgets wants that nobody repeats.
func (l *Ledger) settle(now wick.Instant) {
	for _, p := range l.places {
		if p.incoming && now >= p.Ready {
			p.incoming, p.replaced = false, false
			if p.cached {
				l.cached = max(time.Duration(float64(l.cached)*shrink), leastTime)
			} else {
				l.fresh = max(time.Duration(float64(l.fresh)*shrink), leastTime)
			}
		}
	}
	for w, v := range l.wants {
		if now.Sub(v.last) > wantFor {
			delete(l.wants, w)
		}
	}
}

// taken counts slots; the old version of a replaced adapter has one too.
func (l *Ledger) taken() wick.Slots {
	n := len(l.places)
	for _, p := range l.places {
		if p.replaced {
			n++
		}
	}
	return wick.Slots(n)
}

// choose returns the adapter that was asked for most, if one more may be loaded.
func (l *Ledger) choose(now wick.Instant) (wick.Weights, *want) {
	incoming := 0
	for _, p := range l.places {
		if p.incoming {
			incoming++
		}
	}
	if incoming >= maxIncoming || incoming >= crowdedIncoming && l.crowd > crowdedFrom {
		return wick.Weights{}, nil
	}
	var best wick.Weights
	var found *want
	for w, v := range l.wants {
		if now < v.after {
			continue
		}
		if p := l.places[w]; p != nil && (p.incoming || p.leaving) {
			continue
		}
		if found == nil || v.before(found) || !found.before(v) && w.String() < best.String() {
			best, found = w, v
		}
	}
	return best, found
}

// before tells that v is loaded before u.
func (v *want) before(u *want) bool {
	if v.count != u.count {
		return v.count > u.count
	}
	return v.since < u.since
}

// victim returns the idle adapter that was used longest ago.
func (l *Ledger) victim(now wick.Instant) (wick.Weights, bool) {
	var best wick.Weights
	var found *Place
	for w, p := range l.places {
		if !p.idle(now) {
			continue
		}
		if found == nil || p.Used < found.Used || p.Used == found.Used && w.String() < best.String() {
			best, found = w, p
		}
	}
	return best, found != nil
}

// idle tells that the adapter may be unloaded.
func (p *Place) idle(now wick.Instant) bool {
	return p.InUse == 0 && !p.incoming && !p.leaving && now.Sub(max(p.Used, p.Ready)) >= restTime
}

// Free counts the adapters that could be loaded now, without those that are
// waited for.
func (l *Ledger) Free(now wick.Instant) int {
	free := int(l.capacity-l.taken()) - len(l.wants)
	for _, p := range l.places {
		if p.idle(now) {
			free++
		}
	}
	return free
}

// Wants counts the adapters that are waited for.
func (l *Ledger) Wants() int { return len(l.wants) }

// Census counts the slots of an endpoint by what they are used for, and the
// adapters that are waited for.
type Census struct {
	Slots, InUse, Incoming, Leaving, Unsure, Replaced, Wants int
	// Oldest is how long the first of the adapters is waited for.
	Oldest time.Duration
	// Synced tells that the endpoint's state is known, Busy that an order is
	// under way.
	Synced, Busy bool
}

// Census returns the census.
func (l *Ledger) Census(now wick.Instant) Census {
	c := Census{Slots: int(l.capacity), Wants: len(l.wants), Synced: l.synced, Busy: l.busy}
	for _, p := range l.places {
		c.count(p)
	}
	for _, v := range l.wants {
		c.Oldest = max(c.Oldest, now.Sub(v.since))
	}
	return c
}

func (c *Census) count(p *Place) {
	if p.InUse > 0 {
		c.InUse++
	}
	if p.incoming {
		c.Incoming++
	}
	if p.leaving {
		c.Leaving++
	}
	if p.unsure {
		c.Unsure++
	}
	if p.replaced {
		c.Replaced++
	}
}

// Ordered takes the answer to the order that Next returned.
func (l *Ledger) Ordered(now wick.Instant, o wick.RunnerOrder, r wick.OrderResult) {
	l.busy = false
	switch r {
	case wick.OrderStarted, wick.OrderHeld:
		l.orders = o.Expected
		if r == wick.OrderStarted || o.Kind == wick.OrderUnload {
			// A load of what is already held is not counted.
			l.orders++
		}
		l.forgetUnsure()
		l.accepted(now, o, r)
	case wick.OrderConflict:
		// Either an order that was lost has been carried out, or a late one.
		l.synced, l.least = false, 0
		l.next = now.Add(reportLag)
	case wick.OrderLost:
		l.lost(now, o)
	default:
		l.next = now.Add(retryTime)
		if v := l.wants[o.Weights]; v != nil {
			v.after = now.Add(retryTime)
		}
	}
}

// forgetUnsure drops the adapters of lost orders, which can't be carried out
// any more once another order was accepted.
func (l *Ledger) forgetUnsure() {
	for w, p := range l.places {
		if p.unsure {
			delete(l.places, w)
		}
	}
}

func (l *Ledger) accepted(now wick.Instant, o wick.RunnerOrder, r wick.OrderResult) {
	if o.Kind == wick.OrderUnload {
		if r == wick.OrderHeld {
			delete(l.places, o.Weights)
			l.recent.Add(now, o.Weights, l.capacity)
			return
		}
		if p := l.places[o.Weights]; p != nil {
			p.leaving, p.left = true, l.orders
		}
		// When its requests have ended only the endpoint knows.
		l.check = now.Add(reportLag)
		return
	}
	delete(l.wants, o.Weights)
	if o.Weights.Adapter == "" {
		// Only the endpoint knows when the model is loaded.
		l.synced, l.least = false, l.orders
		l.next = now.Add(reportLag)
		return
	}
	l.place(now, o)
	if r == wick.OrderHeld {
		l.places[o.Weights].Ready = now
	}
}

// place gives an adapter that is being loaded a slot.
func (l *Ledger) place(now wick.Instant, o wick.RunnerOrder) {
	cached := l.recent.Has(o.Weights)
	takes := time.Duration(float64(l.fresh) * l.crowd)
	if cached {
		takes = l.cached
	}
	p := &Place{Revision: o.Revision, Used: now, Ready: now.Add(takes), incoming: true, cached: cached}
	if old := l.places[o.Weights]; old != nil {
		p.InUse, p.replaced = old.InUse, true
	}
	l.places[o.Weights] = p
	l.recent.Add(now, o.Weights, l.capacity)
}

// lost keeps a slot for an adapter that may be loaded, and repeats the order,
// which settles what became of it.
func (l *Ledger) lost(now wick.Instant, o wick.RunnerOrder) {
	l.next = now
	if o.Kind == wick.OrderUnload || o.Weights.Adapter == "" {
		l.synced, l.least = false, o.Expected
		return
	}
	if _, held := l.places[o.Weights]; !held {
		l.place(now, o)
		p := l.places[o.Weights]
		p.Ready, p.incoming, p.unsure = now.Add(mostTime), false, true
	}
	l.wants[o.Weights] = &want{revision: o.Revision, count: 1, since: now, last: now.Add(mostTime)}
}

// Inspected takes a report of the endpoint. A failed one is asked for again.
func (l *Ledger) Inspected(now wick.Instant, r wick.RunnerReport, err error) {
	l.busy = false
	switch {
	case l.synced:
		l.checked(now, r, err)
		return
	case err != nil || r.Orders < l.least:
		l.next = now.Add(reportLag)
		return
	}
	clear(l.models)
	for _, m := range r.Models {
		l.models[m] = true
	}
	old := l.places
	l.places = make(map[wick.Weights]*Place, len(r.Loaded)+len(r.Incoming))
	for _, v := range r.Loaded {
		l.places[v.Weights] = &Place{Revision: v.Revision, Ready: now, Used: now}
	}
	for _, v := range r.Incoming {
		p := &Place{Revision: v.Revision, Ready: now.Add(l.fresh), Used: now, incoming: true}
		_, p.replaced = l.places[v.Weights]
		l.places[v.Weights] = p
	}
	l.check = 0
	for w, p := range l.places {
		if was := old[w]; was != nil {
			p.Used, p.InUse, p.leaving, p.left = was.Used, was.InUse, was.leaving, was.left
		}
		if p.leaving {
			l.check = now.Add(reportLag)
		}
		l.recent.Add(now, w, l.capacity)
	}
	l.orders, l.synced = r.Orders, !r.Busy
	l.next = now
	if r.Busy {
		l.least, l.next = r.Orders, now.Add(reportLag)
	}
}

// checked frees the slots of adapters that a report no longer lists though they
// were ordered out before it was made. Other orders go on meanwhile.
func (l *Ledger) checked(now wick.Instant, r wick.RunnerReport, err error) {
	l.check = 0
	held := make(map[wick.Weights]bool, len(r.Loaded))
	for _, v := range r.Loaded {
		held[v.Weights] = true
	}
	for w, p := range l.places {
		switch {
		case !p.leaving:
		case err == nil && r.Orders >= p.left && !held[w]:
			delete(l.places, w)
		default:
			l.check = now.Add(reportLag)
		}
	}
}
