package claim

import (
	"cmp"
	"slices"
	"time"

	"currantwick"
)

// heldKey is a key that a claim holds.
type heldKey struct {
	// claim has At set; its step is Taken or Answered.
	claim wick.Claim
}

// expires returns the time at which the key is free again, in Unix milliseconds
// by the platform's clock.
func (e heldKey) expires() int64 {
	return e.claim.At*1000 + e.claim.Life.Std().Milliseconds()
}

// stepResult is the effect of a step, which the records before it decide.
type stepResult struct {
	claim wick.Claim
	// holds is set if the claim holds its key, and newlyTaken if this step took
	// it; holder is the claim that holds the key otherwise.
	holds      bool
	newlyTaken bool
	holder     wick.Claim
}

// checkpointID identifies a checkpoint.
type checkpointID struct {
	by          wick.HostName
	incarnation wick.Incarnation
	asOf        wick.Offset
}

// ledger is the state built by applying the records of the claim stream. It
// uses no clock but the times of the records.
type ledger struct {
	keys map[wick.ClaimKey]heldKey
	// order lists the keys in the order they were taken, to drop expired ones.
	order []wick.ClaimKey
	// applied is the last offset included; clock is the latest time up to it, in
	// Unix milliseconds like all times of the platform's clock here.
	applied wick.Offset
	clock   int64
	// unapplied holds entries that do not follow applied; unappliedParts holds
	// the parts of checkpoints among them.
	unapplied      []wick.Entry
	unappliedParts map[checkpointID][]wick.ClaimState
	// checkpointTime is the time of the newest complete checkpoint or, before
	// any, of the first entry that was read. newestTime is the time of the newest
	// entry, which was read at newestSeen.
	checkpointTime, newestTime int64
	newestSeen                 wick.Instant
	// seenParts holds the parts read so far of incomplete checkpoints.
	seenParts map[checkpointID]map[int]bool
}

func newLedger() ledger {
	return ledger{
		keys:           make(map[wick.ClaimKey]heldKey),
		unappliedParts: make(map[checkpointID][]wick.ClaimState),
		seenParts:      make(map[checkpointID]map[int]bool),
	}
}

func (l *ledger) next() wick.Offset {
	if n := len(l.unapplied); n > 0 {
		return l.unapplied[n-1].Offset + 1
	}
	return l.applied + 1
}

// read handles an entry and returns the results of its steps.
func (l *ledger) read(now wick.Instant, e wick.Entry) []stepResult {
	if e.Offset < l.next() {
		return nil
	}
	l.observe(now, e)
	if len(l.unapplied) == 0 && e.Offset == l.applied+1 {
		return l.apply(e)
	}
	if e.Offset != l.next() {
		l.unapplied = nil // The entries between were dropped by the log's retention.
		clear(l.unappliedParts)
	}
	l.unapplied = append(l.unapplied, e)
	if e.Bad || e.Record.ClaimState == nil {
		return nil
	}
	return l.applyCheckpoint(*e.Record.ClaimState)
}

// observe updates the times of the newest entry and the newest checkpoint.
func (l *ledger) observe(now wick.Instant, e wick.Entry) {
	if e.Time >= l.newestTime {
		l.newestTime, l.newestSeen = e.Time, now
	}
	if l.checkpointTime == 0 {
		l.checkpointTime = e.Time
	}
	if st := e.Record.ClaimState; !e.Bad && st != nil {
		s := checkpointID{st.By, st.Incarnation, st.AsOf}
		if l.seenParts[s] == nil {
			l.seenParts[s] = make(map[int]bool)
		}
		l.seenParts[s][st.Part] = true
		if len(l.seenParts[s]) == st.Parts {
			l.checkpointTime = e.Time
			clear(l.seenParts)
		}
	}
}

// applyCheckpoint replaces the state by a checkpoint once all of its parts and
// the entries after it have been read.
func (l *ledger) applyCheckpoint(st wick.ClaimState) []stepResult {
	s := checkpointID{st.By, st.Incarnation, st.AsOf}
	same := func(o wick.ClaimState) bool { return o.Part == st.Part }
	if !slices.ContainsFunc(l.unappliedParts[s], same) {
		l.unappliedParts[s] = append(l.unappliedParts[s], st)
	}
	if len(l.unappliedParts[s]) < st.Parts || st.AsOf < l.applied || st.AsOf+1 < l.unapplied[0].Offset {
		return nil
	}
	l.keys, l.order = make(map[wick.ClaimKey]heldKey), nil
	for _, part := range l.unappliedParts[s] {
		for _, c := range part.Claims {
			l.keys[c.Key] = heldKey{c}
			l.order = append(l.order, c.Key)
		}
	}
	l.clock = st.Time
	return l.replay(st.AsOf)
}

