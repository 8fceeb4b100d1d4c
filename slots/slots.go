// Package slots decides which adapters an endpoint loads and unloads. A ledger
// runs at the holder of the endpoint's shard, the only daemon that gives the
// endpoint orders. Reports of endpoints lag, so the ledger derives the occupied
// slots from the orders it gave: an adapter that may be resident, is loading or
// may still be loaded by a lost order takes a slot.
//
// Every order carries the number of orders that the endpoint accepted before
// it. An order without an answer is therefore settled by the next one: if that
// is accepted, the lost order was not carried out and never will be; if it
// conflicts, the endpoint's report is requested.
package slots

import (
	"time"

	"currantwick"
)

const (
	// maxIncoming is how many adapters an endpoint loads at once, and
	// maxIncomingSlow how many while the weight store is slow: its throughput
	// is exhausted then, and adapters requested later may be in higher
	// demand.
	maxIncoming     = 4
	maxIncomingSlow = 2
	// slowStoreThreshold is the value of storeSlowdown above which the weight
	// store counts as slow.
	slowStoreThreshold = 1.3
	// defaultStoreLoad and defaultCachedLoad are the initial estimates
	// of the time to load from the weight store and from a copy at the
	// endpoint: the times that the platform states plus a round trip. Both are
	// adjusted by observation.
	defaultStoreLoad  = 265 * time.Millisecond
	defaultCachedLoad = 35 * time.Millisecond
	// minLoadTime and maxLoadTime bound the estimates of load times.
	minLoadTime = 20 * time.Millisecond
	maxLoadTime = 3 * time.Second
	// loadTimeStep is added to an estimate when the endpoint still refuses a
	// request after the estimated load time. loadTimeDecay is the factor
	// applied to an estimate that was sufficient.
	loadTimeStep  = 25 * time.Millisecond
	loadTimeDecay = 0.995
	// minIdle is how long an adapter must be idle and ready before it may be
	// unloaded. It covers the age of the newest use counts of all daemons and
	// the transit of a request.
	minIdle = 200 * time.Millisecond
	// retryPause is the pause after an order that the endpoint refused, and
	// reportLag the maximum age of an endpoint's report.
	retryPause = 150 * time.Millisecond
	reportLag  = 300 * time.Millisecond
	// requestTTL is how long an adapter counts as requested after it was last
	// requested. It is longer than the interval at which waiting requests
	// request it again.
	requestTTL = 700 * time.Millisecond
)

// Placement is an adapter in a slot.
type Placement struct {
	Revision wick.Revision
	// Ready is the known or estimated time from which the adapter can serve.
	Ready wick.Instant
	// LastUsed is when a request last used the adapter; InUse counts the
	// requests that use it now.
	LastUsed wick.Instant
	InUse    int
	// incoming is set while the load may not have ended; unloading is set
	// once the adapter was ordered to be unloaded and may still be in use.
	incoming, unloading bool
	// ordersAtUnload is the endpoint's order count after it accepted the order
	// to unload; reports with a lower count predate it.
	ordersAtUnload wick.OrderCount
	// replaced is set while the load replaces an older version, which keeps
	// its slot until the load ends.
	replaced bool
	// cached is set if the load was expected to use a copy at the endpoint.
	cached bool
	// unsure is set if the answer to the load order was lost.
	unsure bool
}

// pendingAdapter is an adapter that requests wait for.
type pendingAdapter struct {
	revision wick.Revision
	// count is how often the adapter was requested; each waiting request
	// repeats its request periodically.
	count         int
	since         wick.Instant
	lastRequested wick.Instant
	// notBefore is the earliest time of the next order for the adapter.
	notBefore wick.Instant
}

// Ledger is the state of one endpoint at the daemon that gives it orders. It is
// not safe for concurrent use.
type Ledger struct {
	// engine is the configuration of the endpoint's pool. An empty endpoint loads its
	// first model.
	engine *wick.PoolEngine
	// models are those that the endpoint has loaded.
	models     map[wick.ModelName]bool
	placements map[wick.Weights]*Placement
	requested  map[wick.Weights]*pendingAdapter
	recent     *RecentAdapters
	// orders is the number of orders that the endpoint has accepted.
	orders wick.OrderCount
	// synced is set while orders and placements are known. minOrders is the
	// lowest number of orders that a report must show to be recent enough.
	synced    bool
	minOrders wick.OrderCount
	// busy is set while an order or a report request is pending.
	busy bool
	// nextCheck is when to request a report on the adapters that are
	// unloading; 0 if there are none.
	nextCheck wick.Instant
	// nextStep is the earliest time of the next step.
	nextStep wick.Instant
	// storeLoad and cached estimate the time of a load from the
	// weight store and from a copy at the endpoint.
	storeLoad, cached time.Duration
	// storeSlowdown is the factor by which loads from the weight store
	// currently take longer.
	storeSlowdown float64
}

