package coord

import (
	"fmt"
	"slices"
	"time"

	"currantwick"
	"currantwick/codec"
)

// The evidence about requests that crash endpoints is in the memory of the daemons, and
// would be lost with all of them. What proves a cause is therefore stored in a memo,
// which the arbiter replaces when a cause is proved (again), and removes when none is
// left. A memo that was written late adds what it has to the evidence, and the arbiter
// writes again.

// keyProofs is the key of the memo with the proofs.
const keyProofs = "crashes"

// storeProofs writes the memo with the proofs if it lacks some, or if none is left.
func (s *state) storeProofs(now wick.Instant) {
	if !s.mayPutMemo(now) {
		return
	}
	if h, ok := s.arbiter(); !ok || h != nil {
		return
	}
	ev := s.suspects.Proofs(now)
	names := proofNames(ev.Crashes)
	lacking := slices.ContainsFunc(names, func(n string) bool { return !slices.Contains(s.storedProofs, n) })
	if !lacking && (len(names) > 0 || len(s.storedProofs) == 0) {
		return
	}
	var value []byte
	if len(names) > 0 {
		var err error
		value, err = codec.EncodeJSON(wick.CrashProofs{At: s.cfg.Wall.Wall(), Crashes: ev.Crashes, Vouched: ev.Vouched})
		if err != nil {
			s.log.Error("memo could not be encoded", "key", keyProofs, "err", err)
			s.memos.next = now.Add(maxMemoPause)
			return
		}
	}
	s.putMemo(now, keyProofs, value, func() { s.storedProofs = names })
}

// readProofs adds the evidence of the memo with the proofs.
func (s *state) readProofs(now wick.Instant, value []byte) error {
	s.storedProofs = nil
	if len(value) == 0 {
		return nil
	}
	var r wick.CrashProofs
	if err := codec.DecodeJSON(value, &r); err != nil {
		return fmt.Errorf("proofs of crashes: %w", err)
	}
	s.storedProofs = proofNames(r.Crashes)
	since := wick.Duration(max(time.Duration(s.cfg.Wall.Wall()-r.At)*time.Millisecond, 0))
	for i := range r.Crashes {
		r.Crashes[i].Age += since
	}
	s.addEvidence(now, wick.Evidence{Crashes: r.Crashes, Vouched: r.Vouched}, daemonEvidence)
	return nil
}

// proofNames names the crashes under each request in a list, to compare two lists.
func proofNames(list []wick.CrashReport) []string {
	var names []string
	for _, r := range list {
		for _, p := range r.Pending {
			names = append(names, fmt.Sprintf("%s/%d/%s/%v/%v", r.Crash.Endpoint, r.Crash.Started, p.Request, p.Trial, p.Parts))
		}
	}
	return names
}
