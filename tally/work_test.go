package tally_test

import (
	"testing"
	"time"

	"currantwick"
	"currantwick/tally"
)

// The measured work of a service followed the queue of a busy one where it was measured
// often, so that daemons left and refilled it together.
func TestWork(t *testing.T) {
	tests := []struct {
		name string
		// every is the time between measurements: count of usual, then count of slow
		// ones.
		every       time.Duration
		count       int
		least, most time.Duration
	}{
		{"often, for a short time", 10 * time.Millisecond, 50, 30 * time.Millisecond, 45 * time.Millisecond},
		{"often, for long", 10 * time.Millisecond, 3000, 99 * time.Millisecond, 100 * time.Millisecond},
		{"seldom", 2 * time.Second, 8, 60 * time.Millisecond, 80 * time.Millisecond},
		{"too long ago", 20 * time.Second, 1, 100 * time.Millisecond, 100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m, now := tally.NewMeter(), wick.Instant(time.Hour)
			for _, work := range []time.Duration{30 * time.Millisecond, 100 * time.Millisecond} {
				for range test.count {
					now = now.Add(test.every)
					m.ObserveWork(now, work)
				}
			}
			if got := m.Read(now).Work; got < test.least || got > test.most {
				t.Errorf("got %v, want %v to %v", got, test.least, test.most)
			}
			if got := m.Read(now.Add(time.Minute)).Work; got != 0 {
				t.Errorf("got %v after a minute without requests", got)
			}
		})
	}
}
