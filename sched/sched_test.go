package sched

import (
	"fmt"
	"testing"
	"time"

	"currantwick"
	"currantwick/evict"
)

const (
	ms  = wick.Instant(time.Millisecond)
	sec = wick.Instant(time.Second)
)

func runner(batch, slots wick.Slots) wick.Endpoint {
	return wick.Endpoint{
		Name: "r1", Pool: "p", Host: "h", Domain: "d", Address: "127.0.0.1:1",
		BatchSlots: batch, AdapterSlots: slots,
	}
}

func newRunner(batch, slots wick.Slots) *Endpoint {
	return New(Config{
		Endpoint: runner(batch, slots),
		Kind:     wick.RunnerEndpoint,
		Order:    Shortest{},
		Evict:    evict.Frequency{},
		Admit:    Deadline{},
	})
}

// owned returns an owned runner whose state is known, at time 2 s.
func owned(t *testing.T, batch, slots wick.Slots) *Endpoint {
	t.Helper()
	e := newRunner(batch, slots)
	e.Takeover(0, 7)
	e.Report(2*sec, 2*sec-1, wick.Report{Boot: "b"})
	if e.unsynced || e.inheritedSlots != 0 {
		t.Fatal("state still unknown after a report")
	}
	return e
}

func ref(n int) wick.Ref {
	if n == 0 {
		return wick.Ref{}
	}
	return wick.Ref{Adapter: wick.AdapterName(fmt.Sprint("a", n)), Version: "1"}
}

func work(id string, adapter int, tokens wick.Tokens) Item {
	return Item{
		Sub: &wick.Submission{
			Request: wick.RequestID(id), Route: "x", Endpoint: "r1", View: 7,
			TimeLeft: wick.Duration(10 * time.Second),
			Work:     &wick.Work{Model: "m", Ref: ref(adapter), Prompt: id, MaxTokens: tokens},
		},
		Source: "weights",
	}
}

// formatActions formats actions for comparison.
func formatActions(actions []Action) string {
	var s string
	for _, a := range actions {
		if s != "" {
			s += " "
		}
		switch a := a.(type) {
		case Dispatch:
			s += "run:" + string(a.Sub.Request)
		case Refuse:
			s += fmt.Sprintf("refuse:%s:%s", a.Request, a.Err.Code)
		case CancelRun:
			s += "cancel:" + string(a.Request)
		case Order:
			s += fmt.Sprintf("%s:%s", a.Order.Kind, a.Order.Ref)
		case RequestLoad:
			s += "request:" + a.Ref.String()
		case CancelLoad:
			s += "cancelLoad:" + a.Ref.String()
		case ReadReport:
			s += "report"
		}
	}
	return s
}

func TestResumedIsNotShed(t *testing.T) {
	tests := []struct {
		have wick.Tokens
		want string
	}{
		{0, "refuse:y:Overload"},
		{5, ""},
	}
	for _, tt := range tests {
		e := owned(t, 1, 1)
		e.Submit(3*sec, work("x", 0, 3000))
		e.Submit(3*sec, work("w", 0, 3000))
		it := work("y", 0, 4000)
		it.Sub.Sheddable = true
		it.Sub.Work.HaveTokens = tt.have
		if got := formatActions(e.Submit(3*sec, it)); got != tt.want {
			t.Errorf("with %d tokens: got %q, want %q", tt.have, got, tt.want)
		}
	}
}

// lastOrder returns the last order for an adapter.
func (e *Endpoint) lastOrder(n int) wick.Order { return e.adapters[ref(n)].order }

