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
	// publishInterval is the minimum time between two snapshots that differ
	// only in the load of endpoints.
	publishInterval = 20 * time.Millisecond
	// checkInterval is the interval of checkPeriodic, which handles state that
	// changes without an event.
	checkInterval = 100 * time.Millisecond
	// maxParkTime is how long a request waits for the configuration at which it
	// was resolved.
	maxParkTime = time.Second
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
	// InFlight is this daemon's own work in flight by endpoint.
	InFlight wick.InFlight
	// Stale is how long the daemon, while it has no lease, continues to accept
	// requests after it last read the log to its end; positive.
	Stale time.Duration
	// Checkpoint is the time between checkpoints of the configuration; positive.
	Checkpoint time.Duration
	// Observer records metrics and log lines of the control thread.
	Observer wick.ControlObserver
}

// Policy holds the scheduling policies used for every endpoint; none is nil.
type Policy struct {
	Order wick.Orderer
	Evict wick.Evictor
	Admit wick.Admitter
}

// state is all control state of a daemon. Only the control thread touches it.
type state struct {
	cfg     Config
	out     wick.ControlIO
	gate    *gate
	keeper  *lease.Keeper
	conf    *config.State
	trail   *audit.Trail
	tracker *claim.Tracker
	routes  *route.Builder

	// owned are the endpoints that the daemon owns in the current view or where
	// it still has requests in flight.
	owned map[wick.EndpointName]*owned
	// configured are the endpoints as last passed to routes.
	configured map[wick.EndpointName]wick.Endpoint
	// parked are runs that wait for the configuration.
	parked []*Run
	// claiming are the runs that wait for a claim on their key.
	claiming map[wick.RequestID]*Run
	// releasing are the runs whose claim is being released.
	releasing      map[wick.RequestID]*Run
	verdictWaiters map[wick.ChangeID]chan<- wick.Verdict
	// recentEntries are the newest entries of the configuration, for peers.
	// They have no gap.
	recentEntries []wick.Entry
	// leavingHosts are the hosts that the platform reports as leaving.
	leavingHosts map[wick.HostName]bool
	budgets      budgets
	// ejector detects outliers among endpoints, suspects tracks requests that
	// may cause crashes.
	ejector  wick.Ejector
	suspects *crash.Registry
	// crashes numbers the crashes that were reported to other daemons, and
	// reportedCrashes holds the runs in flight at those whose reports have not
	// been answered yet.
	crashes         wick.Sequence
	reportedCrashes map[wick.Sequence][]*Run
	placers         map[wick.PoolName]wick.Placer
	// lastPlan is when prefetches were last planned.
	lastPlan wick.Instant
	// loadQueued is set if a load was queued since the last tick.
	loadQueued bool
	// peerOffsets and digests are what other daemons last reported, for
	// operators.
	peerOffsets map[wick.HostName]peerOffsets
	digests     map[wick.EndpointName]wick.Digest

	// currentAt is when a read of the log last showed that the configuration
	// was current, wasCurrent the result of the last check.
	currentAt  wick.Instant
	wasCurrent bool
	fetching   bool
	// stopping is set while callers are directed to other entry points, refusing
	// while new requests are refused.
	stopping bool
	refusing bool
	// newestCheckpoint is the newest checkpoint on the log. checkpointAt is
	// when it was first seen, or when this daemon last wrote one.
	newestCheckpoint config.CheckpointPosition
	checkpointAt     wick.Instant
	// lastCheck is when checkPeriodic last ran.
	lastCheck wick.Instant
	// publishNow is set if the next snapshot must be published without delay,
	// dirty if it would differ from the last one, which was published at
	// publishedAt.
	publishNow  bool
	dirty       bool
	publishedAt wick.Instant
}

func newState(cfg Config, g *gate) (*state, error) {
	routes, err := route.New(cfg.Route, cfg.InFlight)
	if err != nil {
		return nil, fmt.Errorf("route policy: %w", err)
	}
	ejector, err := eject.New(cfg.Eject)
	if err != nil {
		return nil, fmt.Errorf("eject policy: %w", err)
	}
	if _, err := place.New(cfg.Place); err != nil {
		return nil, fmt.Errorf("placement policy: %w", err)
	}
	return &state{
		ejector:         ejector,
		suspects:        crash.New(cfg.Crash),
		reportedCrashes: make(map[wick.Sequence][]*Run),
		placers:         make(map[wick.PoolName]wick.Placer),
		cfg:             cfg,
		gate:            g,
		keeper:          lease.New(cfg.Lease),
		conf:            config.New(),
		trail:           audit.New(audit.Config{}),
		tracker:         claim.New(cfg.Claim),
		routes:          routes,
		owned:           make(map[wick.EndpointName]*owned),
		configured:      make(map[wick.EndpointName]wick.Endpoint),
		claiming:        make(map[wick.RequestID]*Run),
		releasing:       make(map[wick.RequestID]*Run),
		verdictWaiters:  make(map[wick.ChangeID]chan<- wick.Verdict),
		leavingHosts:    make(map[wick.HostName]bool),
		budgets:         newBudgets(),
		peerOffsets:     make(map[wick.HostName]peerOffsets),
		digests:         make(map[wick.EndpointName]wick.Digest),
	}, nil
}

