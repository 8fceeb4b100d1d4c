package coord

import (
	"currantwick"
	"currantwick/crash"
	"currantwick/facts"
	"currantwick/slots"
	"currantwick/tally"
	"currantwick/terms"
)

// View is the immutable snapshot of the control state that traffic reads.
type View struct {
	// ServingConfig is nil until a configuration is known.
	ServingConfig *wick.ServingConfig
	Routes        facts.Routes
	Newest        map[wick.Weights]facts.Revision
	// Pools lists the endpoints that take new requests.
	Pools map[wick.PoolName][]*Runner
	// Entries are the daemons that callers may use.
	Entries []wick.EntryPoint
	// Daemons estimates the number of running daemons; it may count ended ones,
	// whose records stay in the store.
	Daemons int
	Ready   bool
	// LoadSlowdown is the factor by which loads from the weight store are slowed down
	// now; at least 1.
	LoadSlowdown float64
	// Stopping is set when callers should use another daemon.
	Stopping bool
	// Verdicts are those on requests that may crash endpoints.
	Verdicts crash.Verdicts
	// Trials are the trials that were granted to this daemon.
	Trials map[wick.TrialID]bool
	// ConfigCurrentAt is the latest instant at which ServingConfig was known to
	// be the newest; -1 for never.
	ConfigCurrentAt wick.Instant
	Shards          []wick.ShardState
	changed         chan struct{}
}

// Changed returns a channel that is closed when a newer view is published.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Runner is an endpoint in a View. It never changes, except for Meter.
type Runner struct {
	*wick.Runner
	Meter *tally.Meter
	// OrdersActive is set when the endpoint's holder is giving orders.
	OrdersActive bool
	// OtherLoad is the load that other daemons put on the endpoint.
	OtherLoad wick.EndpointLoad
	// Adapters are the adapters and base models that are loaded or loading.
	Adapters map[wick.Weights]Residence
	// Cached are the adapters that load fast from a local copy.
	Cached map[wick.Weights]bool
}

// Residence is the state of an adapter at an endpoint that holds it.
type Residence struct {
	Revision wick.Revision
	// Ready is when the adapter can serve.
	Ready wick.Instant
}

// endpoint is the control state of an endpoint.
type endpoint struct {
	info *wick.Runner
	// leaving is set once the endpoint said that it is about to end.
	leaving bool
	shard   wick.Shard
	meter   *tally.Meter
	// adapters and cached are replaced and never modified, since views share
	// them.
	adapters map[wick.Weights]Residence
	cached   map[wick.Weights]bool
	recent   *slots.RecentAdapters
	// total is the load of all daemons as the holder reports it, and
	// ownReported the share of it that this daemon had reported to the holder.
	total, ownReported wick.EndpointLoad
	// linked and uses add up the reports of the linked daemons: their load, and
	// how many of their requests use each adapter.
	linked wick.EndpointLoad
	uses   map[wick.Weights]int
	// sentLoad is the load that the linked daemons were sent last.
	sentLoad wick.EndpointLoad
	// health adds up the outcomes that all daemons saw, if this daemon holds
	// the shard.
	health tally.OutcomeStats
	// slotWaitLogged is when the last warning about adapters that wait for
	// slots was logged.
	slotWaitLogged wick.Instant
	// view is the Runner that was published last; nil if the endpoint changed
	// since.
	view *Runner
}

// buildView returns a view of the current state.
func (s *state) buildView(now wick.Instant) *View {
	s.dirty = false
	config := s.facts.ServingConfig()
	v := &View{
		ServingConfig: config,
		Routes:        s.facts.Routes(),
		Newest:        s.facts.Newest(),
		Pools:         make(map[wick.PoolName][]*Runner),
		Ready:         s.ready(),
		Stopping:      s.stopping,
		Verdicts:      s.verdicts,
		changed:       make(chan struct{}),
	}
	if len(s.granted) > 0 {
		v.Trials = make(map[wick.TrialID]bool, len(s.granted))
		for id := range s.granted {
			v.Trials[id] = true
		}
	}
	for _, e := range s.sortedEndpoints {
		if !e.takesRequests() || config == nil {
			continue
		}
		if _, known := config.Pools[e.info.Pool]; known {
			v.Pools[e.info.Pool] = append(v.Pools[e.info.Pool], s.runnerView(e))
		}
	}
	s.refreshRoster(now)
	v.ConfigCurrentAt, v.Shards = s.topics[wick.TopicConfig].knownUpTo(), s.shardStates()
	v.Entries, v.Daemons = s.roster.entries, s.roster.daemons
	v.LoadSlowdown = max(1, float64(s.loading)/float64(s.maxFullSpeedLoads()))
	return v
}

