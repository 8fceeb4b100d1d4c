package crash

import (
	"slices"
	"testing"
	"time"

	"currantwick"
)

// Daemons that have only the stored proofs must stop the same requests for as long as
// those that saw the crashes: after the loss of all daemons a request that crashes
// endpoints was found anew, and each time cost more crashes.
func TestProofsGiveTheSameVerdicts(t *testing.T) {
	const second = wick.Instant(time.Second)
	partReport := func(n int, request wick.Fingerprint, trial bool, others ...wick.PendingRequest) wick.CrashReport {
		return report(n, append(others, wick.PendingRequest{Request: request, Trial: trial, Parts: []wick.Fingerprint{90, 91}})...)
	}
	tests := []struct {
		name string
		do   func(s *Suspects)
		// crashes is how many of the crashes are needed.
		crashes int
	}{
		{"nothing known", func(*Suspects) {}, 0},
		{"a suspect that is not proved", func(s *Suspects) { s.AddCrash(0, report(1, pending(1))) }, 0},
		{"a request", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1), pending(2), pending(3)))
			s.AddCrash(second, report(2, onTrial(1)))
		}, 2},
		{"a request, proved twice", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1), pending(2)))
			s.AddCrash(second, report(2, onTrial(1)))
			s.AddCrash(17*second, report(3, onTrial(1)))
			s.AddCrash(17*second, report(4, pending(5)))
		}, 3},
		{"a part", func(s *Suspects) {
			s.AddCrash(0, partReport(1, 1, false, pending(2)))
			s.AddCrash(second, partReport(2, 3, true))
			s.AddCrash(2*second, partReport(3, 4, true))
		}, 3},
		{"a cause that was answered", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1)))
			s.AddCrash(second, report(2, onTrial(1)))
			s.Answered(17*second, 1)
		}, 0},
		{"a cause that was answered, and crashes again", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1)))
			s.AddCrash(second, report(2, onTrial(1)))
			s.Answered(17*second, 1)
			s.AddCrash(18*second, report(3, pending(1)))
		}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewSuspects(Config{})
			test.do(s)
			ev := s.Proofs(20 * second)
			if len(ev.Crashes) != test.crashes {
				t.Fatalf("the proofs have %d crashes, want %d: %+v", len(ev.Crashes), test.crashes, ev)
			}
			other := NewSuspects(Config{})
			for _, r := range ev.Crashes {
				other.AddCrash(20*second, r)
			}
			for _, f := range ev.Vouched {
				other.Vouch(20*second, f)
			}
			for at := 20 * second; at < 2*minute; at += second {
				want, got := s.Verdicts(at).Stopped(), other.Verdicts(at).Stopped()
				if !slices.EqualFunc(got, want, slices.Equal) {
					t.Fatalf("%v after the start: stopped %v, want %v", at, got, want)
				}
				if v, _ := other.Verdicts(at).Of(1, []wick.Fingerprint{90, 91}); test.crashes > 0 && v == Clear {
					t.Fatalf("%v after the start: clear", at)
				}
			}
		})
	}
}

// The record with the proofs stays small, however much crashed.
func TestProofsAreBounded(t *testing.T) {
	s := NewSuspects(Config{})
	for n := range 3 * maxProofCrashes {
		f := wick.Fingerprint(n / 2)
		s.AddCrash(wick.Instant(n), report(n+1, wick.PendingRequest{Request: f, Trial: n%2 == 1}))
	}
	ev := s.Proofs(minute)
	if len(ev.Crashes) != maxProofCrashes || ev.Crashes[maxProofCrashes-1].Crash.Started != 3*maxProofCrashes {
		t.Errorf("%d crashes, the last one %v; want the newest %d", len(ev.Crashes), ev.Crashes[len(ev.Crashes)-1].Crash, maxProofCrashes)
	}
}
