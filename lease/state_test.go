package lease

import (
	"testing"
	"time"

	"currantwick"
)

// TestReader reads records with gaps and checkpoints.
func TestReader(t *testing.T) {
	minute := time.Minute.Milliseconds()
	member := []wick.Member{{Host: "a", Incarnation: 1}}
	change := func(at wick.Offset, base wick.ViewNumber, ms int64) wick.Entry {
		return wick.Entry{Offset: at, Time: ms, Record: wick.Record{ViewChange: &wick.ViewChange{Base: base, Members: member}}}
	}
	closed := func(at wick.Offset, v wick.ViewNumber) wick.Entry {
		return wick.Entry{Offset: at, Time: 1, Record: wick.Record{ViewClosed: &wick.ViewClosed{View: v}}}
	}
	state := func(at, asOf wick.Offset, v wick.ViewNumber) wick.Entry {
		st := &wick.ViewState{AsOf: asOf, View: wick.View{Number: v, Members: member}}
		return wick.Entry{Offset: at, Time: 1, Record: wick.Record{ViewState: st}}
	}
	tests := []struct {
		name    string
		entries []wick.Entry
		restart bool
		view    wick.ViewNumber
		open    int
		next    wick.Offset
	}{
		{"nothing", nil, false, 0, 0, 1},
		{"first change of a base wins", []wick.Entry{change(1, 0, 1), change(2, 0, 1)}, false, 1, 0, 3},
		{"two views", []wick.Entry{change(1, 0, 1), change(2, 1, 1)}, false, 2, 1, 3},
		{"closed", []wick.Entry{change(1, 0, 1), change(2, 1, 1), closed(3, 1)}, false, 2, 0, 4},
		{"twice", []wick.Entry{change(1, 0, 1), change(1, 0, 1), change(2, 1, 1), change(1, 0, 1)}, false, 2, 1, 3},
		{"bad record", []wick.Entry{change(1, 0, 1), {Offset: 2, Bad: true}, change(3, 1, 1)}, false, 3, 1, 4},
		{"hole", []wick.Entry{change(7, 6, 1)}, false, 0, 0, 8},
		{"hole and checkpoint", []wick.Entry{change(7, 6, 1), state(8, 6, 6)}, false, 7, 1, 9},
		{"checkpoint too old", []wick.Entry{change(7, 6, 1), state(8, 5, 4)}, false, 0, 0, 9},
		{"hole after a view", []wick.Entry{change(1, 0, 1), change(7, 6, 1)}, false, 1, 0, 8},
		{"second hole", []wick.Entry{change(7, 6, 1), change(9, 8, 1), state(10, 8, 8)}, false, 9, 1, 11},
		{"restart after missed checkpoints", []wick.Entry{change(7, 6, 1), change(8, 0, 1), change(9, 8, 7*minute)}, true, 9, 1, 10},
		{"too early to restart", []wick.Entry{change(7, 6, 1), change(8, 0, 5*minute)}, false, 0, 0, 9},
		{"state known, so no restart", []wick.Entry{change(1, 0, 1), change(7, 6, 1), change(8, 0, 9*minute)}, false, 1, 0, 9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r streamReader
			for _, e := range test.entries {
				r.read(1, e)
			}
			if got := r.restart(1, 6*time.Minute); got != test.restart {
				t.Errorf("restart: got %t, want %t", got, test.restart)
			}
			if r.state.View.Number != test.view || len(r.state.Open) != test.open || r.next() != test.next {
				t.Errorf("got view %d, %d open, next %d; want %d, %d, %d", r.state.View.Number,
					len(r.state.Open), r.next(), test.view, test.open, test.next)
			}
		})
	}
}