// tick runs everything that is due by now.
func (s *state) tick(now wick.Instant) {
	s.lease(now, s.keeper.Tick(now))
	s.applyClaimActions(now, s.tracker.Tick(now))
	for _, o := range s.owned {
		if now >= o.sched.Next() {
			s.perform(now, o, o.sched.Tick(now))
		}
	}
	if s.loadQueued {
		s.loadQueued = false
		s.updateLoads(now)
	}
	if now.Sub(s.lastCheck) >= checkInterval {
		s.checkPeriodic(now)
	}
}

// checkPeriodic updates what changes with time alone.
func (s *state) checkPeriodic(now wick.Instant) {
	s.lastCheck = now
	for name, o := range s.owned {
		s.updateActing(now, o)
		s.recordStalls(now, o)
		s.moveFromOutlier(now, o)
		s.routes.Digest(s.digest(now, o))
		s.dirty = true
		if o.idle() && !s.ownsEndpoint(name) {
			delete(s.owned, name)
		}
	}
	s.unpark(now)
	s.appendAudit(now)
	s.tracker.SetWriter(s.ownsClaims())
	s.writeCheckpoint(now)
	s.updateLoads(now)
	s.plan(now)
	if current := s.isCurrent(now); current != s.wasCurrent {
		s.wasCurrent = current
		s.publishNow = true
	}
}

// next returns when tick must next run.
func (s *state) next() wick.Instant {
	at := min(s.lastCheck.Add(checkInterval), s.keeper.Next(), s.tracker.NextTick())
	for _, o := range s.owned {
		at = min(at, o.sched.Next())
	}
	return at
}

// publishes reports whether a new snapshot is due.
func (s *state) publishes(now wick.Instant) bool {
	return s.publishNow || s.dirty && now.Sub(s.publishedAt) >= publishInterval
}

// snapshot returns the state for traffic goroutines.
func (s *state) snapshot(now wick.Instant) *Snapshot {
	s.publishNow, s.dirty, s.publishedAt = false, false, now
	return &Snapshot{
		View:     s.keeper.View(),
		Config:   s.conf.Table(),
		Offset:   s.conf.Offset(),
		Router:   s.routes.Publish(),
		Stale:    !s.wasCurrent,
		Refusing: s.refusing,
		leaving:  s.leavingEntries(),
	}
}

// leavingEntries returns the hosts to which callers must not be directed.
func (s *state) leavingEntries() map[wick.HostName]bool {
	out := make(map[wick.HostName]bool, len(s.leavingHosts)+1)
	for h := range s.leavingHosts {
		out[h] = true
	}
	if s.stopping {
		out[s.cfg.Lease.Self.Host] = true
	}
	return out
}

// isCurrent reports whether the configuration is known to be current: either
// the log was read to its end within Stale, or the daemon holds a lease: at
// least half of its witnesses answer, and would have passed on newer records.
func (s *state) isCurrent(now wick.Instant) bool {
	if s.currentAt > 0 && now.Sub(s.currentAt) < s.cfg.Stale {
		return true
	}
	_, ok := s.keeper.Lease(now)
	return ok
}

// apply implements Event.
func (e LeaveRequested) apply(s *state, now wick.Instant) {
	s.stopping = true
	s.publishNow = true
	s.lease(now, s.keeper.Stop(now))
}

// apply implements Event.
func (e RefuseRequested) apply(s *state, _ wick.Instant) {
	s.refusing = true
	s.publishNow = true
}

// apply implements Event.
func (e HostsListed) apply(s *state, now wick.Instant) {
	leaving := make(map[wick.HostName]bool)
	for _, h := range e.Hosts {
		if h.State == wick.HostLeaving {
			leaving[h.Host] = true
		}
	}
	s.leavingHosts = leaving
	for name, endpoint := range s.configured {
		s.routes.SetLeaving(name, leaving[endpoint.Host])
		if o := s.owned[name]; o != nil {
			s.updateDraining(now, o)
		}
	}
	s.publishNow = true
}

// updateDraining drains or resumes an endpoint, depending on whether the
// platform reports its host as leaving.
func (s *state) updateDraining(now wick.Instant, o *owned) {
	leaves := s.leavingHosts[o.endpoint.Host]
	if leaves == o.draining {
		return
	}
	o.draining = leaves
	if leaves {
		s.perform(now, o, o.sched.Drain(now))
	} else {
		s.perform(now, o, o.sched.Resume(now))
	}
}
