package sched

import (
	"slices"

	"currantwick"
)

// Report processes the engine's report, which was requested at sent.
func (e *Endpoint) Report(now, sent wick.Instant, r wick.Report) []Action {
	if sent <= e.newestReportRequest || !e.owned {
		return nil
	}
	e.newestReportRequest = sent
	madeAt := sent.Add(-r.Age.Std())
	if e.boot != r.Boot {
		e.restarted(now, madeAt, r.Boot)
	}
	e.boundInheritedSlots(madeAt, r)
	if e.unsynced && madeAt < e.ordersExpire {
		return e.step(now, nil)
	}
	e.unsynced = false
	e.reconcile(now, madeAt, r)
	e.adopt(madeAt, r)
	return e.step(now, nil)
}

// restarted handles a restart of the engine that a report made at madeAt shows.
// Adapters that are being loaded or unloaded, and those that became ready at
// madeAt or later, may or may not be resident after the restart, so they become
// unknown; reconcile handles those that were ready before.
func (e *Endpoint) restarted(now, madeAt wick.Instant, boot string) {
	first := e.boot == ""
	e.boot = boot
	if first {
		return
	}
	for _, a := range e.held {
		if a.state != ready || a.since >= madeAt {
			e.markUnknown(now, a)
		}
	}
}

// markUnknown makes the adapter unknown until a report made after every order
// for it has expired. Answers to orders given before are ignored.
func (e *Endpoint) markUnknown(now wick.Instant, a *adapter) {
	if a.state == loading || a.state == unloading {
		a.orderExpiry = max(a.orderExpiry, now.Add(e.cfg.OrderTTL+orderTransit))
	}
	if a.state != unknown {
		e.setState(now, a, unknown)
	}
	a.order = wick.Order{}
}

// boundInheritedSlots lowers the bound on the batch slots that requests of
// earlier owners use. A report made before the takeover is not usable for this.
func (e *Endpoint) boundInheritedSlots(madeAt wick.Instant, r wick.Report) {
	if madeAt < e.takeoverAt || e.inheritedSlots == 0 {
		return
	}
	var own wick.Slots
	for _, t := range e.inFlight {
		if t.firstProgress >= 0 && t.firstProgress <= madeAt {
			own++
		}
	}
	e.inheritedSlots = min(e.inheritedSlots, max(0, r.Running+r.Waiting-own))
}

// reconcile compares the adapters that take a slot with a report.
func (e *Endpoint) reconcile(now, madeAt wick.Instant, r wick.Report) {
	for _, a := range slices.Clone(e.held) {
		i := slices.IndexFunc(r.Resident, func(x wick.Resident) bool { return x.Ref == a.ref })
		switch {
		case a.state == ready && madeAt > a.since && i < 0:
			e.setAbsent(now, a)
			e.reloadFrequent(now, a)
		case a.state == ready && madeAt > a.since:
			e.checkInheritedRequests(madeAt, a, r.Resident[i].Serving)
		case a.state == unknown && madeAt > a.orderExpiry && madeAt > a.since:
			e.resolve(now, madeAt, a, r.Resident, i)
		}
	}
}

// resolve determines the state of an unknown adapter from a report; i is its
// index in the resident adapters, or -1.
func (e *Endpoint) resolve(now, madeAt wick.Instant, a *adapter, all []wick.Resident, i int) {
	if i < 0 {
		e.setAbsent(now, a)
		return
	}
	e.setState(now, a, ready)
	a.since = madeAt
	a.failedLoads = 0
	e.checkInheritedRequests(madeAt, a, all[i].Serving)
}

// checkInheritedRequests sets noInheritedRequests if a report shows that no
// request of an earlier owner runs on the adapter.
func (e *Endpoint) checkInheritedRequests(madeAt wick.Instant, a *adapter, serving wick.Slots) {
	if a.noInheritedRequests || madeAt < e.ordersExpire {
		return
	}
	var own wick.Slots
	for _, t := range e.inFlight {
		if t.adapter == a && t.firstProgress >= 0 && t.firstProgress <= madeAt {
			own++
		}
	}
	a.noInheritedRequests = serving <= own
}

