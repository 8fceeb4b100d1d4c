package config

import (
	"errors"
	"fmt"

	"currantwick"
)

// ErrOlder tells that a checkpoint is not newer than the state.
var ErrOlder = errors.New("checkpoint is older than the state")

// maxSums is how many earlier states a reader remembers to compare checkpoints
// with.
const maxSums = 128

// State is the configuration as one reader of the log knows it. It belongs to
// the control thread. Its offset only rises, so it never reverts.
//
// A reader reads the log from Next and hands what it read to Take; what comes
// from peers goes to Apply and Restore. Where the log no longer holds its
// beginning, entries are kept aside until a checkpoint closes the gap, whether
// it stands on the log or comes from a peer.
type State struct {
	table *Table
	// seen is the highest offset given to Apply.
	seen wick.Offset
	// cursor is the first offset that the log may still hold and that is
	// neither applied nor held. It only rises.
	cursor wick.Offset
	// held keeps entries that stand beyond a gap, by their offset. All are
	// newer than the table.
	held map[wick.Offset]wick.Entry
	// parts collects checkpoints whose parts have not all come yet.
	parts map[partKey]*parts
	// late holds the verdicts on entries that were held.
	late []wick.Verdict
	// sums are the newest states by offset, oldest first.
	sums []sum
	// newest is where the newest whole checkpoint on the log began.
	newest Mark
	// mismatches counts checkpoints that differ from the state they describe.
	mismatches int
}

// sum identifies the state at one offset.
type sum struct {
	offset wick.Offset
	sum    uint64
}

// Mark is the place of a checkpoint on the log.
type Mark struct {
	// AsOf is the offset of the checkpoint's state, and 0 if there is none.
	AsOf wick.Offset
	// Time is the platform's time of its first part, in Unix milliseconds.
	Time int64
}

// New returns the empty configuration, from before the log's first record.
func New() *State {
	s := &State{
		table: &Table{},
		held:  make(map[wick.Offset]wick.Entry),
		parts: make(map[partKey]*parts),
	}
	s.remember()
	return s
}

// Offset returns the offset of the last record that the state reflects.
func (s *State) Offset() wick.Offset { return s.table.offset }

// Next returns the offset from which to read the log on.
func (s *State) Next() wick.Offset {
	s.cursor = max(s.cursor, s.table.offset+1)
	for {
		if _, ok := s.held[s.cursor]; !ok {
			return s.cursor
		}
		s.cursor++
	}
}

// Take applies what a read of the log from an offset on returned, and returns
// all verdicts that followed, in the order of the log.
func (s *State) Take(from wick.Offset, entries []wick.Entry) []wick.Verdict {
	if len(entries) > 0 && entries[0].Offset > from {
		s.cursor = max(s.cursor, entries[0].Offset) // The log holds nothing before.
	}
	var out []wick.Verdict
	for _, e := range entries {
		v, ok := s.Apply(e)
		if ok {
			out = append(out, v)
		}
		out = append(out, s.Late()...)
	}
	return out
}

// Behind reports whether there are records beyond a gap, so that the state is
// older than what was already read.
func (s *State) Behind() bool { return s.seen > s.table.offset }

// Mismatches counts the checkpoints that described a state other than the one
// reached by the changes themselves. They were ignored.
func (s *State) Mismatches() int { return s.mismatches }

// Table returns the configuration. It is immutable and costs nothing to take.
func (s *State) Table() *Table { return s.table }

// Late returns the verdicts on entries that had to wait for a gap to close, in
// the order of the log, and forgets them.
func (s *State) Late() []wick.Verdict {
	out := s.late
	s.late = nil
	return out
}

// Apply takes in one entry of the configuration's stream and returns the
// verdict if it holds a change that now takes its turn. Entries that were
// applied before are ignored. Entries beyond a gap are held; their verdicts
// come from Late.
func (s *State) Apply(e wick.Entry) (wick.Verdict, bool) {
	s.seen = max(s.seen, e.Offset)
	if e.Offset <= s.table.offset {
		return wick.Verdict{}, false
	}
	if c := e.Record.Checkpoint; !e.Bad && c != nil && c.AsOf < e.Offset {
		s.collect(e)
	}
	if e.Offset != s.table.offset+1 {
		s.hold(e)
		return wick.Verdict{}, false
	}
	v, ok := s.step(e)
	s.release()
	return v, ok
}

// hold keeps an entry until the ones before it have come.
func (s *State) hold(e wick.Entry) {
	if e.Offset <= s.table.offset {
		return // A checkpoint that it completed has gone past it.
	}
	if e.Record.Change == nil {
		e.Record = wick.Record{} // Only changes matter by now.
	}
	s.held[e.Offset] = e
}

// release applies the held entries that have come to their turn.
func (s *State) release() {
	for {
		e, ok := s.held[s.table.offset+1]
		if !ok {
			return
		}
		delete(s.held, e.Offset)
		if v, ok := s.step(e); ok {
			s.late = append(s.late, v)
		}
	}
}

// step applies the entry that follows the state.
func (s *State) step(e wick.Entry) (wick.Verdict, bool) {
	c := e.Record.Change
	if e.Bad || c == nil {
		s.advance(e.Offset)
		return wick.Verdict{}, false
	}
	v := wick.Verdict{Change: c.ID, Operator: c.Operator, Offset: e.Offset}
	table, vs := next(s.table, *c, e.Offset)
	v.Violations = bounded(vs)
	if v.Accepted() {
		s.table = table
		s.remember()
	} else {
		s.advance(e.Offset)
	}
	return v, true
}

// advance moves on without a change of the objects.
func (s *State) advance(to wick.Offset) {
	table := *s.table
	table.offset = to
	s.table = &table
}

// remember notes the state for later comparison with checkpoints.
func (s *State) remember() {
	if len(s.sums) == maxSums {
		s.sums = append(s.sums[:0], s.sums[1:]...)
	}
	s.sums = append(s.sums, sum{s.table.offset, s.table.sum})
}

// sumAt returns the sum of the state at an offset, if it is remembered.
func (s *State) sumAt(o wick.Offset) (uint64, bool) {
	if o > s.table.offset {
		return 0, false
	}
	for i := len(s.sums) - 1; i >= 0; i-- {
		if s.sums[i].offset <= o {
			return s.sums[i].sum, true
		}
	}
	return 0, false
}

// bounded cuts violations down to what fits into a record.
func bounded(vs []wick.Violation) []wick.Violation {
	if len(vs) <= maxViolations {
		return vs
	}
	more := vs[maxViolations]
	more.Text = fmt.Sprintf("%d more violations, of which this is the first: %s", len(vs)-maxViolations, more.Text)
	return append(vs[:maxViolations:maxViolations], more)
}
