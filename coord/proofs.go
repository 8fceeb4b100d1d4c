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

// keyProofs is the key of the memo with the proofs.
const keyProofs = "crashes"

// storedProofs is what this daemon knows of the memo with the proofs.
type storedProofs struct {
	// there is set if there is a memo.
	there bool
	// until has when each of its proofs, as proofName names them, is too old to count.
	until map[string]wick.Instant
}

// storeProofs writes the memo with the proofs if it lacks some or has others. Those that
// have become too old stay in it until it is written the next time.
func (s *state) storeProofs(now wick.Instant) {
	if !s.mayPutMemo(now) {
		return
	}
	if h, ok := s.arbiter(); !ok || h != nil {
		return
	}
	stored := &s.storedProofs
	maps.DeleteFunc(stored.until, func(_ string, until wick.Instant) bool { return now >= until })
	ev := s.suspects.Proofs(now)
	until := proofsUntil(now, ev.Crashes)
	same := maps.EqualFunc(stored.until, until, func(wick.Instant, wick.Instant) bool { return true })
	if same && (len(until) > 0 || !stored.there) {
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
	s.putMemo(now, keyProofs, value, func() { *stored = storedProofs{there: len(value) > 0, until: until} })
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
