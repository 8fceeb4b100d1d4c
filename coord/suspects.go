package coord

import (
	"time"

	"currantwick"
	"currantwick/crash"
	"currantwick/terms"
)

// Daemons share the evidence against requests that may crash endpoints: a daemon
// tells holders, and a holder tells all daemons linked to it. Who may try a suspect
// is decided by one of the holders, the arbiter.

const (
	// evidenceHolders is the number of holders to which a daemon reports evidence:
	// one may be about to end.
	evidenceHolders = 2
	// maxGrantAge is how long a trial that was granted stays usable, if its request
	// does not end it.
	maxGrantAge = 10 * time.Second
)

// evidence is what daemons tell each other about suspects.
type evidence struct {
	crashes  []wick.CrashReport
	answered []wick.Fingerprint
	stopped  []wick.StoppedRequest
}

func (e *evidence) empty() bool {
	return len(e.crashes) == 0 && len(e.answered) == 0 && len(e.stopped) == 0
}

// evidenceSource is where evidence comes from.
type evidenceSource uint8

const (
	// ownEvidence was gathered by this daemon.
	ownEvidence evidenceSource = iota
	// daemonEvidence was told by another daemon.
	daemonEvidence
)

// addEvidence adds evidence and tells other daemons what was new.
func (s *state) addEvidence(now wick.Instant, ev evidence, from evidenceSource) {
	var fresh evidence
	for _, r := range ev.crashes {
		if f := s.suspects.AddCrash(now, r); f != nil {
			fresh.crashes = append(fresh.crashes, *f)
		}
	}
	for _, f := range ev.answered {
		if s.suspects.Answered(f) {
			s.log.Info("suspect answered", "fingerprint", f.String())
			fresh.answered = append(fresh.answered, f)
		}
	}
	for _, r := range ev.stopped {
		if s.suspects.Stop(now, r) {
			fresh.stopped = append(fresh.stopped, r)
		}
	}
	if fresh.empty() {
		return
	}
	s.updateVerdicts()
	switch {
	case s.terms.HoldsAny():
		s.out.evidence.crashes = append(s.out.evidence.crashes, fresh.crashes...)
		s.out.evidence.answered = append(s.out.evidence.answered, fresh.answered...)
		s.out.evidence.stopped = append(s.out.evidence.stopped, fresh.stopped...)
	case from == ownEvidence:
		r := &wick.InstanceReport{Ready: s.ready(), Crashes: fresh.crashes, Answered: fresh.answered}
		for _, h := range s.linkedHolders(evidenceHolders) {
			h.link.Post(wick.LinkMessage{Report: r})
		}
	}
}

// updateVerdicts publishes the verdicts and logs requests that were stopped.
func (s *state) updateVerdicts() {
	old := s.verdicts
	s.verdicts = s.suspects.Verdicts()
	s.dirty = true
	for f, v := range s.verdicts {
		if v == crash.Stopped && old[f] != crash.Stopped {
			s.log.Warn("request stopped", "fingerprint", f.String(), "cause", "it crashed endpoints, the last one on trial")
			s.cfg.Observer.RequestStopped()
		}
	}
}

// expireSuspects drops old evidence and unused trials.
func (s *state) expireSuspects(now wick.Instant) {
	if s.suspects.Expire(now) {
		s.updateVerdicts()
	}
	for id, at := range s.granted {
		if now.Sub(at) > maxGrantAge {
			delete(s.granted, id)
		}
	}
}

// linkedHolders returns up to n holders that this daemon has dialed, in the order
// of their lowest shards.
func (s *state) linkedHolders(n int) []*holder {
	var list []*holder
	seen := make(map[wick.HostName]bool)
	for sh := range wick.Shard(terms.Shards) {
		host := s.terms.Holder(sh).Holder
		if h := s.holders[host]; h != nil && !seen[host] && len(list) < n {
			seen[host] = true
			list = append(list, h)
		}
	}
	return list
}

// arbiter returns the holder that grants trials: the one of the lowest shard that
// this daemon reaches. It is nil for this daemon itself, and ok is false if no
// holder is known.
func (s *state) arbiter() (h *holder, ok bool) {
	for sh := range wick.Shard(terms.Shards) {
		if s.terms.Holds(sh) {
			return nil, true
		}
		if h := s.holders[s.terms.Holder(sh).Holder]; h != nil {
			return h, true
		}
	}
	return nil, false
}

// suspectAnswered is the event of a traffic goroutine whose suspect was answered.
type suspectAnswered struct {
	request wick.Fingerprint
}

func (e suspectAnswered) apply(s *state, now wick.Instant) {
	s.addEvidence(now, evidence{answered: []wick.Fingerprint{e.request}}, ownEvidence)
}

// trialRequested is the event of a traffic goroutine that holds a suspect.
type trialRequested struct {
	request wick.TrialRequest
}

func (e trialRequested) apply(s *state, now wick.Instant) {
	h, ok := s.arbiter()
	switch {
	case !ok:
	case h != nil:
		h.link.Post(wick.LinkMessage{Report: &wick.InstanceReport{Ready: s.ready(), TrialRequests: []wick.TrialRequest{e.request}}})
	case s.trials.Grant(now, e.request, len(s.sortedEndpoints)):
		s.grant(now, e.request.Trial)
	}
}

// grantTrials answers a linked daemon's requests for trials.
func (s *state) grantTrials(now wick.Instant, m *linkedDaemon, list []wick.TrialRequest) {
	u := s.baseUpdate()
	for _, r := range list {
		if s.trials.Grant(now, r, len(s.sortedEndpoints)) {
			u.Trials = append(u.Trials, r.Trial)
		}
	}
	if len(u.Trials) > 0 {
		m.link.Post(wick.LinkMessage{Update: u})
	}
}

// grant records a trial that was granted to this daemon.
func (s *state) grant(now wick.Instant, id wick.TrialID) {
	s.granted[id] = now
	s.dirty = true
	s.log.Info("trial granted", "trial", id)
}

// trialEnded is the event of a traffic goroutine that does not need its trial any
// more.
type trialEnded struct {
	trial wick.TrialID
}

func (e trialEnded) apply(s *state, _ wick.Instant) { s.endTrial(e.trial) }

// endTrial tells the arbiter that a trial has ended.
func (s *state) endTrial(id wick.TrialID) {
	if _, ok := s.granted[id]; ok {
		delete(s.granted, id)
		s.dirty = true
	}
	s.trials.End(id)
	if h, ok := s.arbiter(); ok && h != nil {
		h.link.Post(wick.LinkMessage{Report: &wick.InstanceReport{Ready: s.ready(), EndedTrials: []wick.TrialID{id}}})
	}
}
