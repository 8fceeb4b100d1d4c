package sched

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantwick"
)

const (
	simWithin = time.Second
	simSlots  = 2
	simBatch  = 4
)

// message is an order or a request in transit to the engine.
type message struct {
	order    *wick.Order
	request  wick.RequestID
	ref      wick.Ref
	deadline wick.Instant
	// answerLost is set if the loss of the answer was already reported to the
	// owner.
	answerLost bool
	// from is the owner that sent it; only that owner gets the answer.
	from *Endpoint
}

// runningRequest is a request in the engine's batch.
type runningRequest struct {
	ref  wick.Ref
	from *Endpoint
}

// snapshot is the engine's state at a time, reported after a delay.
type snapshot struct {
	at     wick.Instant
	report wick.Report
}

// sim simulates an engine, its network and a sequence of owners.
type sim struct {
	t     *rapid.T
	now   wick.Instant
	e     *Endpoint
	owned bool

	boot     int
	resident map[wick.Ref]bool
	running  map[wick.RequestID]runningRequest
	history  []snapshot
	network  []message
	// answers holds the pending calls to the owner.
	answers []func()
	asked   map[wick.Ref]bool
	reading bool

	next int
	view wick.ViewNumber
	// open holds the requests submitted to the owner that have not ended, and
	// whether they were dispatched; earlier holds those of previous owners.
	open    map[wick.RequestID]bool
	earlier map[*Endpoint]map[wick.RequestID]bool
}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: sec, resident: map[wick.Ref]bool{}, running: map[wick.RequestID]runningRequest{}, asked: map[wick.Ref]bool{}}
	s.earlier = map[*Endpoint]map[wick.RequestID]bool{}
	s.boot = 1
	s.record()
	s.takeover()
	for range 8 {
		s.deliverAll()
	}
	return s
}

// takeover starts a new owner that has no state of the previous one.
func (s *sim) takeover() {
	if s.e != nil {
		s.do(s.e.Release(s.now))
		s.earlier[s.e] = s.open
	}
	s.e = newRunner(simBatch, simSlots)
	s.open = map[wick.RequestID]bool{}
	s.asked = map[wick.Ref]bool{}
	s.view++
	s.owned = true
	s.do(s.e.Takeover(s.now, s.view))
}

// do carries out actions and checks them.
func (s *sim) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Dispatch:
			s.dispatch(a)
		case Refuse:
			if sent, ok := s.open[a.Request]; !ok || sent {
				s.t.Fatalf("%v: refused %s, which is not queued", s.now, a.Request)
			}
			if a.Err.Outcome != wick.NotRun {
				s.t.Fatalf("refusal with outcome %s", a.Err.Outcome)
			}
			delete(s.open, a.Request)
		case Order:
			s.orderSent(a.Order)
		case RequestLoad:
			s.asked[a.Ref] = true
		case CancelLoad:
			delete(s.asked, a.Ref)
		case ReadReport:
			s.reading = true
		}
	}
}

func (s *sim) dispatch(a Dispatch) {
	id := a.Sub.Request
	if sent, ok := s.open[id]; !ok || sent {
		s.t.Fatalf("%v: dispatched %s, which is not queued", s.now, id)
	}
	s.open[id] = true
	ref := a.Sub.Work.Ref
	if !ref.IsBase() && s.e.adapters[ref].state != ready {
		s.t.Fatalf("%v: dispatched %s on %s, which is %d", s.now, id, ref, s.e.adapters[ref].state)
	}
	if len(s.e.inFlight) > simBatch {
		s.t.Fatalf("%v: %d in flight", s.now, len(s.e.inFlight))
	}
	if x := s.e.inFlight[id]; x.suspect && len(s.e.inFlight) > 1 || !x.suspect && s.e.suspectInFlight {
		s.t.Fatalf("%v: a suspect shares the batch", s.now)
	}
	s.network = append(s.network, message{request: id, ref: ref, deadline: s.now.Add(simWithin), from: s.e})
}

