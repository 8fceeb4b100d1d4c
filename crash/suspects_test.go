package crash

import (
	"testing"
	"time"

	"currantwick"
)

// crashOf returns the id of the n-th crash in a test.
func crashOf(n int) wick.EndpointStart {
	return wick.EndpointStart{Endpoint: "e", Started: wick.Started(n)}
}

// report returns a report of the n-th crash, at which requests were pending.
func report(n int, pending ...wick.PendingRequest) wick.CrashReport {
	return wick.CrashReport{Crash: crashOf(n), Pending: pending}
}

func pending(f wick.Fingerprint) wick.PendingRequest { return wick.PendingRequest{Request: f} }

// stop returns a cause that another daemon stopped.
func stop(f wick.Fingerprint) wick.StoppedCause {
	return wick.StoppedCause{Crash: crashOf(99), Request: f, Keys: []wick.Fingerprint{f}, Stop: wick.Duration(firstStop)}
}

func onTrial(f wick.Fingerprint) wick.PendingRequest {
	return wick.PendingRequest{Request: f, Trial: true}
}

func TestSuspects(t *testing.T) {
	const second = wick.Instant(time.Second)
	tests := []struct {
		name string
		do   func(s *Suspects)
		at   wick.Instant
		want Verdict
		// forgotten is set if daemons that start later do not learn of it.
		forgotten bool
	}{
		{"unknown", func(*Suspects) {}, 0, Clear, false},
		{"pending at a crash", func(s *Suspects) { s.AddCrash(0, report(1, pending(1))) }, 0, RunAlone, false},
		{"one crash seen by two daemons", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1)))
			s.AddCrash(0, report(1, onTrial(1)))
		}, 0, RunAlone, false},
		{"at two crashes, never on trial", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1)))
			s.AddCrash(0, report(2, pending(1)))
		}, 0, RunAlone, false},
		{"again, on trial", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1)))
			s.AddCrash(0, report(2, onTrial(1)))
		}, 0, Stopped, false},
		{"again, on trial beside a new request", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1)))
			s.AddCrash(0, report(2, onTrial(1), pending(2)))
		}, 0, Stopped, false},
		{"again, on trial beside another suspect", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1), pending(2)))
			s.AddCrash(0, report(2, onTrial(1), pending(2)))
		}, 0, RunAlone, false},
		{"the other suspect is reported later", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1), pending(2)))
			s.AddCrash(0, report(2, onTrial(1)))
			s.AddCrash(0, report(2, pending(2)))
		}, 0, RunAlone, false},
		{"the other suspect has been answered", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1), pending(2)))
			s.Answered(0, 2)
			s.AddCrash(0, report(2, onTrial(1)))
		}, 0, Stopped, false},
		{"reports in reverse order", func(s *Suspects) {
			s.AddCrash(0, report(2, onTrial(1)))
			s.AddCrash(0, report(1, pending(1)))
		}, 0, Stopped, false},
		{"answered", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1)))
			s.Answered(0, 1)
		}, 0, Clear, false},
		{"answered, and the report comes again", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1)))
			s.Answered(0, 1)
			s.AddCrash(0, report(1, pending(1)))
		}, 0, Clear, false},
		{"answered between two crashes", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1)))
			s.Answered(0, 1)
			s.AddCrash(0, report(2, onTrial(1)))
		}, 0, RunAlone, false},
		{"not cleared once stopped", func(s *Suspects) {
			s.Stop(0, stop(1))
			s.Answered(0, 1)
		}, 0, Stopped, false},
		{"suspicion ends", func(s *Suspects) { s.AddCrash(0, report(1, pending(1))) }, 21 * minute, Clear, false},
		{"a stop ends", func(s *Suspects) { s.Stop(0, stop(1)) }, minute, Clear, false},
		{"a proved request is tried again", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1)))
			s.AddCrash(0, report(2, onTrial(1)))
		}, 16 * second, RunAlone, false},
		{"and is then stopped for twice as long", func(s *Suspects) {
			s.AddCrash(0, report(1, pending(1)))
			s.AddCrash(0, report(2, onTrial(1)))
			s.AddCrash(16*second, report(3, onTrial(1)))
		}, 45 * second, Stopped, false},
		{"an old report", func(s *Suspects) {
			r := report(1, pending(1))
			r.Age = wick.Duration(20 * time.Minute)
			s.AddCrash(0, r)
		}, 0, Clear, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewSuspects(Config{})
			test.do(s)
			s.Expire(test.at)
			if got, _ := s.Verdicts(test.at).Of(1, nil); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
			if got, _ := learned(s, test.at).Verdicts(test.at).Of(1, nil); got != test.want && !test.forgotten {
				t.Errorf("a daemon that learned it later: got %d, want %d", got, test.want)
			}
		})
	}
}

