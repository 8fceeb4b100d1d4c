package slots

import (
	"time"

	"currantwick"
)

// Ordered processes the answer to the order that Next returned.
func (l *Ledger) Ordered(now wick.Instant, o wick.RunnerOrder, r wick.OrderResult) {
	l.busy = false
	switch r {
	case wick.OrderStarted, wick.OrderHeld:
		l.orders = o.Expected
		if r == wick.OrderStarted || o.Kind == wick.OrderUnload {
			// A load of an adapter that is already held is not counted.
			l.orders++
		}
		l.dropUnsure()
		l.orderAccepted(now, o, r)
	case wick.OrderConflict:
		// Either a lost order has been carried out, or a delayed one.
		l.synced, l.minOrders = false, 0
		l.nextStep = now.Add(reportLag)
	case wick.OrderLost:
		l.orderLost(now, o)
	default:
		l.nextStep = now.Add(retryPause)
		if v := l.wants[o.Weights]; v != nil {
			v.notBefore = now.Add(retryPause)
		}
	}
}

// dropUnsure drops the adapters whose load orders were lost. Those orders can't
// be carried out any more once another order was accepted.
func (l *Ledger) dropUnsure() {
	for w, p := range l.places {
		if p.unsure {
			delete(l.places, w)
		}
	}
}

func (l *Ledger) orderAccepted(now wick.Instant, o wick.RunnerOrder, r wick.OrderResult) {
	if o.Kind == wick.OrderUnload {
		if r == wick.OrderHeld {
			delete(l.places, o.Weights)
			l.recent.Add(now, o.Weights, l.capacity)
			return
		}
		if p := l.places[o.Weights]; p != nil {
			p.unloading, p.unloadOrders = true, l.orders
		}
		// Only the endpoint knows when the requests on the adapter have
		// ended.
		l.nextCheck = now.Add(reportLag)
		return
	}
	delete(l.wants, o.Weights)
	if o.Weights.Adapter == "" {
		// Only the endpoint knows when the model is loaded.
		l.synced, l.minOrders = false, l.orders
		l.nextStep = now.Add(reportLag)
		return
	}
	l.occupy(now, o)
	if r == wick.OrderHeld {
		l.places[o.Weights].Ready = now
	}
}

// occupy assigns a slot to an adapter that is being loaded.
func (l *Ledger) occupy(now wick.Instant, o wick.RunnerOrder) {
	cached := l.recent.Has(o.Weights)
	takes := time.Duration(float64(l.storeLoad) * l.storeSlowdown)
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

// orderLost keeps a slot for an adapter that may be loaded, and requests the
// load again, which settles the outcome of the lost order.
func (l *Ledger) orderLost(now wick.Instant, o wick.RunnerOrder) {
	l.nextStep = now
	if o.Kind == wick.OrderUnload || o.Weights.Adapter == "" {
		l.synced, l.minOrders = false, o.Expected
		return
	}
	if _, held := l.places[o.Weights]; !held {
		l.occupy(now, o)
		p := l.places[o.Weights]
		p.Ready, p.incoming, p.unsure = now.Add(maxLoadTime), false, true
	}
	l.wants[o.Weights] = &want{revision: o.Revision, count: 1, since: now, lastAsked: now.Add(maxLoadTime)}
}

// Inspected processes a report of the endpoint. A failed request for one is
// repeated.
func (l *Ledger) Inspected(now wick.Instant, r wick.RunnerReport, err error) {
	l.busy = false
	switch {
	case l.synced:
		l.removeUnloaded(now, r, err)
		return
	case err != nil || r.Orders < l.minOrders:
		l.nextStep = now.Add(reportLag)
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
		p := &Place{Revision: v.Revision, Ready: now.Add(l.storeLoad), Used: now, incoming: true}
		_, p.replaced = l.places[v.Weights]
		l.places[v.Weights] = p
	}
	l.nextCheck = 0
	for w, p := range l.places {
		if was := old[w]; was != nil {
			p.Used, p.InUse, p.unloading, p.unloadOrders = was.Used, was.InUse, was.unloading, was.unloadOrders
		}
		if p.unloading {
			l.nextCheck = now.Add(reportLag)
		}
		l.recent.Add(now, w, l.capacity)
	}
	l.orders, l.synced = r.Orders, !r.Busy
	l.nextStep = now
	if r.Busy {
		l.minOrders, l.nextStep = r.Orders, now.Add(reportLag)
	}
}

// removeUnloaded frees the slots of adapters that a report no longer lists,
// provided that it was made after they were ordered to be unloaded. Other
// orders continue meanwhile.
func (l *Ledger) removeUnloaded(now wick.Instant, r wick.RunnerReport, err error) {
	l.nextCheck = 0
	held := make(map[wick.Weights]bool, len(r.Loaded))
	for _, v := range r.Loaded {
		held[v.Weights] = true
	}
	for w, p := range l.places {
		switch {
		case !p.unloading:
		case err == nil && r.Orders >= p.unloadOrders && !held[w]:
			delete(l.places, w)
		default:
			l.nextCheck = now.Add(reportLag)
		}
	}
}
