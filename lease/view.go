package lease

import (
	"slices"

	"currantwick"
)

// OnEntry handles an entry of wick.ViewStream. Entries come in the order of their
// offsets; entries that were read before are ignored.
func (k *Keeper) OnEntry(now wick.Instant, e wick.Entry) []Action {
	before := k.log.state.View
	k.backoff = 0 // The log can be read, and may take records again.
	if !k.log.read(now, e) {
		return nil
	}
	acts := k.stateChanged(now, before)
	if !e.Bad && e.Record.RunsEnded != nil {
		k.endRuns(now, e.Record.RunsEnded.Runs)
	}
	return acts
}

// endRuns records that runs have ended, if they are members of a view that is
// not closed.
func (k *Keeper) endRuns(now wick.Instant, runs []wick.Run) {
	for _, run := range runs {
		n := runID{run.Host, run.Incarnation}
		if n != k.self && k.inView(n) {
			k.peer(n).ended = true
		}
	}
	k.updateLeaseEnds(now)
}

// inView reports whether a run is a member of a view that is not closed.
func (k *Keeper) inView(n runID) bool {
	return slices.ContainsFunc(k.views(), func(v wick.View) bool {
		m, ok := v.Member(n.host)
		return ok && runIDOf(m) == n
	})
}

// RunsOn returns the runs on a host that are members of views which are not
// closed, except self.
func (k *Keeper) RunsOn(host wick.HostName) []wick.Run {
	var out []wick.Run
	for _, v := range k.views() {
		m, ok := v.Member(host)
		run := wick.Run{Host: m.Host, Incarnation: m.Incarnation}
		if ok && runIDOf(m) != k.self && !slices.Contains(out, run) {
			out = append(out, run)
		}
	}
	return out
}

// OnState handles a state that a peer handed over. It is ignored unless it is
// newer than the state of self.
func (k *Keeper) OnState(now wick.Instant, st wick.ViewState) []Action {
	before := k.log.state.View
	if !k.log.adoptState(st) {
		return nil
	}
	return k.stateChanged(now, before)
}

// stateChanged updates everything that is derived from the state after it may
// have changed.
func (k *Keeper) stateChanged(now wick.Instant, before wick.View) []Action {
	v := k.View()
	k.indexViews()
	k.pruneLeaseEnds()
	if v.Number == before.Number {
		return nil
	}
	k.learnMembers()
	for _, p := range k.peers {
		p.vouches = false
	}
	k.witnesses, k.vouchesFor, k.monitored = nil, nil, nil
	if i := k.current.index(k.self); i >= 0 {
		k.witnesses = k.current.members(k.current.witnesses[i])
		k.vouchesFor = k.current.members(k.current.vouchesFor[i])
		k.monitored = k.current.members(union(k.current.witnesses[i], k.current.vouchesFor[i]))
	}
	for _, m := range k.monitored {
		k.initPeer(now, m, before)
	}
	k.planned, k.proposeAfter = false, 0
	k.updateLeaseEnds(now)
	k.dropRuns(now)
	return append([]Action{Changed{Old: before, New: v}}, k.renew(now)...)
}

// initPeer starts the silence timers of a member that is new to self.
func (k *Keeper) initPeer(now wick.Instant, m wick.Member, before wick.View) {
	p := k.peer(runIDOf(m))
	if !before.Has(m) || !before.Has(k.cfg.Self) {
		p.received, p.renewalAt, p.ackAt = now, now, now
		p.silent = nil
	}
	p.joining = false
}

// views returns the views that are not closed, the current one last.
func (k *Keeper) views() []wick.View {
	return append(slices.Clip(k.log.state.Open), k.View())
}

// learnMembers records what the views show of their members: where they listen,
// and that a member which joined with a view ran after the view before was on the
// log.
func (k *Keeper) learnMembers() {
	views := k.views()
	for i, v := range views {
		for _, m := range v.Members {
			p := k.setMember(m)
			if i > 0 && !views[i-1].Has(m) {
				p.adopted = max(p.adopted, views[i-1].Number)
			}
		}
	}
	k.peer(k.self).adopted = k.View().Number
}

// indexViews updates current and open to match the state.
func (k *Keeper) indexViews() {
	known := append(k.open, k.current)
	indexed := func(v wick.View) *indexedView {
		i := slices.IndexFunc(known, func(r *indexedView) bool { return r.view.Number == v.Number })
		if i < 0 {
			return newIndexedView(v).assignWitnesses()
		}
		return known[i]
	}
	k.current = indexed(k.View())
	var open []*indexedView
	for _, v := range k.log.state.Open {
		open = append(open, indexed(v))
	}
	k.open = open
}

// union returns the elements of both slices, sorted and without duplicates.
func union(a, b []int) []int {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// dropRuns removes the runs that are in neither the current view nor an open one
// and have been silent for Config.QuorumTimeout.
func (k *Keeper) dropRuns(now wick.Instant) {
	members := map[runID]bool{k.self: true}
	for _, v := range k.views() {
		for _, m := range v.Members {
			members[runIDOf(m)] = true
		}
	}
	for n, p := range k.peers {
		if members[n] || now.Sub(p.received) < k.cfg.QuorumTimeout {
			continue
		}
		delete(k.peers, n)
		a := p.member.Peer
		k.runs[a] = slices.DeleteFunc(k.runs[a], func(o runID) bool { return o == n })
		if len(k.runs[a]) == 0 {
			delete(k.runs, a)
		}
	}
}