func (s *state) runnerView(e *endpoint) *Runner {
	active := s.ordersActive(e.shard)
	if e.view != nil && e.view.OrdersActive == active {
		return e.view
	}
	e.view = &Runner{
		Runner:       e.info,
		Meter:        e.meter,
		OrdersActive: active,
		OtherLoad:    e.others(),
		Adapters:     e.adapters,
		Cached:       e.cached,
	}
	return e.view
}

// others returns the load of all daemons without this daemon's share.
func (e *endpoint) others() wick.EndpointLoad {
	l := e.total
	l.Running = max(l.Running-e.ownReported.Running, 0)
	l.Waiting = max(l.Waiting-e.ownReported.Waiting, 0)
	return l
}

// shardStates returns the holder of each shard and whether it gives orders.
func (s *state) shardStates() []wick.ShardState {
	list := make([]wick.ShardState, terms.Shards)
	for sh := range wick.Shard(terms.Shards) {
		term := s.terms.Holder(sh)
		list[sh] = wick.ShardState{Shard: sh, Fence: term.Fence, Orders: s.ordersActive(sh)}
		if !term.Left {
			list[sh].Holder = term.Holder
		}
	}
	return list
}

// invalidate marks the published view of an endpoint as outdated.
func (s *state) invalidate(e *endpoint) {
	e.view = nil
	s.dirty = true
}

// ordersActive reports whether the holder of a shard is known to give orders.
func (s *state) ordersActive(shard wick.Shard) bool {
	if s.terms.Holds(shard) {
		return s.mayOrder(shard)
	}
	h := s.holders[s.terms.Holder(shard).Holder]
	return h != nil && h.shards[shard]
}

// ready reports whether callers can be served.
func (s *state) ready() bool {
	config := s.facts.ServingConfig()
	return config != nil && len(s.sortedEndpoints) > 0 && !s.stopping
}

// syncEndpoints updates the set of endpoints to match the facts.
func (s *state) syncEndpoints(now wick.Instant) {
	s.sortedEndpoints = s.sortedEndpoints[:0]
	live := make(map[wick.EndpointName]bool)
	for _, r := range s.facts.Runners() {
		live[r.Name] = true
		e := s.endpoints[r.Name]
		if e == nil || e.info.Started != r.Started {
			e = &endpoint{shard: terms.ShardOf(r.Name), meter: tally.NewMeter(), adapters: loadedAt(r, now), recent: slots.NewRecentAdapters()}
			e.leaving = s.saidLeaving(r)
			s.endpoints[r.Name] = e
			delete(s.ledgers, r.Name)
			s.addLinkedLoad(e, r.Name)
		}
		if e.info != r {
			s.setInfo(now, e, r)
		}
		s.sortedEndpoints = append(s.sortedEndpoints, e)
	}
	for name, e := range s.endpoints {
		if !live[name] {
			if e.leaving {
				s.left[name] = leftEndpoint{started: e.info.Started, since: now, known: true}
			}
			delete(s.endpoints, name)
			delete(s.ledgers, name)
		}
	}
	s.dirty = true
}

// addLinkedLoad adds the reports of the linked daemons to a new endpoint.
func (s *state) addLinkedLoad(e *endpoint, name wick.EndpointName) {
	e.uses = make(map[wick.Weights]int)
	for _, m := range s.linkedDaemons {
		load := m.loads[name]
		e.linked.Running += load.Running
		e.linked.Waiting += load.Waiting
		for w, n := range m.uses[name] {
			e.addUses(w, n)
		}
	}
}

// addUses adds to the number of requests that use an adapter.
func (e *endpoint) addUses(w wick.Weights, n int) {
	if e.uses[w] += n; e.uses[w] == 0 {
		delete(e.uses, w)
	}
}

// setInfo replaces the description of an endpoint.
func (s *state) setInfo(now wick.Instant, e *endpoint, r *wick.Runner) {
	e.info, e.view = r, nil
	for _, w := range r.Cached {
		e.recent.Add(now, w, s.slotsOf(e))
	}
	e.cached = e.recent.Set()
}

func loadedAt(r *wick.Runner, now wick.Instant) map[wick.Weights]Residence {
	m := make(map[wick.Weights]Residence, len(r.Models)+len(r.Loaded))
	for _, name := range r.Models {
		m[wick.Weights{Model: name}] = Residence{Ready: now}
	}
	for _, l := range r.Loaded {
		m[l.Weights] = Residence{Revision: l.Revision, Ready: now}
	}
	return m
}
