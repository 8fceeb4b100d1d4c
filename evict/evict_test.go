package evict

import (
	"testing"

	"currantwick"
)

func TestVictim(t *testing.T) {
	idle := []wick.AdapterUsage{
		{Frequency: 3, LastUsed: 10},
		{Frequency: 1, LastUsed: 30},
		{Frequency: 2, LastUsed: 20},
	}
	tests := []struct {
		name   string
		policy wick.Evictor
		wanted wick.AdapterUsage
		idle   []wick.AdapterUsage
		want   int
	}{
		{"lru oldest", LRU{}, wick.AdapterUsage{}, idle, 0},
		{"lru none", LRU{}, wick.AdapterUsage{}, nil, -1},
		{"least frequent", Frequency{}, wick.AdapterUsage{Frequency: 1}, idle, 1},
		{"only for a more frequent one", Frequency{}, wick.AdapterUsage{Frequency: 0.5}, idle, -1},
		{"urgent evicts the least frequent", Frequency{}, wick.AdapterUsage{Frequency: 0.5, DeadlineUsed: 0.2}, idle, 1},
		{"urgent only above MaxWaitShare", Frequency{MaxWaitShare: 0.5}, wick.AdapterUsage{Frequency: 0.5, DeadlineUsed: 0.2}, idle, -1},
		{"none idle", Frequency{}, wick.AdapterUsage{Frequency: 9, DeadlineUsed: 1}, nil, -1},
		{"tie broken by last use", Frequency{}, wick.AdapterUsage{Frequency: 2}, []wick.AdapterUsage{{Frequency: 1, LastUsed: 2}, {Frequency: 1, LastUsed: 1}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.policy.Victim(100, tt.wanted, tt.idle); got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}
