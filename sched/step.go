package sched

import (
	"math"
	"slices"
	"time"

	"currantwick"
)

// step performs one scheduling step: it refuses expired requests, requests and
// orders loads and unloads, and dispatches requests.
func (e *Endpoint) step(now wick.Instant, out []Action) []Action {
	e.updateShortMean(now)
	defer e.countShort()
	out = e.expire(now, out)
	for _, t := range e.queue {
		if t.adapter != nil && t.adapter.state == absent {
			e.addWanted(now, t.adapter)
		}
	}
	out = e.plan(now, out)
	return e.fill(now, out)
}

// shortMeanTime is the time constant of the average number of short requests.
const shortMeanTime = 10 * time.Second

// updateShortMean updates shortMean to the time now. The number of short
// requests has not changed since the last step.
func (e *Endpoint) updateShortMean(now wick.Instant) {
	keep := math.Exp(-float64(now.Sub(e.lastStep)) / float64(shortMeanTime))
	e.shortMean = keep*e.shortMean + (1-keep)*e.shortCount
	e.lastStep = now
}

// countShort counts the short requests for the next update of shortMean.
func (e *Endpoint) countShort() {
	n := wick.Slots(len(e.inFlight)) - e.longInFlight
	for _, t := range e.queue {
		if !t.Long {
			n++
		}
	}
	e.shortCount = float64(n)
}

// expire refuses the queued requests whose time has passed.
func (e *Endpoint) expire(now wick.Instant, out []Action) []Action {
	for i := 0; i < len(e.queue); {
		t := e.queue[i]
		if now < t.Due {
			i++
			continue
		}
		out = e.refuse(out, t, e.overload(t).Err)
	}
	return out
}

// fill dispatches requests until the batch is full or the policy keeps the
// remaining slots free. While a suspect is due and no long request is in
// flight, nothing else is dispatched, so that the batch empties.
func (e *Endpoint) fill(now wick.Instant, out []Action) []Action {
	if e.freeSlots() <= 0 || e.suspectInFlight || len(e.queue) == 0 {
		return out
	}
	short := e.gatherRunnable(now)
	if s := e.suspect(now); s != nil {
		if len(e.inFlight) == 0 && e.inheritedSlots == 0 {
			return e.dispatch(now, s, out)
		}
		if e.longInFlight == 0 {
			return out
		}
	}
	for e.freeSlots() > 0 && len(e.runnable) > 0 {
		i := e.cfg.Order.Next(e.batch(now, short), e.runnable)
		if i < 0 {
			return out
		}
		t := e.runnablePending[i]
		out = e.dispatch(now, t, out)
		if !t.Long {
			short--
		}
		if t.sequential() {
			short = e.gatherRunnable(now)
			continue
		}
		e.runnable = slices.Delete(e.runnable, i, i+1)
		e.runnablePending = slices.Delete(e.runnablePending, i, i+1)
	}
	return out
}

// freeSlots returns the number of free slots of the batch.
func (e *Endpoint) freeSlots() wick.Slots {
	return e.spec.BatchSlots - wick.Slots(len(e.inFlight)) - e.inheritedSlots
}

func (e *Endpoint) batch(now wick.Instant, short wick.Slots) wick.Batch {
	return wick.Batch{
		Now:          now,
		Slots:        e.spec.BatchSlots,
		Running:      wick.Slots(len(e.inFlight)) + e.inheritedSlots,
		Long:         e.longInFlight,
		ShortWaiting: short,
		ShortMean:    e.shortMean,
	}
}

// gatherRunnable fills runnable and runnablePending with the requests that can
// be dispatched now, except suspects, and returns the number of queued short
// requests.
func (e *Endpoint) gatherRunnable(now wick.Instant) wick.Slots {
	e.runnable, e.runnablePending = e.runnable[:0], e.runnablePending[:0]
	var short wick.Slots
	sequentialSeen := false
	for _, t := range e.queue {
		if !t.Long {
			short++
		}
		sequential := t.sequential()
		if t.suspect || sequential && sequentialSeen || !t.resident() {
			continue
		}
		sequentialSeen = sequentialSeen || sequential
		t.AdapterInBatch = t.adapter != nil && t.adapter.pins > 0
		t.PrefixCached = t.warm(now)
		e.runnable = append(e.runnable, &t.QueuedRequest)
		e.runnablePending = append(e.runnablePending, t)
	}
	return short
}

// resident reports whether the adapter of t, if any, is ready at the engine.
func (t *pendingRequest) resident() bool { return t.adapter == nil || t.adapter.state == ready }

// sequential reports whether t is a call that is not idempotent; it must not
// overtake another such call.
func (t *pendingRequest) sequential() bool { return t.sub.Call != nil && t.sub.Call.NonIdempotent }

// suspectWaitShare is the share of the time to a suspect's first token until
// which runnable requests are dispatched first.
const suspectWaitShare = 0.25

// suspect returns the suspect that should run alone next, or nil.
func (e *Endpoint) suspect(now wick.Instant) *pendingRequest {
	for _, t := range e.queue {
		if !t.suspect || !t.resident() {
			continue
		}
		limit := suspectWaitShare * float64(t.Due.Sub(t.Arrived))
		if len(e.runnable) == 0 || float64(now.Sub(t.Arrived)) >= limit {
			return t
		}
	}
	return nil
}

// dispatch dispatches a request and pins its adapter.
func (e *Endpoint) dispatch(now wick.Instant, t *pendingRequest, out []Action) []Action {
	e.dequeue(t)
	t.started = now
	e.inFlight[t.Request] = t
	if t.Long {
		e.longInFlight++
	}
	if t.suspect {
		e.suspectInFlight = true
	}
	if t.adapter != nil {
		t.adapter.pins++
	}
	if t.prefix != nil {
		t.prefix.lastRun = now
	}
	e.costs.started(t.Cost)
	return append(out, Dispatch{t.sub, t.Due})
}
