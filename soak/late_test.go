package soak

import (
	"syscall"
	"testing"
	"time"

	"currantwick"
)

// TestLateWrites guards against going back to an older configuration and older versions
// of adapters that the store writes late, behind the newest ones, also if all daemons are
// lost afterwards and find only the older ones in the store's list.
func TestLateWrites(t *testing.T) {
	// settle is how long daemons have to read what was written.
	const settle = time.Second
	tests := []struct {
		name string
		seed uint64
		// after is what happens once the late writes were read.
		after func(t *testing.T, s *system)
	}{
		{"the daemons run on", 2, func(*testing.T, *system) {}},
		{"a daemon starts again", 2, func(t *testing.T, s *system) {
			s.daemons[0].Kill()
			s.daemons[0].Start(t)
		}},
		{"all daemons start again", 2, restartAll},
		// The runners don't have the newest versions any more, so that each daemon
		// shows which ones it knows.
		{"all runners and daemons start again", 2, func(t *testing.T, s *system) {
			for _, r := range s.runners {
				if err := s.restartRunner(r); err != nil {
					t.Fatal(err)
				}
			}
			restartAll(t, s)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startSystem(t, test.seed)
			s.waitReady(t, startTimeout)
			stop := s.startCallers(t, test.seed)
			older, olderRevision := s.config(), wick.Revision(s.revision)
			s.publishConfig()
			s.publishRevision()
			sleep(settle)
			s.store.PutConfig(older)
			for i := range adapters {
				s.store.PutRevision(wick.Loaded{Weights: weights(i), Revision: olderRevision})
			}
			sleep(settle)
			test.after(t, s)
			s.waitReady(t, startTimeout)
			s.waitRecovered(t, recoveryTimeout)
			stop()
			s.checkResults(t)
		})
	}
}

// restartAll kills all daemons at once and starts them.
func restartAll(t *testing.T, s *system) {
	t.Helper()
	for _, d := range s.daemons {
		d.Signal(syscall.SIGKILL)
	}
	for _, d := range s.daemons {
		<-d.Done()
		d.Start(t)
	}
}
