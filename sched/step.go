package sched

import (
	"math"
	"slices"
	"time"

	"currantwick"
)

// step does all that can be done now.
func (e *Endpoint) step(now wick.Instant, out []Action) []Action {
	e.average(now)
	defer e.countShort()
	out = e.expire(now, out)
	for _, t := range e.queue {
		if t.adapter != nil && t.adapter.state == absent {
			e.list(now, t.adapter)
		}
	}
	out = e.plan(now, out)
	return e.fill(now, out)
}

// shortFade is the time constant of the average number of short requests.
const shortFade = 10 * time.Second

// average brings the average number of short requests up to now. The number
// has not changed since the last step.
func (e *Endpoint) average(now wick.Instant) {
	keep := math.Exp(-float64(now.Sub(e.last)) / float64(shortFade))
	e.shortMean = keep*e.shortMean + (1-keep)*e.short
	e.last = now
}

// countShort counts the short requests, for the next average.
func (e *Endpoint) countShort() {
	n := wick.Slots(len(e.flying)) - e.long
	for _, t := range e.queue {
		if !t.Long {
			n++
		}
	}
	e.short = float64(n)
}

// expire refuses the requests whose time has passed.
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
// rest of it free.
func (e *Endpoint) fill(now wick.Instant, out []Action) []Action {
	if e.free() <= 0 || e.alone || len(e.queue) == 0 {
		return out
	}
	short := e.gather(now)
	if s := e.suspect(now); s != nil {
		if len(e.flying) == 0 && e.foreign == 0 {
			return e.send(now, s, out)
		}
		if e.long == 0 {
			return out
		}
	}
	for e.free() > 0 && len(e.runnable) > 0 {
		i := e.cfg.Order.Next(e.batch(now, short), e.runnable)
		if i < 0 {
			return out
		}
		t := e.picked[i]
		out = e.send(now, t, out)
		if !t.Long {
			short--
		}
		if t.ordered() {
			short = e.gather(now)
			continue
		}
		e.runnable = slices.Delete(e.runnable, i, i+1)
		e.picked = slices.Delete(e.picked, i, i+1)
	}
	return out
}

// free returns how many slots of the batch are free.
func (e *Endpoint) free() wick.Slots {
	return e.end.BatchSlots - wick.Slots(len(e.flying)) - e.foreign
}

func (e *Endpoint) batch(now wick.Instant, short wick.Slots) wick.Batch {
	return wick.Batch{
		Now:          now,
		Slots:        e.end.BatchSlots,
		Running:      wick.Slots(len(e.flying)) + e.foreign,
		Long:         e.long,
		ShortWaiting: short,
		ShortMean:    e.shortMean,
	}
}

// gather fills runnable and picked with what can be dispatched now, suspects
// excepted, and returns how many short requests wait.
func (e *Endpoint) gather(now wick.Instant) wick.Slots {
	e.runnable, e.picked = e.runnable[:0], e.picked[:0]
	var short wick.Slots
	behind := false
	for _, t := range e.queue {
		if !t.Long {
			short++
		}
		ordered := t.ordered()
		if t.suspect || ordered && behind || !t.resident() {
			continue
		}
		behind = behind || ordered
		t.Grouped = t.adapter != nil && t.adapter.pins > 0
		t.Warm = t.warm(now)
		e.runnable = append(e.runnable, &t.Queued)
		e.picked = append(e.picked, t)
	}
	return short
}

// resident reports whether the engine holds what t runs on.
func (t *item) resident() bool { return t.adapter == nil || t.adapter.state == ready }

// ordered reports whether t must not overtake another call that is not
// idempotent.
func (t *item) ordered() bool { return t.sub.Call != nil && t.sub.Call.NonIdempotent }

// suspectPatience is the share of its time after which a suspect no longer
// waits for others to leave the batch by themselves.
const suspectPatience = 0.25

// suspect returns the suspect whose turn it is to run alone, or nil.
func (e *Endpoint) suspect(now wick.Instant) *item {
	for _, t := range e.queue {
		if !t.suspect || !t.resident() {
			continue
		}
		patience := suspectPatience * float64(t.Due.Sub(t.Arrived))
		if len(e.runnable) == 0 || float64(now.Sub(t.Arrived)) >= patience {
			return t
		}
	}
	return nil
}

// send dispatches a request and pins its adapter.
func (e *Endpoint) send(now wick.Instant, t *item, out []Action) []Action {
	e.dequeue(t)
	t.started = now
	e.flying[t.Request] = t
	if t.Long {
		e.long++
	}
	if t.suspect {
		e.alone = true
	}
	if t.adapter != nil {
		t.adapter.pins++
	}
	if t.prefix != nil {
		t.prefix.used = now
	}
	e.costs.started(t.Cost)
	return append(out, Dispatch{t.sub, t.Due})
}
