package boot

import (
	"net/http"
	"net/http/httptest"
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
			b := &bounds{process: process, memory: tally.NewMemory(portion(process, memoryShare)), descriptors: 3075}
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

// holdingWriter is an answer whose client has not read anything yet.
type holdingWriter struct {
	*httptest.ResponseRecorder
	budget *tally.Memory
	// taken is what is taken of the budget during the last write.
	taken wick.Bytes
}

func (w *holdingWriter) Write(p []byte) (int, error) {
	w.taken = w.budget.Taken()
	return w.ResponseRecorder.Write(p)
}

// States that were not read were held without a bound on their sum.
func TestWriteWithin(t *testing.T) {
	const size = 1000
	tests := []struct {
		name          string
		memory, taken wick.Bytes
		status        int
	}{
		{"memory", size, size, http.StatusOK},
		{"no memory", size - 1, 0, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := tally.NewMemory(test.memory)
			w := &holdingWriter{ResponseRecorder: httptest.NewRecorder(), budget: budget}
			writeWithin(w, make([]byte, size), budget)
			if w.Code != test.status || w.taken != test.taken || budget.Taken() != 0 {
				t.Errorf("got %d with %d taken, %d after; want %d with %d", w.Code, w.taken, budget.Taken(), test.status, test.taken)
			}
		})
	}
}
