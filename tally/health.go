package tally

import (
	"math"
	"time"

	"currantwick"
)

const (
	// priorSuccesses is the number of assumed good requests added to the
	// observed ones, so that a single failure has little weight.
	priorSuccesses = 3
	// lagStep and failSteps set the granularity of the results, so that small
	// changes are not sent to every daemon.
	lagStep   = 50 * time.Millisecond
	failSteps = 8
)

// OutcomeStats sums up what all daemons observed of an endpoint. Observations
// have the same half-life as in a Meter. The zero value is ready to use, by one
// goroutine at a time.
type OutcomeStats struct {
	// seen and failed count requests, and lag is a sum in seconds; all have
	// decayed up to at.
	seen, failed, lag float64
	at                wick.Instant
}

// Add adds the outcomes that one daemon observed.
func (h *OutcomeStats) Add(now wick.Instant, o wick.EndpointStats) {
	h.decay(now)
	h.seen += float64(o.Requests)
	h.failed += float64(o.Failed)
	h.lag += o.Lag.Std().Seconds()
}

// Read returns the average delay of first tokens beyond the estimate and the
// share of requests that failed, both rounded down to coarse steps.
func (h *OutcomeStats) Read(now wick.Instant) (lag wick.Duration, failedShare float64) {
	h.decay(now)
	weight := h.seen + priorSuccesses
	late := time.Duration(h.lag / weight * float64(time.Second))
	return wick.Duration(late / lagStep * lagStep), math.Floor(h.failed/weight*failSteps) / failSteps
}

func (h *OutcomeStats) decay(now wick.Instant) {
	k := math.Exp2(-now.Sub(h.at).Seconds() / halfLife.Seconds())
	h.seen *= k
	h.failed *= k
	h.lag *= k
	h.at = now
}
