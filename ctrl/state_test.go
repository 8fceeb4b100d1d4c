package ctrl

import (
	"testing"
	"time"

	"currantwick"
	"currantwick/claim"
	"currantwick/config"
	"currantwick/evict"
	"currantwick/lease"
	"currantwick/sched"
)

// recorder implements wick.ControlIO and wick.ControlObserver and records calls.
type recorder struct {
	reports  []wick.EndpointName
	fetches  []wick.Fetch
	suspects [][]wick.Suspect
	appends  map[wick.StreamName]int
}

func (o *recorder) SendRenewal(wick.Member, wick.Renewal)         {}
func (o *recorder) Append(s wick.StreamName, _ wick.Record)       { o.appends[s]++ }
func (o *recorder) Fetch(_ wick.Address, f wick.Fetch)            { o.fetches = append(o.fetches, f) }
func (o *recorder) Order(wick.Endpoint, wick.Order, wick.Instant) {}
func (o *recorder) ReadReport(e wick.Endpoint)                    { o.reports = append(o.reports, e.Name) }
func (o *recorder) RequestLoads(wick.Member, wick.Grant)          {}
func (o *recorder) SendSuspects(_ []wick.Member, _ wick.Sequence, l []wick.Suspect) {
	o.suspects = append(o.suspects, l)
}
func (o *recorder) ViewAdopted(wick.View)                  {}
func (o *recorder) ActingChanged(wick.EndpointName, bool)  {}
func (o *recorder) EndpointCrashed(wick.EndpointName, int) {}
func (o *recorder) VerdictReached(wick.Verdict)            {}
func (o *recorder) InputRefused(string, error)             {}
func (o *recorder) LogReadFailed(wick.StreamName)          {}
func (o *recorder) AppendFinished(wick.StreamName, error)  {}

func self() wick.Member {
	return wick.Member{Host: "h1", Incarnation: 1, Domain: "d1", Peer: "127.0.0.1:1", Entry: "127.0.0.1:2"}
}

// allOutliers reports every endpoint as an ejected outlier.
type allOutliers struct{ wick.Ejector }

func (allOutliers) Evaluate(wick.Instant, wick.EndpointName) wick.Health {
	return wick.Health{Slowdown: 10, Ejected: true}
}

// harness drives control state with a clock that the test advances.
type harness struct {
	t   *testing.T
	s   *state
	out *recorder
	now wick.Instant
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	out := &recorder{appends: make(map[wick.StreamName]int)}
	s, err := newState(Config{
		Lease:      lease.Config{Self: self()},
		Claim:      claim.Config{Self: "h1", Incarnation: 1},
		Policy:     Policy{Order: sched.Shortest{}, Evict: evict.Frequency{}, Admit: sched.Deadline{}},
		Stale:      3 * time.Second,
		Checkpoint: time.Minute,
		Observer:   out,
	}, &gate{})
	if err != nil {
		t.Fatal(err)
	}
	s.out = out
	s.snapshot(0)
	return &harness{t, s, out, wick.Instant(time.Second)}
}

// step advances the clock and then applies an event.
func (r *harness) step(d time.Duration, e Event) {
	r.now = r.now.Add(d)
	e.apply(r.s, r.now)
	r.s.tick(r.now)
}

func (r *harness) entries(stream wick.StreamName, offset wick.Offset, rec wick.Record) Event {
	return EntriesRead{
		Stream: stream, Sent: r.now,
		List: []wick.Entry{{Offset: offset, Time: int64(offset), Record: rec}},
	}
}

func (r *harness) view(offset wick.Offset, base wick.ViewNumber, m ...wick.Member) {
	r.step(time.Millisecond, r.entries(wick.ViewStream, offset, wick.Record{ViewChange: &wick.ViewChange{
		Base: base, Members: m, Proposer: "h1",
		Terms: wick.Terms{Witnesses: 7, TTL: wick.Duration(2 * time.Second), Drift: wick.Duration(200 * time.Millisecond)},
	}}))
}

func sampleChange() *wick.Change {
	return &wick.Change{ID: "c1", Operator: "o", Puts: wick.Objects{
		Models:     []wick.Model{{Name: "m", Context: 100}},
		Stores:     []wick.Store{{Name: "s", Rate: 1, FullSpeed: 1, Knee: 8}},
		Priorities: []wick.Priority{{Name: "p", Deadline: wick.Duration(time.Minute)}},
		Pools:      []wick.Pool{{Name: "runners", Kind: wick.RunnerEndpoint, Model: "m", Store: "s"}},
		Endpoints: []wick.Endpoint{{
			Name: "r1", Pool: "runners", Host: "g1", Domain: "d1", Address: "127.0.0.1:3", BatchSlots: 2, AdapterSlots: 2,
		}},
		Routes: []wick.Route{{Name: "draft", Pool: "runners", Priority: "p"}},
	}}
}

