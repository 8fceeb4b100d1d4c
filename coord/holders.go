package coord

import (
	"fmt"
	"strconv"
	"time"

	"currantwick"
	"currantwick/codec"
	"currantwick/slots"
	"currantwick/terms"
)

// claimFresh is how old the reading of the daemons' records may be on which a
// claim rests.
const claimFresh = 300 * time.Millisecond

const (
	// crowdedAfter is how long an adapter waits for a slot before that is
	// logged, and crowdedEvery how often that is at most for one endpoint.
	crowdedAfter = 500 * time.Millisecond
	crowdedEvery = time.Second
)

const (
	// membersPerStep is the number of linked daemons with which loads are told
	// half as often, so that a holder's traffic does not grow with the product
	// of daemons and endpoints.
	membersPerStep = 16
	// tellTokens is the change in unread prompts, in tokens, that is told where
	// many listen: some 50 ms of an engine's time.
	tellTokens = 1000
)

// incomingPerEngine is how many adapters may be on their way for each engine
// before the weight store slows down: the deployments allow about four for three
// engines.
const incomingPerEngine = 4.0 / 3

// begin takes a term that stands on the store.
func (s *state) begin(now wick.Instant, at wick.Offset, c terms.Claim) bool {
	old := s.terms.Holder(c.Shard)
	if !s.terms.Begin(now, at, c) {
		return false
	}
	s.log.Info("term begun", "shard", c.Shard, "holder", c.Holder, "fence", s.terms.Holder(c.Shard).Fence,
		"before", old.Holder, "left", c.Left, "orders_in_ms", s.terms.Holder(c.Shard).From.Sub(now).Milliseconds())
	held := 0
	for sh := range wick.Shard(terms.Shards) {
		if s.terms.Holds(sh) {
			held++
		}
	}
	s.cfg.Note.Holds(held)
	for name, e := range s.endpoints {
		if e.shard == c.Shard {
			delete(s.ledgers, name)
			e.view = nil
		}
	}
	s.dirty, s.out.shards = true, true
	return true
}

// ownShards lists the shards that this daemon holds.
func (s *state) ownShards() []wick.Shard {
	var list []wick.Shard
	for sh := range wick.Shard(terms.Shards) {
		if s.terms.Holds(sh) {
			list = append(list, sh)
		}
	}
	return list
}

// announce writes this daemon's own record.
func (s *state) announce(now wick.Instant) {
	if s.announced || s.putting != "" || s.stopping || now < s.putNext {
		return
	}
	s.put(wick.Anywhere, keyDaemon+string(s.cfg.Self.Host), s.cfg.Self)
}

// put appends a record of this daemon's own.
func (s *state) put(at wick.Offset, key string, v any) {
	data, err := codec.EncodeJSON(v)
	if err != nil {
		s.log.Error("record not encoded", "key", key, "err", err)
		return
	}
	s.putting = key
	s.cfg.Steps.Put(at, key, data)
}

// claim begins terms of shards without a live holder, and ends the own ones
// when the daemon stops.
func (s *state) claim(now wick.Instant) {
	t := &s.topics[wick.TopicDaemons]
	if !t.loaded && t.heard < 0 || s.putting != "" || now < s.putNext {
		return
	}
	var claims []terms.Claim
	if s.stopping {
		for _, sh := range s.ownShards() {
			claims = append(claims, terms.Claim{Shard: sh, Holder: s.cfg.Self.Host, Incarnation: s.cfg.Self.Incarnation, Left: true})
		}
	} else if s.announced {
		for _, sh := range s.terms.Claims(now, s.candidates(now)) {
			claims = append(claims, terms.Claim{Shard: sh, Holder: s.cfg.Self.Host, Incarnation: s.cfg.Self.Incarnation})
		}
	}
	if len(claims) == 0 {
		return
	}
	if !t.loaded || now.Sub(t.ok) > claimFresh {
		t.heard, t.ok = -1, -1 // Forces a read first.
		return
	}
	c := claims[0]
	s.log.Info("claiming term", "shard", c.Shard, "left", c.Left, "read_age_ms", now.Sub(t.ok).Milliseconds())
	// Nothing may stand on the store that this daemon has not read.
	s.put(t.next, keyTerm+strconv.Itoa(int(c.Shard)), c)
}

// candidates lists the daemons that may hold terms.
func (s *state) candidates(now wick.Instant) []terms.Candidate {
	list := []terms.Candidate{{Host: s.cfg.Self.Host, Incarnation: s.cfg.Self.Incarnation, Power: s.cfg.Self.Power}}
	seen := map[wick.HostName]bool{s.cfg.Self.Host: true}
	add := func(d wick.Instance) {
		if !seen[d.Host] {
			seen[d.Host] = true
			list = append(list, terms.Candidate{Host: d.Host, Incarnation: d.Incarnation, Power: d.Power})
		}
	}
	for _, d := range s.known() {
		add(d.Instance)
	}
	for _, d := range s.daemons {
		if now.Sub(d.heard) < recordedFor {
			add(d.instance)
		}
	}
	return list
}

