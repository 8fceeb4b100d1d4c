// Package lease decides which daemon owns what. Daemons agree on a view by
// conditional records on the platform's log, keep it by renewing their leases
// with one another, and compute owners from it.
//
// A member may act in a view while enough of its witnesses vouch for that
// view. The lease runs from the moment at which the renewal was sent. A
// witness that has adopted a later view vouches for no earlier one, so a new
// owner knows by its own clock when the lease of an earlier owner has ended:
// one TTL and the drift margin after it learned that too few witnesses are
// left to vouch. See release.go for the rule and its proof.
package lease

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"currantwick"
)

// Defaults of Config.
const (
	DefaultWitnesses     = 7
	DefaultTTL           = 2 * time.Second
	DefaultDrift         = 200 * time.Millisecond
	DefaultRenew         = 300 * time.Millisecond
	DefaultSuspect       = 1200 * time.Millisecond
	DefaultQuorumTimeout = 4 * time.Second
	DefaultCheckpoint    = 2 * time.Minute
)

// Limits of time.
const (
	// minBackoff and maxBackoff bound the pause after a failed append to the
	// log.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
	// appendPause is how long to wait for a record to be read back before it is
	// appended again.
	appendPause = time.Second
	// maxMissedCheckpoints is the number of checkpoint intervals without a
	// checkpoint after which the earlier entries count as lost.
	maxMissedCheckpoints = 3
	// maxQuorumWait bounds the time between two attempts to join without a
	// quorum.
	maxQuorumWait = 2 * time.Minute
)

// Config sets up a Keeper. Durations of 0 mean the defaults.
type Config struct {
	// Self is this daemon. Its peer address must be bound before the first call
	// and until the process ends, by this process alone.
	Self wick.Member
	// Seeds are the peers that a daemon which knows no view asks for one.
	Seeds []wick.Address
	// Witnesses, TTL and Drift are the terms of the views that this daemon
	// proposes.
	Witnesses  int
	TTL, Drift time.Duration
	// Renew is the time between renewals, a fraction of TTL.
	Renew time.Duration
	// Suspect is how long a member may be silent before its removal is
	// proposed. It spans several renewals.
	Suspect time.Duration
	// QuorumTimeout is how long a daemon waits for a quorum of its peers before
	// it proposes a view without one.
	QuorumTimeout time.Duration
	// Checkpoint is the time between checkpoints, by the platform's clock: a
	// small fraction of the log's retention, and DefaultCheckpoint at most.
	Checkpoint time.Duration
	// Seed feeds the jitter.
	Seed uint64
}

func (c Config) withDefaults() Config {
	c.Witnesses = cmp.Or(c.Witnesses, DefaultWitnesses)
	c.TTL = cmp.Or(c.TTL, DefaultTTL)
	c.Drift = cmp.Or(c.Drift, DefaultDrift)
	c.Renew = cmp.Or(c.Renew, DefaultRenew)
	c.Suspect = cmp.Or(c.Suspect, DefaultSuspect)
	c.QuorumTimeout = cmp.Or(c.QuorumTimeout, DefaultQuorumTimeout)
	c.Checkpoint = min(cmp.Or(c.Checkpoint, DefaultCheckpoint), DefaultCheckpoint)
	return c
}

func (c Config) terms() wick.Terms {
	return wick.Terms{
		Witnesses: c.Witnesses, TTL: wick.Duration(c.TTL), Drift: wick.Duration(c.Drift),
	}
}

// Action is an instruction of a Keeper to the control thread: SendRenewal, Append
// or Changed. Actions must be carried out in order.
type Action interface{ isAction() }

// SendRenewal asks to send a renewal. The answer is passed to OnAck with the now
// of the call that returned the action, or any later instant before the renewal
// is sent.
type SendRenewal struct {
	// To has only a Peer address if nothing else is known of the daemon.
	To      wick.Member
	Renewal wick.Renewal
}

// Append asks to append a record to wick.ViewStream. A failure is passed to
// OnAppendFailed; a success shows when the record is read back.
type Append struct{ Record wick.Record }

// Changed reports that a new view was adopted. No request or order may be sent
// under Old once a later action, or the acknowledgement returned with this one,
// has been sent: other daemons take that message as proof that Old is no longer
// used.
type Changed struct{ Old, New wick.View }

func (SendRenewal) isAction() {}
func (Append) isAction()      {}
func (Changed) isAction()     {}

// runID identifies one run of a daemon.
type runID struct {
	host        wick.HostName
	incarnation wick.Incarnation
}

func runIDOf(m wick.Member) runID { return runID{m.Host, m.Incarnation} }

// peer is the state that a keeper has of one run of a daemon.
type peer struct {
	// member is the latest description of the run.
	member wick.Member
	// adopted is the newest view that the run is known to have adopted.
	adopted wick.ViewNumber
	// ended is set when the run is known to have ended.
	ended bool
	// received is when the latest message arrived. renewalAt and ackAt are when
	// the latest renewal and the latest answer to a renewal of self arrived;
	// messages that report a lapsed lease do not count for these two.
	received, renewalAt, ackAt wick.Instant
	// vouchedAt is the latest sending of a renewal that this run acknowledged
	// for the current view, if vouches is set.
	vouchedAt wick.Instant
	vouches   bool
	// lastRenewal and lastAck are the newest renewal from the run and the
	// newest renewal of self that it answered; older messages are ignored,
	// since they tell nothing new.
	lastRenewal, lastAck wick.Sequence
	// silent are the hosts that the run last reported as silent.
	silent []wick.HostName
	// joining is set when the run's latest renewal asked to join.
	joining bool
	// stopping is set when the run shuts down gracefully.
	stopping bool
}

