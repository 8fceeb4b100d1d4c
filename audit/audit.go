// Package audit decides which daemon writes a verdict to the audit trail, and
// when the write is retried, so that every verdict is recorded at least once. A
// verdict is identified by the offset of its change; readers skip duplicates,
// so each verdict counts once.
package audit

import (
	"cmp"
	"slices"
	"time"

	"currantwick"
)

// Config sets up a Trail.
type Config struct {
	// Stagger is the additional time that each next member of the view waits
	// for a verdict to appear before it writes the verdict itself; 0 means 1 s.
	Stagger time.Duration
	// Retry is the time after which a verdict that has not appeared is written
	// again; 0 means 5 s.
	Retry time.Duration
}

const (
	defaultStagger = time.Second
	defaultRetry   = 5 * time.Second
	// maxDue bounds the verdicts written at once.
	maxDue = 50
)

// pendingVerdict is a verdict that has not yet appeared on the trail.
type pendingVerdict struct {
	verdict wick.Verdict
	// decidedAt is when the verdict was reached, and writtenAt when it was last
	// written.
	decidedAt, writtenAt wick.Instant
	written              bool
}

// Trail tracks the audit trail for one daemon. It belongs to the control
// thread.
type Trail struct {
	cfg Config
	// pending holds verdicts by the offset of their change.
	pending map[wick.Offset]*pendingVerdict
	// floor is the lowest offset of a change whose verdict may be written. If the
	// log had already deleted the start of the trail when it was first read, it is
	// that of the first remaining verdict: earlier ones were written long ago.
	floor wick.Offset
	// started is set once the first entry was read.
	started bool
	// caughtUp is set once the end of the trail was read, so that a verdict
	// which has not appeared is known to be missing.
	caughtUp bool
}

// New returns an empty trail.
func New(cfg Config) *Trail {
	if cfg.Stagger == 0 {
		cfg.Stagger = defaultStagger
	}
	if cfg.Retry == 0 {
		cfg.Retry = defaultRetry
	}
	return &Trail{cfg: cfg, pending: make(map[wick.Offset]*pendingVerdict)}
}

// AddVerdict adds a verdict that the daemon reached.
func (t *Trail) AddVerdict(now wick.Instant, v wick.Verdict) {
	if v.Offset >= t.floor {
		t.pending[v.Offset] = &pendingVerdict{verdict: v, decidedAt: now}
	}
}

// ApplyEntries applies entries that were read from the trail. more is set if newer
// entries may exist.
func (t *Trail) ApplyEntries(list []wick.Entry, more bool) {
	for _, e := range list {
		v := e.Record.Verdict
		if e.Bad || v == nil {
			continue
		}
		if !t.started && e.Offset > 1 {
			t.raiseFloor(v.Offset)
		}
		t.started = true
		delete(t.pending, v.Offset)
	}
	t.caughtUp = t.caughtUp || !more
}

// raiseFloor drops the verdicts on changes before the first one on the trail.
func (t *Trail) raiseFloor(to wick.Offset) {
	t.floor = to
	for o := range t.pending {
		if o < to {
			delete(t.pending, o)
		}
	}
}

// Pending returns the number of verdicts that have not yet appeared on the
// trail.
func (t *Trail) Pending() int { return len(t.pending) }

// Due returns the verdicts that the daemon should write now, oldest first. rank
// is its position among the members of the view, from 0, and negative if it is
// not a member.
func (t *Trail) Due(now wick.Instant, rank int) []wick.Verdict {
	if rank < 0 || !t.caughtUp || len(t.pending) == 0 {
		return nil
	}
	wait := time.Duration(rank) * t.cfg.Stagger
	var due []*pendingVerdict
	for _, p := range t.pending {
		if now.Sub(p.decidedAt) >= wait && (!p.written || now.Sub(p.writtenAt) >= t.cfg.Retry) {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *pendingVerdict) int { return cmp.Compare(a.verdict.Offset, b.verdict.Offset) })
	due = due[:min(len(due), maxDue)]
	out := make([]wick.Verdict, len(due))
	for i, p := range due {
		p.written, p.writtenAt = true, now
		out[i] = p.verdict
	}
	return out
}