// orderStep starts the orders and questions that are due.
func (s *state) orderStep(now wick.Instant) {
	for sh := range wick.Shard(terms.Shards) {
		_, may := s.terms.MayOrder(now, sh)
		may = may && !s.stopping
		if may != s.mayOrder[sh] {
			s.mayOrder[sh] = may
			s.dirty, s.out.shards = true, true
			s.log.Info("orders", "shard", sh, "flow", may, "fence", s.terms.Holder(sh).Fence)
		}
	}
	for _, e := range s.order {
		if s.mayOrder[e.shard] {
			s.stepLedger(now, e)
		}
	}
}

// countIncoming counts the adapters that are on their way to all endpoints, and
// the engines.
func (s *state) countIncoming(now wick.Instant) {
	s.incoming, s.engines = 0, 0
	for _, e := range s.order {
		if len(e.info.Models) == 0 {
			continue
		}
		s.engines++
		for _, r := range e.adapters {
			if r.Ready > now {
				s.incoming++
			}
		}
	}
}

// knee is how many adapters may be on their way before each takes longer.
func (s *state) knee() int { return max(int(float64(s.engines)*incomingPerEngine), 1) }

// ledger returns the ledger of an endpoint in an own shard, or nil if it takes
// no orders.
func (s *state) ledger(e *endpoint) *slots.Ledger {
	site := s.facts.Site()
	if site == nil || !s.mayOrder[e.shard] {
		return nil
	}
	engine := site.Pools[e.info.Pool].Engine
	if engine == nil {
		return nil
	}
	l := s.ledgers[e.info.Name]
	if l == nil {
		l = slots.New(engine.AdapterSlots, firstModel(engine), e.recent)
		s.ledgers[e.info.Name] = l
	}
	l.SetCapacity(engine.AdapterSlots)
	return l
}

func firstModel(e *wick.SiteEngine) wick.ModelName {
	if len(e.Models) == 0 {
		return ""
	}
	return e.Models[0]
}

// modelPause is the time between two loads of base models by one holder. All
// holders together keep to the rate of the weight store.
func (s *state) modelPause(e *endpoint) time.Duration {
	site := s.facts.Site()
	rate := float64(site.Pools[e.info.Pool].Engine.ModelLoads)
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
	l.SetCrowd(s.incoming, s.knee())
	step, order := l.Next(now, now.Sub(s.modelLoad) >= s.modelPause(e))
	switch step {
	case slots.StepInspect:
		s.cfg.Steps.Inspect(e.info.Name, e.info.Address)
	case slots.StepOrder:
		if order.Weights.Adapter == "" {
			s.modelLoad = now
		}
		order.Endpoint = e.info.Name
		order.Holder = s.cfg.Self.Host
		order.Fence, _ = s.terms.MayOrder(now, e.shard)
		s.cfg.Steps.Order(e.info.Address, order)
	}
}

// ordered is the outcome of an order.
type ordered struct {
	order  wick.RunnerOrder
	result wick.OrderResult
	err    error
}

