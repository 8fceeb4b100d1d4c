// Package facts keeps the state that the platform publishes: the serving
// configuration in force, the endpoints, and the newest versions of adapters.
// The state is built by applying records; a record older than the known state
// changes nothing, whichever way it arrived.
package facts

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"currantwick"
)

// lapseGrace is how long after the store becomes readable again an entry that
// lapsed during an outage may still be renewed: the platform documents about
// two seconds.
const lapseGrace = 2300 * time.Millisecond

// State is the state built by applying facts. It is not safe for concurrent
// use; values returned by its methods are never modified.
type State struct {
	config   *wick.ServingConfig
	configAt wick.Offset
	routes   map[string][]wick.RouteConfig
	runners  map[wick.EndpointName]*endpointEntry
	newest   map[wick.Weights]Revision
	// storeDown is set while the store can't be read, and storeUpSince is when
	// it last became readable again.
	storeDown    bool
	storeUpSince wick.Instant
}

// Revision is the newest version of an adapter.
type Revision struct {
	Number wick.Revision
	// ReceivedAt is when this daemon received it.
	ReceivedAt wick.Instant
	at         wick.Offset
}

// endpointEntry is the known state of an endpoint.
type endpointEntry struct {
	runner *wick.Runner
	at     wick.Offset
	// gone is set when the entry was removed. lapsed is set instead when it was
	// removed during an outage or within lapseGrace after it, in which case it may
	// still return.
	gone   bool
	lapsed bool
}

// New returns an empty state.
func New() *State {
	return &State{
		routes:       make(map[string][]wick.RouteConfig),
		runners:      make(map[wick.EndpointName]*endpointEntry),
		newest:       make(map[wick.Weights]Revision),
		storeUpSince: -wick.Instant(lapseGrace),
	}
}

// Effect is the kind of change that a fact made.
type Effect uint8

// The effects of a fact.
const (
	// Unchanged is the effect of a fact that changes nothing, such as one older
	// than the known state.
	Unchanged Effect = iota
	// CacheChange is a change only of the adapters that an endpoint has loaded or
	// cached. The holder of the endpoint's shard learns of it earlier.
	CacheChange
	// Change is any other change.
	Change
)

// effectOf returns Change if something changed, and Unchanged otherwise.
func effectOf(changed bool) Effect {
	if changed {
		return Change
	}
	return Unchanged
}

// Apply applies a fact from the store, which this daemon has read or a holder has
// relayed, and returns its effect.
func (s *State) Apply(now wick.Instant, f wick.Fact) Effect {
	switch {
	case f.ServingConfig != nil:
		return effectOf(s.applyConfig(f))
	case f.NewRevision != nil:
		return effectOf(s.applyNewer(now, f))
	case f.Runner != nil:
		return s.applyRunner(f)
	}
	return effectOf(s.applyGone(now, f))
}

