package coord

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"currantwick"
	"currantwick/crash"
	"currantwick/terms"
)

// crashUnder crashes an endpoint under a request of this daemon.
func (w *harness) crashUnder(at wick.Instant, name wick.EndpointName, p wick.PendingRequest, trial wick.TrialID) {
	id := wick.EndpointStart{Endpoint: name}
	attemptBroken{wick.BrokenAttempt{Endpoint: id, Address: "x:1", Request: p, Trial: trial}}.apply(w.state, at)
	probeDone{id, errors.New("connection refused")}.apply(w.state, at)
}

// lastUpdate returns the last update that was sent on a link.
func (l *link) lastUpdate() *wick.HolderUpdate {
	for _, m := range slices.Backward(l.sent) {
		if m.Update != nil {
			return m.Update
		}
	}
	return nil
}

func TestEvidenceIsShared(t *testing.T) {
	report := wick.CrashReport{Crash: wick.EndpointStart{Endpoint: "f"}, Pending: []wick.PendingRequest{{Request: 7}}}
	tests := []struct {
		name string
		do   func(w *harness, e wick.EndpointName, daemon *link)
		want crash.Verdict
		told int
	}{
		{"a crash that a holder sees", func(w *harness, e wick.EndpointName, _ *link) {
			w.crashUnder(ms(1), e, wick.PendingRequest{Request: 7}, 0)
		}, crash.RunAlone, 1},
		{"a crash that a daemon reports to a holder", func(w *harness, _ wick.EndpointName, daemon *link) {
			linkMessage{daemon, wick.LinkMessage{Report: &wick.InstanceReport{Ready: true, Evidence: wick.Evidence{Crashes: []wick.CrashReport{report}}}}}.apply(w.state, ms(1))
		}, crash.RunAlone, 1},
		{"a report that comes twice", func(w *harness, _ wick.EndpointName, daemon *link) {
			for range 2 {
				linkMessage{daemon, wick.LinkMessage{Report: &wick.InstanceReport{Ready: true, Evidence: wick.Evidence{Crashes: []wick.CrashReport{report}}}}}.apply(w.state, ms(1))
				w.flush(ms(1), false)
			}
		}, crash.RunAlone, 1},
		{"an answer", func(w *harness, e wick.EndpointName, _ *link) {
			w.crashUnder(ms(1), e, wick.PendingRequest{Request: 7}, 0)
			suspectsAnswered{[]wick.Fingerprint{7}}.apply(w.state, ms(2))
		}, crash.Clear, 1},
		{"a request whose answer had begun", func(w *harness, e wick.EndpointName, _ *link) {
			w.broken(0, e, 0, 7, true)
			probeDone{wick.EndpointStart{Endpoint: e}, errors.New("silent")}.apply(w.state, ms(5))
		}, crash.Clear, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, true)
			e := w.start(t)
			daemon := &link{}
			linkUp{daemon, instance("b", 2), ""}.apply(w.state, 0)
			w.report(daemon, true, 0)
			w.flush(0, false)
			before := len(daemon.sent)
			test.do(w, e, daemon)
			w.flush(ms(3), false)
			told := 0
			for _, m := range daemon.sent[before:] {
				if u := m.Update; u != nil && len(u.Crashes)+len(u.Answered) > 0 {
					told++
				}
			}
			if got, _ := w.buildView(ms(3)).Verdicts.Of(7, nil); got != test.want || told != test.told {
				t.Errorf("verdict %d, told %d times; want %d, %d", got, told, test.want, test.told)
			}
			late := &link{}
			linkUp{late, instance("c", 3), ""}.apply(w.state, ms(4))
			w.report(late, true, ms(4))
			if u := late.lastUpdate(); (len(u.Crashes) > 0) != (test.want != crash.Clear) {
				t.Errorf("a daemon that links later is told %+v", u.Crashes)
			}
		})
	}
}

func TestEvidenceReachesHolders(t *testing.T) {
	w := newHarness(t, true)
	e := w.start(t)
	shard := terms.ShardOf(e)
	w.read(ms(1), wick.TopicDaemons, record(t, 2, fmt.Sprintf("%s%d", keyTerm, shard), terms.Claim{Shard: shard, Holder: "h", Incarnation: 9}))
	h := &link{}
	linkUp{h, instance("h", 9), "127.0.0.1:1"}.apply(w.state, ms(2))
	before := len(h.sent)
	w.crashUnder(ms(3), e, wick.PendingRequest{Request: 7}, 0)
	trialRequested{wick.TrialRequest{Trial: 5, Suspects: []wick.Fingerprint{7}}}.apply(w.state, ms(4))
	var crashes, trials int
	for _, m := range h.sent[before:] {
		crashes += len(m.Report.Crashes)
		trials += len(m.Report.TrialRequests)
	}
	if crashes != 1 || trials != 1 {
		t.Errorf("the holder got %d crashes and %d requests for trials, want 1 and 1", crashes, trials)
	}
	linkMessage{h, wick.LinkMessage{Update: &wick.HolderUpdate{Trials: []wick.TrialID{5}}}}.apply(w.state, ms(5))
	if !w.buildView(ms(5)).Trials[5] {
		t.Error("the granted trial is not in the view")
	}
	w.crashUnder(ms(6), e, wick.PendingRequest{Request: 7, Trial: true}, 5)
	if w.buildView(ms(6)).Trials[5] {
		t.Error("the trial did not end with its crash")
	}
}

func TestTrialsAreGrantedOneAtATime(t *testing.T) {
	w := newHarness(t, true)
	w.start(t)
	daemon := &link{}
	linkUp{daemon, instance("b", 2), ""}.apply(w.state, 0)
	w.report(daemon, true, 0)
	ask := func(at wick.Instant, id wick.TrialID) bool {
		before := len(daemon.sent)
		linkMessage{daemon, wick.LinkMessage{Report: &wick.InstanceReport{Ready: true, TrialRequests: []wick.TrialRequest{{Trial: id, Suspects: []wick.Fingerprint{7}}}}}}.apply(w.state, at)
		return len(daemon.sent) > before && slices.Contains(daemon.lastUpdate().Trials, id)
	}
	trialRequested{wick.TrialRequest{Trial: 1, Suspects: []wick.Fingerprint{7}}}.apply(w.state, ms(1))
	if !w.buildView(ms(1)).Trials[1] {
		t.Error("the holder did not get the first trial")
	}
	if ask(ms(2), 2) {
		t.Error("a second trial was granted beside the first")
	}
	trialEnded{1}.apply(w.state, ms(3))
	if !ask(ms(4), 2) {
		t.Error("no trial was granted after the first one")
	}
	linkMessage{daemon, wick.LinkMessage{Report: &wick.InstanceReport{Ready: true, EndedTrials: []wick.TrialID{2}}}}.apply(w.state, ms(5))
	if !ask(ms(6), 3) {
		t.Error("no trial was granted after the daemon's ended")
	}
}
