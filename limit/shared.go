package limit

import (
	"fmt"

	"currantwick"
)

// sharedPart is the part of the budget that is used; the rest covers daemons
// that joined unnoticed, and windows that the bucket cuts differently.
const sharedPart = 0.7

// Shared is this daemon's part of a budget of repeats that all daemons share: a
// ratio of its own requests, and an equal part of the slack.
type Shared struct {
	ratio, slack float64
	bucket       bucket
	started      bool
}

var _ wick.SharedBudget = (*Shared)(nil)

// NewShared returns the budget of a deployment: in each window, repeats are at
// most ratio times the requests plus slack.
func NewShared(ratio float64, slack int) (*Shared, error) {
	if ratio < 0 || slack < 0 {
		return nil, fmt.Errorf("repeats: ratio %v or slack %d is negative", ratio, slack)
	}
	return &Shared{ratio: ratio * sharedPart, slack: float64(slack) * sharedPart}, nil
}

// Earn implements wick.SharedBudget.
func (s *Shared) Earn(daemons int) {
	most := s.most(daemons)
	if !s.started {
		s.started, s.bucket.tokens = true, most
	}
	s.bucket.tokens = min(s.bucket.tokens+s.ratio, most)
}

// Spend implements wick.SharedBudget.
func (s *Shared) Spend(daemons int) bool {
	s.bucket.tokens = min(s.bucket.tokens, s.most(daemons))
	return s.bucket.take()
}

// most is how many repeats may be saved up.
func (s *Shared) most(daemons int) float64 { return max(s.slack/float64(max(daemons, 1)), 1) }