// learned returns a Suspects with the evidence of another one.
func learned(s *Suspects, now wick.Instant) *Suspects {
	later := NewSuspects(Config{})
	ev := s.Evidence(now)
	for _, r := range ev.Crashes {
		later.AddCrash(now, r)
	}
	for _, f := range ev.Vouched {
		later.Vouch(now, f)
	}
	for _, r := range ev.Stopped {
		later.Stop(now, r)
	}
	return later
}

// prompt returns a pending request with parts.
func prompt(f wick.Fingerprint, parts ...wick.Fingerprint) wick.PendingRequest {
	return wick.PendingRequest{Request: f, Parts: parts}
}

// promptOnTrial returns a pending request on trial with parts.
func promptOnTrial(f wick.Fingerprint, parts ...wick.Fingerprint) wick.PendingRequest {
	return wick.PendingRequest{Request: f, Parts: parts, Trial: true}
}

// Parts of prompts in tests: one that crashes endpoints, a first one that most
// requests share, and others.
const (
	deadlyPart wick.Fingerprint = 900 + iota
	commonPart
	besidePart
	otherPart
)

func TestSuspectParts(t *testing.T) {
	// twice is two crashes under requests with the deadly part.
	twice := func(s *Suspects) {
		s.Vouch(0, commonPart)
		s.AddCrash(0, report(1, prompt(1, commonPart, deadlyPart), prompt(2, commonPart, otherPart)))
		s.AddCrash(0, report(2, prompt(3, commonPart, deadlyPart)))
	}
	tests := []struct {
		name string
		do   func(s *Suspects)
		// verdicts are those on new requests with the deadly part, and with the
		// common part and another one.
		deadly, sound Verdict
	}{
		{"nothing is known", func(*Suspects) {}, Clear, Clear},
		{"one crash", func(s *Suspects) {
			s.Vouch(0, commonPart)
			s.AddCrash(0, report(1, prompt(1, commonPart, deadlyPart)))
		}, RunAlone, Clear},
		{"a part that was never answered is pending too", twice, RunAlone, RunAlone},
		{"that part is answered", func(s *Suspects) {
			twice(s)
			s.Answered(0, otherPart)
		}, RunAlone, Clear},
		{"a third crash, on trial", func(s *Suspects) {
			twice(s)
			s.Answered(0, otherPart)
			s.AddCrash(0, report(3, promptOnTrial(4, commonPart, deadlyPart)))
		}, Stopped, Clear},
		{"a third crash, not on trial", func(s *Suspects) {
			twice(s)
			s.Answered(0, otherPart)
			s.AddCrash(0, report(3, prompt(4, commonPart, deadlyPart)))
		}, RunAlone, Clear},
		{"a part that was pending at crashes whose cause is proved", func(s *Suspects) {
			twice(s)
			s.AddCrash(0, report(3, promptOnTrial(4, commonPart, deadlyPart)))
		}, Stopped, Clear},
		{"a part with few crashes beside one with many", func(s *Suspects) {
			twice(s)
			s.AddCrash(0, report(3, prompt(5, commonPart, deadlyPart)))
			s.Answered(0, commonPart)
			s.AddCrash(0, report(4, prompt(6, commonPart, deadlyPart)))
		}, RunAlone, Clear},
		{"the same request three times", func(s *Suspects) {
			s.AddCrash(0, report(1, prompt(1, deadlyPart)))
			s.AddCrash(0, report(2, promptOnTrial(1, deadlyPart)))
			s.AddCrash(0, report(3, promptOnTrial(1, deadlyPart)))
		}, RunAlone, Clear},
		{"a request that came twice, and another", func(s *Suspects) {
			s.AddCrash(0, report(1, prompt(1, deadlyPart)))
			s.AddCrash(0, report(2, promptOnTrial(1, deadlyPart)))
			s.AddCrash(0, report(3, promptOnTrial(2, deadlyPart)))
		}, Stopped, Clear},
		{"a common part, never answered, at more crashes", func(s *Suspects) {
			for n := range 3 {
				s.AddCrash(0, report(n+10, prompt(wick.Fingerprint(n+10), commonPart)))
			}
			s.AddCrash(0, report(1, prompt(1, commonPart, deadlyPart)))
			s.AddCrash(0, report(2, promptOnTrial(2, commonPart, deadlyPart)))
		}, Stopped, RunAlone},
		{"one crash after another part was stopped", func(s *Suspects) {
			for n := range 5 {
				s.AddCrash(0, report(n+10, prompt(wick.Fingerprint(n+10), besidePart)))
			}
			s.AddCrash(0, report(15, promptOnTrial(15, besidePart)))
			s.AddCrash(0, report(1, prompt(1, deadlyPart)))
		}, RunAlone, Clear},
		{"a trial beside another part with as many crashes", func(s *Suspects) {
			twice(s)
			s.AddCrash(0, report(4, prompt(7, otherPart)))
			s.AddCrash(0, report(3, promptOnTrial(4, commonPart, deadlyPart), prompt(5, commonPart, otherPart)))
		}, RunAlone, RunAlone},
		{"a common part at many crashes, with answers in between", func(s *Suspects) {
			s.Vouch(0, commonPart)
			for n := range 20 {
				s.AddCrash(0, report(n+1, prompt(wick.Fingerprint(n+1), commonPart)))
				if n%3 == 2 {
					s.Answered(0, commonPart)
				}
			}
		}, Clear, Clear},
		{"a part that was answered before turns deadly", func(s *Suspects) {
			s.Vouch(0, deadlyPart)
			for n := range vouchedCrashes {
				s.AddCrash(0, report(n+1, prompt(wick.Fingerprint(n+1), deadlyPart)))
			}
			s.AddCrash(0, report(8, promptOnTrial(8, deadlyPart)))
			s.AddCrash(0, report(9, promptOnTrial(9, deadlyPart)))
		}, Stopped, Clear},
		{"a common part at more crashes than the deadly one, with no answer", func(s *Suspects) {
			s.Vouch(0, commonPart)
			for n := range 9 {
				s.AddCrash(0, report(n+10, prompt(wick.Fingerprint(n+10), commonPart)))
			}
			twice(s)
			s.AddCrash(0, report(3, promptOnTrial(4, commonPart, deadlyPart)))
			s.Answered(0, commonPart)
		}, Stopped, Clear},
		{"a common part at many crashes, once on trial", func(s *Suspects) {
			s.Vouch(0, commonPart)
			for n := range 9 {
				s.AddCrash(0, report(n+10, prompt(wick.Fingerprint(n+10), commonPart)))
			}
			s.AddCrash(0, report(3, promptOnTrial(4, commonPart, otherPart)))
		}, RunAlone, RunAlone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewSuspects(Config{})
			test.do(s)
			for _, at := range []*Suspects{s, learned(s, 0)} {
				v := at.Verdicts(0)
				deadly, _ := v.Of(99, []wick.Fingerprint{commonPart, deadlyPart})
				sound, _ := v.Of(98, []wick.Fingerprint{commonPart, otherPart})
				if deadly != test.deadly || sound != test.sound {
					t.Errorf("verdicts %d and %d, want %d and %d; learned later: %v", deadly, sound, test.deadly, test.sound, at != s)
				}
			}
		})
	}
}

