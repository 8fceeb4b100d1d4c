package ctrl

import (
	"fmt"
	"time"

	"currantwick"
	"currantwick/audit"
	"currantwick/claim"
	"currantwick/config"
	"currantwick/crash"
	"currantwick/eject"
	"currantwick/lease"
	"currantwick/place"
	"currantwick/route"
)

const (
	// publishEvery is the least time between two snapshots that differ only
	// in the load of endpoints.
	publishEvery = 20 * time.Millisecond
	// lookEvery is how often what has no event of its own is looked at.
	lookEvery = 100 * time.Millisecond
	// parkWithin is how long a request waits for the configuration it was
	// resolved at.
	parkWithin = time.Second
)

// Config sets up a Thread.
type Config struct {
	// Clock is the daemon's monotonic clock.
	Clock wick.Clock
	Lease lease.Config
	Claim claim.Config
	Route route.Config
	Eject eject.Config
	// Place holds the settings of every pool's placer.
	Place  place.Config
	Crash  crash.Config
	Policy Policy
	// InFlight is this daemon's own work by endpoint.
	InFlight wick.InFlight
	// Stale is how long the daemon goes on after it last knew that its
	// configuration is current; positive.
	Stale time.Duration
	// Checkpoint is the time between checkpoints of the configuration; positive.
	Checkpoint time.Duration
	// Note counts what happens.
	Note wick.ControlNote
}

// Policy holds the policies of every endpoint; none is nil.
type Policy struct {
	Order wick.Orderer
	Evict wick.Evictor
	Admit wick.Admitter
}

// state is all control state of a daemon. Only the control thread touches it.
type state struct {
	cfg    Config
	out    wick.Outside
	gate   *gate
	keeper *lease.Keeper
	conf   *config.State
	trail  *audit.Trail
	book   *claim.Book
	routes *route.Builder

	// owned are the endpoints that the daemon owns in the current view or
	// still has requests in flight at.
	owned map[wick.EndpointName]*owned
	// known are the endpoints as routes has them.
	known map[wick.EndpointName]wick.Endpoint
	// parked are runs that wait for the configuration.
	parked []*Run
	// claiming are runs that wait for a claim on their key.
	claiming map[wick.RequestID]*Run
	// releasing are runs whose claim is being given back.
	releasing map[wick.RequestID]*Run
	awaited   map[wick.ChangeID]chan<- wick.Verdict
	// recent are the newest entries of the configuration, for peers.
	recent []wick.Entry
	// hosts are the hosts that the platform says are leaving.
	hosts map[wick.HostName]bool
	loads loads
	// pace compares endpoints, suspects remembers crashes.
	pace     wick.Ejector
	suspects *crash.Register
	placers  map[wick.PoolName]wick.Placer
	// planned is when the placers planned last.
	planned wick.Instant
	// wanting tells that a load was asked for since the last tick.
	wanting bool
	// told and digests are what other daemons said last, for operators.
	told    map[wick.HostName]told
	digests map[wick.EndpointName]wick.Digest

	// fresh is when the configuration was last known to be current.
	fresh    wick.Instant
	isFresh  bool
	fetching bool
	// stopping tells that callers are sent elsewhere, closed that new requests
	// are refused.
	stopping bool
	closed   bool
	// mark is the newest checkpoint seen on the log, at markedAt.
	mark     config.Mark
	markedAt wick.Instant
	// looked is when look ran last.
	looked wick.Instant
	// urgent tells that the next snapshot must not wait, moved that it would
	// differ from the last one, published when that was.
	urgent    bool
	moved     bool
	published wick.Instant
}

func newState(cfg Config, g *gate) (*state, error) {
	routes, err := route.New(cfg.Route, cfg.InFlight)
	if err != nil {
		return nil, fmt.Errorf("policies: %w", err)
	}
	pace, err := eject.New(cfg.Eject)
	if err != nil {
		return nil, fmt.Errorf("policies: %w", err)
	}
	if _, err := place.New(cfg.Place); err != nil {
		return nil, fmt.Errorf("policies: %w", err)
	}
	return &state{
		pace:      pace,
		suspects:  crash.New(cfg.Crash),
		placers:   make(map[wick.PoolName]wick.Placer),
		cfg:       cfg,
		gate:      g,
		keeper:    lease.New(cfg.Lease),
		conf:      config.New(),
		trail:     audit.New(audit.Config{}),
		book:      claim.New(cfg.Claim),
		routes:    routes,
		owned:     make(map[wick.EndpointName]*owned),
		known:     make(map[wick.EndpointName]wick.Endpoint),
		claiming:  make(map[wick.RequestID]*Run),
		releasing: make(map[wick.RequestID]*Run),
		awaited:   make(map[wick.ChangeID]chan<- wick.Verdict),
		hosts:     make(map[wick.HostName]bool),
		loads:     newLoads(),
		told:      make(map[wick.HostName]told),
		digests:   make(map[wick.EndpointName]wick.Digest),
	}, nil
}

