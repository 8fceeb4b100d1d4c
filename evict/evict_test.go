package evict

import (
	"testing"

	"currantwick"
)

func TestVictim(t *testing.T) {
	idle := []wick.Holding{
		{Heat: 3, Used: 10},
		{Heat: 1, Used: 30},
		{Heat: 2, Used: 20},
	}
	tests := []struct {
		name   string
		policy wick.Evictor
		wanted wick.Holding
		idle   []wick.Holding
		want   int
	}{
		{"lru oldest", LRU{}, wick.Holding{}, idle, 0},
		{"lru none", LRU{}, wick.Holding{}, nil, -1},
		{"least frequent", Heat{}, wick.Holding{Heat: 1}, idle, 1},
		{"only for a more frequent one", Heat{}, wick.Holding{Heat: 0.5}, idle, -1},
		{"urgent evicts the least frequent", Heat{}, wick.Holding{Heat: 0.5, Urgency: 0.2}, idle, 1},
		{"urgent only above Patience", Heat{Patience: 0.5}, wick.Holding{Heat: 0.5, Urgency: 0.2}, idle, -1},
		{"none idle", Heat{}, wick.Holding{Heat: 9, Urgency: 1}, nil, -1},
		{"tie broken by last use", Heat{}, wick.Holding{Heat: 2}, []wick.Holding{{Heat: 1, Used: 2}, {Heat: 1, Used: 1}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.policy.Victim(100, tt.wanted, tt.idle); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}
