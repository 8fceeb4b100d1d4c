package coord

import (
	"testing"

	"currantwick"
)

func TestLeavingEndpoints(t *testing.T) {
	signal := wick.EndpointSignal{Leaving: true}
	tests := []struct {
		name string
		do   func(t *testing.T, w *harness, e wick.EndpointName, daemon *link)
		// used is set if the endpoint takes new requests at the end, and told if the
		// linked daemon learns that it is leaving.
		used, told bool
	}{
		{"nothing said", func(*testing.T, *harness, wick.EndpointName, *link) {}, true, false},
		{"said in an answer to a request", func(_ *testing.T, w *harness, e wick.EndpointName, _ *link) {
			endpointLeaving{wick.EndpointStart{Endpoint: e}}.apply(w.state, ms(1))
		}, false, true},
		{"said in an answer to an order", func(_ *testing.T, w *harness, e wick.EndpointName, _ *link) {
			orderDone{order: wick.RunnerOrder{Endpoint: e}, reply: wick.OrderReply{Signal: signal}}.apply(w.state, ms(1))
		}, false, true},
		{"said in a report", func(_ *testing.T, w *harness, e wick.EndpointName, _ *link) {
			reportRead{endpoint: e, report: wick.RunnerReport{Signal: signal}}.apply(w.state, ms(1))
		}, false, true},
		{"said to another daemon", func(_ *testing.T, w *harness, e wick.EndpointName, daemon *link) {
			r := &wick.InstanceReport{Ready: true, Leaving: []wick.EndpointStart{{Endpoint: e}}}
			linkMessage{daemon, wick.LinkMessage{Report: r}}.apply(w.state, ms(1))
		}, false, true},
		{"said by an earlier start", func(_ *testing.T, w *harness, e wick.EndpointName, _ *link) {
			endpointLeaving{wick.EndpointStart{Endpoint: e, Started: 7}}.apply(w.state, ms(1))
		}, true, false},
		{"said, and an older record comes", func(t *testing.T, w *harness, e wick.EndpointName, _ *link) {
			endpointLeaving{wick.EndpointStart{Endpoint: e}}.apply(w.state, ms(1))
			w.read(ms(2), wick.TopicRunners, record(t, 5, string(e), wick.Fact{Runner: &wick.Runner{Name: e, Pool: "p", Address: "x:1", Domain: "d"}}))
		}, false, true},
		{"said, and its entry comes back", func(t *testing.T, w *harness, e wick.EndpointName, _ *link) {
			endpointLeaving{wick.EndpointStart{Endpoint: e}}.apply(w.state, ms(1))
			w.read(ms(2), wick.TopicRunners, wick.KeyedRecord{Offset: 5, Key: string(e)})
			w.read(ms(3), wick.TopicRunners, record(t, 6, string(e), wick.Fact{Runner: &wick.Runner{Name: e, Pool: "p", Address: "x:1", Domain: "d"}}))
		}, false, true},
		{"said to another daemon while its entry was removed", func(t *testing.T, w *harness, e wick.EndpointName, daemon *link) {
			w.read(ms(1), wick.TopicRunners, wick.KeyedRecord{Offset: 5, Key: string(e)})
			r := &wick.InstanceReport{Ready: true, Leaving: []wick.EndpointStart{{Endpoint: e}}}
			linkMessage{daemon, wick.LinkMessage{Report: r}}.apply(w.state, ms(2))
			w.read(ms(3), wick.TopicRunners, record(t, 6, string(e), wick.Fact{Runner: &wick.Runner{Name: e, Pool: "p", Address: "x:1", Domain: "d"}}))
		}, false, false},
		{"said to another daemon of a start that is not known yet", func(t *testing.T, w *harness, e wick.EndpointName, daemon *link) {
			r := &wick.InstanceReport{Ready: true, Leaving: []wick.EndpointStart{{Endpoint: e, Started: 9}}}
			linkMessage{daemon, wick.LinkMessage{Report: r}}.apply(w.state, ms(2))
			w.read(ms(3), wick.TopicRunners, record(t, 5, string(e), wick.Fact{Runner: &wick.Runner{Name: e, Pool: "p", Address: "x:1", Domain: "d", Started: 9}}))
		}, false, false},
		{"said, and it started again under its name", func(t *testing.T, w *harness, e wick.EndpointName, _ *link) {
			endpointLeaving{wick.EndpointStart{Endpoint: e}}.apply(w.state, ms(1))
			w.read(ms(2), wick.TopicRunners, record(t, 5, string(e), wick.Fact{Runner: &wick.Runner{Name: e, Pool: "p", Address: "x:1", Domain: "d", Started: 9}}))
		}, true, true},
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
			test.do(t, w, e, daemon)
			w.flush(ms(3), false)
			told := false
			for _, m := range daemon.sent[before:] {
				told = told || m.Update != nil && len(m.Update.Leaving) > 0
			}
			if used := len(w.buildView(ms(3)).Pools["p"]) > 0; used != test.used || told != test.told {
				t.Errorf("used %v, told %v; want %v, %v", used, told, test.used, test.told)
			}
			if !test.used && len(w.fakeIO.closed) != 1 {
				t.Errorf("idle connections closed to %v, want the endpoint's", w.fakeIO.closed)
			}
			late := &link{}
			linkUp{late, instance("c", 3), ""}.apply(w.state, ms(4))
			w.report(late, true, ms(4))
			if got := len(late.lastUpdate().Leaving) > 0; got == test.used {
				t.Errorf("a daemon that links later is told: %v", got)
			}
		})
	}
}

// A daemon that links while the endpoint is gone was not told that it leaves, and used it
// once its entry came back.
func TestLeavingIsToldAfterRemoval(t *testing.T) {
	tests := []struct {
		name string
		at   wick.Instant
		told int
	}{
		{"at once", ms(3), 1},
		{"later than it is remembered", wick.Instant(leftMemory) + ms(3), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, true)
			e := w.start(t)
			endpointLeaving{wick.EndpointStart{Endpoint: e}}.apply(w.state, ms(1))
			w.read(ms(2), wick.TopicRunners, wick.KeyedRecord{Offset: 5, Key: string(e)})
			w.tick(test.at)
			l := &link{}
			w.connect(l, "b", 2, test.at)
			if told := len(l.lastUpdate().Leaving); told != test.told {
				t.Errorf("told of %d endpoints, want %d", told, test.told)
			}
		})
	}
}

// An endpoint that asked for a pause gets no orders, requests for its report or
// probes meanwhile.
func TestPausedEndpointsAreLeftAlone(t *testing.T) {
	w := newHarness(t, true)
	e := w.start(t)
	w.step(ms(1))
	orders := len(w.fakeIO.orders) + len(w.fakeIO.inspected)
	orderDone{order: wick.RunnerOrder{Endpoint: e}, reply: wick.OrderReply{Signal: wick.EndpointSignal{Pause: wick.Duration(ms(1000))}}}.apply(w.state, ms(2))
	adapterRequested{wick.AdapterRequest{Endpoint: e, Weights: wick.Weights{Model: "m", Adapter: "a"}}}.apply(w.state, ms(3))
	w.broken(ms(4), e, 0, 7, false)
	w.step(ms(900))
	if got := len(w.fakeIO.orders) + len(w.fakeIO.inspected); got != orders || len(w.fakeIO.probed) > 0 {
		t.Errorf("%d orders and reports, want %d; %d probes, want 0", got, orders, len(w.fakeIO.probed))
	}
	w.step(ms(1100))
	if got := len(w.fakeIO.orders) + len(w.fakeIO.inspected); got == orders {
		t.Error("no order after the pause")
	}
}
