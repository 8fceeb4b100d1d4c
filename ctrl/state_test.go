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

// outside records what the control thread asks for.
type outside struct {
	reports []wick.EndpointName
	fetches []wick.Fetch
	told    [][]wick.Suspect
	appends map[wick.StreamName]int
}

func (o *outside) Renew(wick.Member, wick.Renewal)               {}
func (o *outside) Append(s wick.StreamName, _ wick.Record)       { o.appends[s]++ }
func (o *outside) Fetch(_ wick.Address, f wick.Fetch)            { o.fetches = append(o.fetches, f) }
func (o *outside) Order(wick.Endpoint, wick.Order, wick.Instant) {}
func (o *outside) Report(e wick.Endpoint)                        { o.reports = append(o.reports, e.Name) }
func (o *outside) Ask(wick.Member, wick.Grant)                   {}
func (o *outside) Tell(_ wick.Member, l []wick.Suspect)          { o.told = append(o.told, l) }
func (o *outside) View(wick.View)                                {}
func (o *outside) Acting(wick.EndpointName, bool)                {}
func (o *outside) Crashed(wick.EndpointName, int)                {}
func (o *outside) Verdict(wick.Verdict)                          {}
func (o *outside) Refused(string, error)                         {}
func (o *outside) LogFailed(wick.StreamName)                     {}
func (o *outside) Appended(wick.StreamName, error)               {}

func self() wick.Member {
	return wick.Member{Host: "h1", Incarnation: 1, Domain: "d1", Peer: "127.0.0.1:1", Entry: "127.0.0.1:2"}
}

// outlier takes every endpoint for one.
type outlier struct{ wick.Ejector }

func (outlier) Judge(wick.Instant, wick.EndpointName) wick.Health {
	return wick.Health{Slow: 10, Ejected: true}
}

// rig is control state with time under the test's hand.
type rig struct {
	t   *testing.T
	s   *state
	out *outside
	now wick.Instant
}

func newRig(t *testing.T) *rig {
	t.Helper()
	out := &outside{appends: make(map[wick.StreamName]int)}
	s, err := newState(Config{
		Lease:      lease.Config{Self: self()},
		Claim:      claim.Config{Self: "h1", Incarnation: 1},
		Policy:     Policy{Order: sched.Shortest{}, Evict: evict.Heat{}, Admit: sched.Deadline{}},
		Stale:      3 * time.Second,
		Checkpoint: time.Minute,
		Note:       out,
	}, &gate{})
	if err != nil {
		t.Fatal(err)
	}
	s.out = out
	s.snapshot(0)
	return &rig{t, s, out, wick.Instant(time.Second)}
}

// step lets time pass and then an event happen.
func (r *rig) step(d time.Duration, e Event) {
	r.now = r.now.Add(d)
	e.apply(r.s, r.now)
	r.s.tick(r.now)
}

func (r *rig) entries(stream wick.StreamName, offset wick.Offset, rec wick.Record) Event {
	return Entries{
		Stream: stream, Sent: r.now,
		List: []wick.Entry{{Offset: offset, Time: int64(offset), Record: rec}},
	}
}

