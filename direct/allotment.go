package direct

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"currantwick"
)

const (
	// retryJitterPart and minRetryJitter spread the retries of callers that were refused
	// for the same reason: by a part of the time until there is room, and by a fixed time.
	retryJitterPart = 0.5
	minRetryJitter  = 100 * time.Millisecond
)

// takeUnits takes the units of the request from the allotment of its team. All attempts
// of the request share them.
func (t *task) takeUnits(ctx context.Context) error {
	a := t.allotment
	if a.Rate == 0 {
		return nil
	}
	s, x := t.server, t.exchange
	units := wick.Units(math.Ceil(a.Units(x.PromptTokens, x.OutputTokens)))
	v := s.cfg.Shares.Take(ctx, t.team, a, units)
	if v.Result == wick.UnitsUnknown && ctx.Err() != nil {
		return t.contextError(ctx, errors.New("waiting for units of the team"))
	}
	s.cfg.Observer.UnitsTaken(t.team, units, v.Result)
	if v.Result == wick.UnitsTaken {
		t.units, t.unitsAt = units, s.cfg.Clock.Now()
		return nil
	}
	after := v.RetryAfter.Std()
	after += time.Duration(rand.Float64() * float64(max(time.Duration(float64(after)*retryJitterPart), minRetryJitter)))
	code, format := wick.CodeAllotment, "team %s: no room for %d units at %v per second with a burst of %v"
	if v.Result == wick.UnitsUnknown {
		// The team may be within its limit, so this is no 429.
		code, format = wick.CodeOverload, "team %s: no holder granted %d units at %v per second with a burst of %v in time"
	}
	if v.Notable {
		s.cfg.Log.Warn("allotment refused a request", "team", t.team, "result", v.Result.String(), "units", units,
			"rate_per_s", float64(a.Rate), "burst", a.Burst, "retry_ms", after.Milliseconds())
	}
	e := wick.NotRunf(code, format, t.team, units, float64(a.Rate), a.Burst)
	e.RetryAfter = wick.Duration(after)
	return e
}

// giveUnits returns the units of a request that certainly did not run.
func (t *task) giveUnits() {
	if t.units > 0 && t.ran == 0 {
		t.server.cfg.Shares.Give(t.team, t.units, t.unitsAt)
	}
}