func (e ordered) apply(s *state, now wick.Instant) {
	o := e.order
	s.cfg.Note.Ordered(o.Kind, e.result)
	s.log.Info("order", "endpoint", o.Endpoint, "kind", o.Kind, "weights", o.Weights.String(), "version", o.Revision,
		"expected", o.Expected, "fence", o.Fence, "result", e.result.String(), "err", errText(e.err))
	end, l := s.endpoints[o.Endpoint], s.ledgers[o.Endpoint]
	if end == nil || l == nil {
		return
	}
	if e.result == wick.OrderFenced && s.terms.Holder(end.shard).Fence == o.Fence {
		s.log.Warn("term lost", "shard", end.shard, "fence", o.Fence, "cause", "a later holder's token was seen")
		s.terms.Fenced(end.shard)
		s.dirty = true
	}
	l.Ordered(now, o, e.result)
	s.place(now, end, l)
	if o.Kind == wick.OrderLoad {
		s.incoming++
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// inspected is the outcome of a question for a report.
type inspected struct {
	endpoint wick.EndpointName
	report   wick.RunnerReport
	err      error
}

func (e inspected) apply(s *state, now wick.Instant) {
	s.cfg.Note.Inspected(e.err)
	s.log.Info("report", "endpoint", e.endpoint, "orders", e.report.Orders, "loaded", len(e.report.Loaded),
		"incoming", len(e.report.Incoming), "err", errText(e.err))
	end, l := s.endpoints[e.endpoint], s.ledgers[e.endpoint]
	if end == nil || l == nil {
		return
	}
	l.Inspected(now, e.report, e.err)
	s.place(now, end, l)
}

// place publishes what the ledger of an endpoint says.
func (s *state) place(now wick.Instant, e *endpoint, l *slots.Ledger) {
	m := make(map[wick.Weights]Residence)
	for w, p := range l.Places {
		if !p.Usable() {
			continue
		}
		m[w] = Residence{Revision: p.Revision, Ready: p.Ready}
	}
	for w, r := range m {
		if old, ok := e.adapters[w]; !ok || old != r {
			s.out.place(wick.AdapterPlace{Endpoint: e.info.Name, Weights: w, Revision: r.Revision}, r.Ready)
		}
	}
	for w := range e.adapters {
		if _, ok := m[w]; !ok {
			s.out.place(wick.AdapterPlace{Endpoint: e.info.Name, Weights: w, Gone: true}, now)
		}
	}
	e.adapters = m
	e.cached = e.recent.Set()
	s.touch(e)
}

// renew orders a newer version of an adapter wherever an older one is held.
func (s *state) renew(now wick.Instant, newer wick.Loaded) {
	for name, l := range s.ledgers {
		e := s.endpoints[name]
		if e == nil {
			continue
		}
		if held, ok := e.adapters[newer.Weights]; ok && held.Revision < newer.Revision {
			l.Want(now, newer.Weights, newer.Revision)
		}
	}
}

// wanted is what traffic of this daemon tells of an adapter.
type wanted struct {
	want wick.AdapterWant
}

func (e wanted) apply(s *state, now wick.Instant) {
	end := s.endpoints[e.want.Endpoint]
	if end == nil {
		return
	}
	if s.terms.Holds(end.shard) {
		s.want(now, end, e.want)
		return
	}
	if h := s.holders[s.terms.Holder(end.shard).Holder]; h != nil {
		h.link.Post(wick.LinkMessage{Report: &wick.InstanceReport{Ready: s.ready(), Wants: []wick.AdapterWant{e.want}}})
	}
}

// want takes what a daemon tells of an adapter at an endpoint of an own shard.
func (s *state) want(now wick.Instant, e *endpoint, w wick.AdapterWant) {
	l := s.ledger(e)
	if l == nil {
		return
	}
	switch w.Reason {
	case wick.WantEarly:
		l.Early(now, w.Weights)
		s.place(now, e, l)
	case wick.WantMissing:
		l.Doubt(now, w.Weights)
	default:
		l.Want(now, w.Weights, w.Revision)
	}
}

// countUses tells the ledgers how many requests of all daemons use each
// adapter, and sums up the loads of the endpoints in own shards.
func (s *state) countUses(now wick.Instant) {
	for _, e := range s.order {
		if !s.terms.Holds(e.shard) {
			continue
		}
		own := e.meter.Read(now).EndpointLoad
		uses, sum := e.meter.Uses(), own
		for _, m := range s.members {
			load := m.loads[e.info.Name]
			sum.Running += load.Running
			sum.Waiting += load.Waiting
			for w, n := range m.uses[e.info.Name] {
				uses[w] += n
			}
		}
		if l := s.ledgers[e.info.Name]; l != nil {
			for w := range l.Places {
				l.Use(now, w, uses[w])
			}
			sum.Free, sum.Wants = l.Free(now), l.Wants()
			s.logCrowded(now, e, l)
		}
		if sum != e.total || own != e.told {
			e.total, e.told = sum, own
			s.touch(e)
		}
		if now >= s.loadsNext && s.worthTelling(e.sent, sum) {
			e.sent = sum
			s.out.loads = append(s.out.loads, wick.NamedLoad{Endpoint: e.info.Name, Load: sum})
		}
	}
	if now >= s.loadsNext {
		s.loadsNext = now.Add(loadsEvery * time.Duration(1+len(s.members)/membersPerStep))
	}
}

// worthTelling tells whether the load of an endpoint differs enough from what
// the linked daemons know. Where many listen, small changes are not told.
func (s *state) worthTelling(old, now wick.EndpointLoad) bool {
	if len(s.members) < membersPerStep || (old.Free > 0) != (now.Free > 0) {
		return old != now
	}
	least := max(now.Running/4, 2)
	return abs(now.Running-old.Running) >= least || abs(now.Wants-old.Wants) >= 2 ||
		abs(int(now.Waiting-old.Waiting)) >= tellTokens
}

func abs(n int) int { return max(n, -n) }

// logCrowded logs that adapters wait long for a slot of an endpoint.
func (s *state) logCrowded(now wick.Instant, e *endpoint, l *slots.Ledger) {
	c := l.Census(now)
	if c.Oldest < crowdedAfter || now.Sub(e.crowded) < crowdedEvery {
		return
	}
	e.crowded = now
	s.log.Warn("adapters wait for slots", "endpoint", e.info.Name, "oldest_ms", c.Oldest.Milliseconds(), "wants", c.Wants, "slots", c.Slots,
		"in_use", c.InUse, "incoming", c.Incoming, "leaving", c.Leaving, "unsure", c.Unsure, "replaced", c.Replaced,
		"synced", c.Synced, "busy", c.Busy, "running", e.total.Running)
}

// instanceText names a daemon in a log line.
func instanceText(d wick.Instance) string { return fmt.Sprintf("%s/%x", d.Host, uint64(d.Incarnation)) }
