package coord

import (
	"fmt"
	"maps"
	"time"

	"currantwick"
	"currantwick/codec"
	"currantwick/crash"
)

// The evidence about requests that crash endpoints is in the memory of the daemons, and
// would be lost with all of them. What proves a cause is therefore stored in a memo,
// which the arbiter replaces when a cause is proved (again) or no longer is, and removes
// when none is left. A memo that was written late adds what it has to the evidence, and
// the arbiter writes again.

const (
	// keyProofs is the key of the memo with the proofs.
	keyProofs = "crashes"
	// proofsTakeover is how long a memo must have lacked proofs before the holder of
	// the next rank writes it: the store may turn the arbiter away.
	proofsTakeover = 5 * time.Second
)

// storedProofs is what this daemon knows of the memo with the proofs.
type storedProofs struct {
	// there is set if there is a memo.
	there bool
	// until has when each of its proofs, as proofName names them, is too old to count.
	until map[string]wick.Instant
	// lacking is set while the memo lacks proofs, and lackingSince is since when.
	lacking      bool
	lackingSince wick.Instant
}

// storeProofs writes the memo with the proofs if it lacks some or has others. Those that
// have become too old stay in it until it is written the next time.
func (s *state) storeProofs(now wick.Instant) {
	if !s.mayPutMemos(now) || !s.terms.HoldsAny() {
		return
	}
	ev := s.suspects.Proofs(now)
	until := proofsUntil(now, ev.Crashes)
	if !s.storedProofs.isDue(now, until, s.readerRank()) {
		return
	}
	var value []byte
	if len(until) > 0 {
		var err error
		value, err = codec.EncodeJSON(wick.CrashProofs{At: s.cfg.Wall.Wall(), Crashes: ev.Crashes, Vouched: ev.Vouched})
		if err != nil {
			s.log.Error("memo could not be encoded", "key", keyProofs, "err", err)
			s.memos.next = now.Add(maxMemoPause)
			return
		}
	}
	s.putMemos(now, func() { s.storedProofs = storedProofs{there: len(value) > 0, until: until} },
		wick.KeyedRecord{Key: keyProofs, Value: value})
}

// isDue reports whether the holder of a rank should write the memo. The arbiter, of rank
// 0, does so whenever it differs, the others only if it keeps lacking proofs.
func (p *storedProofs) isDue(now wick.Instant, until map[string]wick.Instant, rank int) bool {
	maps.DeleteFunc(p.until, func(_ string, until wick.Instant) bool { return now >= until })
	lacking := false
	for name := range until {
		_, ok := p.until[name]
		lacking = lacking || !ok
	}
	if lacking != p.lacking {
		p.lacking, p.lackingSince = lacking, now
	}
	switch {
	case rank > 0:
		return lacking && now.Sub(p.lackingSince) >= time.Duration(rank)*proofsTakeover
	case len(until) == 0:
		return p.there
	}
	return lacking || len(p.until) > len(until)
}

// readProofs adds the evidence of the memo with the proofs.
func (s *state) readProofs(now wick.Instant, value []byte) error {
	s.storedProofs = storedProofs{there: len(value) > 0}
	if len(value) == 0 {
		return nil
	}
	var r wick.CrashProofs
	if err := codec.DecodeJSON(value, &r); err != nil {
		return fmt.Errorf("proofs of crashes: %w", err)
	}
	since := wick.Duration(max(time.Duration(s.cfg.Wall.Wall()-r.At)*time.Millisecond, 0))
	for i := range r.Crashes {
		r.Crashes[i].Age += since
	}
	s.storedProofs.until = proofsUntil(now, r.Crashes)
	s.addEvidence(now, wick.Evidence{Crashes: r.Crashes, Vouched: r.Vouched}, daemonEvidence)
	return nil
}

// proofsUntil lists the crashes under each request of a memo by name, with the time when
// they are too old to count.
func proofsUntil(now wick.Instant, list []wick.CrashReport) map[string]wick.Instant {
	m := make(map[string]wick.Instant)
	for _, r := range list {
		for _, p := range r.Pending {
			m[proofName(r.Crash, p)] = now.Add(crash.EvidenceTime - r.Age.Std())
		}
	}
	return m
}

func proofName(id wick.EndpointStart, p wick.PendingRequest) string {
	return fmt.Sprintf("%s/%d/%s/%v/%v", id.Endpoint, id.Started, p.Request, p.Trial, p.Parts)
}
