// Package facts keeps the state that the platform publishes: the serving
// configuration in force, the endpoints, and the newest versions of adapters.
// The state is built by applying records; a record older than the known state
// changes nothing, whichever way it arrived. The offset of a record does not show
// its age: the store may carry out a write seconds after it was sent, behind newer
// ones. Where records number their own versions, these decide.
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

// returnHeartbeats is how many heartbeats the entry of an endpoint that was removed
// must stay in the store before the endpoint counts as back: the three after which
// the store removes the entry of a silent endpoint, and one for delays.
const returnHeartbeats = 4

// Config sets up a State.
type Config struct {
	// Heartbeat is how often an endpoint renews its entry; 0 if an endpoint that was
	// removed may return at once.
	Heartbeat time.Duration
}

// State is the state built by applying facts. It is not safe for concurrent
// use; values returned by its methods are never modified.
type State struct {
	cfg      Config
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
	// runner is the newest description; only Name, Started and Sequence are set if
	// just the removal is known.
	runner *wick.Runner
	at     wick.Offset
	// gone is set when the entry was removed. lapsed is set instead when it was
	// removed during an outage or within lapseGrace after it, in which case it may
	// still return. expired is set beside gone if a lapsed entry did not return in
	// time: the store has not said that the endpoint left.
	gone    bool
	lapsed  bool
	expired bool
	// held is a description of the start that was removed: the endpoint is back, or
	// the store has carried out a write of it late. It is set only beside gone.
	held   *wick.Fact
	heldAt wick.Instant
	// returnedAt is the offset of the last description with which the endpoint
	// returned.
	returnedAt wick.Offset
}

// New returns an empty state.
func New(cfg Config) *State {
	return &State{
		cfg:          cfg,
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
	// Outdated is the effect of a record that the store has written behind newer
	// ones although it is older. It changes nothing.
	Outdated
	// Held is the effect of a description of an endpoint that was removed. It may
	// have been written late, and takes effect by Returned or a later description.
	Held
	// Noted is the effect of the removal of an endpoint that was not known.
	Noted
	// Change is any other change.
	Change
	// Return is a Change by which an endpoint that was removed, or that other daemons
	// may have removed, is back.
	Return
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
		return s.applyConfig(f)
	case f.NewRevision != nil:
		return s.applyNewer(now, f)
	case f.Runner != nil:
		return s.applyRunner(now, f)
	}
	return effectOf(s.applyGone(now, f))
}

// Confirm applies a fact that a holder has confirmed, and returns its effect.
func (s *State) Confirm(now wick.Instant, f wick.Fact) Effect {
	if f.RemovedEndpoint != "" {
		return s.remove(now, f)
	}
	if f.Runner != nil {
		if e := s.runners[f.Runner.Name]; e != nil && e.gone && f.Offset >= e.at && compareAge(f.Runner, e.runner) >= 0 {
			e.bringBack(f)
			return Change
		}
	}
	return s.Apply(now, f)
}

