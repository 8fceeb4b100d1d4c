package sched

import (
	"math"
	"slices"
	"time"

	"currantwick"
	"currantwick/evict"
)

// state is the state of an adapter at the engine.
type state uint8

const (
	// absent adapters take no slot.
	absent state = iota
	// loading adapters have been ordered and are not resident yet.
	loading
	// ready adapters are resident and can serve requests.
	ready
	// unloading adapters have no pins and get none.
	unloading
	// unknown adapters may or may not be resident, because the answer to an
	// order was lost.
	unknown
)

// permit is the state of the permission to load an adapter from the store.
type permit uint8

const (
	// permitNone means that permission has not been requested.
	permitNone permit = iota
	// permitRequested means that permission has been requested.
	permitRequested
	// permitGranted means that the load may start.
	permitGranted
)

// adapter is the state of one version of one adapter at the engine.
type adapter struct {
	ref    wick.Ref
	source string
	state  state
	// since is when the current state was entered. Reports made earlier say
	// nothing about it.
	since wick.Instant
	// order is the last order; answers to earlier ones are ignored.
	order wick.Order
	// orderExpiry is the time after which no order whose answer was lost can
	// still take effect. An unknown adapter stays unknown until a report that
	// was made after orderExpiry.
	orderExpiry wick.Instant
	// pins counts the requests in flight on the adapter. It is 0 whenever
	// state is unloading.
	pins int
	// noInheritedRequests is set once it is certain that no request of an
	// earlier owner runs on the adapter.
	noInheritedRequests bool
	// queued counts the queued requests for the adapter.
	queued int
	// demand is the weighted number of queued requests for the adapter as of
	// the last step.
	demand wick.Cost

	// uses counts the requests for the adapter.
	uses evict.Counter

	// listed is set while the adapter is in Endpoint.wanted.
	listed bool
	permit permit
	// permitUpdated is when permission was last requested, granted, denied or
	// given back. sentDemand is the demand sent with the last request.
	permitUpdated wick.Instant
	sentDemand    wick.Cost
	// wantedSince is when the adapter was last added to Endpoint.wanted.
	wantedSince wick.Instant
	// prefetchUntil is the time until which the adapter is wanted even if no
	// request waits for it.
	prefetchUntil wick.Instant
	// failedLoads counts consecutive failed loads; the next attempt is not
	// made before retryAfter.
	failedLoads int
	retryAfter  wick.Instant
}

const (
	// orderTransit is added to an order's Within to cover its transit to the
	// engine.
	orderTransit = 250 * time.Millisecond
	// grantTTL is the time after which an unused permission is given back.
	grantTTL = time.Second
	// prefetchTTL is how long a prefetch stays wanted.
	prefetchTTL = 5 * time.Second
	// minRetryPause and maxRetryPause bound the pause after a failed load.
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = 8 * time.Second
	// spareAdapters is the number of records beyond the adapter slots from
	// which forget drops some.
	spareAdapters = 4096
	// forgetFrequency is the decayed number of requests (see evict.Clock) below
	// which an absent adapter is forgotten first.
	forgetFrequency = 0.5
)

// adapter returns the record of an adapter and creates it if there is none.
func (e *Endpoint) adapter(ref wick.Ref) *adapter {
	a := e.adapters[ref]
	if a == nil {
		a = &adapter{ref: ref, since: -1}
		e.adapters[ref] = a
	}
	return a
}

// setState changes the state of an adapter and the counts that depend on it.
func (e *Endpoint) setState(now wick.Instant, a *adapter, s state) {
	if a.state == unloading {
		e.unloading--
	}
	if s == unloading {
		e.unloading++
	}
	if (a.state == absent) != (s == absent) {
		if s == absent {
			e.held = slices.DeleteFunc(e.held, func(b *adapter) bool { return b == a })
		} else {
			e.held = append(e.held, a)
		}
	}
	a.state = s
	a.since = now
}

// setAbsent records that the adapter no longer takes a slot.
func (e *Endpoint) setAbsent(now wick.Instant, a *adapter) {
	e.setState(now, a, absent)
	a.permit = permitNone
}

// order issues an order for the adapter.
func (e *Endpoint) order(now wick.Instant, a *adapter, kind wick.OrderKind, out []Action) []Action {
	e.sequence++
	a.order = wick.Order{
		Kind:         kind,
		Ref:          a.ref,
		FencingToken: wick.FencingToken{View: e.view, Sequence: e.sequence},
		Within:       wick.Duration(e.cfg.OrderTTL),
	}
	if kind == wick.OrderLoad {
		a.order.Source = a.source
	}
	return append(out, Order{a.order})
}

// startLoad orders the engine to load an adapter.
func (e *Endpoint) startLoad(now wick.Instant, a *adapter, out []Action) []Action {
	e.setState(now, a, loading)
	a.permit = permitNone
	return e.order(now, a, wick.OrderLoad, out)
}

// startUnload orders the engine to unload an adapter; it has no pins.
func (e *Endpoint) startUnload(now wick.Instant, a *adapter, out []Action) []Action {
	e.setState(now, a, unloading)
	return e.order(now, a, wick.OrderUnload, out)
}