// startActing configures one endpoint and lets the daemon act for it and know
// its engine.
func (r *harness) startActing() {
	r.view(1, 0, self())
	r.step(time.Millisecond, r.entries(wick.ConfigStream, 1, wick.Record{Change: sampleChange()}))
	r.step(3*time.Second, HostsListed{})
	r.step(0, ReportRead{Endpoint: "r1", Sent: r.now, Report: wick.Report{Boot: "b1"}})
}

func (r *harness) submit(id wick.RequestID, offset wick.Offset) *Run {
	run, _ := NewRun(r.t.Context(), wick.Submission{
		Request: id, Endpoint: "r1", Config: offset, TimeLeft: wick.Duration(time.Minute), Fingerprint: 7,
		Work: &wick.Work{Model: "m", Prompt: "p", MaxTokens: 5},
	})
	r.t.Cleanup(run.Close)
	r.step(time.Millisecond, Submitted{Run: run})
	return run
}

// decided returns the decision on a run, if there is one yet.
func decided(r *Run) (Decision, bool) {
	select {
	case d := <-r.Decided():
		return d, true
	default:
		return Decision{}, false
	}
}

// retryable reports whether the caller of a failed run may try again.
func retryable(r *Run) bool {
	select {
	case <-r.Retryable():
		return true
	default:
		return false
	}
}

// wantDecision checks that a run was decided on: sent for an empty code, else
// refused with that code.
func (r *harness) wantDecision(run *Run, code wick.Code) Decision {
	r.t.Helper()
	d, ok := decided(run)
	switch {
	case !ok:
		r.t.Fatalf("run %s: no decision, want %q", run.Sub.Request, code)
	case code == "" && d.Fail != nil:
		r.t.Fatalf("run %s: refused: %v", run.Sub.Request, d.Fail)
	case code != "" && (d.Fail == nil || d.Fail.Code != code || d.Fail.Outcome != wick.NotRun):
		r.t.Fatalf("run %s: %+v, want %s", run.Sub.Request, d, code)
	}
	return d
}

