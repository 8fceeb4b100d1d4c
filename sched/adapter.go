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
	// loading adapters are awaited.
	loading
	// ready adapters serve.
	ready
	// closing adapters are being unloaded; they have no pins and get none.
	closing
	// unknown adapters may or may not be resident, because the answer to an
	// order was lost.
	unknown
)

// want is how far the wish to load an adapter has come.
type want uint8

const (
	// wantNone means that the store's leave was not asked for.
	wantNone want = iota
	// wantAsked means that it was asked for.
	wantAsked
	// wantGranted means that the load may start.
	wantGranted
)

// adapter is what is known of one version of one adapter at the engine.
type adapter struct {
	ref    wick.Ref
	source string
	state  state
	// since is when state was entered. A report made before tells nothing of
	// it.
	since wick.Instant
	// order is the last order; answers to any other are ignored.
	order wick.Order
	// until is the time after which no order whose answer was lost can still
	// take effect. An unknown adapter stays so until a report made later.
	until wick.Instant
	// pins counts the requests in flight on the adapter. It is 0 whenever
	// state is closing.
	pins int
	// proved tells that no request of an earlier owner runs on the adapter.
	proved bool
	// queued counts the requests that wait for the adapter or behind others.
	queued int
	// weight is that of the queued requests as of the last step.
	weight wick.Cost

	// uses counts the requests for the adapter.
	uses evict.Counter

	// listed tells that the adapter is in Endpoint.wanted.
	listed bool
	want   want
	// asked is when the store's leave was last asked for or given, and told
	// the weight named then.
	asked wick.Instant
	told  wick.Cost
	// first is when the wish for the adapter arose.
	first wick.Instant
	// prefetch is until when the adapter is wanted though nobody waits.
	prefetch wick.Instant
	// tries counts the failed loads in a row; none is tried before retry.
	tries int
	retry wick.Instant
}

const (
	// orderSlack is added to an order's Within for its way to the engine.
	orderSlack = 250 * time.Millisecond
	// grantKeep is how long a leave is kept that can't be used.
	grantKeep = time.Second
	// prefetchKeep is how long a prefetch is wanted.
	prefetchKeep = 5 * time.Second
	// retryFirst and retryMost bound the pause after a failed load.
	retryFirst = 250 * time.Millisecond
	retryMost  = 8 * time.Second
	// spareAdapters is how many adapters beyond the slots are remembered.
	spareAdapters = 4096
	// coldHeat is the heat below which an absent adapter is forgotten.
	coldHeat = 0.5
)

// adapter returns the record of an adapter, made if need be.
func (e *Endpoint) adapter(ref wick.Ref) *adapter {
	a := e.adapters[ref]
	if a == nil {
		a = &adapter{ref: ref, since: -1}
		e.adapters[ref] = a
	}
	return a
}

