package coord

import (
	"slices"
	"time"

	"currantwick"
	"currantwick/crash"
	"currantwick/terms"
)

// Daemons share the evidence about requests and parts of prompts that may crash
// endpoints: a daemon tells holders, and a holder tells all daemons linked to it. Who
// may try a suspect is decided by one of the holders, the arbiter.

const (
	// evidenceHolders is the number of holders to which a daemon reports evidence:
	// one may be about to end.
	evidenceHolders = 2
	// maxGrantAge is how long a trial that was granted stays usable, if its request
	// does not end it.
	maxGrantAge = 10 * time.Second
)

// evidenceSource is where evidence comes from.
type evidenceSource uint8

const (
	// ownEvidence was gathered by this daemon.
	ownEvidence evidenceSource = iota
	// daemonEvidence was told by another daemon.
	daemonEvidence
)

// addEvidence adds evidence and tells other daemons what was new.
func (s *state) addEvidence(now wick.Instant, ev wick.Evidence, from evidenceSource) {
	if ev.Empty() {
		return
	}
	told := s.freshEvidence(now, ev)
	vouched := s.vouchFor(now, told.Crashes)
	if told.Empty() && len(vouched) == 0 {
		return
	}
	s.updateVerdicts(now)
	if s.terms.HoldsAny() {
		told.Vouched = append(told.Vouched, vouched...)
		s.out.evidence.Append(told)
		return
	}
	own := wick.Evidence{Vouched: vouched}
	if from == ownEvidence {
		own.Append(told)
	}
	if own.Empty() {
		return
	}
	for _, h := range s.linkedHolders(evidenceHolders) {
		h.link.Post(wick.LinkMessage{Report: &wick.InstanceReport{Ready: s.ready(), Evidence: own}})
	}
}

// freshEvidence adds evidence and returns what was not known.
func (s *state) freshEvidence(now wick.Instant, ev wick.Evidence) wick.Evidence {
	var fresh wick.Evidence
	for _, r := range ev.Crashes {
		if f := s.suspects.AddCrash(now, r); f != nil {
			fresh.Crashes = append(fresh.Crashes, *f)
		}
	}
	for _, f := range ev.Answered {
		if s.suspects.Answered(now, f) {
			if v, _ := s.verdicts.Of(f, nil); v == crash.RunAlone {
				s.log.Info("suspect answered", "fingerprint", f.String())
			}
			fresh.Answered = append(fresh.Answered, f)
		}
	}
	for _, f := range ev.Vouched {
		if s.suspects.Vouch(now, f) {
			fresh.Vouched = append(fresh.Vouched, f)
		}
	}
	for _, r := range ev.Stopped {
		if s.suspects.Stop(now, r) {
			fresh.Stopped = append(fresh.Stopped, r)
		}
	}
	return fresh
}

// vouchFor returns the parts in reports of crashes that this daemon saw answered and
// for which no daemon has vouched yet.
func (s *state) vouchFor(now wick.Instant, reports []wick.CrashReport) []wick.Fingerprint {
	var list []wick.Fingerprint
	for _, r := range reports {
		for _, p := range r.Pending {
			for _, f := range p.Parts {
				if _, ok := s.cfg.AnsweredParts.Last(f); ok && s.suspects.Vouch(now, f) {
					list = append(list, f)
				}
			}
		}
	}
	return list
}

// clearAnswered clears the accused parts that this daemon saw answered since their
// last crash.
func (s *state) clearAnswered(now wick.Instant) {
	var ev wick.Evidence
	for f, crashed := range s.suspects.AccusedParts() {
		if at, ok := s.cfg.AnsweredParts.Last(f); ok && at > crashed {
			ev.Answered = append(ev.Answered, f)
		}
	}
	s.addEvidence(now, ev, ownEvidence)
}

// updateVerdicts publishes the verdicts and logs the causes whose verdict changed.
func (s *state) updateVerdicts(now wick.Instant) {
	old := s.verdicts.Stopped()
	s.verdicts = s.suspects.Verdicts(now)
	s.dirty = true
	for _, keys := range missing(s.verdicts.Stopped(), old) {
		s.log.Warn("requests stopped", "keys", texts(keys), "cause", "they crashed endpoints, the last one on trial")
		s.cfg.Observer.RequestStopped()
	}
	for _, keys := range missing(old, s.verdicts.Stopped()) {
		s.log.Info("requests no longer stopped", "keys", texts(keys), "cause", "evidence changed or is too old")
	}
}

// missing returns the lists that are in a and not in b.
func missing(a, b [][]wick.Fingerprint) [][]wick.Fingerprint {
	var list [][]wick.Fingerprint
	for _, keys := range a {
		if !slices.ContainsFunc(b, func(k []wick.Fingerprint) bool { return slices.Equal(k, keys) }) {
			list = append(list, keys)
		}
	}
	return list
}

// expireSuspects drops old evidence and unused trials.
func (s *state) expireSuspects(now wick.Instant) {
	if s.suspects.Expire(now) {
		s.updateVerdicts(now)
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

// suspectsAnswered is the event of a traffic goroutine whose request was answered
// although it has suspects.
type suspectsAnswered struct {
	suspects []wick.Fingerprint
}

func (e suspectsAnswered) apply(s *state, now wick.Instant) {
	s.addEvidence(now, wick.Evidence{Answered: e.suspects}, ownEvidence)
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
