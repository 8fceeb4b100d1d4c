package tally

import (
	"testing"
	"time"

	"currantwick"
)

func TestOutcomeStats(t *testing.T) {
	const second = wick.Instant(time.Second)
	at := func(d time.Duration) wick.Instant { return wick.Instant(0).Add(d) }
	type added struct {
		at wick.Instant
		wick.EndpointStats
	}
	tests := []struct {
		name        string
		added       []added
		read        wick.Instant
		lag         time.Duration
		failedShare float64
	}{
		{name: "no observations", read: second},
		{name: "one failure among many requests", added: []added{{second, wick.EndpointStats{Requests: 30, Failed: 1}}}, read: second},
		{name: "one request, failed", added: []added{{second, wick.EndpointStats{Requests: 1, Failed: 1}}}, read: second, failedShare: 0.25},
		{
			name:  "one failure each of several daemons",
			added: []added{{second, wick.EndpointStats{Requests: 1, Failed: 1}}, {second, wick.EndpointStats{Requests: 1, Failed: 1}}, {second, wick.EndpointStats{Requests: 1, Failed: 1}}},
			read:  second, failedShare: 0.5,
		},
		{name: "all late", added: []added{{second, wick.EndpointStats{Requests: 27, Lag: wick.Duration(27 * time.Second)}}}, read: second, lag: 900 * time.Millisecond},
		{name: "small delay", added: []added{{second, wick.EndpointStats{Requests: 9, Lag: wick.Duration(500 * time.Millisecond)}}}, read: second},
		{name: "decayed", added: []added{{second, wick.EndpointStats{Requests: 9, Failed: 9}}}, read: at(20 * time.Second)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var h OutcomeStats
			for _, a := range test.added {
				h.Add(a.at, a.EndpointStats)
			}
			lag, failedShare := h.Read(test.read)
			if lag.Std() != test.lag || failedShare != test.failedShare {
				t.Errorf("got %v and %v, want %v and %v", lag.Std(), failedShare, test.lag, test.failedShare)
			}
		})
	}
}

func TestTakeEndpointStats(t *testing.T) {
	m := NewMeter()
	m.Observe(0, time.Second, true)
	m.Observe(0, -time.Second, false)
	want := wick.EndpointStats{Requests: 2, Failed: 1, Lag: wick.Duration(time.Second)}
	if got := m.TakeOutcomes(); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := m.TakeOutcomes(); got != (wick.EndpointStats{}) {
		t.Errorf("the same outcomes were returned twice: %+v", got)
	}
}
