package ctrl

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"currantwick"
)

func TestEntries(t *testing.T) {
	tests := []struct {
		name    string
		members int
		leaving wick.HostName
		near    wick.Domain
		want    int
		// first is the number of leading entries that are in the near domain.
		first int
	}{
		{"none", 0, "", "d0", 0, 0},
		{"small cluster", 7, "", "d1", 7, 2},
		{"one leaves", 7, "h1", "d1", 6, 1},
		{"unknown domain", 7, "", "d9", 7, 0},
		{"large cluster", 300, "", "d0", 16, 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &Snapshot{leaving: map[wick.HostName]bool{test.leaving: true}}
			for i := range test.members {
				s.View.Members = append(s.View.Members, wick.Member{
					Host:   wick.HostName(fmt.Sprintf("h%d", i)),
					Domain: wick.Domain(fmt.Sprintf("d%d", i%3)),
				})
			}
			list := s.Entries(test.near, rand.New(rand.NewPCG(1, 2)).IntN).Entries
			if len(list) != test.want {
				t.Fatalf("%d entries, want %d", len(list), test.want)
			}
			seen := make(map[wick.HostName]bool)
			for i, e := range list {
				if near := e.Domain == test.near; near != (i < test.first) {
					t.Errorf("entry %d is in %s", i, e.Domain)
				}
				if seen[e.Host] || e.Host == test.leaving {
					t.Errorf("entry %d is %s", i, e.Host)
				}
				seen[e.Host] = true
			}
		})
	}
}
