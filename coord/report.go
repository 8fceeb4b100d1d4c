package coord

import (
	"slices"

	"currantwick"
)

// prefixCached is a prompt prefix that an endpoint has processed for this daemon.
type prefixCached struct {
	cachedPrefix wick.CachedPrefix
}

func (e prefixCached) apply(s *state, _ wick.Instant) {
	end := s.endpoints[e.cachedPrefix.Endpoint]
	if end == nil {
		return
	}
	if s.terms.Holds(end.shard) {
		s.out.cachedPrefix = append(s.out.cachedPrefix, e.cachedPrefix)
		return
	}
	s.reportToHolder(end, &wick.InstanceReport{CachedPrefixes: []wick.CachedPrefix{e.cachedPrefix}})
}

// reportToHolder sends a report to the holder of an endpoint's shard at once.
func (s *state) reportToHolder(e *endpoint, r *wick.InstanceReport) {
	if h := s.holders[s.terms.Holder(e.shard).Holder]; h != nil {
		r.Ready = s.ready()
		h.link.Post(wick.LinkMessage{Report: r})
	}
}

// sendReport reports to a holder this daemon's load on the holder's endpoints.
func (s *state) sendReport(now wick.Instant, h *holder) {
	if now.Sub(h.comparedAt) < loadsInterval && h.ready == s.ready() {
		return
	}
	h.comparedAt = now
	r := &wick.InstanceReport{Ready: s.ready(), Known: s.knownOffsets()}
	if !h.told {
		h.told = true
		r.Evidence, r.Leaving = s.suspects.Evidence(now), s.leavingEndpoints()
	}
	if slices.Equal(r.Known, h.known) {
		r.Known = nil
	}
	for _, e := range s.sortedEndpoints {
		if s.terms.Holder(e.shard).Holder != h.instance.Host {
			continue
		}
		name, load := e.info.Name, e.meter.Read(now).EndpointLoad
		if h.loads[name] != load {
			h.loads[name] = load
			r.Loads = append(r.Loads, wick.NamedLoad{Endpoint: name, Load: load})
		}
		r.Uses = append(r.Uses, h.changedUses(name, e.meter.Uses())...)
		if o := e.meter.TakeOutcomes(); o.Requests > 0 {
			o.Endpoint = name
			r.EndpointStats = append(r.EndpointStats, o)
		}
	}
	r.Allotments = s.shareReport(now, h, false)
	if len(r.Loads) == 0 && len(r.Uses) == 0 && len(r.EndpointStats) == 0 && !r.Allotments.Asking() && h.ready == r.Ready && now.Sub(h.sentAt) < heartbeat {
		return
	}
	h.sentAt, h.ready = now, r.Ready
	if r.Known != nil {
		h.known = r.Known
	}
	h.link.Post(wick.LinkMessage{Report: r})
}

// changedUses returns the uses of adapters at an endpoint that changed since the
// last report to the holder.
func (h *holder) changedUses(name wick.EndpointName, uses map[wick.Weights]int) []wick.AdapterUse {
	var list []wick.AdapterUse
	old := h.uses[name]
	for w, n := range uses {
		if old[w] != n {
			list = append(list, wick.AdapterUse{Endpoint: name, Weights: w, Count: n})
		}
	}
	for w := range old {
		if uses[w] == 0 {
			list = append(list, wick.AdapterUse{Endpoint: name, Weights: w})
		}
	}
	h.uses[name] = uses
	return list
}
