package sched

import (
	"slices"

	"currantwick"
)

// Report takes in the engine's report, which was asked for at sent.
func (e *Endpoint) Report(now, sent wick.Instant, r wick.Report) []Action {
	if sent <= e.newest || !e.owner {
		return nil
	}
	e.newest = sent
	made := sent.Add(-r.Age.Std())
	if e.boot != r.Boot {
		e.restarted(now, made, r.Boot)
	}
	e.foreigners(made, r)
	if e.blind && made < e.clear {
		return e.step(now, nil)
	}
	e.blind = false
	e.settle(now, made, r)
	e.adopt(made, r)
	return e.step(now, nil)
}

// restarted takes in a new start of the engine, seen in a report made at made.
// What became ready since then may belong to either start.
func (e *Endpoint) restarted(now, made wick.Instant, boot string) {
	first := e.boot == ""
	e.boot = boot
	if first {
		return
	}
	for _, a := range e.held {
		if a.state != ready || a.since >= made {
			e.doubt(now, a)
		}
	}
}

// doubt makes the adapter unknown until a report made later than any order for
// it can take effect. The answer to an order given before tells nothing.
func (e *Endpoint) doubt(now wick.Instant, a *adapter) {
	if a.state == loading || a.state == closing {
		a.until = max(a.until, now.Add(e.cfg.OrderWithin+orderSlack))
	}
	if a.state != unknown {
		e.enter(now, a, unknown)
	}
	a.order = wick.Order{}
}

// foreigners lowers the bound on what earlier owners' requests take of the
// batch. A report made before the takeover tells nothing.
func (e *Endpoint) foreigners(made wick.Instant, r wick.Report) {
	if made < e.taken || e.foreign == 0 {
		return
	}
	var own wick.Slots
	for _, t := range e.flying {
		if t.seen >= 0 && t.seen <= made {
			own++
		}
	}
	e.foreign = min(e.foreign, max(0, r.Running+r.Waiting-own))
}

// settle compares the adapters that take a slot with a report.
func (e *Endpoint) settle(now, made wick.Instant, r wick.Report) {
	for _, a := range slices.Clone(e.held) {
		i := slices.IndexFunc(r.Resident, func(x wick.Resident) bool { return x.Ref == a.ref })
		switch {
		case a.state == ready && made > a.since && i < 0:
			e.empty(now, a)
			e.recall(now, a)
		case a.state == ready && made > a.since:
			e.prove(made, a, r.Resident[i].Serving)
		case a.state == unknown && made > a.until && made > a.since:
			e.resolve(now, made, a, r.Resident, i)
		}
	}
}

// resolve ends the doubt about an adapter, which is at i of what is resident.
func (e *Endpoint) resolve(now, made wick.Instant, a *adapter, all []wick.Resident, i int) {
	if i < 0 {
		e.empty(now, a)
		return
	}
	e.enter(now, a, ready)
	a.since = made
	a.tries = 0
	e.prove(made, a, all[i].Serving)
}

// prove notes whether a report shows that no request of an earlier owner runs
// on the adapter.
func (e *Endpoint) prove(made wick.Instant, a *adapter, serving wick.Slots) {
	if a.proved || made < e.clear {
		return
	}
	var own wick.Slots
	for _, t := range e.flying {
		if t.adapter == a && t.seen >= 0 && t.seen <= made {
			own++
		}
	}
	a.proved = serving <= own
}

// adopt takes in the adapters that are resident though it wasn't known.
func (e *Endpoint) adopt(made wick.Instant, r wick.Report) {
	for _, x := range r.Resident {
		if x.Ref.IsBase() {
			continue
		}
		a := e.adapter(x.Ref)
		if a.state != absent || made <= a.since {
			continue
		}
		e.enter(made, a, ready)
		a.proved = false
		e.prove(made, a, x.Serving)
	}
}

// Lost notes that the engine has started anew, with nothing loaded. boot is
// empty where the new start was not seen in a report yet.
func (e *Endpoint) Lost(now wick.Instant, boot string) []Action {
	e.boot = boot
	e.foreign = 0
	for _, a := range slices.Clone(e.held) {
		if a.state == ready {
			e.empty(now, a)
			a.order = wick.Order{}
			e.recall(now, a)
			continue
		}
		e.doubt(now, a)
	}
	return e.step(now, nil)
}

// Takeover makes the daemon the endpoint's owner in a view. All the engine
// holds counts as pinned until a report made after the takeover, and after all
// earlier orders have run out, shows it idle.
func (e *Endpoint) Takeover(now wick.Instant, v wick.ViewNumber) []Action {
	e.view = v
	if e.owner {
		return nil
	}
	e.owner = true
	return e.step(now, e.unsure(now))
}

// unsure forgets what was known of the engine.
func (e *Endpoint) unsure(now wick.Instant) []Action {
	e.taken = now
	e.clear = now.Add(e.cfg.OrderWithin + orderSlack)
	e.newest = now - 1
	e.asked = now - wick.Instant(e.cfg.ReportEvery)
	var out []Action
	for _, a := range e.wanted {
		if a.want != wantNone {
			out = append(out, Forgo{a.ref})
		}
	}
	e.wanted = nil
	for _, a := range e.adapters {
		e.enter(-1, a, absent)
		a.proved = false
		a.want, a.listed = wantNone, false
		a.order = wick.Order{}
	}
	if e.cfg.Kind == wick.RunnerEndpoint {
		e.blind = true
		e.foreign = e.end.BatchSlots
	}
	return out
}

// Continue takes ownership up again after a Release, in view v, where nobody
// else can have owned the endpoint in between: what was known of its engine
// still holds.
func (e *Endpoint) Continue(now wick.Instant, v wick.ViewNumber) []Action {
	e.view = v
	e.owner = true
	return e.step(now, nil)
}

// Release gives up ownership. The requests that wait are refused, so that
// their entries hand them to the new owner; those in flight run on.
func (e *Endpoint) Release(now wick.Instant) []Action {
	e.owner = false
	return e.turnAway(now)
}

// Drain stops taking new work. The requests that wait are refused, so that
// their entries send them elsewhere; those in flight run on.
func (e *Endpoint) Drain(now wick.Instant) []Action {
	e.draining = true
	return e.turnAway(now)
}

// Resume ends a Drain.
func (e *Endpoint) Resume(now wick.Instant) []Action {
	e.draining = false
	return e.step(now, nil)
}

// turnAway refuses all that waits and withdraws all wishes for loads.
func (e *Endpoint) turnAway(now wick.Instant) []Action {
	err := e.closed()
	if err == nil {
		return nil
	}
	var out []Action
	for len(e.queue) > 0 {
		out = e.refuse(out, e.queue[0], err)
	}
	for _, a := range e.wanted {
		a.prefetch = 0
	}
	return e.prune(now, out)
}

// Update takes in a changed configuration of the endpoint. Behind another
// address stands another engine, of which nothing is known.
func (e *Endpoint) Update(now wick.Instant, end wick.Endpoint) []Action {
	moved := end.Address != e.end.Address
	if end.AdapterSlots != e.end.AdapterSlots {
		e.clock.Resize(end.AdapterSlots)
	}
	e.end = end
	var out []Action
	if moved {
		out = e.unsure(now)
	}
	return e.step(now, append(out, e.turnAway(now)...))
}