// tick lets all that waits for time go on.
func (s *state) tick(now wick.Instant) {
	s.lease(now, s.keeper.Tick(now))
	s.claims(now, s.book.Tick(now))
	for _, o := range s.owned {
		if now >= o.sched.Next() {
			s.perform(now, o, o.sched.Tick(now))
		}
	}
	if s.wanting {
		s.wanting = false
		s.lookLoads(now)
	}
	if now.Sub(s.looked) >= lookEvery {
		s.look(now)
	}
}

// look checks what changes with time alone.
func (s *state) look(now wick.Instant) {
	s.looked = now
	for name, o := range s.owned {
		s.settleOwner(now, o)
		s.lookPace(now, o)
		s.shed(now, o)
		s.routes.Digest(s.digest(now, o))
		s.moved = true
		if o.idle() && !s.mine(name) {
			delete(s.owned, name)
		}
	}
	s.unpark(now)
	s.audit(now)
	s.book.SetWriter(s.ownsClaims())
	s.checkpoint(now)
	s.lookLoads(now)
	s.plan(now)
	if fresh := s.isCurrent(now); fresh != s.isFresh {
		s.isFresh = fresh
		s.urgent = true
	}
}

// next returns when tick must run again.
func (s *state) next() wick.Instant {
	at := min(s.looked.Add(lookEvery), s.keeper.Next(), s.book.Next())
	for _, o := range s.owned {
		at = min(at, o.sched.Next())
	}
	return at
}

// publishes reports whether it is time for a new snapshot.
func (s *state) publishes(now wick.Instant) bool {
	return s.urgent || s.moved && now.Sub(s.published) >= publishEvery
}

// snapshot returns the state as traffic goroutines see it.
func (s *state) snapshot(now wick.Instant) *Snapshot {
	s.urgent, s.moved, s.published = false, false, now
	return &Snapshot{
		View:     s.keeper.View(),
		Config:   s.conf.Table(),
		Offset:   s.conf.Offset(),
		Router:   s.routes.Publish(),
		Stale:    !s.isFresh,
		Stopping: s.closed,
		leaving:  s.leavingEntries(),
	}
}

// leavingEntries returns the hosts to which no caller should be sent.
func (s *state) leavingEntries() map[wick.HostName]bool {
	out := make(map[wick.HostName]bool, len(s.hosts)+1)
	for h := range s.hosts {
		out[h] = true
	}
	if s.stopping {
		out[s.cfg.Lease.Self.Host] = true
	}
	return out
}

// isCurrent reports whether the configuration is known to be current: the log
// was read a short while ago, or a majority of the daemon's witnesses can be
// reached, which would have handed over what is newer.
func (s *state) isCurrent(now wick.Instant) bool {
	if s.fresh > 0 && now.Sub(s.fresh) < s.cfg.Stale {
		return true
	}
	_, ok := s.keeper.Lease(now)
	return ok
}

// apply implements Event.
func (e Stopping) apply(s *state, now wick.Instant) {
	s.stopping = true
	s.urgent = true
	s.lease(now, s.keeper.Stop(now))
}

// apply implements Event.
func (e Closing) apply(s *state, _ wick.Instant) {
	s.closed = true
	s.urgent = true
}

// apply implements Event.
func (e Listed) apply(s *state, now wick.Instant) {
	leaving := make(map[wick.HostName]bool)
	for _, h := range e.Hosts {
		if h.State == wick.HostLeaving {
			leaving[h.Host] = true
		}
	}
	s.hosts = leaving
	for name, end := range s.known {
		s.routes.Leave(name, leaving[end.Host])
		if o := s.owned[name]; o != nil {
			s.settleLeaving(now, o)
		}
	}
	s.urgent = true
}

// settleLeaving lets an endpoint take new work, or not, as the platform says of
// its host.
func (s *state) settleLeaving(now wick.Instant, o *owned) {
	leaves := s.hosts[o.end.Host]
	if leaves == o.drained {
		return
	}
	o.drained = leaves
	if leaves {
		s.perform(now, o, o.sched.Drain(now))
	} else {
		s.perform(now, o, o.sched.Resume(now))
	}
}
