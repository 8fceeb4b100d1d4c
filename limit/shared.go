package limit

import (
	"fmt"

	"currantwick"
)

// usedPart is the part of the budget that is used. The rest is a margin for
// daemons that joined and are not known yet, and for the difference between the
// credit counted here, which carries over, and the windows of time in which the
// platform measures the budget.
const usedPart = 0.7

// SharedRetries is this daemon's part of a retry budget that all daemons share: a
// ratio of its own requests, and an equal part of the slack.
type SharedRetries struct {
	ratio, slack float64
	// slackLeft is the rest of this daemon's part of the slack; it is not
	// refilled. earned is what its requests have added in its place.
	slackLeft, earned float64
	started           bool
}

var _ wick.SharedBudget = (*SharedRetries)(nil)

// NewSharedRetries returns this daemon's part of a deployment's budget: in each
// window, the retries of all daemons are at most ratio times the requests plus
// slack.
func NewSharedRetries(ratio float64, slack int) (*SharedRetries, error) {
	if ratio < 0 || slack < 0 {
		return nil, fmt.Errorf("retry budget: ratio %v or slack %d is negative", ratio, slack)
	}
	return &SharedRetries{ratio: ratio * usedPart, slack: float64(slack) * usedPart}, nil
}

// Earn implements wick.SharedBudget.
func (s *SharedRetries) Earn(daemons int) {
	part := s.part(daemons)
	if !s.started {
		s.started, s.slackLeft = true, part
	}
	s.slackLeft = min(s.slackLeft, part)
	// Where the part of the slack is less than one retry, requests must still
	// be able to earn one.
	s.earned = min(s.earned+s.ratio, max(part, 1)-s.slackLeft)
}

// Spend implements wick.SharedBudget.
func (s *SharedRetries) Spend(daemons int) bool {
	s.slackLeft = min(s.slackLeft, s.part(daemons))
	if s.slackLeft+s.earned < 1 {
		return false
	}
	used := min(s.earned, 1)
	s.earned -= used
	s.slackLeft -= 1 - used
	return true
}

// spareShare is the share of the budget that must be left after SpendSpare.
const spareShare = 0.5

// SpendSpare implements wick.SharedBudget. Where the whole budget is less than two
// retries, it must be full, since otherwise it would always be low.
func (s *SharedRetries) SpendSpare(daemons int) bool {
	most := max(s.part(daemons), 1)
	if min(s.slackLeft, s.part(daemons))+s.earned < min(most, 1+spareShare*most) {
		return false
	}
	return s.Spend(daemons)
}

// part returns this daemon's part of the slack.
func (s *SharedRetries) part(daemons int) float64 { return s.slack / float64(max(daemons, 1)) }