// OrderDone records the outcome of an order: nil once the engine has carried it
// out, an error with outcome NotRun if the order has no effect, Answered if the
// engine refused it, and Unknown if the answer was lost. A refusal with
// CodeNotOwner is handled like a lost answer, and so is an unload that the
// engine refused (Answered). Only the answer to an adapter's last order counts;
// others are ignored.
func (e *Endpoint) OrderDone(now wick.Instant, o wick.Order, err *wick.Error) []Action {
	a := e.adapters[o.Ref]
	if a == nil || a.order.FencingToken != o.FencingToken || a.state == absent || a.state == ready {
		return nil
	}
	var out []Action
	switch {
	case err == nil && o.Kind == wick.OrderLoad:
		e.loaded(now, a)
	case err == nil:
		e.setAbsent(now, a)
	case err.Outcome == wick.Unknown:
		e.orderLost(now, a)
	case err.Code == wick.CodeNotOwner:
		e.orderLost(now, a)
	case o.Kind == wick.OrderLoad:
		out = e.loadFailed(now, a, err, out)
	case err.Outcome == wick.NotRun:
		e.setState(now, a, ready)
	default:
		e.orderLost(now, a)
	}
	return e.step(now, out)
}

// loaded records that the engine has loaded an adapter.
func (e *Endpoint) loaded(now wick.Instant, a *adapter) {
	e.setState(now, a, ready)
	a.failedLoads = 0
	a.noInheritedRequests = true
	if a.queued > 0 {
		e.costs.loaded(now.Sub(a.wantedSince))
	}
}

// orderLost records that it is unknown whether the last order took effect.
func (e *Endpoint) orderLost(now wick.Instant, a *adapter) {
	if a.state == unknown {
		return
	}
	e.setState(now, a, unknown)
	a.orderExpiry = max(a.orderExpiry, now.Add(e.cfg.OrderTTL+orderTransit))
}

// loadFailed handles a load that was refused or failed: it frees the slot and
// delays the next attempt. After MaxFailedLoads consecutive failures it refuses
// the requests that wait for the adapter, so that they are retried on another
// endpoint. The engine may have refused because it holds more adapters than
// recorded here, so its report is read.
func (e *Endpoint) loadFailed(now wick.Instant, a *adapter, err *wick.Error, out []Action) []Action {
	e.setAbsent(now, a)
	e.reportRequestedAt = now
	out = append(out, ReadReport{})
	a.failedLoads++
	pause := min(maxRetryPause, minRetryPause<<min(a.failedLoads-1, 16))
	a.retryAfter = now.Add(pause)
	if a.failedLoads < e.cfg.MaxFailedLoads {
		return out
	}
	for _, t := range slices.Clone(e.queue) {
		if t.adapter != a {
			continue
		}
		why := wick.NotRunf(wick.CodeLoadFailed, "%s on %s: %s", a.ref, e.spec.Name, err.Text)
		why.RetryAfter = wick.Duration(pause)
		out = e.refuse(out, t, why)
	}
	return out
}

// Prefetch requests an adapter before any request waits for it.
func (e *Endpoint) Prefetch(now wick.Instant, ref wick.Ref, source string) []Action {
	if ref.IsBase() || e.unavailable() != nil || e.cfg.Kind != wick.RunnerEndpoint {
		return nil
	}
	a := e.adapter(ref)
	a.source = source
	a.prefetchUntil = now.Add(prefetchTTL)
	e.addWanted(now, a)
	return e.step(now, nil)
}

// reloadFrequency is the decayed number of requests (see evict.Clock) from
// which an adapter that the engine lost is loaded again before a request needs
// it.
const reloadFrequency = 3

// reloadTTL is how long an adapter that the engine lost stays wanted for a
// reload.
const reloadTTL = 20 * time.Second

// reloadFrequent schedules the reload of an adapter that the engine has lost,
// if it is requested often.
func (e *Endpoint) reloadFrequent(now wick.Instant, a *adapter) {
	if a.source == "" || e.unavailable() != nil || e.clock.Frequency(&a.uses) < reloadFrequency {
		return
	}
	a.prefetchUntil = now.Add(reloadTTL)
	e.addWanted(now, a)
}

// Granted records that permission for a load was granted.
func (e *Endpoint) Granted(now wick.Instant, ref wick.Ref) []Action {
	a := e.adapters[ref]
	if a == nil || !a.listed || a.permit != permitRequested {
		return []Action{CancelLoad{ref}}
	}
	a.permit = permitGranted
	a.permitUpdated = now
	return e.step(now, nil)
}

// Denied records that permission for a load was denied; it is requested again
// after DeniedRetryPause.
func (e *Endpoint) Denied(now wick.Instant, ref wick.Ref) []Action {
	if a := e.adapters[ref]; a != nil && a.permit == permitRequested {
		a.permit = permitNone
		a.permitUpdated = now
	}
	return nil
}

// forget drops records of idle, absent adapters once there are too many: first
// the rarely requested ones and, if that is not enough, all that may be
// dropped.
func (e *Endpoint) forget(now wick.Instant) {
	if len(e.adapters) < int(e.spec.AdapterSlots)+spareAdapters {
		return
	}
	e.forgetBelow(now, forgetFrequency)
	if len(e.adapters) >= int(e.spec.AdapterSlots)+spareAdapters {
		e.forgetBelow(now, math.Inf(1))
	}
}

func (e *Endpoint) forgetBelow(now wick.Instant, frequency float64) {
	for ref, a := range e.adapters {
		idle := a.state == absent && a.queued == 0 && a.pins == 0 && !a.listed
		if idle && now.Sub(a.since) > prefetchTTL && now >= a.retryAfter && e.clock.Frequency(&a.uses) < frequency {
			delete(e.adapters, ref)
		}
	}
}
