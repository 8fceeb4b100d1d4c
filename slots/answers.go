package slots

import (
	"time"

	"currantwick"
)

// OrderDone processes the answer to the order that Next returned.
func (l *Ledger) OrderDone(now wick.Instant, o wick.RunnerOrder, r wick.OrderResult) {
	l.busy = false
	switch r {
	case wick.OrderStarted, wick.OrderNoChange:
		l.orders = o.Expected
		if r == wick.OrderStarted || o.Kind == wick.OrderUnload {
			// A load of an adapter that is already loaded is not counted.
			l.orders++
		}
		l.dropUnsure()
		l.orderAccepted(now, o, r)
	case wick.OrderConflict:
		// A lost or delayed order has been carried out, or the endpoint is busy.
		// A report shows which.
		l.synced, l.minOrders = false, 0
		l.nextStep = now.Add(reportLag)
	case wick.OrderLost:
		l.orderLost(now, o)
	default:
		l.nextStep = now.Add(retryPause)
		if v := l.requested[o.Weights]; v != nil {
			v.notBefore = now.Add(retryPause)
		}
	}
}

// dropUnsure drops the adapters whose load orders were lost. Those orders can't
// be carried out any more once another order was accepted.
func (l *Ledger) dropUnsure() {
	for w, p := range l.placements {
		if p.unsure {
			delete(l.placements, w)
		}
	}
}

func (l *Ledger) orderAccepted(now wick.Instant, o wick.RunnerOrder, r wick.OrderResult) {
	if o.Kind == wick.OrderUnload {
		if r == wick.OrderNoChange {
			delete(l.placements, o.Weights)
			l.recent.Add(now, o.Weights, l.engine.AdapterSlots)
			return
		}
		if p := l.placements[o.Weights]; p != nil {
			p.unloading, p.ordersAtUnload = true, l.orders
		}
		// Only the endpoint knows when the requests on the adapter have
		// ended.
		l.nextCheck = now.Add(reportLag)
		return
	}
	delete(l.requested, o.Weights)
	if o.Weights.Adapter == "" {
		// Only the endpoint knows when the model is loaded.
		l.synced, l.minOrders = false, l.orders
		l.nextStep = now.Add(reportLag)
		return
	}
	l.occupy(now, o)
	if r == wick.OrderNoChange {
		l.placements[o.Weights].Ready = now
	}
}

// occupy assigns a slot to an adapter that is being loaded.
func (l *Ledger) occupy(now wick.Instant, o wick.RunnerOrder) {
	cached := l.recent.Has(o.Weights)
	takes := time.Duration(float64(l.storeLoad) * l.storeSlowdown)
	if cached {
		takes = l.cached
	}
	p := &Placement{Revision: o.Revision, LastUsed: now, Ready: now.Add(takes), incoming: true, cached: cached}
	if old := l.placements[o.Weights]; old != nil {
		p.InUse, p.replaced = old.InUse, true
	}
	l.placements[o.Weights] = p
	l.recent.Add(now, o.Weights, l.engine.AdapterSlots)
}

// orderLost keeps a slot for an adapter that may be loaded, and requests the
// load again, which settles the outcome of the lost order. After a lost unload,
// or load of a base model, it requests a report instead.
func (l *Ledger) orderLost(now wick.Instant, o wick.RunnerOrder) {
	l.nextStep = now
	if o.Kind == wick.OrderUnload || o.Weights.Adapter == "" {
		l.synced, l.minOrders = false, o.Expected
		return
	}
	if _, loaded := l.placements[o.Weights]; !loaded {
		l.occupy(now, o)
		p := l.placements[o.Weights]
		p.Ready, p.incoming, p.unsure = now.Add(maxLoadTime), false, true
	}
	// lastRequested is in the future, so that the request outlasts the load
	// that may be in progress.
	l.requested[o.Weights] = &pendingAdapter{revision: o.Revision, count: 1, since: now, lastRequested: now.Add(maxLoadTime)}
}

// ReportDone processes the result of a report request; a failed one is
// repeated. While the endpoint's state is known, the report only shows which
// unloads have ended.
func (l *Ledger) ReportDone(now wick.Instant, r wick.RunnerReport, err error) {
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
	old := l.placements
	l.placements = make(map[wick.Weights]*Placement, len(r.Loaded)+len(r.Incoming))
	for _, v := range r.Loaded {
		l.placements[v.Weights] = &Placement{Revision: v.Revision, Ready: now, LastUsed: now}
	}
	for _, v := range r.Incoming {
		p := &Placement{Revision: v.Revision, Ready: now.Add(l.storeLoad), LastUsed: now, incoming: true}
		_, p.replaced = l.placements[v.Weights]
		l.placements[v.Weights] = p
	}
	l.nextCheck = 0
	for w, p := range l.placements {
		if was := old[w]; was != nil {
			p.LastUsed, p.InUse, p.unloading, p.ordersAtUnload = was.LastUsed, was.InUse, was.unloading, was.ordersAtUnload
		}
		if p.unloading {
			l.nextCheck = now.Add(reportLag)
		}
		l.recent.Add(now, w, l.engine.AdapterSlots)
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
	loaded := make(map[wick.Weights]bool, len(r.Loaded))
	for _, v := range r.Loaded {
		loaded[v.Weights] = true
	}
	for w, p := range l.placements {
		switch {
		case !p.unloading:
		case err == nil && r.Orders >= p.ordersAtUnload && !loaded[w]:
			delete(l.placements, w)
		default:
			l.nextCheck = now.Add(reportLag)
		}
	}
}