func (s *sim) orderSent(o wick.Order) {
	if o.FencingToken.View != s.view {
		s.t.Fatalf("order of view %d in view %d", o.FencingToken.View, s.view)
	}
	if !s.owned {
		s.t.Fatalf("%v: order %s of %s after the release", s.now, o.Kind, o.Ref)
	}
	if o.Kind == wick.OrderUnload && s.e.adapters[o.Ref].pins > 0 {
		s.t.Fatalf("%v: unload of %s, which is pinned", s.now, o.Ref)
	}
	if o.Kind == wick.OrderLoad && len(s.e.held) > simSlots {
		s.t.Fatalf("%v: load of %s as adapter %d of at most %d", s.now, o.Ref, len(s.e.held), simSlots)
	}
	s.network = append(s.network, message{order: &o, deadline: s.now.Add(simWithin), from: s.e})
}

// deliver delivers the message at index i to the engine, or drops it.
func (s *sim) deliver(i int, drop bool) {
	m := s.network[i]
	s.network = slices.Delete(s.network, i, i+1)
	switch {
	case m.order != nil:
		s.deliverOrder(m, drop)
	case drop:
		s.endRequest(m, wick.Unknownf(wick.CodeBroken, "dropped"))
	case !m.ref.IsBase() && !s.resident[m.ref]:
		// After a restart the owner may not know yet what the engine lost.
		if m.from == s.e && s.boot == 1 {
			s.t.Fatalf("%v: %s sent to %s, which is not resident", s.now, m.request, m.ref)
		}
		s.endRequest(m, wick.NotRunf(wick.CodeLoadFailed, "not resident"))
	default:
		s.running[m.request] = runningRequest{m.ref, m.from}
		s.record()
	}
}

// deliverOrder carries out an order, drops it or lets it fail, and queues its
// answers to the owner: none, one, or several that may contradict each other.
func (s *sim) deliverOrder(m message, drop bool) {
	o := *m.order
	fails := o.Kind == wick.OrderLoad && rapid.IntRange(0, 7).Draw(s.t, "fails") == 0
	if o.Kind == wick.OrderLoad && !drop && len(s.resident) >= simSlots && !s.resident[o.Ref] {
		// After a restart or takeover the owner may not know the engine's state
		// yet.
		if s.boot == 1 && s.view == 1 {
			s.t.Fatalf("%v: load of %s into a full engine", s.now, o.Ref)
		}
		fails = true
	}
	if !drop && !fails {
		s.apply(o)
		s.record()
	}
	answer := func(err *wick.Error) {
		s.answers = append(s.answers, func() {
			if m.from == s.e {
				s.do(s.e.OrderDone(s.now, o, err))
			}
		})
	}
	if m.answerLost && rapid.Bool().Draw(s.t, "answer never arrives") {
		return
	}
	if drop || rapid.IntRange(0, 3).Draw(s.t, "lost") == 0 {
		answer(wick.Unknownf(wick.CodeBroken, "lost"))
	}
	duplicate := rapid.IntRange(0, 5).Draw(s.t, "answer arrives twice") == 0
	for i := 0; i < 2 && (i == 0 || duplicate); i++ {
		switch {
		case drop:
		case fails:
			answer(wick.NotRunf(wick.CodeLoadFailed, "failed"))
		default:
			answer(nil)
		}
	}
}

// loseAnswer reports to the owner that the answer to an order is lost, while
// the order itself is still in transit.
func (s *sim) loseAnswer(i int) {
	m := s.network[i]
	if m.order == nil || m.answerLost {
		return
	}
	s.network[i].answerLost = true
	s.answers = append(s.answers, func() {
		if m.from == s.e {
			s.do(s.e.OrderDone(s.now, *m.order, wick.Unknownf(wick.CodeBroken, "lost")))
		}
	})
}

// apply changes the engine's state as an order says.
func (s *sim) apply(o wick.Order) {
	if o.Kind == wick.OrderLoad {
		s.resident[o.Ref] = true
		return
	}
	for id, r := range s.running {
		if r.ref == o.Ref {
			s.t.Fatalf("%v: %s unloaded while %s runs on it", s.now, o.Ref, id)
		}
	}
	delete(s.resident, o.Ref)
}

// endRequest answers a request.
func (s *sim) endRequest(m message, err *wick.Error) {
	s.answers = append(s.answers, func() {
		if m.from != s.e {
			delete(s.earlier[m.from], m.request)
			m.from.Done(s.now, m.request, Result{Tokens: 5, Err: err})
			return
		}
		if !s.open[m.request] {
			s.t.Fatalf("%s ended, which was not dispatched", m.request)
		}
		delete(s.open, m.request)
		s.do(s.e.Done(s.now, m.request, Result{Tokens: 5, Err: err}))
	})
}

