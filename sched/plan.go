package sched

import (
	"cmp"
	"math"
	"slices"

	"currantwick"
)

// list puts an absent adapter on the list of those to be loaded.
func (e *Endpoint) list(now wick.Instant, a *adapter) {
	if a.listed || a.state != absent {
		return
	}
	a.listed = true
	a.want = wantNone
	a.first = now
	e.wanted = append(e.wanted, a)
}

// plan asks for loads, starts those that were granted, and unloads what makes
// room for them.
func (e *Endpoint) plan(now wick.Instant, out []Action) []Action {
	out = e.prune(now, out)
	if !e.owner || e.blind || e.cfg.Kind != wick.RunnerEndpoint {
		return out
	}
	e.weigh(now)
	slices.SortStableFunc(e.wanted, func(a, b *adapter) int { return cmp.Compare(b.weight, a.weight) })
	out = e.start(now, out)
	out = e.ask(now, out)
	return e.shrink(now, out)
}

// weigh brings the weights of the wanted adapters up to now.
func (e *Endpoint) weigh(now wick.Instant) {
	if len(e.wanted) == 0 {
		return
	}
	for _, a := range e.wanted {
		a.weight = 0
	}
	for _, t := range e.queue {
		if a := t.adapter; a != nil && a.listed {
			a.weight += wick.Cost(math.Exp2(float64(t.Level)) * (1 + t.used(now)))
		}
	}
}

// used returns the share of a request's time to the first token that is used.
func (t *item) used(now wick.Instant) float64 {
	return min(1, float64(now.Sub(t.Arrived))/float64(max(1, t.Due.Sub(t.Arrived))))
}

// prune strikes off the list what is not wanted any more.
func (e *Endpoint) prune(now wick.Instant, out []Action) []Action {
	kept := e.wanted[:0]
	for _, a := range e.wanted {
		if a.state == absent && (a.queued > 0 || now < a.prefetch) && e.owner {
			if a.want == wantGranted && now.Sub(a.asked) >= grantKeep {
				out = append(out, Forgo{a.ref})
				a.want, a.asked = wantNone, now
			}
			kept = append(kept, a)
			continue
		}
		if a.want != wantNone && a.state == absent {
			out = append(out, Forgo{a.ref})
		}
		a.listed = false
		a.want = wantNone
	}
	clear(e.wanted[len(kept):])
	e.wanted = kept
	return out
}

// start orders the loads that were granted, into free slots first. Where there
// is none it unloads an adapter, unless one is closing already.
func (e *Endpoint) start(now wick.Instant, out []Action) []Action {
	free := int(e.end.AdapterSlots) - len(e.held)
	leaving := e.closing
	for _, a := range e.wanted {
		if a.want != wantGranted {
			continue
		}
		switch {
		case free > 0:
			free--
			out = e.load(now, a, out)
		case leaving > 0:
			leaving--
		default:
			if v := e.victim(now, e.holding(now, a)); v != nil {
				out = e.unload(now, v, out)
			}
		}
	}
	return out
}

// ask asks for as many loads as could start.
func (e *Endpoint) ask(now wick.Instant, out []Action) []Action {
	room := int(e.end.AdapterSlots) - len(e.held) + e.closing
	idle := -1
	for _, a := range e.wanted {
		if a.state != absent || now < a.retry {
			continue
		}
		if a.want != wantNone {
			room--
			out = e.remind(now, a, out)
			continue
		}
		if a.asked > a.first && now.Sub(a.asked) < e.cfg.AskEvery {
			continue
		}
		if room <= 0 {
			if idle < 0 {
				idle = e.gatherIdle(now)
			}
			if room+idle <= 0 || e.victim(now, e.holding(now, a)) == nil {
				continue
			}
		}
		room--
		a.want = wantAsked
		out = e.tell(now, a, out)
	}
	return out
}

// remindFrom is how many times its weight a wish must have to be repeated.
const remindFrom = 1.25

// remind repeats a wish that has grown.
func (e *Endpoint) remind(now wick.Instant, a *adapter, out []Action) []Action {
	if a.want != wantAsked || a.weight < remindFrom*a.told || now.Sub(a.asked) < e.cfg.AskEvery {
		return out
	}
	return e.tell(now, a, out)
}

func (e *Endpoint) tell(now wick.Instant, a *adapter, out []Action) []Action {
	a.asked = now
	a.told = a.weight
	return append(out, WantLoad{a.ref, a.source, a.weight})
}

// shrink unloads what exceeds the slots, which happens when they were lowered
// or when the engine turned out to hold more than was thought.
func (e *Endpoint) shrink(now wick.Instant, out []Action) []Action {
	over := len(e.held) - e.closing - int(e.end.AdapterSlots)
	for ; over > 0; over-- {
		v := e.victim(now, wick.Holding{Urgency: 1})
		if v == nil {
			return out
		}
		out = e.unload(now, v, out)
	}
	return out
}

// idleNow reports whether the adapter may be unloaded.
func (a *adapter) idleNow() bool {
	return a.state == ready && a.pins == 0 && a.queued == 0 && a.proved
}

// gatherIdle fills idle and returns its length.
func (e *Endpoint) gatherIdle(now wick.Instant) int {
	e.idle = e.idle[:0]
	for _, a := range e.held {
		if a.idleNow() {
			e.idle = append(e.idle, wick.Holding{Ref: a.ref, Heat: e.clock.Heat(&a.uses), Used: a.uses.Last()})
		}
	}
	return len(e.idle)
}

// victim returns the adapter that makes room for wanted, or nil.
func (e *Endpoint) victim(now wick.Instant, wanted wick.Holding) *adapter {
	if e.gatherIdle(now) == 0 {
		return nil
	}
	i := e.cfg.Evict.Victim(now, wanted, e.idle)
	if i < 0 {
		return nil
	}
	return e.adapters[e.idle[i].Ref]
}

// holding describes an adapter that is wanted.
func (e *Endpoint) holding(now wick.Instant, a *adapter) wick.Holding {
	h := wick.Holding{Ref: a.ref, Heat: e.clock.Heat(&a.uses), Used: a.uses.Last()}
	for _, t := range e.queue {
		if t.adapter == a {
			h.Urgency = max(h.Urgency, t.used(now))
		}
	}
	return h
}
