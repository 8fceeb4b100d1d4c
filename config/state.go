package config

import (
	"errors"
	"fmt"

	"currantwick"
)

// ErrNotNewer means that a checkpoint is not newer than the state.
var ErrNotNewer = errors.New("checkpoint is not newer than the state")

// maxRecordedSums is how many earlier states a reader keeps the sums of, to
// compare checkpoints with.
const maxRecordedSums = 128

// State is the configuration as built by one reader of the log. It belongs to
// the control thread. Its offset only rises, so it never reverts.
//
// Entries, from the log or from peers, go to Apply; a peer's checkpoint goes to
// Restore. Where the log no longer holds its oldest records, entries are held
// until a checkpoint, from the log or from a peer, closes the gap.
type State struct {
	table *Table
	// highestSeen is the highest offset passed to Apply.
	highestSeen wick.Offset
	// cursor is the first offset that the log may still hold and that is
	// neither applied nor held. It only rises.
	cursor wick.Offset
	// held holds entries beyond a gap, by offset. All are newer than the table.
	held map[wick.Offset]wick.Entry
	// parts holds checkpoints of which some parts have not been read yet.
	parts map[partKey]*parts
	// lateVerdicts holds the verdicts on entries that were held.
	lateVerdicts []wick.Verdict
	// sums are the sums of the newest states, oldest first.
	sums []sum
	// newestCheckpoint is the position of the newest complete checkpoint on the
	// log.
	newestCheckpoint CheckpointPosition
	// mismatches counts the checkpoint parts that had a wrong sum and the
	// complete checkpoints that could not be restored.
	mismatches int
}

// sum is the checksum of the table, see Table.Sum, at one offset.
type sum struct {
	offset wick.Offset
	sum    uint64
}

// CheckpointPosition is the position of a checkpoint on the log.
type CheckpointPosition struct {
	// AsOf is the offset of the checkpoint's state; 0 if there is no
	// checkpoint.
	AsOf wick.Offset
	// Time is the platform's time of its first part, in Unix milliseconds.
	Time int64
}

// New returns the empty configuration, as it is before the first log record.
func New() *State {
	s := &State{
		table: &Table{},
		held:  make(map[wick.Offset]wick.Entry),
		parts: make(map[partKey]*parts),
	}
	s.recordSum()
	return s
}

// Offset returns the offset of the last record that the state reflects.
func (s *State) Offset() wick.Offset { return s.table.offset }

// Next returns the offset from which to continue reading the log.
func (s *State) Next() wick.Offset {
	s.cursor = max(s.cursor, s.table.offset+1)
	for {
		if _, ok := s.held[s.cursor]; !ok {
			return s.cursor
		}
		s.cursor++
	}
}

// ApplyRead applies the result of a log read that began at the offset from, and
// returns all resulting verdicts in log order.
func (s *State) ApplyRead(from wick.Offset, entries []wick.Entry) []wick.Verdict {
	if len(entries) > 0 && entries[0].Offset > from {
		s.cursor = max(s.cursor, entries[0].Offset) // The log no longer holds earlier entries.
	}
	var out []wick.Verdict
	for _, e := range entries {
		v, ok := s.Apply(e)
		if ok {
			out = append(out, v)
		}
		out = append(out, s.LateVerdicts()...)
	}
	return out
}

// Behind reports whether entries beyond a gap have been read, so that the state
// is older than what is already known.
func (s *State) Behind() bool { return s.highestSeen > s.table.offset }

// Mismatches returns how many checkpoint parts had a sum other than that of the
// state reached by applying the changes, plus how many complete checkpoints
// could not be restored. They were ignored.
func (s *State) Mismatches() int { return s.mismatches }

// Table returns the current configuration. The table is immutable and is not
// copied.
func (s *State) Table() *Table { return s.table }

// LateVerdicts returns and clears the verdicts on entries that were held until
// a gap closed, in log order.
func (s *State) LateVerdicts() []wick.Verdict {
	out := s.lateVerdicts
	s.lateVerdicts = nil
	return out
}

// Apply applies one entry of the configuration stream, and returns the verdict
// if it is a change that follows the state. Entries that were applied before
// are ignored. Entries beyond a gap are held; LateVerdicts returns their
// verdicts.
func (s *State) Apply(e wick.Entry) (wick.Verdict, bool) {
	s.highestSeen = max(s.highestSeen, e.Offset)
	if e.Offset <= s.table.offset {
		return wick.Verdict{}, false
	}
	if c := e.Record.Checkpoint; !e.Bad && c != nil && c.AsOf < e.Offset {
		s.addPart(e)
	}
	if e.Offset != s.table.offset+1 {
		s.hold(e)
		return wick.Verdict{}, false
	}
	v, ok := s.applyNext(e)
	s.applyHeld()
	return v, ok
}

// hold keeps an entry until those before it have been applied.
func (s *State) hold(e wick.Entry) {
	if e.Offset <= s.table.offset {
		return // It completed a checkpoint, which advanced the state past it.
	}
	if e.Record.Change == nil {
		e.Record = wick.Record{} // Only changes are still needed.
	}
	s.held[e.Offset] = e
}

// applyHeld applies the held entries that directly follow the state.
func (s *State) applyHeld() {
	for {
		e, ok := s.held[s.table.offset+1]
		if !ok {
			return
		}
		delete(s.held, e.Offset)
		if v, ok := s.applyNext(e); ok {
			s.lateVerdicts = append(s.lateVerdicts, v)
		}
	}
}

// applyNext applies the entry that directly follows the state.
func (s *State) applyNext(e wick.Entry) (wick.Verdict, bool) {
	c := e.Record.Change
	if e.Bad || c == nil {
		s.advance(e.Offset)
		return wick.Verdict{}, false
	}
	v := wick.Verdict{Change: c.ID, Operator: c.Operator, Offset: e.Offset}
	table, vs := next(s.table, *c, e.Offset)
	v.Violations = truncateViolations(vs)
	if v.Accepted() {
		s.table = table
		s.recordSum()
	} else {
		s.advance(e.Offset)
	}
	return v, true
}

// advance moves the offset on without changing objects.
func (s *State) advance(to wick.Offset) {
	table := *s.table
	table.offset = to
	s.table = &table
}

// recordSum records the sum of the state for later comparison with checkpoints.
func (s *State) recordSum() {
	if len(s.sums) == maxRecordedSums {
		s.sums = append(s.sums[:0], s.sums[1:]...)
	}
	s.sums = append(s.sums, sum{s.table.offset, s.table.sum})
}

// sumAt returns the sum of the state at an offset, if it is still recorded.
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

// truncateViolations truncates violations to what fits into a log record.
func truncateViolations(vs []wick.Violation) []wick.Violation {
	if len(vs) <= maxViolations {
		return vs
	}
	more := vs[maxViolations]
	more.Text = fmt.Sprintf("%d more violations, of which this is the first: %s", len(vs)-maxViolations, more.Text)
	return append(vs[:maxViolations:maxViolations], more)
}