// A daemon that knew half of the evidence stopped a part that most requests share. The
// others took its word, and it took theirs when it knew better: sound requests were
// refused everywhere.
func TestDisputedStop(t *testing.T) {
	// known are the reports that one daemon knows, and lacking those that it lacks: the
	// deadly part was pending at all of these crashes too.
	known := []wick.CrashReport{
		report(1, prompt(1, commonPart, otherPart)),
		report(2, prompt(2, commonPart, otherPart)),
		report(3, promptOnTrial(3, commonPart, otherPart)),
	}
	lacking := []wick.CrashReport{
		report(1, prompt(11, deadlyPart)), report(2, prompt(12, deadlyPart)), report(3, prompt(13, deadlyPart)),
	}
	misled := NewSuspects(Config{})
	for _, r := range known {
		misled.AddCrash(0, r)
	}
	stops := misled.Evidence(0).Stopped
	if len(stops) == 0 {
		t.Fatal("half of the evidence stops nothing")
	}
	tests := []struct {
		name string
		// all is set if the daemon learns all reports, first if it does so before the
		// stop is told.
		all, first bool
		want       Verdict
	}{
		{"the evidence comes after the stop", true, false, RunAlone},
		{"the evidence is there before the stop", true, true, RunAlone},
		{"the evidence does not come", false, false, Stopped},
		{"the evidence of the daemon that stopped it is there", false, true, Stopped},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewSuspects(Config{})
			evidence := func() {
				for _, r := range known {
					s.AddCrash(0, r)
				}
				for _, r := range lacking {
					if test.all {
						s.AddCrash(0, r)
					}
				}
			}
			if test.first {
				evidence()
			}
			for _, r := range stops {
				s.Stop(0, r)
			}
			if !test.first {
				evidence()
			}
			// The daemon is told again, by another one that took the stop.
			for _, r := range stops {
				s.Stop(0, r)
			}
			if got, _ := s.Verdicts(0).Of(99, []wick.Fingerprint{commonPart, otherPart}); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

// Two parts that always came together are stopped together: requests with only one
// of them may still be tried.
func TestPartsThatComeTogether(t *testing.T) {
	s := NewSuspects(Config{})
	s.AddCrash(0, report(1, prompt(1, deadlyPart, besidePart)))
	s.AddCrash(0, report(2, prompt(2, deadlyPart, besidePart)))
	s.AddCrash(0, report(3, promptOnTrial(3, deadlyPart, besidePart)))
	tests := []struct {
		name  string
		parts []wick.Fingerprint
		want  Verdict
	}{
		{"both", []wick.Fingerprint{besidePart, deadlyPart}, Stopped},
		{"the deadly one", []wick.Fingerprint{deadlyPart}, RunAlone},
		{"the other one", []wick.Fingerprint{besidePart}, Clear},
	}
	s.Answered(0, besidePart)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got, _ := s.Verdicts(0).Of(9, test.parts); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

func TestSuspectsAreBounded(t *testing.T) {
	s := NewSuspects(Config{Limit: 64})
	s.AddCrash(0, report(1, pending(1)))
	s.AddCrash(0, report(2, onTrial(1)))
	for n := 3; n < 2000; n++ {
		s.AddCrash(wick.Instant(n), report(n, pending(wick.Fingerprint(n)), pending(wick.Fingerprint(n+10_000))))
	}
	if len(s.entries) > 64 || len(s.crashes) > maxCrashes || len(s.order) != len(s.crashes) {
		t.Errorf("%d requests and %d crashes, want at most 64 and %d", len(s.entries), len(s.crashes), maxCrashes)
	}
	if v, _ := s.Verdicts(0).Of(1, nil); v != Stopped {
		t.Error("a stopped request was evicted before suspects")
	}
}

func TestTrials(t *testing.T) {
	request := func(id wick.TrialID, f wick.Fingerprint) wick.TrialRequest {
		return wick.TrialRequest{Trial: id, Suspects: []wick.Fingerprint{f, f + 1000}}
	}
	second := wick.Instant(time.Second)
	tests := []struct {
		name      string
		endpoints int
		do        func(tr *Trials)
		at        wick.Instant
		want      bool
	}{
		{"the first", 4, func(*Trials) {}, 0, true},
		{"asked again", 4, func(tr *Trials) { tr.Grant(0, request(1, 1), 4) }, 0, true},
		{"another attempt at the same request", 100, func(tr *Trials) { tr.Grant(0, request(2, 1), 100) }, 0, false},
		{"another request", 4, func(tr *Trials) { tr.Grant(0, request(2, 2), 4) }, 0, false},
		{"another request at many endpoints", 100, func(tr *Trials) { tr.Grant(0, request(2, 2), 100) }, 0, true},
		{"after the other ended", 4, func(tr *Trials) {
			tr.Grant(0, request(2, 1), 4)
			tr.End(2)
		}, 0, true},
		{"after the other had no result", 4, func(tr *Trials) { tr.Grant(0, request(2, 1), 4) }, 3 * second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var tr Trials
			test.do(&tr)
			if got := tr.Grant(test.at, request(1, 1), test.endpoints); got != test.want {
				t.Errorf("granted: %v, want %v", got, test.want)
			}
		})
	}
}