func TestRuns(t *testing.T) {
	other := wick.Member{Host: "h2", Incarnation: 2, Domain: "d2", Peer: "127.0.0.1:4", Entry: "127.0.0.1:5"}
	tests := []struct {
		name string
		do   func(*harness)
	}{
		{"refused without a view", func(r *harness) {
			r.wantDecision(r.submit("q", 0), wick.CodeNotOwner)
		}},
		{"sent while acting", func(r *harness) {
			r.startActing()
			d := r.wantDecision(r.submit("q", 1), "")
			if !d.MaySend(r.now) || d.MaySend(d.Until) || d.Boot != "b1" {
				r.t.Errorf("decision %+v at %v", d, r.now)
			}
		}},
		{"closed by a later view", func(r *harness) {
			r.startActing()
			d := r.wantDecision(r.submit("q", 1), "")
			r.view(2, 1, other)
			if d.MaySend(r.now) {
				r.t.Error("a request decided on in the old view may still be sent")
			}
			r.wantDecision(r.submit("q2", 1), wick.CodeNotOwner)
		}},
		{"waits for the configuration", func(r *harness) {
			r.startActing()
			run := r.submit("q", 2)
			if d, ok := decided(run); ok {
				r.t.Fatalf("decided too early: %+v", d)
			}
			change := &wick.Change{ID: "c2", Operator: "o", Puts: wick.Objects{Models: []wick.Model{{Name: "m2", Context: 1}}}}
			r.step(time.Millisecond, FetchDone{Fetched: wick.Fetched{Entries: []wick.Entry{{Offset: 2, Record: wick.Record{Change: change}}}}})
			r.wantDecision(run, "")
		}},
		{"refused after waiting too long", func(r *harness) {
			r.startActing()
			run := r.submit("q", 9)
			r.step(maxParkTime+checkInterval, HostsListed{})
			r.wantDecision(run, wick.CodeStale)
		}},
		{"canceled in the queue", func(r *harness) {
			r.startActing()
			r.wantDecision(r.submit("q1", 1), "")
			r.wantDecision(r.submit("q2", 1), "")
			run := r.submit("q3", 1)
			r.step(time.Millisecond, Canceled{Run: run})
			r.wantDecision(run, wick.CodeCanceled)
		}},
		{"stopped after two crashes", func(r *harness) {
			r.startActing()
			for _, id := range []wick.RequestID{"q1", "q2"} {
				run := r.submit(id, 1)
				r.wantDecision(run, "")
				fail := wick.Unknownf(wick.CodeCrashed, "crashed")
				r.step(time.Millisecond, Finished{Run: run, Result: sched.Result{Err: fail}, Crashed: true})
			}
			r.wantDecision(r.submit("q3", 1), wick.CodeKilled)
		}},
		{"not retryable until others know of the crash", func(r *harness) {
			r.startActing()
			run := r.submit("q", 1)
			r.wantDecision(run, "")
			r.view(2, 1, self(), other)
			fail := wick.Unknownf(wick.CodeCrashed, "crashed")
			r.step(time.Millisecond, Finished{Run: run, Result: sched.Result{Err: fail}, Crashed: true})
			if len(r.out.suspects) != 1 || retryable(run) {
				r.t.Fatalf("%d reports sent, retryable %v before they are answered", len(r.out.suspects), retryable(run))
			}
			r.step(time.Millisecond, SuspectsSent{Crash: 1})
			if !retryable(run) {
				r.t.Error("not retryable after the reports were answered")
			}
		}},
		{"moved away from an outlier", func(r *harness) {
			r.startActing()
			sent := []*Run{r.submit("q1", 1), r.submit("q2", 1)}
			waits := r.submit("q3", 1)
			r.s.ejector = allOutliers{r.s.ejector}
			r.step(checkInterval, HostsListed{})
			r.wantDecision(waits, wick.CodeSlow)
			for _, run := range sent {
				r.wantDecision(run, "")
				if run.Cause() != nil {
					r.t.Error("aborted before the grace period ended")
				}
			}
			r.step(outlierGrace, HostsListed{})
			for _, run := range sent {
				if c := run.Cause(); c == nil || c.Code != wick.CodeSlow || c.Outcome != wick.Unknown {
					r.t.Errorf("not aborted after the grace period: %v", c)
				}
			}
		}},
		{"refused while the host leaves", func(r *harness) {
			r.startActing()
			r.step(time.Millisecond, HostsListed{Hosts: []wick.HostStatus{{Host: "g1", State: wick.HostLeaving}}})
			r.wantDecision(r.submit("q", 1), wick.CodeStopping)
			r.step(time.Millisecond, HostsListed{})
			r.wantDecision(r.submit("q2", 1), "")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { test.do(newHarness(t)) })
	}
}

func TestFetches(t *testing.T) {
	tests := []struct {
		name string
		// recentEntries is set if the newest entries are still kept.
		recentEntries bool
		from          wick.Offset
		entries       int
		checkpoint    bool
	}{
		{"nothing newer", true, 2, 0, false},
		{"entries", true, 1, 1, false},
		{"checkpoint", false, 1, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newHarness(t)
			r.startActing()
			if !test.recentEntries {
				r.s.recentEntries = nil
			}
			reply := make(chan wick.Fetched, 1)
			r.step(0, FetchRequested{Fetch: wick.Fetch{Stream: wick.ConfigStream, From: test.from}, Reply: reply})
			got := <-reply
			if len(got.Entries) != test.entries || (got.Checkpoint != nil) != test.checkpoint {
				t.Errorf("got %d entries, checkpoint %t", len(got.Entries), got.Checkpoint != nil)
			}
			if !test.checkpoint {
				return
			}
			fresh := config.New()
			if err := fresh.Restore(*got.Checkpoint); err != nil || fresh.Offset() != 1 {
				t.Errorf("restored to %d: %v", fresh.Offset(), err)
			}
		})
	}
}

func TestCheckAccepting(t *testing.T) {
	tests := []struct {
		name string
		do   func(*harness)
		code wick.Code
	}{
		{"no configuration", func(*harness) {}, wick.CodeStale},
		{"current", func(r *harness) { r.startActing() }, ""},
		{"alone, log lost", func(r *harness) {
			r.startActing()
			r.step(time.Minute, LogFailed{Stream: wick.ConfigStream})
		}, ""},
		{"out of the view, log lost", func(r *harness) {
			r.startActing()
			r.view(2, 1, wick.Member{Host: "h2", Incarnation: 2, Domain: "d2", Peer: "127.0.0.1:4", Entry: "127.0.0.1:5"})
			r.step(time.Minute, LogFailed{Stream: wick.ConfigStream})
		}, wick.CodeStale},
		{"stopping", func(r *harness) {
			r.startActing()
			r.step(0, LeaveRequested{})
		}, ""},
		{"closing", func(r *harness) {
			r.startActing()
			r.step(0, RefuseRequested{})
		}, wick.CodeStopping},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newHarness(t)
			test.do(r)
			fail := r.s.snapshot(r.now).CheckAccepting()
			if (fail == nil) != (test.code == "") || fail != nil && fail.Code != test.code {
				t.Errorf("got %v, want %q", fail, test.code)
			}
		})
	}
}
