package slots_test

import (
	"fmt"
	"testing"
	"time"

	"currantwick"
	"currantwick/slots"

	"pgregory.net/rapid"
)

const base = wick.ModelName("m")

func adapter(n int) wick.Weights {
	return wick.Weights{Model: base, Adapter: wick.AdapterName(fmt.Sprintf("a%d", n))}
}

func ms(n int) wick.Instant { return wick.Instant(time.Duration(n) * time.Millisecond) }

// newLedger returns the ledger of an endpoint with one model and no limit but its slots.
func newLedger(capacity wick.Slots) *slots.Ledger {
	e := &wick.PoolEngine{AdapterSlots: capacity, Models: []wick.ModelConfig{{Name: base}}}
	return slots.New(slots.Config{Engine: e, Recent: slots.NewRecentAdapters()})
}

// engine is an endpoint that carries out orders as the platform specifies.
type engine struct {
	capacity int
	models   bool
	loaded   map[wick.Weights]wick.Revision
	orders   wick.OrderCount
	// delayed holds the orders that were not answered and may be carried out
	// at any time.
	delayed []wick.RunnerOrder
}

// execute carries out an order, unless it expects a different number of orders.
func (e *engine) execute(o wick.RunnerOrder) wick.OrderResult {
	if o.Expected != e.orders {
		return wick.OrderConflict
	}
	if o.Weights.Adapter == "" {
		e.models = true
		e.orders++
		return wick.OrderStarted
	}
	if o.Kind == wick.OrderUnload {
		delete(e.loaded, o.Weights)
		e.orders++
		return wick.OrderNoChange
	}
	if r, ok := e.loaded[o.Weights]; ok && r >= o.Revision {
		return wick.OrderNoChange
	}
	e.loaded[o.Weights] = o.Revision
	e.orders++
	return wick.OrderStarted
}

func (e *engine) report() wick.RunnerReport {
	r := wick.RunnerReport{Orders: e.orders}
	if e.models {
		r.Models = []wick.ModelName{base}
	}
	for w, v := range e.loaded {
		r.Loaded = append(r.Loaded, wick.Loaded{Weights: w, Revision: v})
	}
	return r
}

func TestFirstSteps(t *testing.T) {
	tests := []struct {
		name   string
		report wick.RunnerReport
		wants  []wick.Weights
		models bool
		want   slots.Step
		order  wick.RunnerOrder
	}{
		{
			"empty endpoint loads the model",
			wick.RunnerReport{},
			nil, true,
			slots.StepOrder,
			wick.RunnerOrder{Kind: wick.OrderLoad, Weights: wick.Weights{Model: base}},
		},
		{"no model while the store's rate is used up", wick.RunnerReport{}, nil, false, slots.StepNone, wick.RunnerOrder{}},
		{
			"an adapter waits for its model",
			wick.RunnerReport{},
			[]wick.Weights{adapter(1)},
			true,
			slots.StepOrder,
			wick.RunnerOrder{Kind: wick.OrderLoad, Weights: wick.Weights{Model: base}},
		},
		{
			"a free slot takes the adapter",
			wick.RunnerReport{Models: []wick.ModelName{base}, Orders: 3},
			[]wick.Weights{adapter(1)},
			true,
			slots.StepOrder,
			wick.RunnerOrder{Kind: wick.OrderLoad, Weights: adapter(1), Expected: 3},
		},
		{
			"the most requested adapter comes first",
			wick.RunnerReport{Models: []wick.ModelName{base}},
			[]wick.Weights{adapter(1), adapter(2), adapter(2)},
			true,
			slots.StepOrder,
			wick.RunnerOrder{Kind: wick.OrderLoad, Weights: adapter(2)},
		},
		{
			"nothing is wanted",
			wick.RunnerReport{Models: []wick.ModelName{base}},
			nil, true,
			slots.StepNone,
			wick.RunnerOrder{},
		},
		{
			"a model that is being loaded",
			wick.RunnerReport{Busy: true},
			[]wick.Weights{adapter(1)},
			true,
			slots.StepNone,
			wick.RunnerOrder{},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLedger(2)
			if step, _ := l.Next(0, true); step != slots.StepInspect {
				t.Fatalf("first step is %v, want StepInspect", step)
			}
			l.ReportDone(0, test.report, nil)
			for _, w := range test.wants {
				l.RequestAdapter(ms(1), w, 0)
			}
			step, order := l.Next(ms(2), test.models)
			if step != test.want || order != test.order {
				t.Errorf("got step %v %+v, want %v %+v", step, order, test.want, test.order)
			}
		})
	}
}