func TestEndpoint(t *testing.T) {
	type step struct {
		do   func(e *Endpoint, now wick.Instant) []Action
		want string
	}
	submit := func(it Item) func(*Endpoint, wick.Instant) []Action {
		return func(e *Endpoint, now wick.Instant) []Action { return e.Submit(now, it) }
	}
	done := func(id wick.RequestID, err *wick.Error) func(*Endpoint, wick.Instant) []Action {
		return func(e *Endpoint, now wick.Instant) []Action {
			return e.Done(now, id, Result{Tokens: 1, Err: err})
		}
	}
	granted := func(n int) func(*Endpoint, wick.Instant) []Action {
		return func(e *Endpoint, now wick.Instant) []Action { return e.Granted(now, ref(n)) }
	}
	ordered := func(n int, err *wick.Error) func(*Endpoint, wick.Instant) []Action {
		return func(e *Endpoint, now wick.Instant) []Action {
			return e.OrderDone(now, e.lastOrder(n), err)
		}
	}
	tick := func(after wick.Instant) func(*Endpoint, wick.Instant) []Action {
		return func(e *Endpoint, now wick.Instant) []Action { return e.Tick(now + after) }
	}
	report := func(after wick.Instant, refs ...int) func(*Endpoint, wick.Instant) []Action {
		return func(e *Endpoint, now wick.Instant) []Action {
			r := wick.Report{Boot: "b"}
			for _, n := range refs {
				r.Resident = append(r.Resident, wick.Resident{Ref: ref(n)})
			}
			return e.Report(now+after, now+after-1, r)
		}
	}
	load := func(n int) []step {
		return []step{
			{submit(work("l", n, 10)), "request:" + ref(n).String()},
			{granted(n), "Load:" + ref(n).String()},
			{ordered(n, nil), "run:l"},
			{done("l", nil), ""},
		}
	}
	lost := wick.Unknownf(wick.CodeBroken, "lost")
	failed := wick.NotRunf(wick.CodeLoadFailed, "failed")
	tests := []struct {
		name  string
		batch wick.Slots
		slots wick.Slots
		steps []step
	}{
		{"base model runs at once", 1, 1, []step{
			{submit(work("x", 0, 10)), "run:x"},
			{submit(work("y", 0, 10)), ""},
			{done("x", nil), "run:y"},
		}},
		{"requests for one adapter share a load", 4, 1, []step{
			{submit(work("x", 1, 10)), "request:a1@1"},
			{submit(work("y", 1, 10)), ""},
			{granted(1), "Load:a1@1"},
			{ordered(1, nil), "run:x run:y"},
		}},
		{"an adapter in use is not unloaded", 4, 1, []step{
			{submit(work("x", 1, 10)), "request:a1@1"},
			{granted(1), "Load:a1@1"},
			{ordered(1, nil), "run:x"},
			{submit(work("y", 2, 10)), ""},
			{done("x", nil), "request:a2@1"},
			{granted(2), "Unload:a1@1"},
			{ordered(1, nil), "Load:a2@1"},
			{ordered(2, nil), "run:y"},
		}},
		{"an unloading adapter gets no pins", 4, 1, append(load(1), []step{
			{submit(work("y", 2, 10)), "request:a2@1"},
			{granted(2), "Unload:a1@1"},
			{submit(work("x", 1, 10)), ""},
			{ordered(1, nil), "Load:a2@1"},
		}...)},
		{"a load with a lost answer is unknown until a report", 4, 2, []step{
			{submit(work("x", 1, 10)), "request:a1@1"},
			{granted(1), "Load:a1@1"},
			{ordered(1, lost), ""},
			{report(1), ""},
			{report(2*sec, 1), "run:x"},
		}},
		{"a load with a lost answer that had no effect", 4, 2, []step{
			{submit(work("x", 1, 10)), "request:a1@1"},
			{granted(1), "Load:a1@1"},
			{ordered(1, lost), ""},
			{tick(2 * sec), "report"},
			{report(2 * sec), "request:a1@1"},
		}},
		{"repeated failed loads send the requests to another endpoint", 4, 2, []step{
			{submit(work("x", 1, 10)), "request:a1@1"},
			{granted(1), "Load:a1@1"},
			{ordered(1, failed), "report"},
			{tick(sec), "request:a1@1"},
			{granted(1), "Load:a1@1"},
			{ordered(1, failed), "report refuse:x:LoadFailed"},
		}},
		{"the engine has dropped the adapter", 4, 2, append(load(1), []step{
			{submit(work("x", 1, 10)), "run:x"},
			{done("x", failed), "report"},
			{submit(work("x", 1, 10)), "request:a1@1"},
		}...)},
		{"a restart empties the slots", 4, 2, append(load(1), []step{
			{func(e *Endpoint, now wick.Instant) []Action { return e.EngineRestarted(now, "c") }, ""},
			{submit(work("x", 1, 10)), "request:a1@1"},
		}...)},
		{"a restart reloads a frequently used adapter", 4, 2, append(append(load(1), load(2)...), []step{
			{submit(work("x", 2, 10)), "run:x"},
			{submit(work("y", 2, 10)), "run:y"},
			{submit(work("z", 2, 10)), "run:z"},
			{func(e *Endpoint, now wick.Instant) []Action { return e.EngineRestarted(now, "c") }, "request:a2@1"},
		}...)},
		{"a suspect runs alone", 4, 1, []step{
			{submit(work("x", 0, 10)), "run:x"},
			{func(e *Endpoint, now wick.Instant) []Action {
				it := work("s", 0, 10)
				it.Suspect = true
				return e.Submit(now, it)
			}, ""},
			{done("x", nil), "run:s"},
			{submit(work("y", 0, 10)), ""},
			{done("s", nil), "run:y"},
		}},
		{"a new address means another engine", 4, 1, append(load(1), []step{
			{func(e *Endpoint, now wick.Instant) []Action {
				end := runner(4, 1)
				end.Address = "127.0.0.1:2"
				return e.Update(now, end)
			}, ""},
			{submit(work("x", 1, 10)), ""},
			{report(2 * sec), "request:a1@1"},
		}...)},
		{"leaving by configuration", 1, 1, []step{
			{submit(work("x", 0, 10)), "run:x"},
			{submit(work("y", 0, 10)), ""},
			{func(e *Endpoint, now wick.Instant) []Action {
				end := runner(1, 1)
				end.Leaving = true
				return e.Update(now, end)
			}, "refuse:y:Stopping"},
			{submit(work("z", 0, 10)), "refuse:z:Stopping"},
		}},
		{"release refuses the queue, for the new owner", 1, 1, []step{
			{submit(work("x", 0, 10)), "run:x"},
			{submit(work("y", 0, 10)), ""},
			{func(e *Endpoint, now wick.Instant) []Action { return e.Release(now) }, "refuse:y:NotOwner"},
			{submit(work("z", 0, 10)), "refuse:z:NotOwner"},
			{done("x", nil), ""},
		}},
		{"drain refuses the queue and lets running work end", 1, 1, []step{
			{submit(work("x", 0, 10)), "run:x"},
			{submit(work("y", 0, 10)), ""},
			{func(e *Endpoint, now wick.Instant) []Action { return e.Drain(now) }, "refuse:y:Stopping"},
			{done("x", nil), ""},
		}},
		{"a request past its deadline is refused", 1, 1, []step{
			{submit(work("x", 0, 10)), "run:x"},
			{submit(work("y", 0, 10)), ""},
			{tick(10 * sec), "refuse:y:Overload report"},
		}},
		{"cancel", 1, 1, []step{
			{submit(work("x", 0, 10)), "run:x"},
			{submit(work("y", 0, 10)), ""},
			{func(e *Endpoint, now wick.Instant) []Action { return e.Cancel(now, "y") }, "refuse:y:Canceled"},
			{func(e *Endpoint, now wick.Instant) []Action { return e.Cancel(now, "x") }, "cancel:x"},
		}},
		{"prefetch", 1, 1, []step{
			{func(e *Endpoint, now wick.Instant) []Action { return e.Prefetch(now, ref(1), "w") }, "request:a1@1"},
			{granted(1), "Load:a1@1"},
			{granted(1), "cancelLoad:a1@1"},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := owned(t, tt.batch, tt.slots)
			now := 3 * sec
			for i, s := range tt.steps {
				now += ms
				if got := formatActions(s.do(e, now)); got != s.want {
					t.Fatalf("step %d: got %q, want %q", i, got, s.want)
				}
			}
		})
	}
}