func (r *rig) view(offset wick.Offset, base wick.ViewNumber, m ...wick.Member) {
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

// acting brings the rig to where it acts for its one endpoint and knows its
// engine.
func (r *rig) acting() {
	r.view(1, 0, self())
	r.step(time.Millisecond, r.entries(wick.ConfigStream, 1, wick.Record{Change: sampleChange()}))
	r.step(3*time.Second, Listed{})
	r.step(0, Reported{Endpoint: "r1", Sent: r.now, Report: wick.Report{Boot: "b1"}})
}

func (r *rig) submit(id wick.RequestID, offset wick.Offset) *Run {
	run, _ := NewRun(r.t.Context(), wick.Submission{
		Request: id, Endpoint: "r1", Config: offset, Within: wick.Duration(time.Minute), Print: 7,
		Work: &wick.Work{Model: "m", Prompt: "p", MaxTokens: 5},
	})
	r.t.Cleanup(run.Close)
	r.step(time.Millisecond, Submitted{Run: run})
	return run
}

// decided returns the decision on a run, if there is one.
func decided(r *Run) (Decision, bool) {
	select {
	case d := <-r.Decided():
		return d, true
	default:
		return Decision{}, false
	}
}

// want checks that a run was decided on: sent for an empty code, else refused.
func (r *rig) want(run *Run, code wick.Code) Decision {
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
		do   func(*rig)
	}{
		{"refused without a view", func(r *rig) {
			r.want(r.submit("q", 0), wick.CodeNotOwner)
		}},
		{"sent while acting", func(r *rig) {
			r.acting()
			d := r.want(r.submit("q", 1), "")
			if !d.Open(r.now) || d.Open(d.Until) || d.Boot != "b1" {
				r.t.Errorf("decision %+v at %v", d, r.now)
			}
		}},
		{"closed by a later view", func(r *rig) {
			r.acting()
			d := r.want(r.submit("q", 1), "")
			r.view(2, 1, other)
			if d.Open(r.now) {
				r.t.Error("what was decided in the old view may still be sent")
			}
			r.want(r.submit("q2", 1), wick.CodeNotOwner)
		}},
		{"waits for the configuration", func(r *rig) {
			r.acting()
			run := r.submit("q", 2)
			if d, ok := decided(run); ok {
				r.t.Fatalf("decided too early: %+v", d)
			}
			change := &wick.Change{ID: "c2", Operator: "o", Puts: wick.Objects{Models: []wick.Model{{Name: "m2", Context: 1}}}}
			r.step(time.Millisecond, FetchAnswered{Fetched: wick.Fetched{Entries: []wick.Entry{{Offset: 2, Record: wick.Record{Change: change}}}}})
			r.want(run, "")
		}},
		{"does not wait for ever", func(r *rig) {
			r.acting()
			run := r.submit("q", 9)
			r.step(parkWithin+lookEvery, Listed{})
			r.want(run, wick.CodeStale)
		}},
		{"canceled in the queue", func(r *rig) {
			r.acting()
			r.want(r.submit("q1", 1), "")
			r.want(r.submit("q2", 1), "")
			run := r.submit("q3", 1)
			r.step(time.Millisecond, Canceled{Run: run})
			r.want(run, wick.CodeCanceled)
		}},
		{"stopped after two crashes", func(r *rig) {
			r.acting()
			for _, id := range []wick.RequestID{"q1", "q2"} {
				run := r.submit(id, 1)
				r.want(run, "")
				fail := wick.Unknownf(wick.CodeCrashed, "crashed")
				r.step(time.Millisecond, Finished{Run: run, Result: sched.Result{Err: fail}, Crashed: true})
			}
			r.want(r.submit("q3", 1), wick.CodeKilled)
		}},
		{"sent on from an outlier", func(r *rig) {
			r.acting()
			sent := []*Run{r.submit("q1", 1), r.submit("q2", 1)}
			waits := r.submit("q3", 1)
			r.s.pace = outlier{r.s.pace}
			r.step(lookEvery, Listed{})
			r.want(waits, wick.CodeSlow)
			for _, run := range sent {
				r.want(run, "")
				if run.Cause() != nil {
					r.t.Error("taken away at once")
				}
			}
			r.step(moveAfter, Listed{})
			for _, run := range sent {
				if c := run.Cause(); c == nil || c.Code != wick.CodeSlow || c.Outcome != wick.Unknown {
					r.t.Errorf("not taken away: %v", c)
				}
			}
		}},
		{"refused while the host leaves", func(r *rig) {
			r.acting()
			r.step(time.Millisecond, Listed{Hosts: []wick.HostStatus{{Host: "g1", State: wick.HostLeaving}}})
			r.want(r.submit("q", 1), wick.CodeStopping)
			r.step(time.Millisecond, Listed{})
			r.want(r.submit("q2", 1), "")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { test.do(newRig(t)) })
	}
}

func TestFetches(t *testing.T) {
	tests := []struct {
		name string
		// recent tells whether the newest entries are still kept.
		recent     bool
		from       wick.Offset
		entries    int
		checkpoint bool
	}{
		{"nothing newer", true, 2, 0, false},
		{"entries", true, 1, 1, false},
		{"checkpoint", false, 1, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			r.acting()
			if !test.recent {
				r.s.recent = nil
			}
			reply := make(chan wick.Fetched, 1)
			r.step(0, FetchAsked{Fetch: wick.Fetch{Stream: wick.ConfigStream, From: test.from}, Reply: reply})
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

func TestAccepts(t *testing.T) {
	tests := []struct {
		name string
		do   func(*rig)
		code wick.Code
	}{
		{"no configuration", func(*rig) {}, wick.CodeStale},
		{"current", func(r *rig) { r.acting() }, ""},
		{"alone, log lost", func(r *rig) {
			r.acting()
			r.step(time.Minute, LogFailed{Stream: wick.ConfigStream})
		}, ""},
		{"out of the view, log lost", func(r *rig) {
			r.acting()
			r.view(2, 1, wick.Member{Host: "h2", Incarnation: 2, Domain: "d2", Peer: "127.0.0.1:4", Entry: "127.0.0.1:5"})
			r.step(time.Minute, LogFailed{Stream: wick.ConfigStream})
		}, wick.CodeStale},
		{"stopping", func(r *rig) {
			r.acting()
			r.step(0, Stopping{})
		}, ""},
		{"closing", func(r *rig) {
			r.acting()
			r.step(0, Closing{})
		}, wick.CodeStopping},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t)
			test.do(r)
			fail := r.s.snapshot(r.now).Accepts()
			if (fail == nil) != (test.code == "") || fail != nil && fail.Code != test.code {
				t.Errorf("got %v, want %q", fail, test.code)
			}
		})
	}
}
