package lease

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"currantwick"
)

// Tick performs the work that is due at now.
func (k *Keeper) Tick(now wick.Instant) []Action {
	if now.Sub(k.lastTick) > k.cfg.Suspect/2 {
		k.resetSilence(now)
	}
	k.lastTick = now
	var acts []Action
	if before := k.View(); k.log.restart(now, maxMissedCheckpoints*k.cfg.Checkpoint) {
		acts = k.stateChanged(now, before)
	}
	k.trackQuorum(now)
	if now >= k.renewAt || len(k.silentHosts(now)) > k.silentCount {
		acts = append(acts, k.renew(now)...)
	}
	if now < k.holdUntil {
		return acts
	}
	acts = append(acts, k.propose(now)...)
	acts = append(acts, k.closeViews(now)...)
	return append(acts, k.checkpoint(now)...)
}

// trackQuorum updates quorumAt, leaseSince and quorumWait.
func (k *Keeper) trackQuorum(now wick.Instant) {
	_, ok := k.Lease(now)
	switch {
	case ok:
		k.quorumAt = now
		if now.Sub(k.leaseSince) >= k.cfg.QuorumTimeout {
			k.quorumWait = k.cfg.QuorumTimeout
		}
		return
	case !k.Member() && k.reachesQuorum(now):
		k.quorumAt = now
	}
	k.leaseSince = now
}

// Next returns when Tick has to run next at the latest. The result of MayAct may
// change at that instant without any other event.
func (k *Keeper) Next() wick.Instant {
	at := min(k.lastTick.Add(k.cfg.Renew/3), k.renewAt)
	if k.planned {
		at = min(at, k.proposeAt)
	}
	for _, end := range k.leaseEnds {
		if end > k.lastTick {
			at = min(at, end)
		}
	}
	return max(at, k.lastTick.Add(time.Millisecond))
}

// Stop starts a graceful shutdown: the view without self is proposed. Self keeps
// acting until it adopts that view, so that requests are served while the
// append is in progress.
func (k *Keeper) Stop(now wick.Instant) []Action {
	k.stopping = true
	return append(k.renew(now), k.Tick(now)...)
}

// OnAppendFailed handles an append that the log did not confirm.
func (k *Keeper) OnAppendFailed(now wick.Instant) []Action {
	k.backoff = min(max(2*k.backoff, minBackoff), maxBackoff)
	k.holdUntil = now.Add(k.backoff/2 + k.jitter(k.backoff/2))
	if k.lacksQuorum(now) {
		k.quorumAt = now // When the log is back, daemons with a quorum propose first.
	}
	k.proposeAfter, k.closeAfter, k.checkpointAfter = 0, 0, 0
	return nil
}

func (k *Keeper) jitter(d time.Duration) time.Duration {
	return time.Duration(k.rand.Int64N(int64(d) + 1))
}

// resetSilence restarts the silence timers of all monitored members after self
// was frozen or has just started, so that none is removed before its messages can
// arrive.
func (k *Keeper) resetSilence(now wick.Instant) {
	for _, m := range k.monitored {
		p := k.peer(runIDOf(m))
		p.received, p.renewalAt, p.ackAt = now, now, now
	}
	k.quorumAt = now
	k.planned = false
}

// silent reports whether self has missed a member's messages for longer than
// Config.Suspect: its renewals, if self is its witness, or its
// acknowledgements, if it is a witness of self. Either is enough: requests
// cannot be handed to a member that does not answer, and one that does not
// renew has lost its lease.
func (k *Keeper) silent(now wick.Instant, m wick.Member) bool {
	p := k.peers[runIDOf(m)]
	if p == nil {
		return false
	}
	same := func(o wick.Member) bool { return runIDOf(o) == runIDOf(m) }
	late := func(at wick.Instant) bool { return now.Sub(at) > k.cfg.Suspect }
	return late(p.renewalAt) && slices.ContainsFunc(k.vouchesFor, same) ||
		late(p.ackAt) && slices.ContainsFunc(k.witnesses, same)
}

func (k *Keeper) silentHosts(now wick.Instant) []wick.HostName {
	var out []wick.HostName
	for _, m := range k.monitored {
		if k.silent(now, m) {
			out = append(out, m.Host)
		}
	}
	return out
}

