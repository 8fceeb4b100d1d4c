package sched

import (
	"slices"

	"currantwick"
)

// Report processes the engine's report, which was requested at sent.
func (e *Endpoint) Report(now, sent wick.Instant, r wick.Report) []Action {
	if sent <= e.newestReport || !e.owned {
		return nil
	}
	e.newestReport = sent
	made := sent.Add(-r.Age.Std())
	if e.boot != r.Boot {
		e.restarted(now, made, r.Boot)
	}
	e.boundInherited(made, r)
	if e.unsynced && made < e.ordersExpire {
		return e.step(now, nil)
	}
	e.unsynced = false
	e.reconcile(now, made, r)
	e.adopt(made, r)
	return e.step(now, nil)
}

// restarted handles a restart of the engine, found in a report made at made.
// Adapters that became ready since then may have been loaded before or after
// the restart.
func (e *Endpoint) restarted(now, made wick.Instant, boot string) {
	first := e.boot == ""
	e.boot = boot
	if first {
		return
	}
	for _, a := range e.held {
		if a.state != ready || a.since >= made {
			e.markUnknown(now, a)
		}
	}
}

// markUnknown makes the adapter unknown until a report made after every order
// for it has expired. Answers to orders given before are ignored.
func (e *Endpoint) markUnknown(now wick.Instant, a *adapter) {
	if a.state == loading || a.state == unloading {
		a.orderExpiry = max(a.orderExpiry, now.Add(e.cfg.OrderWithin+orderTransit))
	}
	if a.state != unknown {
		e.setState(now, a, unknown)
	}
	a.order = wick.Order{}
}

// boundInherited lowers the bound on the batch slots that requests of earlier
// owners use. A report made before the takeover is not usable for this.
func (e *Endpoint) boundInherited(made wick.Instant, r wick.Report) {
	if made < e.takeoverAt || e.inherited == 0 {
		return
	}
	var own wick.Slots
	for _, t := range e.inFlight {
		if t.firstProgress >= 0 && t.firstProgress <= made {
			own++
		}
	}
	e.inherited = min(e.inherited, max(0, r.Running+r.Waiting-own))
}

// reconcile compares the adapters that take a slot with a report.
func (e *Endpoint) reconcile(now, made wick.Instant, r wick.Report) {
	for _, a := range slices.Clone(e.held) {
		i := slices.IndexFunc(r.Resident, func(x wick.Resident) bool { return x.Ref == a.ref })
		switch {
		case a.state == ready && made > a.since && i < 0:
			e.setAbsent(now, a)
			e.reloadFrequent(now, a)
		case a.state == ready && made > a.since:
			e.checkInherited(made, a, r.Resident[i].Serving)
		case a.state == unknown && made > a.orderExpiry && made > a.since:
			e.resolve(now, made, a, r.Resident, i)
		}
	}
}

// resolve determines the state of an unknown adapter from a report; i is its
// index in the resident adapters, or -1.
func (e *Endpoint) resolve(now, made wick.Instant, a *adapter, all []wick.Resident, i int) {
	if i < 0 {
		e.setAbsent(now, a)
		return
	}
	e.setState(now, a, ready)
	a.since = made
	a.failedLoads = 0
	e.checkInherited(made, a, all[i].Serving)
}

// checkInherited sets noInherited if a report shows that no request of an
// earlier owner runs on the adapter.
func (e *Endpoint) checkInherited(made wick.Instant, a *adapter, serving wick.Slots) {
	if a.noInherited || made < e.ordersExpire {
		return
	}
	var own wick.Slots
	for _, t := range e.inFlight {
		if t.adapter == a && t.firstProgress >= 0 && t.firstProgress <= made {
			own++
		}
	}
	a.noInherited = serving <= own
}

// adopt adds the adapters that are resident according to a report but absent
// here.
func (e *Endpoint) adopt(made wick.Instant, r wick.Report) {
	for _, x := range r.Resident {
		if x.Ref.IsBase() {
			continue
		}
		a := e.adapter(x.Ref)
		if a.state != absent || made <= a.since {
			continue
		}
		e.setState(made, a, ready)
		a.noInherited = false
		e.checkInherited(made, a, x.Serving)
	}
}

// EngineRestarted handles a restart of the engine, after which nothing is
// loaded. boot is empty if the restart has not been seen in a report yet.
func (e *Endpoint) EngineRestarted(now wick.Instant, boot string) []Action {
	e.boot = boot
	e.inherited = 0
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

// Takeover makes this daemon the endpoint's owner in a view. All adapters at
// the engine count as pinned until a report shows them idle that was made after
// the takeover and after all earlier orders have expired.
func (e *Endpoint) Takeover(now wick.Instant, v wick.ViewNumber) []Action {
	e.view = v
	if e.owned {
		return nil
	}
	e.owned = true
	return e.step(now, e.resetState(now))
}

// resetState discards all state of the engine.
func (e *Endpoint) resetState(now wick.Instant) []Action {
	e.takeoverAt = now
	e.ordersExpire = now.Add(e.cfg.OrderWithin + orderTransit)
	e.newestReport = now - 1
	e.reportAsked = now - wick.Instant(e.cfg.ReportEvery)
	var out []Action
	for _, a := range e.wanted {
		if a.permit != permitNone {
			out = append(out, CancelLoad{a.ref})
		}
	}
	e.wanted = nil
	for _, a := range e.adapters {
		e.setState(-1, a, absent)
		a.noInherited = false
		a.permit, a.listed = permitNone, false
		a.order = wick.Order{}
	}
	if e.cfg.Kind == wick.RunnerEndpoint {
		e.unsynced = true
		e.inherited = e.spec.BatchSlots
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

// Release gives up ownership. The waiting requests are refused, so that their
// entries send them to the new owner; those in flight continue.
func (e *Endpoint) Release(now wick.Instant) []Action {
	e.owned = false
	return e.refuseQueued(now)
}

// Drain stops taking new work. The waiting requests are refused, so that their
// entries retry them on another endpoint; those in flight continue.
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