// Config configures a Ledger.
type Config struct {
	// Engine is the configuration of the endpoint's pool.
	Engine *wick.PoolEngine
	// Recent holds the adapters that the endpoint had loaded before.
	Recent *RecentAdapters
}

// New returns the ledger of an endpoint.
func New(cfg Config) *Ledger {
	return &Ledger{
		engine:        cfg.Engine,
		models:        make(map[wick.ModelName]bool),
		placements:    make(map[wick.Weights]*Placement),
		requested:     make(map[wick.Weights]*pendingAdapter),
		recent:        cfg.Recent,
		storeLoad:     defaultStoreLoad,
		cached:        defaultCachedLoad,
		storeSlowdown: 1,
	}
}

// Usable reports whether requests may rely on the adapter: it was not ordered
// to be unloaded, and the answer to its load order was not lost.
func (p Placement) Usable() bool { return !p.unloading && !p.unsure }

// Placements calls yield for each model and for each adapter that has a slot.
func (l *Ledger) Placements(yield func(wick.Weights, Placement) bool) {
	for m := range l.models {
		if !yield(wick.Weights{Model: m}, Placement{}) {
			return
		}
	}
	for w, p := range l.placements {
		if !yield(w, *p) {
			return
		}
	}
}

// SetEngine replaces the configuration of the endpoint's pool. An endpoint that holds
// more than the new one allows loads nothing until enough is unloaded.
func (l *Ledger) SetEngine(e *wick.PoolEngine) { l.engine = e }

// SetLoading sets the number of adapters that are loading at all endpoints and
// the number above which load times grow in proportion.
func (l *Ledger) SetLoading(loading, fullSpeed int) {
	l.storeSlowdown = max(1, float64(loading+1)/float64(max(fullSpeed, 1)))
}

// RequestAdapter records that a request waits for an adapter, at revision r or
// later. If the adapter is already there, only its last use is updated.
func (l *Ledger) RequestAdapter(now wick.Instant, w wick.Weights, r wick.Revision) {
	if w.Adapter == "" && l.models[w.Model] {
		return
	}
	if p := l.placements[w]; p != nil && p.Revision >= r && !p.unloading {
		p.LastUsed = now
		return
	}
	v := l.requested[w]
	if v == nil {
		v = &pendingAdapter{since: now}
		l.requested[w] = v
	}
	v.count++
	v.revision, v.lastRequested = max(v.revision, r), now
}

// Use records how many requests use an adapter now.
func (l *Ledger) Use(now wick.Instant, w wick.Weights, n int) {
	p := l.placements[w]
	if p == nil {
		return
	}
	if n > 0 || p.InUse > 0 {
		p.LastUsed = now
	}
	p.InUse = n
}

// NotReady records that the endpoint refused a request because its adapter was
// still loading. All requests that waited for one load are refused together, by all
// daemons; the first report corrects the expected time, and those that come before it
// are ignored.
func (l *Ledger) NotReady(now wick.Instant, w wick.Weights) {
	p := l.placements[w]
	if p == nil || now < p.Ready {
		return
	}
	p.Ready = now.Add(loadTimeStep)
	if p.cached {
		l.cached = min(l.cached+loadTimeStep, maxLoadTime)
	} else {
		l.storeLoad = min(l.storeLoad+loadTimeStep, maxLoadTime)
	}
}

// MarkMissing records that the endpoint does not have an adapter loaded that it
// should have.
func (l *Ledger) MarkMissing(now wick.Instant, w wick.Weights) {
	if p := l.placements[w]; w.Adapter != "" && (p == nil || p.incoming) {
		return
	}
	l.synced, l.minOrders = false, l.orders
	l.nextStep = max(l.nextStep, now)
}

// Free returns how many more adapters could be loaded now, after those that are
// already requested; negative if more are requested than could be loaded.
func (l *Ledger) Free(now wick.Instant) int {
	return l.free(l.leastTaken(now)) - len(l.requested)
}

// PendingCount counts the adapters that requests wait for.
func (l *Ledger) PendingCount() int { return len(l.requested) }