// reachesQuorum reports whether a quorum of self's contacts have recently both
// answered and sent renewals, so that messages pass in both directions. After a
// restart of most of a view the runs that answer are new ones, so hosts are
// counted.
func (k *Keeper) reachesQuorum(now wick.Instant) bool {
	contacts := k.contacts()
	recent := func(at wick.Instant) bool { return at > 0 && now.Sub(at) <= k.cfg.Suspect }
	touched := make(map[wick.HostName]bool)
	for n, p := range k.peers {
		if recent(p.ackAt) && recent(p.renewalAt) {
			touched[n.host] = true
		}
	}
	count := 0
	for _, m := range contacts {
		if touched[m.Host] {
			count++
		}
	}
	return count >= leaseQuorum(len(contacts))
}

// lacksQuorum reports whether self has been without a quorum for so long that
// it proposes a view without one.
func (k *Keeper) lacksQuorum(now wick.Instant) bool {
	wait := k.quorumWait
	if k.Member() {
		wait = k.cfg.QuorumTimeout
	}
	return now.Sub(k.quorumAt) >= wait
}

// propose appends a change of the view if one is wanted and self's delay is over.
func (k *Keeper) propose(now wick.Instant) []Action {
	members, delay, ok := k.planChange(now)
	if !ok {
		k.planned = false
		return nil
	}
	if !k.planned {
		k.planned, k.proposeAt = true, now.Add(delay)
	}
	if now < max(k.proposeAt, k.proposeAfter) {
		return nil
	}
	if k.lacksQuorum(now) {
		k.quorumAt = now
		if !k.Member() {
			k.quorumWait = min(2*k.quorumWait, maxQuorumWait)
		}
	}
	k.proposeAfter = now.Add(appendPause)
	return []Action{Append{wick.Record{ViewChange: &wick.ViewChange{
		Base: k.View().Number, Members: members, Terms: k.cfg.terms(), Proposer: k.self.host,
	}}}}
}

// planChange returns the members of the view that self wants, and how long self
// waits for the proposers that rank before it.
func (k *Keeper) planChange(now wick.Instant) ([]wick.Member, time.Duration, bool) {
	v := k.View()
	if len(k.log.pending) > 0 && v.Number == 0 {
		return nil, 0, false // A view exists, but it is not known yet.
	}
	removed, added := k.removals(now), k.joiners(now)
	delay := time.Duration(math.MaxInt64)
	for _, m := range removed {
		delay = min(delay, k.proposeDelay(now, m))
	}
	for _, m := range added {
		delay = min(delay, k.cfg.Renew/3+k.proposeDelay(now, m))
	}
	switch {
	case k.stopping && k.Member():
		removed = append(removed, k.cfg.Self)
		delay = 0
	case k.stopping:
		return nil, 0, false
	case !k.Member():
		if !k.mayJoin(now) {
			return nil, 0, false
		}
		added = append(added, k.cfg.Self)
		delay = k.joinDelay()
	}
	if len(removed)+len(added) == 0 {
		return nil, 0, false
	}
	members := mergeMembers(v.Members, removed, added)
	return members, delay, len(members) > 0
}

// mergeMembers returns the members without the removed, and with the added in
// place of earlier runs on their hosts, sorted by host.
func mergeMembers(members, removed, added []wick.Member) []wick.Member {
	next := make(map[wick.HostName]wick.Member, len(members)+len(added))
	for _, m := range members {
		next[m.Host] = m
	}
	for _, m := range removed {
		delete(next, m.Host)
	}
	for _, m := range added {
		next[m.Host] = m
	}
	return slices.SortedFunc(maps.Values(next), func(a, b wick.Member) int {
		return cmp.Compare(a.Host, b.Host)
	})
}

// mayJoin reports whether self, which is no member, may propose itself: when in
// contact with a quorum, when the view is empty, or after a long wait. A daemon
// that the others cannot reach would be removed at once, over and over.
func (k *Keeper) mayJoin(now wick.Instant) bool {
	return k.reachesQuorum(now) || k.lacksQuorum(now)
}

