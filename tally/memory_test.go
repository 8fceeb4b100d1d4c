package tally

import (
	"math"
	"testing"

	"currantwick"
)

// A length near the largest number passed any budget from which something was taken, as
// the sum overflowed.
func TestMemory(t *testing.T) {
	const size, leave = 100, 30
	tests := []struct {
		name string
		// before is what was taken before, and n is what is then taken of a part that
		// leaves some of the budget.
		before, n wick.Bytes
		want      bool
	}{
		{"all that it may", 0, size - leave, true},
		{"more than it may", 0, size - leave + 1, false},
		{"what others have left", 50, size - leave - 50, true},
		{"more than others have left", 50, size - leave - 49, false},
		{"others have taken all", size, 1, false},
		{"largest number", 1, math.MaxInt64, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := NewMemory(size)
			if !m.Take(test.before) {
				t.Fatal("nothing taken before")
			}
			if got := m.Leaving(leave).Take(test.n); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
