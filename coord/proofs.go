package coord

import (
	"fmt"
	"slices"
	"time"

	"currantwick"
	"currantwick/codec"
	"currantwick/pause"
)

// The evidence about requests that crash endpoints is in the memory of the daemons, and
// would be lost with all of them. What proves a cause is therefore stored, in one record
// that the arbiter replaces when a cause is proved (again), and removes when none is left.
// Daemons read it with the other records of their topic. It is written under a condition,
// so that a late write of it is done only if nothing else was written meanwhile; one that
// is done all the same adds what it has to the evidence, and the arbiter writes again.

const (
	// keyProofs is the key of the record with the proofs.
	keyProofs = "crashes"
	// proofsInterval is the least time between two writes of it, and maxProofsPause
	// the longest pause after a failed one.
	proofsInterval = 2 * time.Second
	maxProofsPause = 5 * time.Second
)

// proofStore is what this daemon knows of the record with the proofs.
type proofStore struct {
	// stored lists what the record has, as proofNames does. writing lists what is being
	// written, if pending is set.
	stored, writing []string
	pending         bool
	// next is the earliest time of the next write.
	next    wick.Instant
	backoff pause.Backoff
}

// storeProofs writes the record with the proofs if it lacks some, or if none is left.
func (s *state) storeProofs(now wick.Instant) {
	p := &s.proofs
	t := &s.topics[wick.TopicDaemons]
	if p.pending || now < p.next || t.knownUpTo() < 0 {
		return
	}
	if h, ok := s.arbiter(); !ok || h != nil {
		return
	}
	ev := s.suspects.Proofs(now)
	names := proofNames(ev.Crashes)
	lacking := slices.ContainsFunc(names, func(n string) bool { return !slices.Contains(p.stored, n) })
	if !lacking && (len(names) > 0 || len(p.stored) == 0) {
		return
	}
	var value []byte
	if len(names) > 0 {
		var err error
		value, err = codec.EncodeJSON(wick.CrashProofs{At: s.cfg.Wall.Wall(), Crashes: ev.Crashes, Vouched: ev.Vouched})
		if err != nil {
			s.log.Error("record could not be encoded", "key", keyProofs, "err", err)
			p.next = now.Add(maxProofsPause)
			return
		}
	}
	s.log.Info("storing proofs of crashes", "crashes", len(ev.Crashes), "bytes", len(value))
	p.pending, p.writing, p.next = true, names, now.Add(proofsInterval)
	s.cfg.IO.Put(max(t.next, t.known), keyProofs, value)
}

// proofsPut handles the result of a write.
func (s *state) proofsPut(now wick.Instant, e putDone) {
	p := &s.proofs
	p.pending = false
	if e.err == nil && e.current {
		p.stored = p.writing
		p.backoff.Reset()
		return
	}
	s.log.Warn("proofs of crashes not stored", "current", e.current, "err", e.err)
	p.next = max(p.next, now.Add(p.backoff.Next()))
	// The topic is read before the next write.
	t := &s.topics[wick.TopicDaemons]
	t.holderCurrent, t.current, t.due = -1, -1, now
}

// readProofs adds the evidence of a record with proofs.
func (s *state) readProofs(now wick.Instant, rec wick.RelayedRecord) error {
	s.proofs.stored = nil
	if len(rec.Value) == 0 {
		return nil
	}
	var r wick.CrashProofs
	if err := codec.DecodeJSON(rec.Value, &r); err != nil {
		return fmt.Errorf("proofs of crashes: %w", err)
	}
	s.proofs.stored = proofNames(r.Crashes)
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
