package loads

import (
	"slices"
	"testing"
)

func TestNamedScenes(t *testing.T) {
	for _, name := range []string{"abay", "feu"} {
		s, err := Builtin(name)
		if err != nil {
			t.Fatal(err)
		}
		a, b := Trace(s, 1), Trace(s, 1)
		if !slices.Equal(a, b) {
			t.Errorf("%s: the same seed gave different traces", name)
		}
		if slices.Equal(a, Trace(s, 2)) {
			t.Errorf("%s: different seeds gave the same trace", name)
		}
		counts := make([]int, len(s.Phases))
		for _, x := range a {
			counts[x.Phase]++
		}
		for i, n := range counts {
			if n == 0 {
				t.Errorf("%s: no requests in phase %d", name, i)
			}
		}
	}
}

func TestClairvoyant(t *testing.T) {
	tests := []struct {
		name  string
		uses  []int
		slots int
		first int
		want  int
	}{
		{"none", nil, 1, 0, 0},
		{"all fit", []int{1, 2, 1, 2}, 2, 0, 2},
		{"one slot", []int{1, 2, 1, 2}, 1, 0, 4},
		{"evicts the one with the furthest next use", []int{1, 2, 3, 1, 2}, 2, 0, 4},
		{"does not count loads before first", []int{1, 2, 1, 2}, 2, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Clairvoyant(tt.uses, tt.slots, tt.first); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestSceneCheck(t *testing.T) {
	tests := []struct {
		name       string
		invalidate func(s *Scene)
	}{
		{"no daemons", func(s *Scene) { s.Daemons = 0 }},
		{"no adapters", func(s *Scene) { s.Adapters = 0 }},
		{"unknown pool", func(s *Scene) { s.Kinds[0].Pool = "none" }},
		{"no rate", func(s *Scene) { s.Kinds[0].Rate = 0 }},
		{"empty phase", func(s *Scene) { s.Phases[0].For = 0 }},
		{"too many stragglers", func(s *Scene) { s.Phases[0].SlowRunners = 99 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := Builtin("abay")
			if err != nil {
				t.Fatal(err)
			}
			tt.invalidate(&s)
			if s.Check() == nil {
				t.Error("Check accepted the scene")
			}
		})
	}
}
