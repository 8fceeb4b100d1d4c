package lease

import (
	"cmp"
	"slices"

	"currantwick"
)

// peer returns the state of a run, and creates it if the run is not known yet.
func (k *Keeper) peer(n runID) *peer {
	p := k.peers[n]
	if p == nil {
		p = &peer{}
		k.peers[n] = p
	}
	return p
}

// setMember records the description of a run and the address at which it listens.
func (k *Keeper) setMember(m wick.Member) *peer {
	p := k.peer(runIDOf(m))
	p.member = m
	if !slices.Contains(k.runs[m.Peer], runIDOf(m)) {
		k.runs[m.Peer] = append(k.runs[m.Peer], runIDOf(m))
	}
	return p
}

// OnRenewal handles a renewal of another daemon and returns the answer.
func (k *Keeper) OnRenewal(now wick.Instant, r wick.Renewal) (wick.RenewalAck, []Action) {
	var acts []Action
	if r.State != nil {
		acts = k.OnState(now, *r.State)
	}
	p := k.peer(runID{r.From, r.Incarnation})
	if r.Self != nil {
		p = k.setMember(*r.Self)
	}
	if r.Sequence > p.lastRenewal {
		p.lastRenewal = r.Sequence
		p.stopping = r.Stopping
		p.joining = r.Self != nil && !r.Stopping
		p.received, p.silent = now, r.Silent
		if !r.Lapsed {
			p.renewalAt = now
		}
	}
	k.adopted(now, p, r.View)
	return k.ack(now, r), acts
}

func (k *Keeper) ack(now wick.Instant, r wick.Renewal) wick.RenewalAck {
	v := k.View()
	a := wick.RenewalAck{
		From: k.self.host, Incarnation: k.self.incarnation, Sequence: r.Sequence,
		View: v.Number, Lapsed: k.lapsed(now), Silent: k.silentHosts(now),
	}
	if r.View == v.Number {
		a.Vouched = v.Number
	}
	if r.View < v.Number {
		st := k.State()
		a.Later = &st
	}
	return a
}

// OnAck handles the answer to a renewal; sent is an instant before the renewal
// was sent.
func (k *Keeper) OnAck(now, sent wick.Instant, a wick.RenewalAck) []Action {
	var acts []Action
	if a.Later != nil {
		acts = k.OnState(now, *a.Later)
	}
	p := k.peer(runID{a.From, a.Incarnation})
	if a.Sequence > p.lastAck {
		p.lastAck = a.Sequence
		p.received, p.silent = now, a.Silent
		if !a.Lapsed {
			p.ackAt = now
		}
	}
	k.adopted(now, p, a.View)
	v := k.View()
	if a.Vouched != 0 && a.Vouched == v.Number && (!p.vouches || sent > p.vouchedAt) {
		p.vouchedAt, p.vouches = sent, true
	}
	if a.View < v.Number && p.member.Peer != "" {
		acts = append(acts, k.renewal(now, p.member, true))
	}
	return acts
}

// adopted records that a run has adopted a view, and updates the lease ends
// that depend on it.
func (k *Keeper) adopted(now wick.Instant, p *peer, v wick.ViewNumber) {
	if v > p.adopted {
		p.adopted = v
		k.updateLeaseEndsOf(now, p)
	}
}

// lapsed reports whether self is a member without a lease.
func (k *Keeper) lapsed(now wick.Instant) bool {
	_, ok := k.Lease(now)
	return k.Member() && !ok
}

// renew returns renewals to all daemons whose answer self needs.
func (k *Keeper) renew(now wick.Instant) []Action {
	k.renewAt = now.Add(k.cfg.Renew)
	k.silentCount = len(k.silentHosts(now))
	var acts []Action
	for _, m := range k.renewalTargets(now) {
		acts = append(acts, k.renewal(now, m, false))
	}
	return acts
}

// renewal returns a renewal to one daemon, with the state if handOver is set.
func (k *Keeper) renewal(now wick.Instant, to wick.Member, handOver bool) SendRenewal {
	k.sequence++
	r := wick.Renewal{
		From: k.self.host, Incarnation: k.self.incarnation, View: k.View().Number,
		Sequence: k.sequence, Stopping: k.stopping,
		Lapsed: k.lapsed(now), Silent: k.silentHosts(now),
	}
	if !k.Member() {
		self := k.cfg.Self
		r.Self = &self
	}
	if handOver {
		st := k.State()
		r.State = &st
	}
	return SendRenewal{To: to, Renewal: r}
}

// renewalTargets returns the daemons that self sends renewals to: its witnesses;
// the witnesses of silent members, to learn whether they receive messages from
// them; daemons that want to join; those whose adoption of a later view self has
// to learn of, with their witnesses; and the seeds, while self knows no view.
func (k *Keeper) renewalTargets(now wick.Instant) []wick.Member {
	all := make(map[runID]wick.Member)
	add := func(members ...wick.Member) {
		for _, m := range members {
			all[runIDOf(m)] = m
		}
	}
	add(k.contacts()...)
	for _, m := range k.monitored {
		if k.silent(now, m) {
			add(k.current.members(k.current.witnessesOf(m))...)
		}
	}
	for _, p := range k.peers {
		if p.joining && now.Sub(p.received) <= k.cfg.Suspect {
			add(p.member) // Its answer shows that it can be reached.
		}
	}
	closesViews := k.closesViews()
	for _, r := range k.open {
		for i, o := range r.view.Members {
			if k.needsLeaseEnd(r, o, closesViews) {
				add(o)
				add(r.members(r.witnesses[i])...)
			}
		}
	}
	delete(all, k.self)
	out := make([]wick.Member, 0, len(all)+len(k.cfg.Seeds))
	for _, m := range all {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b wick.Member) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	if k.View().Number == 0 {
		for _, a := range k.cfg.Seeds {
			out = append(out, wick.Member{Peer: a})
		}
	}
	return out
}

// needsLeaseEnd reports whether self needs to learn when o stops acting in an
// earlier view. Rendezvous hashing moves keys only away from members that left
// or to members that joined, so a member of the earlier view waits only for
// those that left. A daemon that closes views waits for all.
func (k *Keeper) needsLeaseEnd(old *indexedView, o wick.Member, closesViews bool) bool {
	if !k.Member() || !closesViews && old.index(k.self) >= 0 && k.current.index(runIDOf(o)) >= 0 {
		return false
	}
	_, known := k.leaseEnd(old.view, o)
	return !known
}

// contacts returns the witnesses of self in the current view or, for a daemon
// that is no member, those it would have.
func (k *Keeper) contacts() []wick.Member {
	if k.Member() {
		return k.witnesses
	}
	would := k.current.members(k.current.witnessesOf(k.cfg.Self))
	return slices.DeleteFunc(would, func(m wick.Member) bool {
		return k.peer(runIDOf(m)).ended
	})
}
