package lease

import (
	"currantwick"
)

// This file holds the rule by which a new owner knows that an earlier one has
// stopped acting. Let E be an earlier view, o the owner of a key in E, and W
// the witnesses of o in E.
//
//  1. o has adopted a later view, so it no longer acts in E.
//  2. o has ended, which another run at o's address or a RunsEnded record
//     proves (see below). The code waits for TTL + Drift as in 3.
//  3. leaveQuorum of W have left E: they adopted a later view, or have ended.
//     Since leaseQuorum + leaveQuorum > |W|, every renewal by which o holds a
//     lease was acknowledged by one of these before it left. It was sent
//     earlier still, so o's lease ends within TTL of o's clock from the moment
//     at which self learned of the last of them, and the wait of TTL + Drift
//     by self's clock covers that.
//
// Self always learns of an event after it happened, so it is safe to count the
// wait from when self learns of it, however late that is. A new member, which
// knows nothing yet, does the same.
//
// Evidence that a run has ended: a process holds its peer address from before
// it joins until it ends. Let E name run a at an address. If run b of the same
// host and address knows of E or a later view, then b ran after E was on the
// log, while a ran before that. As both cannot hold the address at once, a has
// ended. No order of incarnations and no clock is needed. A delayed message of
// a run older than a is no such evidence, since that run did not know of E.
//
// The waits are counted for every earlier view that is not closed on the log,
// not only for the one just before: an owner two views back may have been cut
// off the whole time, with its witnesses.

// leaseKey identifies the lease of one run in one view.
type leaseKey struct {
	view  wick.ViewNumber
	owner runID
}

// hasLeft reports whether run m is known to vouch for view v no longer.
func (k *Keeper) hasLeft(v wick.View, m wick.Member) bool {
	if runIDOf(m) == k.self {
		return true // v is not the view that self has adopted.
	}
	if p := k.peers[runIDOf(m)]; p != nil && p.adopted > v.Number {
		return true
	}
	return k.hasEnded(v, m)
}

// hasEnded reports whether run m, a member of v, is known to have ended.
func (k *Keeper) hasEnded(v wick.View, m wick.Member) bool {
	if p := k.peers[runIDOf(m)]; p != nil && p.ended {
		return true
	}
	for _, other := range k.runs[m.Peer] {
		if other != runIDOf(m) && other.host == m.Host && k.peers[other].adopted >= v.Number {
			return true
		}
	}
	return false
}

// leaseEnd returns the instant from which o no longer acts in view v, if that is
// known.
func (k *Keeper) leaseEnd(v wick.View, o wick.Member) (wick.Instant, bool) {
	if runIDOf(o) == k.self {
		return 0, true // Self has adopted a later view.
	}
	if p := k.peers[runIDOf(o)]; p != nil && p.adopted > v.Number {
		return 0, true
	}
	at, ok := k.leaseEnds[leaseKey{v.Number, runIDOf(o)}]
	return at, ok
}

func (k *Keeper) leaseEnded(now wick.Instant, v wick.View, o wick.Member) bool {
	at, ok := k.leaseEnd(v, o)
	return ok && now >= at
}

// updateLeaseEnds records which leases of earlier views are now known to end. It
// is called whenever views changed or runs were reported to have ended, since
// the wait counts from that moment.
func (k *Keeper) updateLeaseEnds(now wick.Instant) {
	for _, r := range k.open {
		for i := range r.view.Members {
			k.noteLeaseEnd(now, r, i)
		}
	}
}

// updateLeaseEndsOf is updateLeaseEnds after news about a single run.
func (k *Keeper) updateLeaseEndsOf(now wick.Instant, p *peer) {
	for _, r := range k.open {
		i := r.memberOn(p.member.Host)
		if i < 0 {
			continue
		}
		k.noteLeaseEnd(now, r, i)
		for _, member := range r.vouchesFor[i] {
			k.noteLeaseEnd(now, r, member)
		}
	}
}

// noteLeaseEnd records when the lease of a member of an earlier view ends, once
// that is known.
func (k *Keeper) noteLeaseEnd(now wick.Instant, r *indexedView, i int) {
	key := leaseKey{r.view.Number, runIDOf(r.view.Members[i])}
	if _, ok := k.leaseEnds[key]; !ok && k.leaseRunsOut(r, i) {
		k.leaseEnds[key] = now.Add(r.view.Terms.SafeExpiry())
	}
}

// leaseRunsOut reports whether a member can no longer renew its lease: it has
// ended, or too few witnesses remain to vouch for it.
func (k *Keeper) leaseRunsOut(r *indexedView, i int) bool {
	if k.hasEnded(r.view, r.view.Members[i]) {
		return true
	}
	witnesses := r.witnesses[i]
	if len(witnesses) == 0 {
		return false
	}
	gone := 0
	for _, w := range witnesses {
		if k.hasLeft(r.view, r.view.Members[w]) {
			gone++
		}
	}
	return gone >= leaveQuorum(len(witnesses))
}

// pruneLeaseEnds drops the lease ends of views that are closed.
func (k *Keeper) pruneLeaseEnds() {
	open := make(map[wick.ViewNumber]bool, len(k.log.state.Open))
	for _, v := range k.log.state.Open {
		open[v.Number] = true
	}
	for key := range k.leaseEnds {
		if !open[key.view] {
			delete(k.leaseEnds, key)
		}
	}
}
