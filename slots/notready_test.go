package slots_test

import (
	"testing"
	"time"

	"currantwick"
	"currantwick/slots"
)

// Every request that was refused while its adapter was still loading raised the expected
// time of all later loads, so that one load that many requests waited for made requests
// wait for loads that had ended long before. Refusals of one load must count once.
func TestRefusalsOfOneLoadCountOnce(t *testing.T) {
	tests := []struct {
		name    string
		reports int
	}{
		{"one request", 1},
		{"requests of thirty daemons", 30},
	}
	var times []time.Duration
	for _, test := range tests {
		l := newLedger(4)
		l.Next(0, true)
		l.ReportDone(0, wick.RunnerReport{Models: []wick.ModelName{base}}, nil)
		load := func(at wick.Instant, w wick.Weights) wick.Instant {
			l.RequestAdapter(at, w, 0)
			step, order := l.Next(at, true)
			if step != slots.StepOrder {
				t.Fatalf("%s: step %v, want an order", test.name, step)
			}
			l.OrderDone(at, order, wick.OrderStarted)
			for got, p := range l.Placements {
				if got == w {
					return p.Ready
				}
			}
			t.Fatalf("%s: %v has no placement", test.name, w)
			return 0
		}
		ready := load(ms(1), adapter(1))
		for i := range test.reports {
			l.NotReady(ready.Add(time.Duration(i)*100*time.Microsecond), adapter(1))
		}
		again := ms(2000)
		times = append(times, load(again, adapter(2)).Sub(again))
	}
	if times[0] != times[1] {
		t.Errorf("the next load is expected to take %v after one refusal and %v after thirty", times[0], times[1])
	}
}