func TestStaleEvents(t *testing.T) {
	tests := []struct {
		name string
		do   func(e *Endpoint) string
		want string
	}{
		{"answer to an earlier order", func(e *Endpoint) string {
			e.Submit(3*sec, work("x", 1, 10))
			e.Granted(3*sec, ref(1))
			old := e.lastOrder(1)
			e.OrderDone(3*sec, old, wick.NotRunf(wick.CodeLoadFailed, "failed"))
			e.Tick(4 * sec)
			e.Granted(4*sec, ref(1))
			return formatActions(e.OrderDone(4*sec, old, nil))
		}, ""},
		{"answer from before a restart", func(e *Endpoint) string {
			e.Submit(3*sec, work("x", 1, 10))
			e.Granted(3*sec, ref(1))
			old := e.lastOrder(1)
			e.EngineRestarted(3*sec, "c")
			return formatActions(e.OrderDone(3*sec, old, nil))
		}, ""},
		{"refusal from before the adapter was loaded again", func(e *Endpoint) string {
			for _, id := range []string{"x", "y", "z"} {
				e.Submit(3*sec, work(id, 1, 10))
			}
			e.Granted(3*sec, ref(1))
			e.OrderDone(3*sec, e.lastOrder(1), nil)
			gone := Result{Err: wick.NotRunf(wick.CodeLoadFailed, "not resident")}
			e.Done(4*sec, "x", gone)
			e.Submit(4*sec, work("w", 1, 10))
			e.Granted(4*sec, ref(1))
			e.OrderDone(5*sec, e.lastOrder(1), nil)
			return formatActions(e.Done(6*sec, "y", gone)) + formatActions(e.Submit(6*sec, work("v", 1, 10)))
		}, "run:v"},
		{"report requested before the last one", func(e *Endpoint) string {
			e.Report(4*sec, 4*sec, wick.Report{Boot: "b", Resident: []wick.Resident{{Ref: ref(1)}}})
			e.Report(5*sec, 3*sec, wick.Report{Boot: "a"})
			return formatActions(e.Submit(5*sec, work("x", 1, 10)))
		}, "run:x"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.do(owned(t, 4, 2)); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func TestTakeover(t *testing.T) {
	busy := wick.Report{Boot: "b", Running: 3, Resident: []wick.Resident{{Ref: ref(1), Serving: 2}, {Ref: ref(2)}}}
	idle := wick.Report{Boot: "b", Resident: []wick.Resident{{Ref: ref(1)}, {Ref: ref(2)}}}
	tests := []struct {
		name   string
		report wick.Report
		sent   wick.Instant
		age    time.Duration
		item   Item
		want   string
	}{
		{"made before the takeover", idle, 11 * sec, 2 * time.Second, work("x", 0, 10), ""},
		{"batch known, adapters unknown", busy, 11 * sec, 0, work("x", 0, 10), "run:x"},
		{"adapter before earlier orders expired", idle, 11 * sec, 0, work("x", 1, 10), ""},
		{"adapter after earlier orders expired", idle, 12 * sec, 0, work("x", 1, 10), "run:x"},
		{"idle adapter is unloaded", busy, 12 * sec, 0, work("x", 3, 10), "request:a3@1 Unload:a2@1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newRunner(4, 2)
			e.Takeover(10*sec, 7)
			tt.report.Age = wick.Duration(tt.age)
			e.Report(12*sec, tt.sent, tt.report)
			got := formatActions(e.Submit(13*sec, tt.item))
			if tt.item.Sub.Work.Ref == ref(3) {
				got += " " + formatActions(e.Granted(13*sec, ref(3)))
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestContinue compares Continue with Takeover: after Continue an adapter that
// was ready serves at once, and requests in flight still count.
func TestContinue(t *testing.T) {
	tests := []struct {
		name string
		take func(*Endpoint) []Action
		want string
	}{
		{"continue", func(e *Endpoint) []Action { return e.Continue(4*sec, 8) }, "run:y"},
		{"takeover", func(e *Endpoint) []Action { return e.Takeover(4*sec, 8) }, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := owned(t, 2, 2)
			e.Report(2*sec, 2*sec, wick.Report{Boot: "b", Resident: []wick.Resident{{Ref: ref(1)}}})
			if got := formatActions(e.Submit(2*sec, work("x", 1, 10))); got != "run:x" {
				t.Fatalf("got %q", got)
			}
			e.Release(3 * sec)
			if got := formatActions(e.Submit(3*sec, work("y", 1, 10))); got != "refuse:y:NotOwner" {
				t.Errorf("after Release: got %q", got)
			}
			tt.take(e)
			if got := formatActions(e.Submit(4*sec, work("y", 1, 10))); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if tt.want != "" && formatActions(e.Submit(4*sec, work("z", 1, 10))) != "" {
				t.Error("dispatched beyond the batch")
			}
		})
	}
}