// Keeper maintains the view and the lease of one daemon. It must be used by one
// goroutine only.
type Keeper struct {
	cfg  Config
	self runID
	rand *rand.Rand

	log   streamReader
	peers map[runID]*peer
	// runs lists the known runs by address.
	runs map[wick.Address][]runID
	// current is the current view; open are the earlier views that are not
	// closed, oldest first.
	current *indexedView
	open    []*indexedView
	// leaseEnds is when the leases of earlier owners end, as far as that is
	// known.
	leaseEnds map[leaseKey]wick.Instant
	// witnesses are the witnesses of self in the current view.
	witnesses []wick.Member
	// vouchesFor are the members of the current view that self is a witness of,
	// and monitored these and the witnesses of self: all that send messages to
	// self.
	vouchesFor, monitored []wick.Member

	sequence wick.Sequence
	// lastTick is when Tick ran last.
	lastTick wick.Instant
	// renewAt is when the next renewals are due.
	renewAt wick.Instant
	// silentCount is how many members were silent when renewals were last sent.
	silentCount int

	// planned is set when a change of the view is to be proposed at proposeAt.
	planned   bool
	proposeAt wick.Instant
	// closable is the newest view that can be closed, and closableAt when that
	// was noticed.
	closable   wick.ViewNumber
	closableAt wick.Instant
	// proposeAfter, closeAfter and checkpointAfter are the instants before
	// which a change, a closing and a checkpoint are not appended again.
	proposeAfter, closeAfter, checkpointAfter wick.Instant
	// holdUntil is until when nothing is appended after a failed append, and
	// backoff the length of that pause.
	holdUntil wick.Instant
	backoff   time.Duration
	// quorumAt is when self last was in contact with a quorum, or proposed a
	// view without one. quorumWait is how long self then waits before it
	// proposes to join without a quorum. It doubles with each such proposal and
	// is reset once self has held a lease for Config.QuorumTimeout; leaseSince
	// is when that lease began.
	quorumAt, leaseSince wick.Instant
	quorumWait           time.Duration
	stopping             bool
}

// New returns a Keeper that knows no view yet.
func New(cfg Config) *Keeper {
	cfg = cfg.withDefaults()
	k := &Keeper{
		cfg:        cfg,
		self:       runIDOf(cfg.Self),
		rand:       rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation))),
		peers:      make(map[runID]*peer),
		runs:       make(map[wick.Address][]runID),
		leaseEnds:  make(map[leaseKey]wick.Instant),
		quorumWait: cfg.QuorumTimeout,

		current: newIndexedView(wick.View{}),
	}
	return k
}

// View returns the newest view that self has adopted.
func (k *Keeper) View() wick.View { return k.log.state.View }

// State returns the state of the view stream, which is handed over to peers.
func (k *Keeper) State() wick.ViewState { return k.log.state }

// Offset returns the first offset of the view stream that is still to be read.
func (k *Keeper) Offset() wick.Offset { return k.log.next() }

// Member reports whether self is a member of the current view.
func (k *Keeper) Member() bool { return k.View().Has(k.cfg.Self) }

// Owner returns the owner of key in the current view.
func (k *Keeper) Owner(key Key) (wick.Member, bool) {
	i := k.current.owner(key)
	if i < 0 {
		return wick.Member{}, false
	}
	return k.View().Members[i], true
}

// Ranked returns up to limit members of the current view for key: the owner
// first, then one member of each other failure domain, then the rest.
func (k *Keeper) Ranked(key Key, limit int) []wick.Member {
	return k.current.members(k.current.ranked(key, limit))
}

// Lease returns the instant before which self may act in the current view.
func (k *Keeper) Lease(now wick.Instant) (until wick.Instant, ok bool) {
	if !k.Member() {
		return 0, false
	}
	ttl := k.View().Terms.TTL.Std()
	need := leaseQuorum(len(k.witnesses))
	if need == 0 {
		return now.Add(ttl), true
	}
	var sent []wick.Instant
	for _, w := range k.witnesses {
		if p := k.peers[runIDOf(w)]; p != nil && p.vouches {
			sent = append(sent, p.vouchedAt)
		}
	}
	from, ok := nthLatest(sent, need)
	until = from.Add(ttl)
	return until, ok && now < until
}

// MayAct reports whether self owns key and may act on it now. Each dispatch and
// order must be made before until, which must be checked again immediately before
// it.
func (k *Keeper) MayAct(now wick.Instant, key Key) (until wick.Instant, ok bool) {
	m, ok := k.Owner(key)
	if !ok || runIDOf(m) != k.self {
		return 0, false
	}
	until, ok = k.Lease(now)
	if !ok {
		return 0, false
	}
	from, ok := k.FreeFrom(key)
	if !ok || now < from {
		return 0, false
	}
	return until, true
}

// OwnedSince reports whether self has been the only owner of key in every view
// from the one numbered since up to the newest, so that its state for key is
// still valid. It reports false if an earlier view is no longer known.
func (k *Keeper) OwnedSince(key Key, since wick.ViewNumber) bool {
	seen := false
	for _, v := range append(slices.Clip(k.log.state.Open), k.View()) {
		if v.Number < since {
			continue
		}
		seen = seen || v.Number == since
		if m, ok := Owner(v, key); !ok || runIDOf(m) != k.self {
			return false
		}
	}
	return seen
}

// FreeFrom returns the instant from which no earlier owner of key acts any more,
// if that is known yet.
func (k *Keeper) FreeFrom(key Key) (from wick.Instant, ok bool) {
	for _, r := range k.open {
		i := r.owner(key)
		if i < 0 {
			continue
		}
		end, ok := k.leaseEnd(r.view, r.view.Members[i])
		if !ok {
			return 0, false
		}
		from = max(from, end)
	}
	return from, true
}
