package tally

import (
	"testing"

	"currantwick"
)

func TestParts(t *testing.T) {
	tests := []struct {
		name string
		// after is the number of other parts answered since, and again is set if the
		// part itself was answered among them.
		after int
		again bool
		want  bool
	}{
		{"just now", 0, false, true},
		{"a generation ago", maxRecentParts, false, true},
		{"two generations ago", 2 * maxRecentParts, false, false},
		{"two generations ago, and again since", 2 * maxRecentParts, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p Parts
			p.Add(5, []wick.Fingerprint{1})
			for n := range test.after {
				p.Add(6, []wick.Fingerprint{wick.Fingerprint(n + 2)})
				if test.again && n%1000 == 0 {
					p.Add(7, []wick.Fingerprint{1})
				}
			}
			at, ok := p.Last(1)
			if ok != test.want || ok && (at == 7) != test.again {
				t.Errorf("remembered: %v, at %d; want %v", ok, at, test.want)
			}
			if len(p.recent) > maxRecentParts || len(p.earlier) > maxRecentParts {
				t.Errorf("%d and %d parts, want at most %d", len(p.recent), len(p.earlier), maxRecentParts)
			}
		})
	}
}
