package crash

import (
	"cmp"
	"slices"

	"currantwick"
)

// judgeAnew judges the crashes at which requests or parts were pending about which
// there is new evidence.
func (s *Suspects) judgeAnew(list []wick.PendingRequest) {
	ids := make(map[wick.EndpointStart]bool)
	for _, p := range list {
		for _, f := range append([]wick.Fingerprint{p.Request}, p.Parts...) {
			if e := s.entries[f]; e != nil {
				for id := range e.crashes {
					ids[id] = true
				}
			}
		}
	}
	// The time for which a cause is stopped depends on earlier proofs.
	for _, id := range s.byTime(ids) {
		s.judge(id, s.crashes[id])
	}
}

// byTime lists those of some crashes that are known, the oldest first.
func (s *Suspects) byTime(ids map[wick.EndpointStart]bool) []wick.EndpointStart {
	list := make([]wick.EndpointStart, 0, len(ids))
	for id := range ids {
		if s.crashes[id] != nil {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, func(a, b wick.EndpointStart) int {
		return cmp.Or(cmp.Compare(s.crashes[a].at, s.crashes[b].at), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Started, b.Started))
	})
	return list
}

// judge stops the causes that a crash proves. It takes that back if there is new
// evidence for another cause of the same crash.
func (s *Suspects) judge(id wick.EndpointStart, c *crashRecord) {
	for f, p := range c.pending {
		if !p.Trial {
			continue
		}
		key := trialCrash{id, f}
		keys := s.provedCause(id, c, p)
		switch old := s.causes[key]; {
		case old != nil && old.received && !s.disputed(id, c, p, old.keys):
		case len(keys) > 0:
			s.addCause(key, &cause{keys: keys, at: c.at, stop: s.nextStop(key, keys)})
		default:
			delete(s.causes, key)
		}
	}
}

// disputed reports whether something else that was pending at a crash has as many
// crashes against it as a cause that another daemon proved without knowing of them.
func (s *Suspects) disputed(id wick.EndpointStart, c *crashRecord, p wick.PendingRequest, keys []wick.Fingerprint) bool {
	most := 0
	for _, f := range keys {
		most = max(most, s.crashesOf(id, f))
	}
	if slices.Contains(keys, p.Request) {
		return s.otherRequest(id, c, p, max(most, crashesToStop))
	}
	return s.otherPart(id, c, p, max(most, partCrashesToStop))
}

// provedCause returns what caused a crash under a request on trial: those of its parts
// with many crashes against them, which can't be told apart yet, or else the request
// itself. Vouched parts come into question only if no other part does. It returns nil
// if the cause is not proved.
func (s *Suspects) provedCause(id wick.EndpointStart, c *crashRecord, p wick.PendingRequest) []wick.Fingerprint {
	parts := s.partsInQuestion(id, p)
	most := 0
	for _, f := range parts {
		most = max(most, s.crashesOf(id, f))
	}
	if most >= partCrashesToStop && !s.otherPart(id, c, p, most) {
		// A part that was never answered may be the cause although another one, which
		// more requests share, has more crashes against it.
		least := max(2, most/2)
		keys := slices.DeleteFunc(parts, func(f wick.Fingerprint) bool { return s.crashesOf(id, f) < least })
		slices.Sort(keys)
		return keys
	}
	if n := s.crashesOf(id, p.Request); n >= crashesToStop && !s.otherRequest(id, c, p, n) {
		return []wick.Fingerprint{p.Request}
	}
	return nil
}

// partsInQuestion returns the parts of a request on trial that may have caused a
// crash: those never seen answered, or else the vouched ones that were pending on
// trial at vouchedTrials crashes.
func (s *Suspects) partsInQuestion(id wick.EndpointStart, p wick.PendingRequest) []wick.Fingerprint {
	var plain, vouched []wick.Fingerprint
	for _, f := range p.Parts {
		switch e := s.entries[f]; {
		case s.crashesOf(id, f) == 0:
		case !e.vouched:
			plain = append(plain, f)
		case e.trials() >= vouchedTrials:
			vouched = append(vouched, f)
		}
	}
	if len(plain) > 0 {
		return plain
	}
	return vouched
}

// crashesOf returns the number of crashes against a suspect that was pending at a
// crash, or 0 if it is none or was answered since.
func (s *Suspects) crashesOf(id wick.EndpointStart, f wick.Fingerprint) int {
	e := s.entries[f]
	if e == nil || !e.suspected() {
		return 0
	}
	if _, pending := e.crashes[id]; !pending {
		return 0
	}
	return e.count()
}

// otherRequest reports whether another request that was pending at a crash has at
// least n crashes against it.
func (s *Suspects) otherRequest(id wick.EndpointStart, c *crashRecord, p wick.PendingRequest, n int) bool {
	for f := range c.pending {
		if f != p.Request && s.crashesOf(id, f) >= n {
			return true
		}
	}
	return false
}

// otherPart reports whether a part that only other requests have had at a crash has
// at least n crashes against it.
func (s *Suspects) otherPart(id wick.EndpointStart, c *crashRecord, p wick.PendingRequest, n int) bool {
	for _, other := range c.pending {
		for _, f := range other.Parts {
			if !slices.Contains(p.Parts, f) && s.crashesOf(id, f) >= n {
				return true
			}
		}
	}
	return false
}
