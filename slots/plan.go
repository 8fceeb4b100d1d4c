package slots

import (
	"time"

	"currantwick"
)

// Step is what the ledger asks its caller to do.
type Step uint8

// The steps of a ledger.
const (
	// StepNone means that there is nothing to do now.
	StepNone Step = iota
	// StepOrder means that the returned order is to be sent.
	StepOrder
	// StepInspect means that the endpoint's report is to be requested.
	StepInspect
)

// Next returns the next step, and the order for StepOrder. models is set
// if a base model may be loaded now.
func (l *Ledger) Next(now wick.Instant, models bool) (Step, wick.RunnerOrder) {
	if l.busy || now < l.nextStep {
		return StepNone, wick.RunnerOrder{}
	}
	if !l.synced || l.nextCheck > 0 && now >= l.nextCheck {
		l.busy = true
		return StepInspect, wick.RunnerOrder{}
	}
	l.expire(now)
	o, ok := l.order(now, models)
	if !ok {
		return StepNone, wick.RunnerOrder{}
	}
	o.Expected = l.orders
	l.busy = true
	return StepOrder, o
}

// order returns the order that should be sent now.
func (l *Ledger) order(now wick.Instant, models bool) (wick.RunnerOrder, bool) {
	w, v := l.nextLoad(now)
	if v == nil && len(l.models) == 0 && len(l.engine.Models) > 0 {
		w, v = wick.Weights{Model: l.engine.Models[0].Name}, &pendingAdapter{}
	}
	if v == nil {
		return wick.RunnerOrder{}, false
	}
	o, may := wick.RunnerOrder{Kind: wick.OrderLoad, Weights: w, Revision: v.revision}, true
	if !l.models[w.Model] {
		o, may = wick.RunnerOrder{Kind: wick.OrderLoad, Weights: w.Base()}, models
	}
	if l.fitsBeside(o.Weights, l.taken()) {
		return o, may
	}
	victim, ok := l.victim(now, o.Weights)
	return wick.RunnerOrder{Kind: wick.OrderUnload, Weights: victim}, may && ok
}

// expire treats loads as finished when their estimated time has passed, lowers
// the estimate, and drops adapters that are no longer requested.
func (l *Ledger) expire(now wick.Instant) {
	for _, p := range l.placements {
		if p.incoming && now >= p.Ready {
			p.incoming, p.replaced = false, false
			if p.cached {
				l.cached = max(time.Duration(float64(l.cached)*loadTimeDecay), minLoadTime)
			} else {
				l.storeLoad = max(time.Duration(float64(l.storeLoad)*loadTimeDecay), minLoadTime)
			}
		}
	}
	for w, v := range l.requested {
		if now.Sub(v.lastRequested) > requestTTL {
			delete(l.requested, w)
		}
	}
}

// nextLoad returns the adapter that was requested most, of those that the endpoint
// can hold, if one more may be loaded.
func (l *Ledger) nextLoad(now wick.Instant) (wick.Weights, *pendingAdapter) {
	incoming := 0
	for _, p := range l.placements {
		if p.incoming {
			incoming++
		}
	}
	if incoming >= maxIncoming || incoming >= maxIncomingSlow && l.storeSlowdown > slowStoreThreshold {
		return wick.Weights{}, nil
	}
	var best wick.Weights
	var found *pendingAdapter
	for w, v := range l.requested {
		if now < v.notBefore || !l.canHold(w) {
			continue
		}
		if p := l.placements[w]; p != nil && (p.incoming || p.unloading || p.outdatedInUse(v)) {
			continue
		}
		if found == nil || v.precedes(found) || !found.precedes(v) && w.String() < best.String() {
			best, found = w, v
		}
	}
	return best, found
}

// outdatedInUse reports whether requests use an older version than the one that
// is requested. An endpoint takes no orders while a replacement waits for these
// requests to end.
func (p *Placement) outdatedInUse(v *pendingAdapter) bool {
	return p.InUse > 0 && !p.unsure && p.Revision < v.revision
}

// precedes reports whether v is loaded before u.
func (v *pendingAdapter) precedes(u *pendingAdapter) bool {
	if v.count != u.count {
		return v.count > u.count
	}
	return v.since < u.since
}

// victim returns the least recently used evictable adapter, if all evictable ones
// together make room for w.
func (l *Ledger) victim(now wick.Instant, w wick.Weights) (wick.Weights, bool) {
	if !l.fitsBeside(w, l.leastTaken(now)) {
		return wick.Weights{}, false
	}
	var best wick.Weights
	var found *Placement
	for w, p := range l.placements {
		if !p.evictable(now) {
			continue
		}
		if found == nil || p.LastUsed < found.LastUsed || p.LastUsed == found.LastUsed && w.String() < best.String() {
			best, found = w, p
		}
	}
	return best, found != nil
}

// evictable reports whether the adapter may be unloaded.
func (p *Placement) evictable(now wick.Instant) bool {
	return p.InUse == 0 && !p.incoming && !p.unloading && now.Sub(max(p.LastUsed, p.Ready)) >= minIdle
}
