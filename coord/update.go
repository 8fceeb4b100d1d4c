package coord

import (
	"time"

	"currantwick"
	"currantwick/terms"
)

// outgoing collects what the next update to the linked daemons contains.
type outgoing struct {
	shards       bool
	records      []wick.RelayedRecord
	placements   []wick.AdapterPlacement
	readyAt      []wick.Instant
	loads        []wick.NamedLoad
	cachedPrefix []wick.CachedPrefix
	spans        []wick.Span
	evidence     wick.Evidence
	leaving      []wick.EndpointStart
	// instances are the daemons whose link or readiness changed.
	instances map[wick.HostName]bool
	// sentAt is when the last update was sent, and agesSentAt when the last one
	// with the ages of topics was.
	sentAt, agesSentAt wick.Instant
}

// instance queues a daemon whose link or readiness changed.
func (o *outgoing) instance(h wick.HostName) {
	if o.instances == nil {
		o.instances = make(map[wick.HostName]bool)
	}
	o.instances[h] = true
}

// queuePlacements queues the state of an adapter, which can serve from ready on.
func (o *outgoing) queuePlacements(p wick.AdapterPlacement, ready wick.Instant) {
	o.placements = append(o.placements, p)
	o.readyAt = append(o.readyAt, ready)
}

// applyUpdate applies a holder's update.
func (s *state) applyUpdate(now wick.Instant, h *holder, u *wick.HolderUpdate) {
	s.updateShards(h, u.Shards)
	for _, r := range u.Records {
		if r.Topic >= wick.NumTopics {
			continue
		}
		from := fromHolder
		if r.Confirmed {
			from = fromHolderConfirmed
		}
		s.applyRecord(now, r, from)
	}
	for _, sp := range u.Spans {
		if sp.Topic < wick.NumTopics {
			s.topics[sp.Topic].applySpan(sp)
		}
	}
	for i, age := range u.TopicAges {
		if age >= 0 && i < len(s.topics) && s.knowsAll(wick.Topic(i), u.Ends) {
			s.topics[i].holderCurrent = max(s.topics[i].holderCurrent, now.Add(-age.Std()))
		}
	}
	for _, name := range u.Reset {
		if e := s.endpoints[name]; e != nil {
			e.adapters = make(map[wick.Weights]Residence)
			s.invalidate(e)
		}
	}
	for _, p := range u.Placements {
		s.applyPlacement(now, p)
	}
	for _, l := range u.Loads {
		if e := s.endpoints[l.Endpoint]; e != nil {
			e.total, e.ownReported = l.Load, h.loads[l.Endpoint]
			s.invalidate(e)
		}
	}
	for _, k := range u.CachedPrefixes {
		if e := s.endpoints[k.Endpoint]; e != nil {
			e.meter.AddPrefix(k.PrefixID)
		}
	}
	s.addEvidence(now, u.Evidence, daemonEvidence)
	s.setLeaving(now, u.Leaving, false)
	for _, id := range u.Trials {
		s.grant(now, id)
	}
	s.applyShareReply(now, h, u.Allotments)
	for _, d := range u.Instances {
		h.instances[d.Instance.Host] = d
	}
	for _, host := range u.Departed {
		delete(h.instances, host)
	}
	if len(u.Instances) > 0 || len(u.Departed) > 0 {
		s.daemonsChanged()
	}
}

func (s *state) updateShards(h *holder, list []wick.Shard) {
	current := make(map[wick.Shard]bool, len(list))
	for _, sh := range list {
		current[sh] = true
		s.dirty = s.dirty || !h.shards[sh]
	}
	s.dirty = s.dirty || len(current) != len(h.shards)
	h.shards = current
}

// applyPlacement applies the state of an adapter at an endpoint in another
// daemon's shard.
func (s *state) applyPlacement(now wick.Instant, p wick.AdapterPlacement) {
	e := s.endpoints[p.Endpoint]
	if e == nil || s.terms.Holds(e.shard) {
		return
	}
	m := make(map[wick.Weights]Residence, len(e.adapters)+1)
	for w, r := range e.adapters {
		m[w] = r
	}
	if p.Removed {
		delete(m, p.Weights)
	} else {
		m[p.Weights] = Residence{Revision: p.Revision, Ready: now.Add(p.ReadyIn.Std())}
	}
	e.adapters = m
	e.recent.Add(now, p.Weights, s.slotsOf(e))
	e.cached = e.recent.Set()
	s.invalidate(e)
}

