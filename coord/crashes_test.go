package coord

import (
	"errors"
	"testing"

	"currantwick"
)

// broken reports that an attempt at an endpoint broke off.
func (w *harness) broken(at wick.Instant, name wick.EndpointName, started wick.Started, request wick.Fingerprint, begun bool) {
	attemptBroken{wick.BrokenAttempt{
		Endpoint: wick.EndpointStart{Endpoint: name, Started: started}, Address: "x:1", Request: wick.PendingRequest{Request: request}, Begun: begun,
	}}.apply(w.state, at)
}

func TestCrashDetection(t *testing.T) {
	silent := errors.New("connection refused")
	tests := []struct {
		name string
		do   func(w *harness, e wick.EndpointName)
		// probes counts the probes, confirmed is set if a crash is known at the end.
		probes    int
		confirmed bool
	}{
		{"the endpoint answers", func(w *harness, e wick.EndpointName) {
			w.broken(0, e, 0, 1, false)
			probeDone{id: wick.EndpointStart{Endpoint: e}}.apply(w.state, ms(5))
		}, 1, false},
		{"the endpoint does not answer", func(w *harness, e wick.EndpointName) {
			w.broken(0, e, 0, 1, false)
			w.broken(ms(1), e, 0, 2, true)
			probeDone{wick.EndpointStart{Endpoint: e}, silent}.apply(w.state, ms(5))
			w.broken(ms(9), e, 0, 3, false)
		}, 1, true},
		{"a crash of an earlier start", func(w *harness, e wick.EndpointName) { w.broken(0, e, 7, 1, false) }, 0, false},
		{"an unknown endpoint", func(w *harness, _ wick.EndpointName) { w.broken(0, "none", 0, 1, false) }, 0, false},
		{"forgotten after a while", func(w *harness, e wick.EndpointName) {
			w.broken(0, e, 0, 1, false)
			probeDone{wick.EndpointStart{Endpoint: e}, silent}.apply(w.state, ms(5))
			w.forgetCrashes(ms(5000))
		}, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, true)
			e := w.start(t)
			test.do(w, e)
			c := w.crashes[wick.EndpointStart{Endpoint: e}]
			if got := c != nil && c.confirmed; got != test.confirmed || len(w.fakeIO.probed) != test.probes {
				t.Errorf("crash known: %v after %d probes, want %v after %d", got, len(w.fakeIO.probed), test.confirmed, test.probes)
			}
		})
	}
}
