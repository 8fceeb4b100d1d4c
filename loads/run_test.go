package loads

import (
	"context"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/setup"
)

// tiny returns a scene that takes a few seconds.
func tiny() Scene {
	return Scene{
		Name: "tiny", Daemons: 3, Domains: []wick.Domain{"a", "b", "c"}, Adapters: 20, Skew: 1,
		Store: fakes.StoreConfig{Rate: 40, FullSpeed: 4, Knee: 16, LoadTime: wick.Duration(20 * time.Millisecond)},
		Engine: fakes.EngineConfig{
			BatchSlots: 4, AdapterSlots: 4,
			Base: wick.Duration(2 * time.Millisecond), PerSequence: wick.Duration(200 * time.Microsecond),
		},
		Pools:    []Pool{{Name: "first", Runners: 2}},
		Services: 1,
		Kinds: []Kind{
			{Name: "short", Pool: "first", Rate: 20, Prompt: 10, Answer: 10, Level: 5, Deadline: wick.Duration(5 * time.Second)},
			{Name: "long", Pool: "first", Rate: 2, Prompt: 20, Answer: 200, Long: true, Deadline: wick.Duration(10 * time.Second)},
			{Name: "command", Rate: 5, Level: 9, Deadline: wick.Duration(5 * time.Second)},
		},
		Phases: []Phase{
			{Name: PhaseWarmup, For: wick.Duration(2 * time.Second)},
			{Name: PhaseCalm, For: wick.Duration(2 * time.Second)},
		},
	}
}

func TestRun(t *testing.T) {
	const c = setup.Chosen
	cfg := Config{Scene: tiny(), Seed: 1, Policy: setup.Policy{Router: c, Order: c, Evict: c, Admit: c, Eject: c, Hedge: c}}
	o, err := Run(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range NewTrial(cfg, "chosen", o).Figures {
		switch f.Name {
		case WrongCount, EvictedCount:
			if f.Value != 0 {
				t.Errorf("%s: %v", f.Name, f.Value)
			}
		case InTime:
			if f.Value < 0.9 {
				t.Errorf("%s: %v", f.Name, f.Value)
			}
		case MostCommandRuns:
			if f.Value != 1 {
				t.Errorf("%s: %v", f.Name, f.Value)
			}
		}
	}
}