func TestVictims(t *testing.T) {
	tests := []struct {
		name string
		// use is applied to adapters 0 and 1 of a full endpoint at 100 ms.
		use    [2]int
		at     wick.Instant
		victim int
	}{
		{"an idle adapter is unloaded", [2]int{1, 0}, ms(400), 1},
		{"none while both are in use", [2]int{1, 1}, ms(400), -1},
		{"none before it has been idle for long enough", [2]int{0, 0}, ms(120), -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLedger(2)
			l.Next(0, true)
			l.ReportDone(0, wick.RunnerReport{
				Models: []wick.ModelName{base},
				Loaded: []wick.Loaded{{Weights: adapter(0), Revision: 1}, {Weights: adapter(1), Revision: 1}},
			}, nil)
			for i := range test.use {
				l.Use(ms(100), adapter(i), 1)
				l.Use(ms(100), adapter(i), test.use[i])
			}
			l.RequestAdapter(test.at, adapter(9), 0)
			step, order := l.Next(test.at, true)
			if test.victim < 0 {
				if step != slots.StepNone {
					t.Fatalf("got %v %+v, want no step", step, order)
				}
				return
			}
			if step != slots.StepOrder || order.Kind != wick.OrderUnload || order.Weights != adapter(test.victim) {
				t.Errorf("got %v %+v, want to unload adapter %d", step, order, test.victim)
			}
		})
	}
}

// An older version in use must not be replaced, since the endpoint would take
// no orders until the requests on it have ended.
func TestReplacementWaitsForRequests(t *testing.T) {
	tests := []struct {
		name  string
		inUse int
		order bool
	}{
		{"idle", 0, true},
		{"in use", 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLedger(4)
			l.Next(0, true)
			l.ReportDone(0, wick.RunnerReport{Models: []wick.ModelName{base}, Loaded: []wick.Loaded{{Weights: adapter(1), Revision: 1}}}, nil)
			l.Use(ms(100), adapter(1), test.inUse)
			l.RequestAdapter(ms(200), adapter(1), 2)
			step, order := l.Next(ms(300), true)
			if ordered := step == slots.StepOrder && order.Weights == adapter(1) && order.Revision == 2; ordered != test.order {
				t.Errorf("got %v %+v, want an order %v", step, order, test.order)
			}
		})
	}
}

// The endpoint does not count an order to load an adapter that is already
// loaded.
func TestUnchangedLoadIsNotCounted(t *testing.T) {
	tests := []struct {
		kind wick.OrderKind
		next wick.OrderCount
	}{
		{wick.OrderLoad, 5},
		{wick.OrderUnload, 6},
	}
	for _, test := range tests {
		l := newLedger(4)
		l.Next(0, true)
		l.ReportDone(0, wick.RunnerReport{Models: []wick.ModelName{base}, Orders: 5}, nil)
		l.RequestAdapter(0, adapter(1), 0)
		l.Next(0, true)
		l.OrderDone(0, wick.RunnerOrder{Kind: test.kind, Weights: adapter(1), Expected: 5}, wick.OrderNoChange)
		l.RequestAdapter(ms(1), adapter(2), 0)
		_, order := l.Next(ms(200), true)
		if order.Expected != test.next {
			t.Errorf("%s: next order expects %d, want %d", test.kind, order.Expected, test.next)
		}
	}
}

// Whichever orders are lost, delayed or carried out, an endpoint is never
// ordered to load more adapters than it has slots.
func TestNeverOverfilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &engine{capacity: rapid.IntRange(1, 4).Draw(t, "capacity"), models: true, loaded: make(map[wick.Weights]wick.Revision)}
		l := newLedger(wick.Slots(e.capacity))
		now := wick.Instant(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "pause")) * time.Millisecond)
			l.RequestAdapter(now, adapter(rapid.IntRange(0, 6).Draw(t, "want")), wick.Revision(rapid.IntRange(0, 2).Draw(t, "revision")))
			if len(e.delayed) > 0 && rapid.Bool().Draw(t, "late") {
				e.execute(e.delayed[0])
				e.delayed = e.delayed[1:]
			}
			e.check(t)
			step, order := l.Next(now, true)
			switch step {
			case slots.StepInspect:
				l.ReportDone(now, e.report(), nil)
			case slots.StepOrder:
				l.OrderDone(now, order, e.answer(t, order))
			}
			e.check(t)
		}
	})
}

