package coord

import (
	"time"

	"currantwick"
	"currantwick/slots"
	"currantwick/terms"
)

// loadingPerEngine is how many adapters may load at the same time for each engine
// before the weight store slows down: about four for three engines in the usual
// deployments.
const loadingPerEngine = 4.0 / 3

// noFence marks a shard to which no orders may be given. The fencing tokens of
// terms are positive.
const noFence wick.Fence = 0

// mayOrder reports whether orders may be given to a shard's endpoints.
func (s *state) mayOrder(sh wick.Shard) bool { return s.fences[sh] != noFence }

// startOrders starts the orders and inspections that are due.
func (s *state) startOrders(now wick.Instant) {
	for sh := range wick.Shard(terms.Shards) {
		fence, may := s.terms.MayOrder(now, sh)
		if !may || s.stopping {
			fence = noFence
		}
		if fence != s.fences[sh] {
			s.fences[sh] = fence
			s.dirty, s.out.shards = true, true
			s.log.Info("order permission changed", "shard", sh, "flow", fence != noFence, "fence", s.terms.Holder(sh).Fence)
		}
	}
	for _, e := range s.sortedEndpoints {
		if s.mayOrder(e.shard) && s.cfg.Pauses.Until(now, e.start()) == 0 {
			s.stepLedger(now, e)
		}
	}
}

// countLoading counts the engines and the adapters that are loading at all
// endpoints.
func (s *state) countLoading(now wick.Instant) {
	s.loading, s.engines = 0, 0
	for _, e := range s.sortedEndpoints {
		if len(e.info.Models) == 0 {
			continue
		}
		s.engines++
		for _, r := range e.adapters {
			if r.Ready > now {
				s.loading++
			}
		}
	}
}

// maxFullSpeedLoads returns how many adapters may load at the same time before
// each load takes longer.
func (s *state) maxFullSpeedLoads() int { return max(int(float64(s.engines)*loadingPerEngine), 1) }

// ledger returns the ledger of an endpoint, creating it if needed, or nil if
// this daemon may not give the endpoint orders or the endpoint's pool has no
// engine.
func (s *state) ledger(e *endpoint) *slots.Ledger {
	config := s.facts.ServingConfig()
	if config == nil || !s.mayOrder(e.shard) {
		return nil
	}
	engine := config.Pools[e.info.Pool].Engine
	if engine == nil {
		return nil
	}
	l := s.ledgers[e.info.Name]
	if l == nil {
		l = slots.New(slots.Config{Engine: engine, Recent: e.recent})
		s.ledgers[e.info.Name] = l
	}
	l.SetEngine(engine)
	return l
}

// modelPause returns the time between two loads of base models by one holder, so
// that all holders together stay within the rate of the weight store.
func (s *state) modelPause(e *endpoint) time.Duration {
	config := s.facts.ServingConfig()
	rate := float64(config.Pools[e.info.Pool].Engine.ModelLoadRate)
	if rate <= 0 {
		return 0
	}
	return time.Duration(terms.Shards / rate * float64(time.Second))
}

func (s *state) stepLedger(now wick.Instant, e *endpoint) {
	l := s.ledger(e)
	if l == nil {
		return
	}
	l.SetLoading(s.loading, s.maxFullSpeedLoads())
	step, order := l.Next(now, now.Sub(s.lastModelLoad) >= s.modelPause(e))
	switch step {
	case slots.StepInspect:
		s.cfg.IO.Inspect(e.info.Name, e.info.Address)
	case slots.StepOrder:
		if order.Weights.Adapter == "" {
			s.lastModelLoad = now
		}
		order.Endpoint, order.Started = e.info.Name, e.info.Started
		order.Holder = s.cfg.Self.Host
		order.Fence = s.fences[e.shard]
		s.cfg.IO.Order(e.info.Address, order)
	}
}

// orderDone is the result of an order.
type orderDone struct {
	order wick.RunnerOrder
	reply wick.OrderReply
	err   error
}