// slotsOf returns the number of adapter slots of an endpoint.
func (s *state) slotsOf(e *endpoint) wick.Slots {
	if config := s.facts.ServingConfig(); config != nil {
		if engine := config.Pools[e.info.Pool].Engine; engine != nil {
			return engine.AdapterSlots
		}
	}
	return 0
}

// fullUpdate returns the state of the shards of this daemon, and the records that
// a daemon that has just linked does not know.
func (s *state) fullUpdate(now wick.Instant, m *linkedDaemon) *wick.HolderUpdate {
	u := s.baseUpdate()
	s.addMissing(u, m)
	u.TopicAges, u.Ends = s.ages(now)
	for _, e := range s.sortedEndpoints {
		if !s.mayOrder(e.shard) || s.ledgers[e.info.Name] == nil {
			continue
		}
		u.Reset = append(u.Reset, e.info.Name)
		for w, r := range e.adapters {
			u.Placements = append(u.Placements, wick.AdapterPlacement{
				Endpoint: e.info.Name, Weights: w, Revision: r.Revision, ReadyIn: wick.Duration(max(r.Ready.Sub(now), 0)),
			})
		}
		u.Loads = append(u.Loads, wick.NamedLoad{Endpoint: e.info.Name, Load: e.total})
	}
	u.Instances = s.instances()
	u.Evidence, u.Leaving = s.suspects.Evidence(now), s.leavingEndpoints()
	return u
}

func (s *state) baseUpdate() *wick.HolderUpdate {
	u := &wick.HolderUpdate{}
	for sh := range wick.Shard(terms.Shards) {
		if s.mayOrder(sh) {
			u.Shards = append(u.Shards, sh)
		}
	}
	return u
}

// ages returns how long ago this daemon read each topic up to its end, -1 for
// never, and the end that it found.
func (s *state) ages(now wick.Instant) ([]wick.Duration, []wick.Offset) {
	list, ends := make([]wick.Duration, len(s.topics)), make([]wick.Offset, len(s.topics))
	for i := range s.topics {
		t := &s.topics[i]
		list[i], ends[i] = -1, t.next
		if t.current >= 0 {
			list[i] = wick.Duration(now.Sub(t.current))
		}
	}
	return list, ends
}

// instances lists this daemon and those that report to it.
func (s *state) instances() []wick.InstanceState {
	return append(s.reportingDaemons(), wick.InstanceState{Instance: s.cfg.Self, Ready: s.ready()})
}

// addChangedInstances adds the daemons whose link or readiness changed.
func (s *state) addChangedInstances(u *wick.HolderUpdate) {
	changed := s.out.instances
	for _, d := range s.instances() {
		if changed[d.Instance.Host] {
			u.Instances = append(u.Instances, d)
			delete(changed, d.Instance.Host)
		}
	}
	for host := range changed {
		u.Departed = append(u.Departed, host)
	}
}

// placementsInterval is the least time between updates that contain only
// placements: a fraction of the time in which an adapter loads from a local
// copy.
const placementsInterval = 20 * time.Millisecond

// flush sends pending changes to the linked daemons: records, shards and
// instances at once, placements after placementsInterval, loads and heartbeats
// with the ticks.
func (s *state) flush(now wick.Instant, tick bool) {
	o := &s.out
	since := now.Sub(o.sentAt)
	urgent := o.shards || len(o.instances) > 0 || len(o.records) > 0 || !o.evidence.Empty() || len(o.leaving) > 0 || s.stopping
	soon := len(o.placements) > 0 && since >= placementsInterval
	if urgent || soon || tick && (len(o.loads) > 0 && since >= loadsInterval || since >= heartbeat) {
		s.sendUpdate(now)
	}
	if tick || s.stopping {
		for _, h := range s.holders {
			s.sendReport(now, h)
		}
	}
}

func (s *state) sendUpdate(now wick.Instant) {
	o := &s.out
	u := s.baseUpdate()
	u.Records, u.Placements, u.Loads, u.CachedPrefixes = o.records, o.placements, o.loads, o.cachedPrefix
	u.Spans = o.spans
	u.Evidence, u.Leaving = o.evidence, o.leaving
	for i := range u.Placements {
		u.Placements[i].ReadyIn = wick.Duration(max(o.readyAt[i].Sub(now), 0))
	}
	if len(o.instances) > 0 {
		s.addChangedInstances(u)
	}
	if now.Sub(o.agesSentAt) >= heartbeat {
		o.agesSentAt = now
		u.TopicAges, u.Ends = s.ages(now)
	}
	for _, m := range s.linkedDaemons {
		m.link.Post(wick.LinkMessage{Update: u})
	}
	s.out = outgoing{sentAt: now, agesSentAt: s.out.agesSentAt}
}
