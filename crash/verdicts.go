package crash

import (
	"slices"

	"currantwick"
)

// Verdicts is a snapshot of what follows from the evidence of a Suspects. It never
// changes. The zero value clears every request.
type Verdicts struct {
	// accused are the requests and parts of which an answer is to be reported;
	// the value is set for suspects.
	accused map[wick.Fingerprint]bool
	// stopped are the causes that are stopped: a request that has all keys of one of
	// them is not sent.
	stopped [][]wick.Fingerprint
}

// Verdicts returns the verdicts that follow from the evidence.
func (s *Suspects) Verdicts() Verdicts {
	var v Verdicts
	for f, e := range s.entries {
		suspected := e.suspected()
		// Parts that most requests share are pending at each crash. The next answer
		// is news only if they are about to become suspects.
		if !suspected && e.count() < vouchedCrashes-1 {
			continue
		}
		if v.accused == nil {
			v.accused = make(map[wick.Fingerprint]bool)
		}
		v.accused[f] = suspected
	}
	for _, c := range s.causes {
		v.stopped = append(v.stopped, c.keys)
	}
	return v
}

// Of returns the verdict on a request and, for one that may run alone, its
// suspects: itself or parts of its prompt.
func (v Verdicts) Of(request wick.Fingerprint, parts []wick.Fingerprint) (Verdict, []wick.Fingerprint) {
	for _, keys := range v.stopped {
		if !slices.ContainsFunc(keys, func(f wick.Fingerprint) bool { return f != request && !slices.Contains(parts, f) }) {
			return Stopped, keys
		}
	}
	suspects := v.filter(request, parts, func(suspected bool) bool { return suspected })
	if len(suspects) > 0 {
		return RunAlone, suspects
	}
	return Clear, nil
}

// Accused returns those of a request and its parts of which an answer is to be
// reported.
func (v Verdicts) Accused(request wick.Fingerprint, parts []wick.Fingerprint) []wick.Fingerprint {
	return v.filter(request, parts, func(bool) bool { return true })
}

func (v Verdicts) filter(request wick.Fingerprint, parts []wick.Fingerprint, want func(suspected bool) bool) []wick.Fingerprint {
	if len(v.accused) == 0 {
		return nil
	}
	var list []wick.Fingerprint
	if suspected, ok := v.accused[request]; ok && want(suspected) {
		list = append(list, request)
	}
	for _, f := range parts {
		if suspected, ok := v.accused[f]; ok && want(suspected) {
			list = append(list, f)
		}
	}
	return list
}

// Stopped returns the causes that are stopped.
func (v Verdicts) Stopped() [][]wick.Fingerprint { return v.stopped }
