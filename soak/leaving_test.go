package soak

import (
	"testing"
	"time"
)

// TestRunnersThatPauseOrLeave guards against sending on to a runner that asked all
// daemons for a pause, or that says in its answers that it leaves.
func TestRunnersThatPauseOrLeave(t *testing.T) {
	const (
		// learn is how long daemons may take to hear from the runner, each by its own
		// requests or from the others.
		learn = 1500 * time.Millisecond
		watch = 2500 * time.Millisecond
		// maxInPause is the number of requests that a daemon may send in a pause.
		maxInPause = 2
	)
	tests := []struct {
		name string
		mode runnerMode
		seed uint64
		// runners is the number of runners that change, and arrivals the number of
		// requests that each daemon may send each of them after learn.
		runners, arrivals int
	}{
		{"one pauses", runnerPauses, 1, 1, maxInPause},
		{"all pause", runnerPauses, 2, *runnersFlag, maxInPause},
		{"one leaves", runnerLeaves, 3, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startSystem(t, test.seed)
			s.waitReady(t, startTimeout)
			stop := s.startCallers(t, test.seed)
			sleep(time.Second)
			begin := time.Now()
			for _, r := range s.runners[:test.runners] {
				r.current().setMode(test.mode)
			}
			sleep(learn + watch)
			stop()
			for _, r := range s.runners[:test.runners] {
				before, after := r.current().arrivals.after(begin), r.current().arrivals.after(begin.Add(learn))
				t.Logf("%d requests after the runner changed, %d of them later than %v", before, after, learn)
				if before == 0 {
					t.Error("the runner got no request to answer")
				}
				if most := test.arrivals * len(s.daemons); after > most {
					t.Errorf("%d requests reached the runner later than %v, want at most %d", after, learn, most)
				}
			}
			s.checkResults(t)
		})
	}
}
