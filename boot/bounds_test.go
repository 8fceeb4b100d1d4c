package boot

import (
	"testing"

	"currantwick"
	"currantwick/tally"
)

// Connections of callers took all memory that connections could have, so that links and
// readiness checks were refused.
func TestConnectionMemory(t *testing.T) {
	const process, step = wick.Bytes(144 << 20), wick.Bytes(16 << 10)
	tests := []struct {
		name string
		// want is the number of connections that there is memory for once callers have
		// taken theirs.
		want int
	}{
		{callerListener, 0},
		{linkListener, 300},
		{"readiness", 48},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := &bounds{process: process, memory: tally.NewMemory(share(process, memoryShare)), descriptors: 3075}
			for callers := b.connectionMemory(callerListener); callers.Take(step); {
				continue
			}
			got := 0
			for memory := b.connectionMemory(test.name); memory.Take(step); {
				got++
			}
			if got < test.want || test.want == 0 && got > 0 {
				t.Errorf("memory for %d connections, want %d", got, test.want)
			}
		})
	}
}
