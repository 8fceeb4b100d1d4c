package crash

import (
	"cmp"
	"slices"

	"currantwick"
)

const (
	// maxProofCrashes bounds the crashes in Proofs, and maxProofPending the requests of
	// one of them. A cause is proved anew at most seven times before its evidence is too
	// old, since the time for which it is stopped doubles.
	maxProofCrashes = 64
	maxProofPending = 8
)

// Proofs returns the evidence that proves the known causes, also those that may be
// tried again, oldest crash first. A Suspects that adds it stops the same causes for
// as long, and knows as many earlier proofs.
func (s *Suspects) Proofs(now wick.Instant) wick.Evidence {
	var ev wick.Evidence
	if len(s.causes) == 0 {
		return ev
	}
	vouched := make(map[wick.Fingerprint]bool)
	for _, id := range s.order {
		c := s.crashes[id]
		r := wick.CrashReport{Crash: id, Age: wick.Duration(max(now.Sub(c.at), 0))}
		for _, p := range c.pending {
			if kept, ok := s.proofOf(id, p); ok {
				r.Pending = append(r.Pending, kept)
			}
		}
		slices.SortFunc(r.Pending, compareProofs)
		r.Pending = r.Pending[:min(len(r.Pending), maxProofPending)]
		if len(r.Pending) == 0 {
			continue
		}
		ev.Crashes = append(ev.Crashes, r)
		for _, p := range r.Pending {
			for _, f := range p.Parts {
				if s.entries[f].vouched {
					vouched[f] = true
				}
			}
		}
	}
	slices.SortFunc(ev.Crashes, func(a, b wick.CrashReport) int { return cmp.Compare(b.Age, a.Age) })
	ev.Crashes = ev.Crashes[max(len(ev.Crashes)-maxProofCrashes, 0):]
	for f := range vouched {
		ev.Vouched = append(ev.Vouched, f)
	}
	slices.Sort(ev.Vouched)
	return ev
}

// proofOf returns what a request that was pending at a crash proves: the request with
// those of its parts that are keys of a cause. It returns false if it has none.
func (s *Suspects) proofOf(id wick.EndpointStart, p wick.PendingRequest) (wick.PendingRequest, bool) {
	kept := wick.PendingRequest{Request: p.Request, Trial: p.Trial}
	found := false
	for _, c := range s.causes {
		if !hasAll(c.keys, p.Request, p.Parts) {
			continue
		}
		for _, f := range c.keys {
			e := s.entries[f]
			if e == nil {
				continue
			}
			if _, accused := e.crashes[id]; !accused {
				continue
			}
			found = true
			if f != p.Request && !slices.Contains(kept.Parts, f) {
				kept.Parts = append(kept.Parts, f)
			}
		}
	}
	slices.Sort(kept.Parts)
	return kept, found
}

// compareProofs orders requests on trial first.
func compareProofs(a, b wick.PendingRequest) int {
	if a.Trial != b.Trial {
		if a.Trial {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Request, b.Request)
}
