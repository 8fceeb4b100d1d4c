package crash

import (
	"slices"

	"currantwick"
)

// Verdicts is a snapshot of what follows from the evidence of a Suspects. It never
// changes. The zero value clears every request.
type Verdicts struct {
	// suspects are the requests and parts that may be sent on trial only.
	suspects map[wick.Fingerprint]bool
	// stopped are the causes that are stopped: a request that has all keys of one of
	// them is not sent.
	stopped [][]wick.Fingerprint
}

// Verdicts returns the verdicts that follow from the evidence. A crash with a proved
// cause is no evidence about what else was pending there, and parts with less than
// half of the crashes of the most accused part, among those that are not stopped, are
// no suspects yet.
func (s *Suspects) Verdicts(now wick.Instant) Verdicts {
	var v Verdicts
	explained := s.explainedCrashes()
	counts := make(map[wick.Fingerprint]int, len(s.entries))
	most := 0
	for f, e := range s.entries {
		n := e.countWithout(func(id wick.EndpointStart) bool {
			keys, ok := explained[id]
			return ok && !slices.Contains(keys, f)
		})
		counts[f] = n
		if e.part && !s.isStopped(f) {
			most = max(most, n)
		}
	}
	for f, n := range counts {
		e := s.entries[f]
		if n == 0 || e.part && n < most/2 || e.vouched && n < vouchedCrashes {
			continue
		}
		if v.suspects == nil {
			v.suspects = make(map[wick.Fingerprint]bool)
		}
		v.suspects[f] = true
	}
	for _, c := range s.causes {
		if c.stops(now) {
			v.stopped = append(v.stopped, c.keys)
		}
	}
	return v
}

// isStopped reports whether a request or a part was proved to be a cause by itself.
func (s *Suspects) isStopped(f wick.Fingerprint) bool {
	for _, c := range s.causes {
		if len(c.keys) == 1 && c.keys[0] == f {
			return true
		}
	}
	return false
}

// explainedCrashes returns the crashes at which a request with a proved cause was
// pending, with what stays accused of them: the keys of the cause, and the parts of a
// request that is the cause, since one of them may be the cause of more.
func (s *Suspects) explainedCrashes() map[wick.EndpointStart][]wick.Fingerprint {
	if len(s.causes) == 0 {
		return nil
	}
	m := make(map[wick.EndpointStart][]wick.Fingerprint)
	for id, c := range s.crashes {
		for _, p := range c.pending {
			for _, proved := range s.causes {
				if !hasAll(proved.keys, p.Request, p.Parts) {
					continue
				}
				m[id] = append(m[id], proved.keys...)
				if proved.keys[0] == p.Request {
					m[id] = append(m[id], p.Parts...)
				}
			}
		}
	}
	return m
}

// hasAll reports whether a request has all keys of a cause.
func hasAll(keys []wick.Fingerprint, request wick.Fingerprint, parts []wick.Fingerprint) bool {
	return !slices.ContainsFunc(keys, func(f wick.Fingerprint) bool { return f != request && !slices.Contains(parts, f) })
}

// Of returns the verdict on a request and, for one that may run alone, its
// suspects: itself or parts of its prompt.
func (v Verdicts) Of(request wick.Fingerprint, parts []wick.Fingerprint) (Verdict, []wick.Fingerprint) {
	for _, keys := range v.stopped {
		if hasAll(keys, request, parts) {
			return Stopped, keys
		}
	}
	if len(v.suspects) == 0 {
		return Clear, nil
	}
	var suspects []wick.Fingerprint
	if v.suspects[request] {
		suspects = append(suspects, request)
	}
	for _, f := range parts {
		if v.suspects[f] {
			suspects = append(suspects, f)
		}
	}
	if len(suspects) > 0 {
		return RunAlone, suspects
	}
	return Clear, nil
}

// Stopped returns the causes that are stopped.
func (v Verdicts) Stopped() [][]wick.Fingerprint { return v.stopped }
