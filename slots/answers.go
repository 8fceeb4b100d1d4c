package slots

import (
	"time"

	"currantwick"
)

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
