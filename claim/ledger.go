package claim

import (
	"cmp"
	"slices"
	"time"

	"currantwick"
)

// entry is a taken key.
type entry struct {
	// claim has At set; its step is Taken or Answered.
	claim wick.Claim
}

// expires returns the platform's time at which the key is free again.
func (e entry) expires() int64 {
	return e.claim.At*1000 + e.claim.Life.Std().Milliseconds()
}

// verdict is what the log says of a step.
type verdict struct {
	claim wick.Claim
	// holds tells that the claim holds its key, and fresh that this very step
	// took it; other is who holds the key if not.
	holds bool
	fresh bool
	other wick.Claim
}

// set names a checkpoint.
type set struct {
	by   wick.HostName
	run  wick.Incarnation
	asOf wick.Offset
}

// ledger folds the claim stream. It uses no time but that of the records.
type ledger struct {
	keys map[wick.ClaimKey]entry
	// order lists the keys as they were taken, to drop expired ones.
	order []wick.ClaimKey
	// applied is the last offset included, and clock the latest time up to it.
	applied wick.Offset
	clock   int64
	// gap holds entries that do not follow on applied, and parts the parts of
	// checkpoints among them.
	gap   []wick.Entry
	found map[set][]wick.ClaimState
	// stamped is the time of the newest complete checkpoint, or of the first
	// record; newest is the time of the newest entry, seen at seen.
	stamped, newest int64
	seen            wick.Instant
	// done holds the parts seen of checkpoints being written.
	done map[set]map[int]bool
}

func newLedger() ledger {
	return ledger{
		keys:  make(map[wick.ClaimKey]entry),
		found: make(map[set][]wick.ClaimState),
		done:  make(map[set]map[int]bool),
	}
}

func (l *ledger) next() wick.Offset {
	if n := len(l.gap); n > 0 {
		return l.gap[n-1].Offset + 1
	}
	return l.applied + 1
}

// read takes an entry and returns the verdicts it leads to.
func (l *ledger) read(now wick.Instant, e wick.Entry) []verdict {
	if e.Offset < l.next() {
		return nil
	}
	l.note(now, e)
	if len(l.gap) == 0 && e.Offset == l.applied+1 {
		return l.apply(e)
	}
	if e.Offset != l.next() {
		l.gap = nil // The entries before were lost to the log's retention.
		clear(l.found)
	}
	l.gap = append(l.gap, e)
	if e.Bad || e.Record.ClaimState == nil {
		return nil
	}
	return l.bridge(*e.Record.ClaimState)
}

// note keeps track of time and of checkpoints.
func (l *ledger) note(now wick.Instant, e wick.Entry) {
	if e.Time >= l.newest {
		l.newest, l.seen = e.Time, now
	}
	if l.stamped == 0 {
		l.stamped = e.Time
	}
	if st := e.Record.ClaimState; !e.Bad && st != nil {
		s := set{st.By, st.Incarnation, st.AsOf}
		if l.done[s] == nil {
			l.done[s] = make(map[int]bool)
		}
		l.done[s][st.Part] = true
		if len(l.done[s]) == st.Parts {
			l.stamped = e.Time
			clear(l.done)
		}
	}
}

// bridge replaces what is known by a checkpoint, once all of its parts are
// there and the entries after it as well.
func (l *ledger) bridge(st wick.ClaimState) []verdict {
	s := set{st.By, st.Incarnation, st.AsOf}
	same := func(o wick.ClaimState) bool { return o.Part == st.Part }
	if !slices.ContainsFunc(l.found[s], same) {
		l.found[s] = append(l.found[s], st)
	}
	if len(l.found[s]) < st.Parts || st.AsOf < l.applied || st.AsOf+1 < l.gap[0].Offset {
		return nil
	}
	l.keys, l.order = make(map[wick.ClaimKey]entry), nil
	for _, part := range l.found[s] {
		for _, c := range part.Claims {
			l.keys[c.Key] = entry{c}
			l.order = append(l.order, c.Key)
		}
	}
	l.clock = st.Time
	return l.replay(st.AsOf)
}

// replay applies what the gap holds after an offset.
func (l *ledger) replay(after wick.Offset) []verdict {
	gap := l.gap
	l.applied, l.gap = after, nil
	clear(l.found)
	var out []verdict
	for _, e := range gap {
		if e.Offset > after {
			out = append(out, l.apply(e)...)
		}
	}
	return out
}

// restart begins anew at the oldest entry, if nobody wrote a checkpoint for so
// long that all who knew the entries before must have ended.
func (l *ledger) restart(now wick.Instant, limit time.Duration) []verdict {
	if l.applied > 0 || len(l.gap) == 0 {
		return nil
	}
	if time.Duration(l.guess(now)-l.gap[0].Time)*time.Millisecond < limit {
		return nil
	}
	return l.replay(l.gap[0].Offset - 1)
}

// apply judges the next entry.
func (l *ledger) apply(e wick.Entry) []verdict {
	l.applied = e.Offset
	l.clock = max(l.clock, e.Time)
	l.expire()
	if e.Bad || e.Record.Claims == nil {
		return nil
	}
	out := make([]verdict, 0, len(e.Record.Claims.Steps))
	for _, c := range e.Record.Claims.Steps {
		out = append(out, l.step(c))
	}
	return out
}

func (l *ledger) step(c wick.Claim) verdict {
	held, ok := l.live(c.Key, l.clock)
	mine := ok && held.claim.Request == c.Request &&
		held.claim.Holder == c.Holder && held.claim.Incarnation == c.Incarnation
	switch {
	case c.Step == wick.ClaimTaken && !ok:
		taken := c
		taken.At = l.clock / 1000
		l.keys[c.Key] = entry{taken}
		l.order = append(l.order, c.Key)
		return verdict{claim: c, holds: true, fresh: true}
	case c.Step == wick.ClaimTaken:
		return verdict{claim: c, holds: mine, other: held.claim}
	case c.Step == wick.ClaimReleased && mine && held.claim.Step == wick.ClaimTaken:
		delete(l.keys, c.Key)
	case c.Step == wick.ClaimAnswered && mine:
		held.claim.Step = wick.ClaimAnswered
		l.keys[c.Key] = held
	}
	return verdict{claim: c}
}

// live returns who holds a key at a time of the platform.
func (l *ledger) live(key wick.ClaimKey, at int64) (entry, bool) {
	e, ok := l.keys[key]
	return e, ok && at < e.expires()
}

// expire drops expired keys. Keys that were taken later with a shorter life
// wait for those before them, which changes no verdict.
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

// guess estimates the platform's time. It only decides whether asking the log
// is worth while.
func (l *ledger) guess(now wick.Instant) int64 {
	return max(l.clock, l.newest+now.Sub(l.seen).Milliseconds())
}

// age is how old the newest checkpoint is, by the platform's clock.
func (l *ledger) age(now wick.Instant) time.Duration {
	if l.applied == 0 {
		return 0
	}
	return time.Duration(l.guess(now)-l.stamped) * time.Millisecond
}

// parts returns a checkpoint of what is known.
func (l *ledger) parts(cfg Config) []wick.ClaimState {
	var live []wick.Claim
	for key := range l.keys {
		if e, ok := l.live(key, l.clock); ok {
			live = append(live, e.claim)
		}
	}
	slices.SortFunc(live, func(a, b wick.Claim) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Key, b.Key))
	})
	chunks := slices.Collect(slices.Chunk(live, cfg.Steps))
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