// joinDelay returns how long self waits for the members to add it, together with
// others that join at the same time.
func (k *Keeper) joinDelay() time.Duration {
	if len(k.View().Members) == 0 {
		return k.cfg.Renew + k.jitter(k.cfg.Renew)
	}
	return 3*k.cfg.Renew + k.jitter(2*k.cfg.Renew)
}

// proposeDelay returns how long self waits for others to propose a change about
// m: its witnesses that are not silent propose one after the other.
func (k *Keeper) proposeDelay(now wick.Instant, m wick.Member) time.Duration {
	rank := 0
	for _, i := range k.current.witnessesOf(m) {
		w := k.View().Members[i]
		if runIDOf(w) == k.self {
			break
		}
		if !k.silent(now, w) {
			rank++
		}
	}
	return time.Duration(rank) * k.cfg.Renew / 2
}

// joiners returns the runs that recently asked to join, that answer, and that
// know the current view: membership in the next view proves to others that a
// run still ran after the current one was on the log.
func (k *Keeper) joiners(now wick.Instant) []wick.Member {
	v := k.View()
	var out []wick.Member
	for n, p := range k.peers {
		if p.joining && p.adopted == v.Number && n.host != k.self.host && !v.Has(p.member) &&
			now.Sub(p.renewalAt) <= k.cfg.Suspect && now.Sub(p.ackAt) <= k.cfg.Suspect {
			out = append(out, p.member)
		}
	}
	slices.SortFunc(out, func(a, b wick.Member) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

// removals returns the members that self wants to remove from the view.
func (k *Keeper) removals(now wick.Instant) []wick.Member {
	if !k.Member() {
		return nil
	}
	lapsed := k.lapsed(now)
	var out []wick.Member
	for n, p := range k.peers {
		if (p.stopping || p.ended) && n != k.self && k.current.index(n) >= 0 {
			out = append(out, p.member)
		}
	}
	for _, m := range k.monitored {
		if lapsed && k.removableWithoutLease(now, m) || !lapsed && k.removableWithLease(now, m) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b wick.Member) int { return cmp.Compare(a.Host, b.Host) })
	return slices.Compact(out)
}

// removableWithLease reports whether self, which has a lease, wants to remove m:
// m is silent, and fewer of its witnesses receive its messages than a lease
// requires. So a network partition between two daemons removes neither.
func (k *Keeper) removableWithLease(now wick.Instant, m wick.Member) bool {
	if !k.silent(now, m) {
		return false
	}
	witnesses := k.current.witnessesOf(m)
	return k.countInContact(now, m, witnesses) < leaseQuorum(len(witnesses))
}

// removableWithoutLease reports whether self, which has no lease, wants to remove
// m. Self cannot distinguish a network partition from the loss of most of the
// view, so it leaves the removal to others. Only if none of them has done so
// for QuorumTimeout does it propose a view of the members whose messages it
// still receives.
func (k *Keeper) removableWithoutLease(now wick.Instant, m wick.Member) bool {
	return k.lacksQuorum(now) && k.keepsWitness(now) && now.Sub(k.peer(runIDOf(m)).received) >= k.cfg.QuorumTimeout
}

// keepsWitness reports whether self has received messages within QuorumTimeout
// from a witness of self or from a member that it is a witness of, or whether
// the current view has only two members. The lease of a member without a witness
// cannot be waited out, so a view that keeps none of these is the last resort.
func (k *Keeper) keepsWitness(now wick.Instant) bool {
	received := func(m wick.Member) bool { return now.Sub(k.peer(runIDOf(m)).received) < k.cfg.QuorumTimeout }
	return len(k.View().Members) == 2 || slices.ContainsFunc(k.monitored, received)
}

// countInContact counts the witnesses of m, other than self, that may still
// receive its messages.
func (k *Keeper) countInContact(now wick.Instant, m wick.Member, witnesses []int) int {
	count := 0
	for _, i := range witnesses {
		w := k.View().Members[i]
		if runIDOf(w) == k.self {
			continue
		}
		p := k.peer(runIDOf(w))
		if now.Sub(p.received) <= k.cfg.Suspect && !slices.Contains(p.silent, m.Host) {
			count++
		}
	}
	return count
}