// replay applies the unapplied entries after an offset.
func (l *ledger) replay(after wick.Offset) []stepResult {
	unapplied := l.unapplied
	l.applied, l.unapplied = after, nil
	clear(l.unappliedParts)
	var out []stepResult
	for _, e := range unapplied {
		if e.Offset > after {
			out = append(out, l.apply(e)...)
		}
	}
	return out
}

// restartFromOldest starts from the oldest entry if that is older than limit and
// no checkpoint was found: all daemons that knew the earlier entries must have
// ended, or one would have written a checkpoint.
func (l *ledger) restartFromOldest(now wick.Instant, limit time.Duration) []stepResult {
	if l.applied > 0 || len(l.unapplied) == 0 {
		return nil
	}
	if time.Duration(l.estimateTime(now)-l.unapplied[0].Time)*time.Millisecond < limit {
		return nil
	}
	return l.replay(l.unapplied[0].Offset - 1)
}

// apply applies the next entry and returns the results of its steps.
func (l *ledger) apply(e wick.Entry) []stepResult {
	l.applied = e.Offset
	l.clock = max(l.clock, e.Time)
	l.expire()
	if e.Bad || e.Record.Claims == nil {
		return nil
	}
	out := make([]stepResult, 0, len(e.Record.Claims.Steps))
	for _, c := range e.Record.Claims.Steps {
		out = append(out, l.applyStep(c))
	}
	return out
}

func (l *ledger) applyStep(c wick.Claim) stepResult {
	held, ok := l.live(c.Key, l.clock)
	sameAttempt := ok && held.claim.Request == c.Request &&
		held.claim.Holder == c.Holder && held.claim.Incarnation == c.Incarnation
	switch {
	case c.Step == wick.ClaimTaken && !ok:
		taken := c
		taken.At = l.clock / 1000
		l.keys[c.Key] = heldKey{taken}
		l.order = append(l.order, c.Key)
		return stepResult{claim: c, holds: true, newlyTaken: true}
	case c.Step == wick.ClaimTaken:
		return stepResult{claim: c, holds: sameAttempt, holder: held.claim}
	case c.Step == wick.ClaimReleased && sameAttempt && held.claim.Step == wick.ClaimTaken:
		delete(l.keys, c.Key)
	case c.Step == wick.ClaimAnswered && sameAttempt:
		held.claim.Step = wick.ClaimAnswered
		l.keys[c.Key] = held
	}
	return stepResult{claim: c}
}

// live returns the claim that holds a key at a time of the platform's clock.
func (l *ledger) live(key wick.ClaimKey, at int64) (heldKey, bool) {
	e, ok := l.keys[key]
	return e, ok && at < e.expires()
}

// expire drops expired keys. Keys taken later with a shorter life stay until
// those before them expire, which changes no result.
func (l *ledger) expire() {
	for len(l.order) > 0 {
		key := l.order[0]
		if e, ok := l.keys[key]; ok {
			if l.clock < e.expires() {
				return
			}
			delete(l.keys, key)
		}
		l.order = l.order[1:]
	}
}

// estimateTime estimates the time of the platform's clock. It is used only to
// decide whether appending a claim is worthwhile, whether to restart from the
// oldest entry, and when checkpoints are due.
func (l *ledger) estimateTime(now wick.Instant) int64 {
	return max(l.clock, l.newestTime+now.Sub(l.newestSeen).Milliseconds())
}

// checkpointAge returns the age of the newest checkpoint, by the
// platform's clock.
func (l *ledger) checkpointAge(now wick.Instant) time.Duration {
	if l.applied == 0 {
		return 0
	}
	return time.Duration(l.estimateTime(now)-l.checkpointTime) * time.Millisecond
}

// checkpointParts returns a checkpoint of the current state, split into
// parts.
func (l *ledger) checkpointParts(cfg Config) []wick.ClaimState {
	var live []wick.Claim
	for key := range l.keys {
		if e, ok := l.live(key, l.clock); ok {
			live = append(live, e.claim)
		}
	}
	slices.SortFunc(live, func(a, b wick.Claim) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Key, b.Key))
	})
	chunks := slices.Collect(slices.Chunk(live, cfg.MaxSteps))
	if len(chunks) == 0 {
		chunks = [][]wick.Claim{nil}
	}
	var out []wick.ClaimState
	for i, c := range chunks {
		out = append(out, wick.ClaimState{
			AsOf: l.applied, Time: l.clock, By: cfg.Self, Incarnation: cfg.Incarnation,
			Part: i + 1, Parts: len(chunks), Claims: c,
		})
	}
	return out
}
