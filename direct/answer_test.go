package direct_test

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"currantwick"
	"currantwick/direct"
	"currantwick/fakes"
	"currantwick/tally"
)

// budgetWriter records how an answer is written and what is taken of a budget meanwhile.
type budgetWriter struct {
	writer
	budget         *tally.Memory
	largest, taken wick.Bytes
}

func (w *budgetWriter) WriteBody(p []byte) error {
	w.largest, w.taken = max(w.largest, wick.Bytes(len(p))), max(w.taken, w.budget.Taken())
	return w.writer.WriteBody(p)
}

// Plain answers that callers did not read were held without a bound on their sum.
func TestBufferedAnswersTakeMemory(t *testing.T) {
	const large = 300 << 10
	tests := []struct {
		name   string
		size   int
		memory wick.Bytes
		// maxWrite and minTaken bound the largest write and what is taken of the budget.
		maxWrite, minTaken wick.Bytes
	}{
		{"small without memory", 16 << 10, 0, 16 << 10, 0},
		{"large without memory", large, 0, 16 << 10, 0},
		{"large with little memory", large, 100 << 10, 100 << 10, 60 << 10},
		{"large with memory", large, 1 << 20, 256 << 10, 256 << 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			memory := tally.NewMemory(test.memory)
			body := strings.Repeat("x", test.size)
			s := direct.New(direct.Config{
				Domain: "d", Bounds: wick.Bounds{RevisionDeadline: wick.Duration(5 * time.Second), EntriesTTL: wick.Duration(5 * time.Second)},
				Control: &control{view: view(route(wick.KindSafe, "plain", 1, false))}, Sender: &sender{replies: []reply{{status: 200, body: body}}},
				Clock: clock{time.Now()}, Retry: budget(t, 10), Log: slog.New(slog.DiscardHandler), Observer: fakes.GatewayObserver{},
				Pauses: new(tally.Pauses), AnsweredParts: new(tally.Parts), Answers: memory,
			})
			w := &budgetWriter{budget: memory}
			if err := s.Forward(t.Context(), &wick.Exchange{Host: "h", Path: "/", Target: "/", Method: "GET"}, w); err != nil {
				t.Fatal(err)
			}
			if w.body.String() != body {
				t.Errorf("got %d bytes, want %d", w.body.Len(), len(body))
			}
			if w.largest > test.maxWrite || w.taken < test.minTaken {
				t.Errorf("wrote %d at once with %d taken, want at most %d and at least %d", w.largest, w.taken, test.maxWrite, test.minTaken)
			}
			if n := memory.Taken(); n != 0 {
				t.Errorf("%d bytes were not given back", n)
			}
		})
	}
}
