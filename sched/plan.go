package sched

import (
	"cmp"
	"math"
	"slices"

	"currantwick"
)

// addWanted adds an absent adapter to the list of those to be loaded.
func (e *Endpoint) addWanted(now wick.Instant, a *adapter) {
	if a.listed || a.state != absent {
		return
	}
	a.listed = true
	a.permit = permitNone
	a.wantedSince = now
	e.wanted = append(e.wanted, a)
}

// plan requests permission for loads, starts those that were granted, and
// unloads adapters to free slots for them.
func (e *Endpoint) plan(now wick.Instant, out []Action) []Action {
	out = e.prune(now, out)
	if !e.owned || e.unsynced || e.cfg.Kind != wick.RunnerEndpoint {
		return out
	}
	e.updateDemand(now)
	slices.SortStableFunc(e.wanted, func(a, b *adapter) int { return cmp.Compare(b.demand, a.demand) })
	out = e.startLoads(now, out)
	out = e.requestLoads(now, out)
	return e.shrink(now, out)
}

// updateDemand recomputes the demand of the wanted adapters as of now.
func (e *Endpoint) updateDemand(now wick.Instant) {
	if len(e.wanted) == 0 {
		return
	}
	for _, a := range e.wanted {
		a.demand = 0
	}
	for _, t := range e.queue {
		if a := t.adapter; a != nil && a.listed {
			a.demand += wick.Cost(math.Exp2(float64(t.Level)) * (1 + t.elapsedShare(now)))
		}
	}
}

// elapsedShare returns the share of a request's time to the first token that
// has elapsed, at most 1.
func (t *pendingRequest) elapsedShare(now wick.Instant) float64 {
	return min(1, float64(now.Sub(t.Arrived))/float64(max(1, t.Due.Sub(t.Arrived))))
}

// prune removes from the list the adapters that are no longer wanted.
func (e *Endpoint) prune(now wick.Instant, out []Action) []Action {
	kept := e.wanted[:0]
	for _, a := range e.wanted {
		if a.state == absent && (a.queued > 0 || now < a.prefetchUntil) && e.owned {
			if a.permit == permitGranted && now.Sub(a.permitUpdated) >= grantTTL {
				out = append(out, CancelLoad{a.ref})
				a.permit, a.permitUpdated = permitNone, now
			}
			kept = append(kept, a)
			continue
		}
		if a.permit != permitNone && a.state == absent {
			out = append(out, CancelLoad{a.ref})
		}
		a.listed = false
		a.permit = permitNone
	}
	clear(e.wanted[len(kept):])
	e.wanted = kept
	return out
}

// startLoads orders the granted loads for which a slot is free. For each other
// granted load it unloads an adapter, unless an unload in progress will free a
// slot for it.
func (e *Endpoint) startLoads(now wick.Instant, out []Action) []Action {
	free := int(e.spec.AdapterSlots) - len(e.held)
	pending := e.unloading
	for _, a := range e.wanted {
		if a.permit != permitGranted {
			continue
		}
		switch {
		case free > 0:
			free--
			out = e.startLoad(now, a, out)
		case pending > 0:
			pending--
		default:
			if v := e.victim(now, e.usage(now, a)); v != nil {
				out = e.startUnload(now, v, out)
			}
		}
	}
	return out
}

// requestLoads requests permission for as many loads as could start.
func (e *Endpoint) requestLoads(now wick.Instant, out []Action) []Action {
	available := int(e.spec.AdapterSlots) - len(e.held) + e.unloading
	idle := -1
	for _, a := range e.wanted {
		if a.state != absent || now < a.retryAfter {
			continue
		}
		if a.permit != permitNone {
			available--
			out = e.resendLoad(now, a, out)
			continue
		}
		if a.permitUpdated > a.wantedSince && now.Sub(a.permitUpdated) < e.cfg.DeniedRetryPause {
			continue
		}
		if available <= 0 {
			if idle < 0 {
				idle = e.gatherIdle(now)
			}
			if available+idle <= 0 || e.victim(now, e.usage(now, a)) == nil {
				continue
			}
		}
		available--
		a.permit = permitRequested
		out = e.requestLoad(now, a, out)
	}
	return out
}

// resendFactor is the factor by which demand must have grown since it was last
// sent for the request to be sent again.
const resendFactor = 1.25

// resendLoad sends a load request again if its demand has grown.
func (e *Endpoint) resendLoad(now wick.Instant, a *adapter, out []Action) []Action {
	if a.permit != permitRequested || a.demand < resendFactor*a.sentDemand || now.Sub(a.permitUpdated) < e.cfg.DeniedRetryPause {
		return out
	}
	return e.requestLoad(now, a, out)
}

func (e *Endpoint) requestLoad(now wick.Instant, a *adapter, out []Action) []Action {
	a.permitUpdated = now
	a.sentDemand = a.demand
	return append(out, RequestLoad{a.ref, a.source, a.demand})
}

// shrink unloads adapters beyond the number of slots, after the number was
// lowered or the engine turned out to hold more than recorded.
func (e *Endpoint) shrink(now wick.Instant, out []Action) []Action {
	over := len(e.held) - e.unloading - int(e.spec.AdapterSlots)
	for ; over > 0; over-- {
		// With its deadline used up, the evictor chooses regardless of
		// frequency.
		v := e.victim(now, wick.AdapterUsage{DeadlineUsed: 1})
		if v == nil {
			return out
		}
		out = e.startUnload(now, v, out)
	}
	return out
}

// evictable reports whether the adapter may be unloaded.
func (a *adapter) evictable() bool {
	return a.state == ready && a.pins == 0 && a.queued == 0 && a.noInheritedRequests
}

// gatherIdle fills idle with the evictable adapters and returns their number.
func (e *Endpoint) gatherIdle(now wick.Instant) int {
	e.idle = e.idle[:0]
	for _, a := range e.held {
		if a.evictable() {
			e.idle = append(e.idle, wick.AdapterUsage{Ref: a.ref, Frequency: e.clock.Frequency(&a.uses), LastUsed: a.uses.Last()})
		}
	}
	return len(e.idle)
}

// victim returns the adapter to unload for wanted, or nil.
func (e *Endpoint) victim(now wick.Instant, wanted wick.AdapterUsage) *adapter {
	if e.gatherIdle(now) == 0 {
		return nil
	}
	i := e.cfg.Evict.Victim(now, wanted, e.idle)
	if i < 0 {
		return nil
	}
	return e.adapters[e.idle[i].Ref]
}

// usage describes a wanted adapter to the evictor.
func (e *Endpoint) usage(now wick.Instant, a *adapter) wick.AdapterUsage {
	u := wick.AdapterUsage{Ref: a.ref, Frequency: e.clock.Frequency(&a.uses), LastUsed: a.uses.Last()}
	for _, t := range e.queue {
		if t.adapter == a {
			u.DeadlineUsed = max(u.DeadlineUsed, t.elapsedShare(now))
		}
	}
	return u
}