func (s *State) applyConfig(f wick.Fact) bool {
	if s.config != nil && f.Offset <= s.configAt {
		return false
	}
	s.config, s.configAt = f.ServingConfig, f.Offset
	s.routes = make(map[string][]wick.RouteConfig)
	for _, r := range f.ServingConfig.Routes {
		s.routes[r.Host] = append(s.routes[r.Host], r)
	}
	for _, list := range s.routes {
		slices.SortStableFunc(list, func(a, b wick.RouteConfig) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return true
}

func (s *State) applyNewer(now wick.Instant, f wick.Fact) bool {
	known, ok := s.newest[f.NewRevision.Weights]
	if ok && (f.Offset <= known.at || f.NewRevision.Revision <= known.Number) {
		return false
	}
	// Readers hold the old map, so it is replaced.
	s.newest = maps.Clone(s.newest)
	s.newest[f.NewRevision.Weights] = Revision{Number: f.NewRevision.Revision, ReceivedAt: now, at: f.Offset}
	return true
}

func (s *State) applyRunner(f wick.Fact) Effect {
	e := s.runners[f.Runner.Name]
	if e == nil {
		s.runners[f.Runner.Name] = &endpointEntry{runner: f.Runner, at: f.Offset}
		return Change
	}
	if f.Offset <= e.at {
		return Unchanged
	}
	e.at = f.Offset
	same := !e.gone && e.runner.Started == f.Runner.Started
	if same && e.runner.Draining && !f.Runner.Draining {
		// A heartbeat that arrives late does not cancel a draining notice.
		return Unchanged
	}
	// Other daemons may have removed a lapsed entry, and must be notified of
	// its return.
	details := same && !e.lapsed && onlyAdaptersDiffer(e.runner, f.Runner)
	e.runner, e.gone, e.lapsed = f.Runner, false, false
	if details {
		return CacheChange
	}
	return Change
}

// onlyAdaptersDiffer reports whether two descriptions of one incarnation differ at
// most in the loaded and cached adapters, which the holder of its shard knows
// better.
func onlyAdaptersDiffer(a, b *wick.Runner) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.Domain == b.Domain && a.Slots == b.Slots &&
		a.Draining == b.Draining && slices.Equal(a.Models, b.Models)
}

// applyGone removes an endpoint. During an outage of the store, and for lapseGrace
// after it, entries of live endpoints may be missing because they could not be
// renewed. Such an endpoint stays until Expire, unless it is draining.
func (s *State) applyGone(now wick.Instant, f wick.Fact) bool {
	e := s.runners[f.RemovedEndpoint]
	if e == nil || f.Offset <= e.at {
		return false
	}
	e.at = f.Offset
	if e.gone {
		return false
	}
	if !e.runner.Draining && (s.storeDown || now.Sub(s.storeUpSince) < lapseGrace) {
		e.lapsed = true
		return false
	}
	e.gone = true
	return true
}

// Remove removes an endpoint that is known to be gone, and reports whether that
// changed anything. Unlike a removal given to Apply, it takes effect during an
// outage of the store too.
func (s *State) Remove(f wick.Fact) bool {
	e := s.runners[f.RemovedEndpoint]
	if e == nil || e.gone || f.Offset < e.at {
		return false
	}
	e.at, e.gone, e.lapsed = f.Offset, true, false
	return true
}

// ApplyListing applies a full listing of the endpoints in the store, which ends at
// the offset end. An endpoint of the state that is not in listed, and whose last
// record is older, is gone; the record of its removal was deleted. It returns the
// removals.
func (s *State) ApplyListing(now wick.Instant, listed map[wick.EndpointName]bool, end wick.Offset) []wick.Fact {
	var gone []wick.Fact
	for name, e := range s.runners {
		if listed[name] || e.gone || e.at >= end || end == 0 {
			continue
		}
		f := wick.Fact{Offset: end - 1, RemovedEndpoint: name}
		if s.applyGone(now, f) {
			gone = append(gone, f)
		}
	}
	return gone
}

// SetReachable records whether the store could be read.
func (s *State) SetReachable(now wick.Instant, ok bool) {
	if ok && s.storeDown {
		s.storeUpSince = now
	}
	s.storeDown = !ok
}

// Expire removes the endpoints whose entries lapsed during an outage and were
// not renewed in time, and returns the changes.
func (s *State) Expire(now wick.Instant) []wick.Fact {
	if s.storeDown || now.Sub(s.storeUpSince) < lapseGrace {
		return nil
	}
	var gone []wick.Fact
	for name, e := range s.runners {
		if e.lapsed {
			e.lapsed, e.gone = false, true
			gone = append(gone, wick.Fact{Offset: e.at, RemovedEndpoint: name})
		}
	}
	return gone
}

// ServingConfig returns the configuration in force, or nil.
func (s *State) ServingConfig() *wick.ServingConfig { return s.config }

// Routes returns an index of the configuration's routes.
func (s *State) Routes() Routes { return s.routes }

// Newest returns the newest versions of adapters.
func (s *State) Newest() map[wick.Weights]Revision { return s.newest }

// Runner returns an endpoint that is not gone, or nil.
func (s *State) Runner(name wick.EndpointName) *wick.Runner {
	if e := s.runners[name]; e != nil && !e.gone {
		return e.runner
	}
	return nil
}

// Runners returns the endpoints that are not gone, by name.
func (s *State) Runners() []*wick.Runner {
	list := make([]*wick.Runner, 0, len(s.runners))
	for _, e := range s.runners {
		if !e.gone {
			list = append(list, e.runner)
		}
	}
	slices.SortFunc(list, func(a, b *wick.Runner) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Routes lists routes by host, longest prefix first.
type Routes map[string][]wick.RouteConfig

// Find returns the route of a request: among the routes of its host, the one
// with the longest prefix of the path.
func (r Routes) Find(host, path string) (wick.RouteConfig, bool) {
	for _, route := range r[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return wick.RouteConfig{}, false
}
