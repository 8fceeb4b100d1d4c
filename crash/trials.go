package crash

import (
	"slices"
	"time"

	"currantwick"
)

const (
	// trialTimeout is how long a trial without a result blocks the next one. Its
	// daemon may have ended.
	trialTimeout = 2 * time.Second
	// endpointsPerTrial is the number of endpoints for each trial that may run at a
	// time: trials may crash a small part of the endpoints together.
	endpointsPerTrial = 16
)

// Trials grants trials to suspects: one at a time for each, and few over all. The
// zero value is ready to use.
type Trials struct {
	active map[wick.TrialID]trial
}

// trial is a trial that was granted.
type trial struct {
	suspects []wick.Fingerprint
	until    wick.Instant
}

// Grant reports whether a trial may start, or has started, and counts it if so.
func (t *Trials) Grant(now wick.Instant, r wick.TrialRequest, endpoints int) bool {
	t.expire(now)
	if _, ok := t.active[r.Trial]; ok {
		return true
	}
	if len(t.active) >= 1+endpoints/endpointsPerTrial {
		return false
	}
	for _, a := range t.active {
		if slices.ContainsFunc(a.suspects, func(f wick.Fingerprint) bool { return slices.Contains(r.Suspects, f) }) {
			return false
		}
	}
	if t.active == nil {
		t.active = make(map[wick.TrialID]trial)
	}
	t.active[r.Trial] = trial{suspects: r.Suspects, until: now.Add(trialTimeout)}
	return true
}

// End ends a trial whose result is known.
func (t *Trials) End(id wick.TrialID) { delete(t.active, id) }

func (t *Trials) expire(now wick.Instant) {
	for id, a := range t.active {
		if now >= a.until {
			delete(t.active, id)
		}
	}
}
