package choose_test

import (
	"slices"
	"testing"

	"currantwick"
	"currantwick/choose"
)

// Requests for an adapter that became busy queued at its only engine until the estimated
// wait exceeded the time of a load. A copy must be planned before, but only where it
// relieves an engine: each one takes a slot and a load from the weight store.
func TestPlanCopies(t *testing.T) {
	hot, cold := wick.Weights{Model: "m", Adapter: "hot"}, wick.Weights{Model: "m", Adapter: "cold"}
	engine := func(name wick.EndpointName, running, hotUses, free int, holds, cached bool) choose.CopyEngine {
		return choose.CopyEngine{
			Name: name, Slots: 12, Running: running, Free: free,
			Uses:   map[wick.Weights]int{hot: hotUses, cold: running - hotUses, {Model: "m"}: running},
			Holds:  func(w wick.Weights) bool { return holds && w == hot },
			Cached: func(wick.Weights) bool { return cached },
		}
	}
	to := func(names ...wick.EndpointName) []choose.Copy {
		var list []choose.Copy
		for _, n := range names {
			list = append(list, choose.Copy{Endpoint: n, Weights: hot})
		}
		return list
	}
	tests := []struct {
		name string
		list []choose.CopyEngine
		want []choose.Copy
	}{
		{"idle", []choose.CopyEngine{engine("a", 3, 3, 1, true, false), engine("b", 0, 0, 1, false, false)}, nil},
		{"busy", []choose.CopyEngine{engine("a", 8, 7, 1, true, false), engine("b", 2, 0, 1, false, false)}, to("b")},
		{"busy with one other adapter", []choose.CopyEngine{engine("a", 8, 0, 1, true, false), engine("b", 2, 0, 0, false, false)}, nil},
		{"busy with several adapters", []choose.CopyEngine{{Name: "a", Slots: 12, Running: 8, Uses: map[wick.Weights]int{hot: 2, cold: 2}}, engine("b", 0, 0, 1, false, false)}, nil},
		{"copy with room", []choose.CopyEngine{engine("a", 8, 7, 1, true, false), engine("b", 2, 2, 1, true, false), engine("c", 0, 0, 1, false, false)}, nil},
		{"copy without room", []choose.CopyEngine{engine("a", 8, 7, 1, true, false), engine("b", 6, 6, 1, true, false), engine("c", 0, 0, 1, false, false)}, to("c")},
		{"no free slot", []choose.CopyEngine{engine("a", 8, 7, 1, true, false), engine("b", 0, 0, 0, false, false)}, nil},
		{"all are busy", []choose.CopyEngine{engine("a", 8, 7, 1, true, false), engine("b", 6, 0, 1, false, false)}, nil},
		{"local copy first", []choose.CopyEngine{engine("a", 8, 7, 1, true, false), engine("b", 0, 0, 1, false, false), engine("c", 4, 0, 1, false, true)}, to("c")},
		{"least busy", []choose.CopyEngine{engine("a", 8, 7, 1, true, false), engine("b", 3, 0, 1, false, false), engine("c", 1, 0, 1, false, false)}, to("c")},
		{"two busy engines", []choose.CopyEngine{engine("a", 8, 7, 1, true, false), engine("b", 9, 8, 1, true, false), engine("c", 1, 0, 1, false, false), engine("d", 2, 0, 1, false, false)}, to("c", "d")},
	}
	for _, test := range tests {
		if got := choose.PlanCopies(test.list); !slices.Equal(got, test.want) {
			t.Errorf("%s: planned %v, want %v", test.name, got, test.want)
		}
	}
}