func (s *State) applyConfig(f wick.Fact) Effect {
	if s.config != nil {
		switch version, inForce := f.ServingConfig.Version, s.config.Version; {
		case f.Offset <= s.configAt && version <= inForce:
			return Unchanged
		case version < inForce:
			return Outdated
		}
	}
	s.config, s.configAt = f.ServingConfig, max(f.Offset, s.configAt)
	s.routes = make(map[string][]wick.RouteConfig)
	for _, r := range f.ServingConfig.Routes {
		s.routes[r.Host] = append(s.routes[r.Host], r)
	}
	for _, list := range s.routes {
		slices.SortStableFunc(list, func(a, b wick.RouteConfig) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return Change
}

func (s *State) applyNewer(now wick.Instant, f wick.Fact) Effect {
	known, ok := s.newest[f.NewRevision.Weights]
	switch {
	case ok && f.NewRevision.Revision < known.Number && f.Offset > known.at:
		return Outdated
	case ok && f.NewRevision.Revision <= known.Number:
		return Unchanged
	}
	// Readers hold the old map, so it is replaced.
	s.newest = maps.Clone(s.newest)
	s.newest[f.NewRevision.Weights] = Revision{Number: f.NewRevision.Revision, ReceivedAt: now, at: max(f.Offset, known.at)}
	return Change
}

// compareAge compares two descriptions of an endpoint by what they say of their own age. It
// returns 1 if a is newer than b, -1 if it is older, and 0 if they don't tell.
func compareAge(a, b *wick.Runner) int {
	switch {
	case a.Started != b.Started:
		if a.Started == 0 || b.Started == 0 {
			return 0
		}
		return cmp.Compare(a.Started, b.Started)
	case a.Sequence == 0 || b.Sequence == 0:
		return 0
	}
	return cmp.Compare(a.Sequence, b.Sequence)
}

// isRepeated reports whether two descriptions of an endpoint are one and the same.
func isRepeated(a, b *wick.Runner) bool {
	return a.Started == b.Started && a.Sequence == b.Sequence && a.Sequence > 0
}

func (s *State) applyRunner(now wick.Instant, f wick.Fact) Effect {
	e := s.runners[f.Runner.Name]
	if e == nil {
		s.runners[f.Runner.Name] = &endpointEntry{runner: f.Runner, at: f.Offset}
		return Change
	}
	newer := compareAge(f.Runner, e.runner)
	switch known := f.Offset <= e.at; {
	case newer <= 0 && known:
		return Unchanged
	case newer < 0, (e.gone || e.lapsed) && isRepeated(f.Runner, e.runner):
		return Outdated
	case e.gone && known:
		// Only the removal was known so far.
		e.runner = f.Runner
		return Unchanged
	case e.gone:
		return s.applyReturn(now, e, f)
	}
	e.at = max(e.at, f.Offset)
	same := e.runner.Started == f.Runner.Started
	if same && e.runner.Draining && !f.Runner.Draining {
		// A heartbeat that arrives late does not cancel a draining notice.
		return Unchanged
	}
	details := same && onlyAdaptersDiffer(e.runner, f.Runner)
	wasLapsed := e.lapsed
	e.runner, e.lapsed = f.Runner, false
	switch {
	case wasLapsed:
		// Daemons that did not see the outage have removed it.
		return Return
	case details:
		return CacheChange
	}
	return Change
}

// applyReturn applies a description of an endpoint that was removed. One of the start
// that was removed may have been written late. It is held until a later description
// follows, or until the store would have removed the entry of an endpoint that ended.
func (s *State) applyReturn(now wick.Instant, e *endpointEntry, f wick.Fact) Effect {
	mayBeLate := !e.expired && f.Runner.Started == e.runner.Started && s.cfg.Heartbeat > 0
	confirmed := e.held != nil && compareAge(f.Runner, e.held.Runner) > 0
	if !mayBeLate || confirmed {
		e.bringBack(f)
		return Return
	}
	if e.held == nil {
		e.held, e.heldAt = &f, now
	}
	e.at = f.Offset
	return Held
}

// bringBack ends the removal of an endpoint.
func (e *endpointEntry) bringBack(f wick.Fact) {
	e.runner, e.at, e.returnedAt = f.Runner, f.Offset, f.Offset
	e.gone, e.expired, e.held = false, false, nil
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
	e.at, e.held = f.Offset, nil
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

// remove removes an endpoint that a holder knows to be gone. Unlike a removal given
// to Apply, it takes effect during an outage of the store too, and for an entry that
// was written behind the removal if it is that of the removed start.
func (s *State) remove(now wick.Instant, f wick.Fact) Effect {
	last := &wick.Runner{Name: f.RemovedEndpoint, Started: f.RemovedStart, Sequence: f.RemovedSequence}
	e := s.runners[f.RemovedEndpoint]
	if e == nil {
		if last.Started == 0 {
			return Unchanged
		}
		s.runners[f.RemovedEndpoint] = &endpointEntry{runner: last, at: f.Offset, gone: true}
		return Noted
	}
	if (e.gone || f.Offset >= e.at) && compareAge(last, e.runner) > 0 {
		e.runner = last // Heartbeats are not relayed.
	}
	switch {
	case e.gone:
		if f.Offset > e.at {
			e.at, e.held = f.Offset, nil
		}
		return Unchanged
	case f.Offset >= e.at:
		e.at, e.gone, e.lapsed, e.expired = f.Offset, true, false, last.Started == 0
		return Change
	case last.Started == 0 || f.Offset < e.returnedAt || e.runner.Started > last.Started:
		return Unchanged
	}
	e.gone, e.lapsed = true, false
	if compareAge(e.runner, last) > 0 {
		e.held, e.heldAt = &wick.Fact{Offset: e.at, Runner: e.runner}, now
	}
	e.runner = last
	return Change
}

// Removed returns the start of an endpoint that was removed, and the number of the
// newest description of it. It returns false if the store has not said that the
// endpoint left.
func (s *State) Removed(name wick.EndpointName) (wick.Started, wick.DescriptionCount, bool) {
	e := s.runners[name]
	if e == nil || !e.gone || e.expired {
		return 0, 0, false
	}
	return e.runner.Started, e.runner.Sequence, true
}

// Returned returns the endpoints that were removed and whose entries have since been
// in the store for so long that they are back.
func (s *State) Returned(now wick.Instant) []wick.Fact {
	if s.storeDown || now.Sub(s.storeUpSince) < returnHeartbeats*s.cfg.Heartbeat {
		return nil
	}
	var back []wick.Fact
	for _, e := range s.runners {
		if e.held != nil && now.Sub(e.heldAt) >= returnHeartbeats*s.cfg.Heartbeat {
			f := *e.held
			e.bringBack(f)
			back = append(back, f)
		}
	}
	return back
}

// ApplyListing applies a full listing of the endpoints in the store, which ends at
// the offset end. An endpoint of the state that is not in listed, and whose last
// record is older, is gone; the record of its removal was deleted. It returns the
// removals.
func (s *State) ApplyListing(now wick.Instant, listed map[wick.EndpointName]bool, end wick.Offset) []wick.Fact {
	var gone []wick.Fact
	for name, e := range s.runners {
		if listed[name] || e.gone && e.held == nil || e.at >= end || end == 0 {
			continue
		}
		f := wick.Fact{Offset: end - 1, RemovedEndpoint: name}
		if s.applyGone(now, f) {
			f.RemovedStart, f.RemovedSequence = e.runner.Started, e.runner.Sequence
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
			e.lapsed, e.gone, e.expired = false, true, true
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
