package limit_test

import (
	"testing"

	"currantwick/limit"
)

// Whatever their number, all daemons together retry no more than the ratio of
// their requests and the slack allow.
func TestSharedBudget(t *testing.T) {
	const ratio, slack = 0.2, 186
	tests := []struct {
		daemons, requests int
	}{
		{1, 0}, {1, 500}, {7, 0}, {7, 90}, {73, 0}, {73, 90}, {150, 10}, {500, 0}, {920, 3},
	}
	for _, test := range tests {
		retries := 0
		for range test.daemons {
			s, err := limit.NewSharedRetries(ratio, slack)
			if err != nil {
				t.Fatal(err)
			}
			s.Earn(test.daemons)
			for s.Spend(test.daemons) {
				retries++
			}
			for range test.requests {
				s.Earn(test.daemons)
				if s.Spend(test.daemons) {
					retries++
				}
			}
		}
		if most := ratio*float64(test.daemons*(test.requests+1)) + slack; float64(retries) > most {
			t.Errorf("%d daemons with %d requests each: %d retries, want at most %.0f", test.daemons, test.requests, retries, most)
		}
	}
}

func TestSharedBudgetRefusesNegatives(t *testing.T) {
	for _, bad := range []struct {
		ratio float64
		slack int
	}{{-1, 0}, {0, -1}} {
		if _, err := limit.NewSharedRetries(bad.ratio, bad.slack); err == nil {
			t.Errorf("ratio %v and slack %d were accepted", bad.ratio, bad.slack)
		}
	}
}
