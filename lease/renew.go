package lease

import (
	"cmp"
	"slices"

	"currantwick"
)

// peer returns what is known of a run, which may be nothing yet.
func (k *Keeper) peer(n id) *peer {
	p := k.peers[n]
	if p == nil {
		p = &peer{}
		k.peers[n] = p
	}
	return p
}

// describe notes where a run listens.
func (k *Keeper) describe(m wick.Member) *peer {
	p := k.peer(idOf(m))
	p.member = m
	if !slices.Contains(k.runs[m.Peer], idOf(m)) {
		k.runs[m.Peer] = append(k.runs[m.Peer], idOf(m))
	}
	return p
}

// OnRenewal answers a renewal of another daemon.
func (k *Keeper) OnRenewal(now wick.Instant, r wick.Renewal) (wick.RenewalAck, []Action) {
	var acts []Action
	if r.State != nil {
		acts = k.OnLater(now, *r.State)
	}
	p := k.peer(id{r.From, r.Incarnation})
	if r.Self != nil {
		p = k.describe(*r.Self)
	}
	if r.Sequence > p.renewed {
		p.renewed = r.Sequence
		p.stopping = r.Stopping
		p.joining = r.Self != nil && !r.Stopping
		p.heard, p.silent = now, r.Silent
		if !r.Lapsed {
			p.renewing = now
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

// OnAck takes the answer to a renewal; sent is an instant before the renewal
// was sent.
func (k *Keeper) OnAck(now, sent wick.Instant, a wick.RenewalAck) []Action {
	var acts []Action
	if a.Later != nil {
		acts = k.OnLater(now, *a.Later)
	}
	p := k.peer(id{a.From, a.Incarnation})
	if a.Sequence > p.acked {
		p.acked = a.Sequence
		p.heard, p.silent = now, a.Silent
		if !a.Lapsed {
			p.answering = now
		}
	}
	k.adopted(now, p, a.View)
	v := k.View()
	if a.Vouched != 0 && a.Vouched == v.Number && (!p.vouches || sent > p.vouched) {
		p.vouched, p.vouches = sent, true
	}
	if a.View < v.Number && p.member.Peer != "" {
		acts = append(acts, k.renewal(now, p.member, true))
	}
	return acts
}

// adopted notes that a run knows a view, and what follows from that.
func (k *Keeper) adopted(now wick.Instant, p *peer, v wick.ViewNumber) {
	if v > p.adopted {
		p.adopted = v
		k.observeRun(now, p)
	}
}

// lapsed reports whether self is a member without a lease.
func (k *Keeper) lapsed(now wick.Instant) bool {
	_, ok := k.Lease(now)
	return k.Member() && !ok
}

// renew returns renewals to everyone self needs an answer of.
func (k *Keeper) renew(now wick.Instant) []Action {
	k.renewAt = now.Add(k.cfg.Renew)
	k.suspects = len(k.silentHosts(now))
	var acts []Action
	for _, m := range k.targets(now) {
		acts = append(acts, k.renewal(now, m, false))
	}
	return acts
}

// renewal returns a renewal to one daemon, with the state if it needs that.
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

// targets returns whom self sends renewals: its witnesses; the witnesses of
// members that are silent, for their opinion; who wants to join; and those whose adoption of a
// later view self has to learn of.
func (k *Keeper) targets(now wick.Instant) []wick.Member {
	all := make(map[id]wick.Member)
	add := func(members ...wick.Member) {
		for _, m := range members {
			all[idOf(m)] = m
		}
	}
	add(k.contacts()...)
	for _, m := range k.watched {
		if k.silent(now, m) {
			add(k.current.members(k.current.witnessesOf(m))...)
		}
	}
	for _, p := range k.peers {
		if p.joining && now.Sub(p.heard) <= k.cfg.Suspect {
			add(p.member) // It shows by its answer that it can be reached.
		}
	}
	closer := k.closer()
	for _, r := range k.open {
		for i, o := range r.view.Members {
			if k.awaits(r, o, closer) {
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

// awaits reports whether self needs to learn when o stops acting in an earlier
// view. Rendezvous hashing moves keys only from members that left, or to ones
// that came; so a member that was there before waits only for those that left.
// Who closes views waits for all.
func (k *Keeper) awaits(old *roster, o wick.Member, closer bool) bool {
	if !k.Member() || !closer && old.index(k.self) >= 0 && k.current.index(idOf(o)) >= 0 {
		return false
	}
	_, known := k.endOf(old.view, o)
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
		return k.peer(idOf(m)).gone
	})
}
