package coord

import (
	"log/slog"
	"time"

	"currantwick"
	"currantwick/crash"
	"currantwick/facts"
	"currantwick/pause"
	"currantwick/slots"
	"currantwick/terms"
)

// state is the control state. Only the control thread uses it.
type state struct {
	cfg   Config
	log   *slog.Logger
	facts *facts.State
	terms *terms.Table

	endpoints map[wick.EndpointName]*endpoint
	left      map[wick.EndpointName]leftEndpoint
	// crashes are the crashes and suspected crashes of the last seconds.
	crashes map[wick.EndpointStart]*suspectedCrash
	// suspects has the evidence of all daemons, and verdicts is what follows from
	// it.
	suspects *crash.Suspects
	verdicts crash.Verdicts
	// memos writes what must outlive all daemons: storedProofs and kept.
	memos        memoWriter
	storedProofs storedProofs
	kept         keptRecords
	// trials are those that this daemon granted as the arbiter, and granted those
	// that were granted to it, with the time.
	trials  crash.Trials
	granted map[wick.TrialID]wick.Instant
	// judged are closed once the next view is published.
	judged []chan<- struct{}
	// sortedEndpoints lists the endpoints sorted by name.
	sortedEndpoints []*endpoint
	// ledgers are those of the endpoints in this daemon's shards.
	ledgers map[wick.EndpointName]*slots.Ledger
	// fences are, per shard, the fencing tokens under which orders may be given
	// now; noFence where none may be given.
	fences [terms.Shards]wick.Fence

	topics [wick.NumTopics]topic
	probe  storeProbe
	// relayed is the newest record of each key that had an effect, for daemons
	// that link later.
	relayed [wick.NumTopics]map[string]wick.RelayedRecord
	// held are descriptions of endpoints that were removed, as in facts.Held.
	held map[string]wick.RelayedRecord
	// daemons are the records that daemons wrote about themselves, by host.
	// They are never removed, so they include daemons that have ended.
	daemons map[wick.HostName]daemonRecord

	// linkedDaemons are the daemons that dialed this one, by link; holders are
	// the daemons that this one dialed, by host.
	linkedDaemons map[wick.Link]*linkedDaemon
	holders       map[wick.HostName]*holder
	dialing       map[wick.Address]*dialState
	// hostOf is the host at the far end of each link that this daemon dialed.
	hostOf map[wick.Link]wick.HostName

	// loading is the number of adapters that were loading when they were last
	// counted, plus the load orders whose results have arrived since; engines is
	// the number of endpoints that hold models.
	loading, engines int
	// lastModelLoad is when this daemon last ordered the load of a base model.
	lastModelLoad wick.Instant

	shares shareState

	out outgoing
	// pendingPut is the key of the record that is being appended; empty if none
	// is.
	pendingPut string
	// nextPut is the earliest time for the next append after a failed one.
	nextPut wick.Instant
	// announced is set when this daemon's own record is in the store.
	announced bool
	// announcedRead is set once that record was read, announcedAt is its offset, and
	// reannounced is how often it was appended again.
	announcedRead bool
	announcedAt   wick.Offset
	reannounced   int
	roster        roster
	started       wick.Instant
	lastTick      wick.Instant
	stopping      bool
	wasReady      bool
	// settledAt is when the offsets that linked daemons must know last advanced.
	settledAt wick.Instant
	// nextLoads is when loads are queued next, and nextCopies when copies of adapters
	// are planned next.
	nextLoads, nextCopies wick.Instant
	dirty                 bool
}

// daemonRecord is a record that a daemon wrote about itself.
type daemonRecord struct {
	instance wick.Instance
	readAt   wick.Instant
}

// unlinkedGrace is how long a daemon without a link counts as running after its
// record was read: the time it takes to establish a link.
const unlinkedGrace = 4 * time.Second

func newState(cfg Config) *state {
	now := cfg.Clock.Now()
	s := &state{
		cfg:   cfg,
		log:   cfg.Log,
		facts: facts.New(facts.Config{Heartbeat: cfg.Bounds.Heartbeat.Std()}),
		terms: terms.New(terms.Config{
			Self:           cfg.Self.Host,
			Incarnation:    cfg.Self.Incarnation,
			Lease:          cfg.Bounds.Lease.Std(),
			RequireFencing: cfg.Bounds.RequireFencing,
		}),
		endpoints:     make(map[wick.EndpointName]*endpoint),
		left:          make(map[wick.EndpointName]leftEndpoint),
		crashes:       make(map[wick.EndpointStart]*suspectedCrash),
		suspects:      crash.NewSuspects(crash.Config{}),
		granted:       make(map[wick.TrialID]wick.Instant),
		ledgers:       make(map[wick.EndpointName]*slots.Ledger),
		held:          make(map[string]wick.RelayedRecord),
		daemons:       make(map[wick.HostName]daemonRecord),
		linkedDaemons: make(map[wick.Link]*linkedDaemon),
		holders:       make(map[wick.HostName]*holder),
		dialing:       make(map[wick.Address]*dialState),
		hostOf:        make(map[wick.Link]wick.HostName),
		lastModelLoad: now.Add(-time.Hour),
		started:       now,
		lastTick:      now,
		roster:        roster{stale: true},
		shares:        shareState{told: make(map[wick.HostName]toldShares)},
		memos:         memoWriter{backoff: pause.Backoff{Least: failPause, Most: maxMemoPause}},
		kept:          keptRecords{stored: make(map[string][]byte), late: make(map[string]bool)},
		probe:         storeProbe{backoff: pause.Backoff{Least: failPause, Most: maxFailPause}},
	}
	for i := range s.relayed {
		s.relayed[i] = make(map[string]wick.RelayedRecord)
		s.topics[i] = topic{id: wick.Topic(i), current: -1, holderCurrent: -1}
	}
	return s
}

// tick makes the time-driven decisions.
func (s *state) tick(now wick.Instant) {
	if now.Sub(s.lastTick) > pauseThreshold {
		s.log.Warn("process was paused", "for_ms", now.Sub(s.lastTick).Milliseconds())
		s.terms.SetUnconfirmed()
	}
	s.lastTick = now
	for _, f := range s.facts.Expire(now) {
		s.log.Info("endpoint gone", "endpoint", f.RemovedEndpoint, "cause", "record did not return after outage")
		s.relayRemoval(f)
		s.syncEndpoints(now)
	}
	s.relayReturns(now)
	if s.ready() != s.wasReady {
		s.wasReady = s.ready()
		s.out.instance(s.cfg.Self.Host)
		s.daemonsChanged()
		s.log.Info("readiness changed", "ready", s.wasReady)
	}
	s.refreshRoster(now)
	s.readTopics(now)
	s.announce(now)
	s.claimTerms(now)
	s.dialHolders(now)
	s.settle(now)
	s.forgetCrashes(now)
	s.forgetLeft(now)
	s.clearAnswered(now)
	s.expireSuspects(now)
	s.storeProofs(now)
	s.storeKept(now)
	s.updateLoads(now)
	s.planCopies(now)
	s.tickShares(now)
	s.flush(now, true)
}

// step makes the decisions that follow from events.
func (s *state) step(now wick.Instant) {
	s.refreshRoster(now)
	s.readTopics(now)
	s.claimTerms(now)
	s.startOrders(now)
	s.refreshShares(now)
	s.flush(now, false)
}

// stopping is the request to stop the daemon.
type stopping struct{}

func (stopping) apply(s *state, now wick.Instant) {
	s.stopping = true
	s.daemonsChanged()
	s.log.Info("stopping", "shards", s.ownShards())
	s.flush(now, true)
}