func (e orderDone) apply(s *state, now wick.Instant) {
	o, result := e.order, e.reply.Result
	s.cfg.Observer.OrderFinished(o.Kind, result)
	s.applySignal(now, wick.EndpointStart{Endpoint: o.Endpoint, Started: o.Started}, e.reply.Signal)
	s.log.Info("order finished", "endpoint", o.Endpoint, "kind", o.Kind, "weights", o.Weights.String(), "version", o.Revision,
		"expected", o.Expected, "fence", o.Fence, "result", result.String(), "err", errText(e.err))
	end, l := s.endpoints[o.Endpoint], s.ledgers[o.Endpoint]
	if end == nil || l == nil {
		return
	}
	if result == wick.OrderFenced && s.terms.Holder(end.shard).Fence == o.Fence {
		s.log.Warn("term lost", "shard", end.shard, "fence", o.Fence, "cause", "the endpoint has seen a later holder's fencing token")
		s.terms.Revoke(end.shard)
		s.dirty = true
	}
	l.OrderDone(now, o, result)
	s.queuePlacements(now, end, l)
	if o.Kind == wick.OrderLoad {
		s.loading++
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// reportRead is the result of an inspection.
type reportRead struct {
	endpoint wick.EndpointName
	report   wick.RunnerReport
	err      error
}

func (e reportRead) apply(s *state, now wick.Instant) {
	s.cfg.Observer.ReportFinished(e.err)
	s.log.Info("endpoint report read", "endpoint", e.endpoint, "orders", e.report.Orders, "loaded", len(e.report.Loaded),
		"incoming", len(e.report.Incoming), "err", errText(e.err))
	end, l := s.endpoints[e.endpoint], s.ledgers[e.endpoint]
	if end != nil && (e.report.Started == 0 || e.report.Started == end.info.Started) {
		s.applySignal(now, end.start(), e.report.Signal)
	}
	if end == nil || l == nil {
		return
	}
	l.ReportDone(now, e.report, e.err)
	s.queuePlacements(now, end, l)
}

// queuePlacements updates the adapters of an endpoint from its ledger, and
// queues the changes.
func (s *state) queuePlacements(now wick.Instant, e *endpoint, l *slots.Ledger) {
	m := make(map[wick.Weights]Residence)
	for w, p := range l.Placements {
		if !p.Usable() {
			continue
		}
		m[w] = Residence{Revision: p.Revision, Ready: p.Ready}
	}
	for w, r := range m {
		if old, ok := e.adapters[w]; !ok || old != r {
			s.out.queuePlacements(wick.AdapterPlacement{Endpoint: e.info.Name, Weights: w, Revision: r.Revision}, r.Ready)
		}
	}
	for w := range e.adapters {
		if _, ok := m[w]; !ok {
			s.out.queuePlacements(wick.AdapterPlacement{Endpoint: e.info.Name, Weights: w, Removed: true}, now)
		}
	}
	e.adapters = m
	e.cached = e.recent.Set()
	s.invalidate(e)
}

// requestNewer requests a newer version of an adapter at every endpoint of this
// daemon's shards that has an older one loaded.
func (s *state) requestNewer(now wick.Instant, newer wick.Loaded) {
	for name, l := range s.ledgers {
		e := s.endpoints[name]
		if e == nil {
			continue
		}
		if held, ok := e.adapters[newer.Weights]; ok && held.Revision < newer.Revision {
			l.RequestAdapter(now, newer.Weights, newer.Revision)
		}
	}
}

// adapterRequested is the event of a traffic goroutine requesting an adapter.
type adapterRequested struct {
	request wick.AdapterRequest
}

func (e adapterRequested) apply(s *state, now wick.Instant) {
	end := s.endpoints[e.request.Endpoint]
	if end == nil {
		return
	}
	if s.terms.Holds(end.shard) {
		s.request(now, end, e.request)
		return
	}
	s.reportToHolder(end, &wick.InstanceReport{AdapterRequests: []wick.AdapterRequest{e.request}})
}

// request applies a request for an adapter at an endpoint in a shard of this
// daemon.
func (s *state) request(now wick.Instant, e *endpoint, w wick.AdapterRequest) {
	l := s.ledger(e)
	if l == nil {
		return
	}
	switch w.Reason {
	case wick.AdapterNotReady:
		l.NotReady(now, w.Weights)
		s.queuePlacements(now, e, l)
	case wick.AdapterMissing:
		l.MarkMissing(now, w.Weights)
	default:
		l.RequestAdapter(now, w.Weights, w.Revision)
	}
}
