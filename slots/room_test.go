package slots_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"currantwick"
	"currantwick/slots"

	"pgregory.net/rapid"
)

const other = wick.ModelName("n")

// loadedReport returns the report of an endpoint that holds models and, of the first of
// them, the adapters 0 to n-1.
func loadedReport(n int, models ...wick.ModelName) wick.RunnerReport {
	r := wick.RunnerReport{Models: models}
	for i := range n {
		r.Loaded = append(r.Loaded, wick.Loaded{Weights: wick.Weights{Model: models[0], Adapter: adapter(i).Adapter}, Revision: 1})
	}
	return r
}

// Engines crashed on orders to load adapters that the slots had room for but not the
// memory that models and adapters share.
func TestRoom(t *testing.T) {
	load := func(w wick.Weights) wick.RunnerOrder { return wick.RunnerOrder{Kind: wick.OrderLoad, Weights: w} }
	unload := func(w wick.Weights) wick.RunnerOrder { return wick.RunnerOrder{Kind: wick.OrderUnload, Weights: w} }
	one := func(size, adapterSize wick.Megabytes) []wick.ModelConfig {
		return []wick.ModelConfig{{Name: base, Size: size, AdapterSize: adapterSize}}
	}
	two := []wick.ModelConfig{{Name: base, Size: 50, AdapterSize: 10}, {Name: other, Size: 30, AdapterSize: 20}}
	tests := []struct {
		name   string
		engine wick.PoolEngine
		report wick.RunnerReport
		// use is how many requests use each loaded adapter.
		use  int
		want wick.Weights
		// order is empty if nothing may be ordered.
		order wick.RunnerOrder
		// free is how many more adapters fit, less the one that is requested.
		free int
	}{
		{"memory and slots are free", wick.PoolEngine{AdapterSlots: 4, WeightMemory: 100, Models: one(60, 10)}, loadedReport(2, base), 0, adapter(9), load(adapter(9)), 3},
		{"the last megabyte", wick.PoolEngine{AdapterSlots: 9, WeightMemory: 100, Models: one(60, 10)}, loadedReport(3, base), 0, adapter(9), load(adapter(9)), 3},
		{"no memory, though slots are free", wick.PoolEngine{AdapterSlots: 9, WeightMemory: 100, Models: one(60, 10)}, loadedReport(4, base), 0, adapter(9), unload(adapter(0)), 3},
		{"no memory, and all adapters in use", wick.PoolEngine{AdapterSlots: 9, WeightMemory: 100, Models: one(60, 10)}, loadedReport(4, base), 1, adapter(9), wick.RunnerOrder{}, -1},
		{"no slot, though memory is free", wick.PoolEngine{AdapterSlots: 4, WeightMemory: 1000, Models: one(60, 10)}, loadedReport(4, base), 0, adapter(9), unload(adapter(0)), 3},
		{"no limit of memory", wick.PoolEngine{AdapterSlots: 4, Models: one(60, 10)}, loadedReport(3, base), 0, adapter(9), load(adapter(9)), 3},
		{"no sizes", wick.PoolEngine{AdapterSlots: 4, WeightMemory: 1, Models: one(0, 0)}, loadedReport(3, base), 0, adapter(9), load(adapter(9)), 3},
		{"sizes beyond all engines", wick.PoolEngine{AdapterSlots: 4, WeightMemory: 1e308, Models: one(1e308, 1e308)}, loadedReport(0, base), 0, adapter(9), wick.RunnerOrder{}, -1},
		{"more than the configuration allows now", wick.PoolEngine{AdapterSlots: 9, WeightMemory: 100, Models: one(60, 20)}, loadedReport(4, base), 0, adapter(9), unload(adapter(0)), 1},
		{"an adapter that never fits", wick.PoolEngine{AdapterSlots: 9, WeightMemory: 100, Models: one(60, 41)}, loadedReport(0, base), 0, adapter(9), wick.RunnerOrder{}, -1},
		{"a model that never fits", wick.PoolEngine{AdapterSlots: 9, WeightMemory: 100, Models: one(101, 1)}, loadedReport(0), 0, adapter(9), wick.RunnerOrder{}, 8},
		{"a second model", wick.PoolEngine{AdapterSlots: 9, WeightMemory: 100, Models: two}, loadedReport(1, base), 0, wick.Weights{Model: other}, load(wick.Weights{Model: other}), 1},
		{"a second model, once an adapter is unloaded", wick.PoolEngine{AdapterSlots: 9, WeightMemory: 100, Models: two}, loadedReport(3, base), 0, wick.Weights{Model: other}, unload(adapter(0)), 1},
		{"a second model beside adapters in use", wick.PoolEngine{AdapterSlots: 9, WeightMemory: 100, Models: two}, loadedReport(3, base), 1, wick.Weights{Model: other}, wick.RunnerOrder{}, 0},
		{"a second model that does not fit beside the first", wick.PoolEngine{AdapterSlots: 9, WeightMemory: 79, Models: two}, loadedReport(1, base), 0, wick.Weights{Model: other}, wick.RunnerOrder{}, 0},
		{"a larger adapter needs two victims", wick.PoolEngine{AdapterSlots: 9, WeightMemory: 100, Models: two}, loadedReport(2, base, other), 0, wick.Weights{Model: other, Adapter: "a9"}, unload(adapter(0)), 0},
		{"no victim is unloaded in vain", wick.PoolEngine{AdapterSlots: 9, WeightMemory: 90, Models: two}, loadedReport(1, base, other), 0, wick.Weights{Model: other, Adapter: "a9"}, wick.RunnerOrder{}, -1},
		{"an adapter of a model that the configuration does not name", wick.PoolEngine{AdapterSlots: 9, WeightMemory: 100, Models: two}, loadedReport(1, "x"), 0, wick.Weights{Model: "x", Adapter: "a9"}, load(wick.Weights{Model: "x", Adapter: "a9"}), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := slots.New(slots.Config{Engine: &test.engine, Recent: slots.NewRecentAdapters()})
			l.Next(0, true)
			l.ReportDone(0, test.report, nil)
			for i, v := range test.report.Loaded {
				l.Use(ms(100+i), v.Weights, 1)
				l.Use(ms(100+i), v.Weights, test.use)
			}
			l.RequestAdapter(ms(900), test.want, 0)
			free := l.Free(ms(900))
			step, order := l.Next(ms(900), true)
			if (step == slots.StepOrder) != (test.order.Kind != "") || step == slots.StepOrder && order != test.order {
				t.Errorf("got step %v %+v, want %+v", step, order, test.order)
			}
			if free != test.free {
				t.Errorf("%d free, want %d", free, test.free)
			}
		})
	}
}