// answer loses an order that is delivered later, loses the answer to an order
// that was carried out, or carries the order out and returns its result.
func (e *engine) answer(t *rapid.T, o wick.RunnerOrder) wick.OrderResult {
	switch rapid.IntRange(0, 3).Draw(t, "outcome") {
	case 0:
		e.delayed = append(e.delayed, o)
		return wick.OrderLost
	case 1:
		e.execute(o)
		return wick.OrderLost
	}
	return e.execute(o)
}

func (e *engine) check(t *rapid.T) {
	if len(e.loaded) > e.capacity {
		t.Fatalf("%d adapters loaded, more than the %d slots", len(e.loaded), e.capacity)
	}
}

// While an adapter that was ordered to be unloaded still serves, its slot is
// taken, but other orders continue.
func TestOrdersContinueDuringUnload(t *testing.T) {
	l := newLedger(2)
	l.Next(0, true)
	both := []wick.Loaded{{Weights: adapter(0), Revision: 1}, {Weights: adapter(1), Revision: 1}}
	l.ReportDone(0, wick.RunnerReport{Models: []wick.ModelName{base}, Loaded: both}, nil)
	unload := func(at int, want wick.OrderResult) wick.Weights {
		t.Helper()
		step, order := l.Next(ms(at), true)
		if step != slots.StepOrder || order.Kind != wick.OrderUnload {
			t.Fatalf("at %d ms: got %v %+v, want an order to unload", at, step, order)
		}
		l.OrderDone(ms(at), order, want)
		return order.Weights
	}
	l.RequestAdapter(ms(400), adapter(9), 0)
	leaving := unload(400, wick.OrderStarted)
	if gone := unload(410, wick.OrderNoChange); gone == leaving {
		t.Fatalf("%v was ordered to be unloaded twice", gone)
	}
	tests := []struct {
		name string
		at   int
		want slots.Step
		kind wick.OrderKind
	}{
		{"the free slot is used", 420, slots.StepOrder, wick.OrderLoad},
		{"a report on the adapter that is unloading is requested", 900, slots.StepInspect, ""},
	}
	for _, test := range tests {
		step, order := l.Next(ms(test.at), true)
		if step != test.want || order.Kind != test.kind {
			t.Errorf("%s: got %v %+v", test.name, step, order)
		}
		if step == slots.StepOrder {
			l.OrderDone(ms(test.at), order, wick.OrderStarted)
		}
	}
	l.ReportDone(ms(900), wick.RunnerReport{Orders: 3, Loaded: []wick.Loaded{{Weights: adapter(9)}}}, nil)
	if c := l.Usage(ms(900)); c.Unloading != 0 {
		t.Errorf("%d adapters still unloading", c.Unloading)
	}
}

// Requests that wait for an adapter are sent when it is ready, and their holder
// learns of them a little later. It must not unload the adapter before that.
func TestLoadedAdapterStaysUntilRequestsAreReported(t *testing.T) {
	tests := []struct {
		name string
		// after is the time since the adapter became ready.
		after int
		want  slots.Step
	}{
		{"as it becomes ready", 0, slots.StepNone},
		{"before its requests are reported", 100, slots.StepNone},
		{"long after", 400, slots.StepOrder},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLedger(1)
			l.Next(0, true)
			l.ReportDone(0, wick.RunnerReport{Models: []wick.ModelName{base}}, nil)
			l.RequestAdapter(0, adapter(1), 0)
			_, order := l.Next(0, true)
			l.OrderDone(0, order, wick.OrderStarted)
			var ready wick.Instant
			for w, p := range l.Placements {
				if w == adapter(1) {
					ready = p.Ready
				}
			}
			at := ready.Add(time.Duration(test.after) * time.Millisecond)
			l.RequestAdapter(at, adapter(2), 0)
			if step, _ := l.Next(at, true); step != test.want {
				t.Errorf("step %v, want %v", step, test.want)
			}
		})
	}
}