func (s *sim) finish(id wick.RequestID, err *wick.Error) {
	r := s.running[id]
	delete(s.running, id)
	s.record()
	s.endRequest(message{request: id, from: r.from}, err)
}

// restart restarts the engine with nothing loaded.
func (s *sim) restart() {
	s.boot++
	s.resident = map[wick.Ref]bool{}
	for _, id := range slices.Sorted(maps.Keys(s.running)) {
		s.finish(id, wick.Unknownf(wick.CodeBroken, "crashed"))
	}
	s.history = nil
	s.record()
}

func (s *sim) record() {
	r := wick.Report{Boot: fmt.Sprint(s.boot), Running: wick.Slots(len(s.running))}
	for _, ref := range sortedRefs(s.resident) {
		x := wick.Resident{Ref: ref}
		for _, run := range s.running {
			if run.ref == ref {
				x.Serving++
			}
		}
		r.Resident = append(r.Resident, x)
	}
	s.history = append(s.history, snapshot{s.now, r})
}

// report passes the engine's state of lag ago to the owner.
func (s *sim) report(lag wick.Instant) {
	s.reading = false
	i := len(s.history) - 1
	for i > 0 && s.history[i].at > s.now-lag {
		i--
	}
	r := s.history[i].report
	r.Age = wick.Duration(min(lag, s.now-s.history[i].at))
	sent := s.now
	s.answers = append(s.answers, func() { s.do(s.e.Report(s.now, sent, r)) })
}

// advance moves the time forward. A message that reaches its deadline is
// dropped; one whose answer was reported as lost may still be delivered then.
func (s *sim) advance(d wick.Instant) {
	for end := s.now + d; s.now < end; {
		s.now = min(end, s.now+100*ms)
		for i := 0; i < len(s.network); {
			if s.network[i].deadline <= s.now {
				s.deliver(i, !s.network[i].answerLost || rapid.Bool().Draw(s.t, "too late"))
				continue
			}
			i++
		}
		if s.now >= s.e.Next() {
			s.do(s.e.Tick(s.now))
			if next := s.e.Next(); next <= s.now {
				s.t.Fatalf("%v: next tick at %v, so that the caller would busy-loop", s.now, next)
			}
		}
	}
}

func (s *sim) answer(i int) {
	f := s.answers[i]
	s.answers = slices.Delete(s.answers, i, i+1)
	f()
}

func (s *sim) submit() {
	s.next++
	it := work(fmt.Sprint("q", s.next), rapid.IntRange(0, 4).Draw(s.t, "adapter"), 10)
	it.Sub.TimeLeft = wick.Duration(time.Duration(rapid.IntRange(1, 8).Draw(s.t, "within")) * time.Second)
	it.Sub.Level = wick.Level(rapid.IntRange(0, 2).Draw(s.t, "level"))
	it.Sub.Sheddable = rapid.Bool().Draw(s.t, "sheddable")
	it.Suspect = rapid.IntRange(0, 9).Draw(s.t, "suspect") == 0
	s.open[it.Sub.Request] = false
	s.do(s.e.Submit(s.now, it))
}

// pick draws one element of xs and passes it to f, if there is any.
func pick[T any](t *rapid.T, xs []T, f func(i int, x T)) {
	if len(xs) == 0 {
		return
	}
	i := rapid.IntRange(0, len(xs)-1).Draw(t, "pick")
	f(i, xs[i])
}

func (s *sim) runningIDs() []wick.RequestID { return slices.Sorted(maps.Keys(s.running)) }

func sortedRefs(m map[wick.Ref]bool) []wick.Ref {
	return slices.SortedFunc(maps.Keys(m), func(a, b wick.Ref) int {
		return strings.Compare(a.String(), b.String())
	})
}

func (s *sim) grant(t *rapid.T) {
	pick(t, sortedRefs(s.asked), func(_ int, ref wick.Ref) {
		delete(s.asked, ref)
		if rapid.IntRange(0, 4).Draw(t, "deny") == 0 {
			s.do(s.e.Denied(s.now, ref))
			return
		}
		s.do(s.e.Granted(s.now, ref))
	})
}

