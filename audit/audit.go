// Package audit decides which daemon writes a verdict to the audit trail, and
// when again, so that every verdict stands there at least once. A verdict is
// known by the offset of its change; readers pass over one they have seen, so
// that each counts once.
package audit

import (
	"cmp"
	"slices"
	"time"

	"currantwick"
)

// Config sets up a Trail.
type Config struct {
	// Stagger is how much longer each next member waits for a verdict to show
	// before it writes it itself; 0 stands for 1 s.
	Stagger time.Duration
	// Retry is the time after which a verdict that does not show is written
	// again; 0 stands for 5 s.
	Retry time.Duration
}

const (
	defaultStagger = time.Second
	defaultRetry   = 5 * time.Second
	// maxDue bounds how many verdicts are written at once.
	maxDue = 50
)

// pending is a verdict that does not show on the trail yet.
type pending struct {
	verdict wick.Verdict
	// since is when it was reached, and tried when it was written last.
	since, tried wick.Instant
	written      bool
}

// Trail is what one daemon knows of the audit trail. It belongs to the control
// thread.
type Trail struct {
	cfg Config
	// open holds verdicts by the offset of their change.
	open map[wick.Offset]*pending
	// floor is the first change whose verdict the trail still held when it was
	// first read, if it had lost its beginning to the log's retention. Earlier
	// ones were written long ago.
	floor wick.Offset
	// begun tells that the first entry was read.
	begun bool
	// whole tells that the end of the trail was read, so that a verdict which
	// does not show is missing.
	whole bool
}

// New returns a trail of which nothing is known.
func New(cfg Config) *Trail {
	if cfg.Stagger == 0 {
		cfg.Stagger = defaultStagger
	}
	if cfg.Retry == 0 {
		cfg.Retry = defaultRetry
	}
	return &Trail{cfg: cfg, open: make(map[wick.Offset]*pending)}
}

// Judged takes in a verdict that the daemon reached.
func (t *Trail) Judged(now wick.Instant, v wick.Verdict) {
	if v.Offset >= t.floor {
		t.open[v.Offset] = &pending{verdict: v, since: now}
	}
}

// Read takes in what was read from the trail. more tells that newer entries
// may stand there.
func (t *Trail) Read(list []wick.Entry, more bool) {
	for _, e := range list {
		v := e.Record.Verdict
		if e.Bad || v == nil {
			continue
		}
		if !t.begun && e.Offset > 1 {
			t.raise(v.Offset)
		}
		t.begun = true
		delete(t.open, v.Offset)
	}
	t.whole = t.whole || !more
}

// raise forgets the verdicts on changes before the first one on the trail.
func (t *Trail) raise(to wick.Offset) {
	t.floor = to
	for o := range t.open {
		if o < to {
			delete(t.open, o)
		}
	}
}

// Open returns how many verdicts do not show on the trail yet.
func (t *Trail) Open() int { return len(t.open) }

// Due returns the verdicts that the daemon should write now, oldest first.
// rank is its place among the members of the view, from 0, and negative for
// one that is no member.
func (t *Trail) Due(now wick.Instant, rank int) []wick.Verdict {
	if rank < 0 || !t.whole || len(t.open) == 0 {
		return nil
	}
	wait := time.Duration(rank) * t.cfg.Stagger
	var due []*pending
	for _, p := range t.open {
		if now.Sub(p.since) >= wait && (!p.written || now.Sub(p.tried) >= t.cfg.Retry) {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *pending) int { return cmp.Compare(a.verdict.Offset, b.verdict.Offset) })
	due = due[:min(len(due), maxDue)]
	out := make([]wick.Verdict, len(due))
	for i, p := range due {
		p.written, p.tried = true, now
		out[i] = p.verdict
	}
	return out
}