// enter changes the state.
func (e *Endpoint) enter(now wick.Instant, a *adapter, s state) {
	if a.state == closing {
		e.closing--
	}
	if s == closing {
		e.closing++
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

// empty notes that the adapter takes no slot any more.
func (e *Endpoint) empty(now wick.Instant, a *adapter) {
	e.enter(now, a, absent)
	a.want = wantNone
}

// order gives an order for the adapter.
func (e *Endpoint) order(now wick.Instant, a *adapter, kind wick.OrderKind, out []Action) []Action {
	e.sequence++
	a.order = wick.Order{
		Kind:   kind,
		Ref:    a.ref,
		Token:  wick.Token{View: e.view, Sequence: e.sequence},
		Within: wick.Duration(e.cfg.OrderWithin),
	}
	if kind == wick.OrderLoad {
		a.order.Source = a.source
	}
	return append(out, Order{a.order})
}

// load orders an adapter to be loaded.
func (e *Endpoint) load(now wick.Instant, a *adapter, out []Action) []Action {
	e.enter(now, a, loading)
	a.want = wantNone
	return e.order(now, a, wick.OrderLoad, out)
}

// unload orders an adapter to be unloaded; it has no pins.
func (e *Endpoint) unload(now wick.Instant, a *adapter, out []Action) []Action {
	e.enter(now, a, closing)
	return e.order(now, a, wick.OrderUnload, out)
}

// OrderDone notes the fate of an order: nil once the engine has done it, an
// error of outcome NotRun if the order has no effect, Answered if the engine
// refused it, and Unknown if the answer was lost. Answers to all but the last
// order for an adapter are ignored.
func (e *Endpoint) OrderDone(now wick.Instant, o wick.Order, err *wick.Error) []Action {
	a := e.adapters[o.Ref]
	if a == nil || a.order.Token != o.Token || a.state == absent || a.state == ready {
		return nil
	}
	var out []Action
	switch {
	case err == nil && o.Kind == wick.OrderLoad:
		e.loaded(now, a)
	case err == nil:
		e.empty(now, a)
	case err.Outcome == wick.Unknown:
		e.lose(now, a)
	case err.Code == wick.CodeNotOwner:
		e.lose(now, a)
	case o.Kind == wick.OrderLoad:
		out = e.loadFailed(now, a, err, out)
	case err.Outcome == wick.NotRun:
		e.enter(now, a, ready)
	default:
		e.lose(now, a)
	}
	return e.step(now, out)
}

// loaded notes that the engine has loaded an adapter.
func (e *Endpoint) loaded(now wick.Instant, a *adapter) {
	e.enter(now, a, ready)
	a.tries = 0
	a.proved = true
	if a.queued > 0 {
		e.costs.loaded(now.Sub(a.first))
	}
}

// lose notes that it isn't known whether the last order took effect.
func (e *Endpoint) lose(now wick.Instant, a *adapter) {
	if a.state == unknown {
		return
	}
	e.enter(now, a, unknown)
	a.until = max(a.until, now.Add(e.cfg.OrderWithin+orderSlack))
}

// loadFailed makes the slot free and lets those who wait go elsewhere after a
// few tries. The engine may have refused because it holds more than is known
// here, so its report is read.
func (e *Endpoint) loadFailed(now wick.Instant, a *adapter, err *wick.Error, out []Action) []Action {
	e.empty(now, a)
	e.asked = now
	out = append(out, ReadReport{})
	a.tries++
	pause := min(retryMost, retryFirst<<min(a.tries-1, 16))
	a.retry = now.Add(pause)
	if a.tries < e.cfg.LoadTries {
		return out
	}
	for _, t := range slices.Clone(e.queue) {
		if t.adapter != a {
			continue
		}
		why := wick.NotRunf(wick.CodeLoadFailed, "%s on %s: %s", a.ref, e.end.Name, err.Text)
		why.RetryAfter = wick.Duration(pause)
		out = e.refuse(out, t, why)
	}
	return out
}

// Prefetch asks for an adapter though nobody waits for it yet.
func (e *Endpoint) Prefetch(now wick.Instant, ref wick.Ref, source string) []Action {
	if ref.IsBase() || e.closed() != nil || e.cfg.Kind != wick.RunnerEndpoint {
		return nil
	}
	a := e.adapter(ref)
	a.source = source
	a.prefetch = now.Add(prefetchKeep)
	e.list(now, a)
	return e.step(now, nil)
}

// recallHeat is the heat from which an adapter that was lost is loaded again
// before it is asked for.
const recallHeat = 3

// recallKeep is how long such a load is wanted.
const recallKeep = 20 * time.Second

// recall wants an adapter back that the engine has lost, if it was much used.
func (e *Endpoint) recall(now wick.Instant, a *adapter) {
	if a.source == "" || e.closed() != nil || e.clock.Heat(&a.uses) < recallHeat {
		return
	}
	a.prefetch = now.Add(recallKeep)
	e.list(now, a)
}

// Granted notes that the store's leave for a load was given.
func (e *Endpoint) Granted(now wick.Instant, ref wick.Ref) []Action {
	a := e.adapters[ref]
	if a == nil || !a.listed || a.want != wantAsked {
		return []Action{Forgo{ref}}
	}
	a.want = wantGranted
	a.asked = now
	return e.step(now, nil)
}

// Denied notes that the store's leave for a load was not given; it is asked
// for again a little later.
func (e *Endpoint) Denied(now wick.Instant, ref wick.Ref) []Action {
	if a := e.adapters[ref]; a != nil && a.want == wantAsked {
		a.want = wantNone
		a.asked = now
	}
	return nil
}

// forget bounds the adapters that are remembered though they take no slot.
func (e *Endpoint) forget(now wick.Instant) {
	if len(e.adapters) < int(e.end.AdapterSlots)+spareAdapters {
		return
	}
	e.forgetBelow(now, coldHeat)
	if len(e.adapters) >= int(e.end.AdapterSlots)+spareAdapters {
		e.forgetBelow(now, math.Inf(1))
	}
}

func (e *Endpoint) forgetBelow(now wick.Instant, heat float64) {
	for ref, a := range e.adapters {
		idle := a.state == absent && a.queued == 0 && a.pins == 0 && !a.listed
		if idle && now.Sub(a.since) > prefetchKeep && now >= a.retry && e.clock.Heat(&a.uses) < heat {
			delete(e.adapters, ref)
		}
	}
}