// memoryEngine is an endpoint with memory for models and adapters.
type memoryEngine struct {
	config  *wick.PoolEngine
	models  map[wick.ModelName]bool
	loaded  map[wick.Weights]wick.Revision
	orders  wick.OrderCount
	delayed []wick.RunnerOrder
}

// execute carries out an order, unless it expects a different number of orders. It fails
// the check if the endpoint then holds more than it can.
func (e *memoryEngine) execute(t *rapid.T, o wick.RunnerOrder) wick.OrderResult {
	if o.Expected != e.orders {
		return wick.OrderConflict
	}
	if o.Kind == wick.OrderUnload {
		delete(e.loaded, o.Weights)
		e.orders++
		return wick.OrderNoChange
	}
	if o.Weights.Adapter == "" {
		e.models[o.Weights.Model] = true
	} else if r, ok := e.loaded[o.Weights]; ok && r >= o.Revision {
		return wick.OrderNoChange
	} else {
		e.loaded[o.Weights] = o.Revision
	}
	e.orders++
	sum := wick.Megabytes(0)
	for m := range e.models {
		sum += e.config.SizeOf(wick.Weights{Model: m})
	}
	for w := range e.loaded {
		sum += e.config.SizeOf(w)
	}
	// A model takes no slot.
	overSlots := o.Weights.Adapter != "" && len(e.loaded) > int(e.config.AdapterSlots)
	if limit := e.config.WeightMemory; limit > 0 && sum > limit || overSlots {
		t.Fatalf("%+v: %d adapters and %v MB with models, more than the %d slots or %v MB", o.Weights, len(e.loaded), sum, e.config.AdapterSlots, limit)
	}
	return wick.OrderStarted
}

func (e *memoryEngine) report() wick.RunnerReport {
	r := wick.RunnerReport{Orders: e.orders, Models: slices.Collect(maps.Keys(e.models))}
	for w, v := range e.loaded {
		r.Loaded = append(r.Loaded, wick.Loaded{Weights: w, Revision: v})
	}
	return r
}

// answer carries an order out, loses it or its answer, or delivers it twice.
func (e *memoryEngine) answer(t *rapid.T, o wick.RunnerOrder) wick.OrderResult {
	switch rapid.IntRange(0, 5).Draw(t, "outcome") {
	case 0:
		e.delayed = append(e.delayed, o)
		return wick.OrderLost
	case 1:
		e.execute(t, o)
		return wick.OrderLost
	case 2:
		e.delayed = append(e.delayed, o)
	}
	return e.execute(t, o)
}

func drawEngine(t *rapid.T) *wick.PoolEngine {
	size := func(name string, most int) wick.Megabytes {
		return wick.Megabytes(rapid.IntRange(0, most).Draw(t, name))
	}
	return &wick.PoolEngine{
		AdapterSlots: wick.Slots(rapid.IntRange(0, 5).Draw(t, "slots")),
		WeightMemory: size("memory", 100),
		Models: []wick.ModelConfig{
			{Name: base, Size: size("model", 50), AdapterSize: size("adapter", 30)},
			{Name: other, Size: size("other model", 50), AdapterSize: size("other adapter", 30)},
		},
	}
}

// Whichever orders are lost, late or come twice, whatever the sizes are, and also after
// a takeover by another daemon or a change of the configuration, no order makes an
// endpoint hold more than its slots and its memory.
func TestMemoryIsNeverOverfilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &memoryEngine{config: drawEngine(t), models: make(map[wick.ModelName]bool), loaded: make(map[wick.Weights]wick.Revision)}
		newLedger := func() *slots.Ledger {
			return slots.New(slots.Config{Engine: e.config, Recent: slots.NewRecentAdapters()})
		}
		l, now := newLedger(), wick.Instant(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "pause")) * time.Millisecond)
			w := wick.Weights{Model: rapid.SampledFrom([]wick.ModelName{base, other}).Draw(t, "model")}
			if n := rapid.IntRange(0, 7).Draw(t, "want"); n > 0 {
				w.Adapter = wick.AdapterName(fmt.Sprintf("a%d", n))
			}
			l.RequestAdapter(now, w, wick.Revision(rapid.IntRange(0, 2).Draw(t, "revision")))
			if len(e.delayed) > 0 && rapid.Bool().Draw(t, "late") {
				e.execute(t, e.delayed[0])
				e.delayed = e.delayed[1:]
			}
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				l = newLedger()
			case 1:
				// Orders on their way were right when they were given.
				e.delayed = nil
				e.config = drawEngine(t)
				l.SetEngine(e.config)
			}
			switch step, order := l.Next(now, true); step {
			case slots.StepInspect:
				l.ReportDone(now, e.report(), nil)
			case slots.StepOrder:
				l.OrderDone(now, order, e.answer(t, order))
			}
		}
	})
}