// check verifies the invariants after each step.
func (s *sim) check(t *rapid.T) {
	queued := 0
	for _, sent := range s.open {
		if !sent {
			queued++
		}
	}
	if queued != len(s.e.queue) {
		t.Fatalf("%d requests queued, want %d", len(s.e.queue), queued)
	}
	for _, a := range s.e.held {
		if a.state == absent {
			t.Fatalf("%s is absent and takes a slot", a.ref)
		}
		if a.state == unloading && a.pins > 0 {
			t.Fatalf("%s is unloading with %d pins", a.ref, a.pins)
		}
	}
}

// deliverAll delivers the messages in transit, except orders whose answer was
// reported as lost, then the answers, grants and reports, and advances the
// time. Running requests do not end.
func (s *sim) deliverAll() {
	for i := 0; i < len(s.network); {
		if s.network[i].answerLost {
			i++
			continue
		}
		s.deliver(i, false)
	}
	for len(s.answers) > 0 {
		s.answer(0)
	}
	for _, ref := range sortedRefs(s.asked) {
		delete(s.asked, ref)
		s.do(s.e.Granted(s.now, ref))
	}
	if s.reading {
		s.report(0)
	}
	s.advance(250 * ms)
}

// disrupt sometimes restarts the engine or changes its owner.
func (s *sim) disrupt(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "disruption") {
	case 0:
		s.restart()
	case 1:
		s.restart()
		s.do(s.e.EngineRestarted(s.now, ""))
	case 2:
		s.takeover()
	case 3:
		s.do(s.e.Release(s.now))
		s.asked = map[wick.Ref]bool{}
		s.view++
		s.do(s.e.Takeover(s.now, s.view))
	}
}

// quiesce delivers all messages and checks that every request has ended.
func (s *sim) quiesce() {
	for range 100 {
		s.deliverAll()
		for _, id := range s.runningIDs() {
			s.finish(id, nil)
		}
	}
	if len(s.open) > 0 || len(s.e.queue) > 0 || len(s.e.inFlight) > 0 {
		s.t.Fatalf("not ended: %v, %d queued, %d in flight", s.open, len(s.e.queue), len(s.e.inFlight))
	}
	if s.e.inheritedSlots != 0 || s.e.unsynced {
		s.t.Fatalf("state still unknown: inherited slots %d, unsynced %v", s.e.inheritedSlots, s.e.unsynced)
	}
	for _, a := range s.e.held {
		if a.state != ready || !s.resident[a.ref] {
			s.t.Fatalf("%s is %d, resident %v", a.ref, a.state, s.resident[a.ref])
		}
	}
}

func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) { s.submit() },
			// Some actions are listed twice, so that they are drawn more often.
			"submit again": func(*rapid.T) { s.submit() },
			"cancel": func(t *rapid.T) {
				pick(t, slices.Sorted(maps.Keys(s.open)), func(_ int, id wick.RequestID) {
					s.do(s.e.Cancel(s.now, id))
				})
			},
			"arrive": func(t *rapid.T) {
				pick(t, s.network, func(i int, _ message) { s.deliver(i, false) })
			},
			"drop": func(t *rapid.T) {
				pick(t, s.network, func(i int, _ message) { s.deliver(i, true) })
			},
			"lose": func(t *rapid.T) {
				pick(t, s.network, func(i int, _ message) { s.loseAnswer(i) })
			},
			"answer": func(t *rapid.T) {
				pick(t, s.answers, func(i int, _ func()) { s.answer(i) })
			},
			"progress": func(t *rapid.T) {
				pick(t, s.runningIDs(), func(_ int, id wick.RequestID) { s.e.Progress(s.now, id, 3) })
			},
			"finish": func(t *rapid.T) {
				pick(t, s.runningIDs(), func(_ int, id wick.RequestID) { s.finish(id, nil) })
			},
			"grant": s.grant,
			"prefetch": func(t *rapid.T) {
				s.do(s.e.Prefetch(s.now, ref(rapid.IntRange(1, 4).Draw(t, "adapter")), "w"))
			},
			"report": func(t *rapid.T) {
				s.report(wick.Instant(rapid.IntRange(0, 1500).Draw(t, "lag")) * ms)
			},
			"wait":              func(t *rapid.T) { s.advance(wick.Instant(rapid.IntRange(1, 900).Draw(t, "ms")) * ms) },
			"deliver all":       func(*rapid.T) { s.deliverAll() },
			"deliver all again": func(*rapid.T) { s.deliverAll() },
			"disrupt":           s.disrupt,
			"":                  s.check,
		})
		s.quiesce()
	})
}