// adopt adds the adapters that are resident according to a report but absent
// here.
func (e *Endpoint) adopt(madeAt wick.Instant, r wick.Report) {
	for _, x := range r.Resident {
		if x.Ref.IsBase() {
			continue
		}
		a := e.adapter(x.Ref)
		if a.state != absent || madeAt <= a.since {
			continue
		}
		e.setState(madeAt, a, ready)
		a.noInheritedRequests = false
		e.checkInheritedRequests(madeAt, a, x.Serving)
	}
}

// EngineRestarted handles a restart of the engine, after which nothing is
// loaded. boot is empty if the restart has not been seen in a report yet.
func (e *Endpoint) EngineRestarted(now wick.Instant, boot string) []Action {
	e.boot = boot
	e.inheritedSlots = 0
	for _, a := range slices.Clone(e.held) {
		if a.state == ready {
			e.setAbsent(now, a)
			a.order = wick.Order{}
			e.reloadFrequent(now, a)
			continue
		}
		e.markUnknown(now, a)
	}
	return e.step(now, nil)
}

// Takeover makes this daemon the endpoint's owner in a view. Every resident
// adapter counts as pinned until a report that was made after all orders of
// earlier owners have expired shows it idle. If this daemon already owns the
// endpoint, only the view changes.
func (e *Endpoint) Takeover(now wick.Instant, v wick.ViewNumber) []Action {
	e.view = v
	if e.owned {
		return nil
	}
	e.owned = true
	return e.step(now, e.resetState(now))
}

// resetState forgets the engine's state and withdraws all load requests.
func (e *Endpoint) resetState(now wick.Instant) []Action {
	e.takeoverAt = now
	e.ordersExpire = now.Add(e.cfg.OrderTTL + orderTransit)
	e.newestReportRequest = now - 1
	e.reportRequestedAt = now - wick.Instant(e.cfg.ReportEvery)
	var out []Action
	for _, a := range e.wanted {
		if a.permit != permitNone {
			out = append(out, CancelLoad{a.ref})
		}
	}
	e.wanted = nil
	for _, a := range e.adapters {
		e.setState(-1, a, absent)
		a.noInheritedRequests = false
		a.permit, a.listed = permitNone, false
		a.order = wick.Order{}
	}
	if e.cfg.Kind == wick.RunnerEndpoint {
		e.unsynced = true
		e.inheritedSlots = e.spec.BatchSlots
	}
	return out
}

// Continue resumes ownership after a Release, in view v, when no other daemon
// can have owned the endpoint in between: the state of its engine is still
// valid.
func (e *Endpoint) Continue(now wick.Instant, v wick.ViewNumber) []Action {
	e.view = v
	e.owned = true
	return e.step(now, nil)
}

// Release gives up ownership. The waiting requests are refused, so that the
// daemons that received them send them to the new owner; those in flight
// continue.
func (e *Endpoint) Release(now wick.Instant) []Action {
	e.owned = false
	return e.refuseQueued(now)
}

// Drain stops taking new work. The waiting requests are refused, so that the
// daemons that received them retry them on another endpoint; those in flight
// continue.
func (e *Endpoint) Drain(now wick.Instant) []Action {
	e.draining = true
	return e.refuseQueued(now)
}

// Resume ends a Drain.
func (e *Endpoint) Resume(now wick.Instant) []Action {
	e.draining = false
	return e.step(now, nil)
}

// refuseQueued refuses all queued requests and withdraws all load requests, if
// the endpoint takes no requests now.
func (e *Endpoint) refuseQueued(now wick.Instant) []Action {
	err := e.unavailable()
	if err == nil {
		return nil
	}
	var out []Action
	for len(e.queue) > 0 {
		out = e.refuse(out, e.queue[0], err)
	}
	for _, a := range e.wanted {
		a.prefetchUntil = 0
	}
	return e.prune(now, out)
}

// Update applies a changed configuration of the endpoint. A new address means a
// different engine, whose state is unknown.
func (e *Endpoint) Update(now wick.Instant, spec wick.Endpoint) []Action {
	moved := spec.Address != e.spec.Address
	if spec.AdapterSlots != e.spec.AdapterSlots {
		e.clock.Resize(spec.AdapterSlots)
	}
	e.spec = spec
	var out []Action
	if moved {
		out = e.resetState(now)
	}
	return e.step(now, append(out, e.refuseQueued(now)...))
}
