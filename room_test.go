package wick_test

import (
	"slices"
	"testing"

	"currantwick"
)

func TestCanHold(t *testing.T) {
	two := []wick.ModelConfig{{Name: "m", Size: 60, AdapterSize: 10}, {Name: "n", Size: 30, AdapterSize: 20}}
	tests := []struct {
		name   string
		engine wick.PoolEngine
		models []wick.ModelName
		want   wick.Weights
		size   wick.Megabytes
		can    bool
	}{
		{"a model", wick.PoolEngine{WeightMemory: 60, Models: two}, nil, wick.Weights{Model: "m"}, 60, true},
		{"a model that is too large", wick.PoolEngine{WeightMemory: 59, Models: two}, nil, wick.Weights{Model: "m"}, 60, false},
		{"a model that is loaded", wick.PoolEngine{WeightMemory: 60, Models: two}, []wick.ModelName{"m"}, wick.Weights{Model: "m"}, 60, true},
		{"an adapter with its model", wick.PoolEngine{AdapterSlots: 1, WeightMemory: 70, Models: two}, nil, wick.Weights{Model: "m", Adapter: "a"}, 10, true},
		{"an adapter without room for its model", wick.PoolEngine{AdapterSlots: 1, WeightMemory: 69, Models: two}, nil, wick.Weights{Model: "m", Adapter: "a"}, 10, false},
		{"an adapter beside another model", wick.PoolEngine{AdapterSlots: 1, WeightMemory: 109, Models: two}, []wick.ModelName{"m"}, wick.Weights{Model: "n", Adapter: "a"}, 20, false},
		{"an adapter without a slot", wick.PoolEngine{WeightMemory: 1000, Models: two}, nil, wick.Weights{Model: "m", Adapter: "a"}, 10, false},
		{"no limit", wick.PoolEngine{AdapterSlots: 1, Models: two}, []wick.ModelName{"m", "n"}, wick.Weights{Model: "m", Adapter: "a"}, 10, true},
		{"a model that is not named counts as the largest", wick.PoolEngine{WeightMemory: 89, Models: two}, []wick.ModelName{"x"}, wick.Weights{Model: "n"}, 30, false},
		{"so do its adapters", wick.PoolEngine{AdapterSlots: 1, WeightMemory: 80, Models: two}, []wick.ModelName{"x"}, wick.Weights{Model: "x", Adapter: "a"}, 20, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.engine.SizeOf(test.want); got != test.size {
				t.Errorf("%v takes %v MB, want %v", test.want, got, test.size)
			}
			if got := test.engine.CanHold(slices.Values(test.models), test.want); got != test.can {
				t.Errorf("can hold %v: %v, want %v", test.want, got, test.can)
			}
		})
	}
}
