package limit

import "testing"

// Hedges must leave retries their part of the shared budget, and be possible where the
// part of a daemon is less than one retry.
func TestSpendSpare(t *testing.T) {
	tests := []struct {
		name    string
		slack   int
		daemons int
		spent   int // retries before
		hedges  int
		retries int // possible afterwards
	}{
		{"one daemon", 100, 1, 0, 35, 35},
		{"half of the budget is spent", 100, 1, 35, 0, 35},
		{"a part of the budget is spent", 100, 1, 30, 5, 35},
		{"a part of less than two retries", 100, 50, 0, 1, 0},
		{"a part of less than two retries, one spent", 100, 50, 1, 0, 0},
		{"a part of less than one retry, not earned yet", 100, 300, 0, 0, 0},
	}
	for _, test := range tests {
		s, err := NewSharedRetries(0.2, test.slack)
		if err != nil {
			t.Fatal(err)
		}
		s.Earn(test.daemons)
		spend := func(most int, take func(int) bool) int {
			n := 0
			for n < most && take(test.daemons) {
				n++
			}
			return n
		}
		spend(test.spent, s.Spend)
		hedges := spend(1000, s.SpendSpare)
		if retries := spend(1000, s.Spend); hedges != test.hedges || retries != test.retries {
			t.Errorf("%s: %d hedges and then %d retries, want %d and %d", test.name, hedges, retries, test.hedges, test.retries)
		}
	}
}
