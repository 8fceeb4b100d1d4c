package limit

import (
	"fmt"
	"time"

	"currantwick"
)

// RetryConfig holds the settings of retries. Zero fields take their defaults.
type RetryConfig struct {
	Policy wick.RetryPolicy
	// Ratio is the number of retries that each first attempt adds; below 1.
	Ratio float64
	// Burst is the maximum number of saved retries, and the number available at
	// the start.
	Burst int
}

const (
	defaultRetryRatio = 0.1
	defaultRetryBurst = 50
)

// NewRetryBudget returns the retry budget that the settings select.
func NewRetryBudget(cfg RetryConfig) (wick.RetryBudget, error) {
	if cfg.Ratio < 0 || cfg.Ratio >= 1 || cfg.Burst < 0 {
		return nil, fmt.Errorf("retries: ratio %v or burst %d is out of range", cfg.Ratio, cfg.Burst)
	}
	if cfg.Ratio == 0 {
		cfg.Ratio = defaultRetryRatio
	}
	if cfg.Burst == 0 {
		cfg.Burst = defaultRetryBurst
	}
	switch cfg.Policy {
	case "", wick.RetryShare:
		return &RetryRatio{config: cfg, bucket: bucket{tokens: float64(cfg.Burst)}}, nil
	case wick.RetryUnlimited:
		return Unlimited{}, nil
	}
	return nil, fmt.Errorf("retries: unknown policy %q", string(cfg.Policy))
}

// RetryRatio allows retries in proportion to the first attempts.
type RetryRatio struct {
	config RetryConfig
	bucket bucket
}

// Earn implements wick.RetryBudget.
func (r *RetryRatio) Earn() {
	r.bucket.tokens = min(r.bucket.tokens+r.config.Ratio, float64(r.config.Burst))
}

// Spend implements wick.RetryBudget.
func (r *RetryRatio) Spend() bool { return r.bucket.take() }

// Unlimited allows every retry. It is the baseline for comparisons.
type Unlimited struct{}

// Earn implements wick.RetryBudget.
func (Unlimited) Earn() {}

// Spend implements wick.RetryBudget.
func (Unlimited) Spend() bool { return true }

// HedgeConfig holds the settings of hedges. Zero fields take their defaults.
type HedgeConfig struct {
	Policy wick.HedgePolicy
	// Percentile is the fraction of attempts that finish before a hedge is sent;
	// below 1.
	Percentile float64
	// Ratio is the number of hedges that each request adds; below 1.
	Ratio float64
	// MinDelay and MaxDelay bound the delay of a hedge.
	MinDelay, MaxDelay time.Duration
	// Total limits the hedges of all hedgers that share it, in addition to Ratio;
	// nil for no limit. If the hedgers have locks of their own, it needs one too.
	Total wick.RetryBudget
}

const (
	defaultPercentile    = 0.95
	defaultHedgeRatio    = 0.05
	defaultMinHedgeDelay = 5 * time.Millisecond
	defaultMaxHedgeDelay = 2 * time.Second
	// hedgeBurst is the maximum number of saved hedges.
	hedgeBurst = 10
	// minSamples is the number of attempts observed before the first hedge.
	minSamples = 20
	// maxStep is the largest relative change of the estimate by one attempt.
	maxStep = 0.1
)

// NewHedger returns the hedger that the settings select. One hedger serves
// requests that are expected to take similar times.
func NewHedger(cfg HedgeConfig) (wick.Hedger, error) {
	if cfg.Percentile < 0 || cfg.Percentile >= 1 || cfg.Ratio < 0 || cfg.Ratio >= 1 {
		return nil, fmt.Errorf("hedges: percentile %v or ratio %v is out of range", cfg.Percentile, cfg.Ratio)
	}
	if cfg.Percentile == 0 {
		cfg.Percentile = defaultPercentile
	}
	if cfg.Ratio == 0 {
		cfg.Ratio = defaultHedgeRatio
	}
	if cfg.MinDelay == 0 {
		cfg.MinDelay = defaultMinHedgeDelay
	}
	if cfg.MaxDelay == 0 {
		cfg.MaxDelay = defaultMaxHedgeDelay
	}
	if cfg.MinDelay < 0 || cfg.MaxDelay < cfg.MinDelay {
		return nil, fmt.Errorf("hedges: delays from %v to %v are out of range", cfg.MinDelay, cfg.MaxDelay)
	}
	switch cfg.Policy {
	case "", wick.HedgePercentile:
		return &PercentileHedger{config: cfg}, nil
	case wick.HedgeNone:
		return NoHedger{}, nil
	}
	return nil, fmt.Errorf("hedges: unknown policy %q", string(cfg.Policy))
}

// PercentileHedger hedges after an estimated percentile of attempt times, for a
// bounded part of the requests.
type PercentileHedger struct {
	config HedgeConfig
	bucket bucket
	// estimate is the estimated percentile of attempt times, in seconds.
	estimate float64
	samples  int
}

// RequestStarted implements wick.Hedger.
func (h *PercentileHedger) RequestStarted() {
	h.bucket.tokens = min(h.bucket.tokens+h.config.Ratio, hedgeBurst)
	if h.config.Total != nil {
		h.config.Total.Earn()
	}
}

// ObserveLatency implements wick.Hedger. The estimate takes a large step up for
// each longer attempt and a small step down for each other one, in a proportion
// that makes it converge to the percentile.
func (h *PercentileHedger) ObserveLatency(d time.Duration) {
	h.samples = min(h.samples+1, minSamples)
	s := max(d, time.Microsecond).Seconds()
	switch {
	case h.estimate == 0:
		h.estimate = s
	case s > h.estimate:
		h.estimate *= 1 + maxStep*h.config.Percentile
	default:
		h.estimate /= 1 + maxStep*(1-h.config.Percentile)
	}
}

// Delay implements wick.Hedger.
func (h *PercentileHedger) Delay() (time.Duration, bool) {
	if h.samples < minSamples {
		return 0, false
	}
	d := time.Duration(h.estimate * float64(time.Second))
	return min(max(d, h.config.MinDelay), h.config.MaxDelay), true
}

// TryHedge implements wick.Hedger.
func (h *PercentileHedger) TryHedge() bool {
	if h.bucket.tokens < 1 || h.config.Total != nil && !h.config.Total.Spend() {
		return false
	}
	return h.bucket.take()
}

// NoHedger sends no hedges. It is the baseline for comparisons.
type NoHedger struct{}

// RequestStarted implements wick.Hedger.
func (NoHedger) RequestStarted() {}

// ObserveLatency implements wick.Hedger.
func (NoHedger) ObserveLatency(time.Duration) {}

// Delay implements wick.Hedger.
func (NoHedger) Delay() (time.Duration, bool) { return 0, false }

// TryHedge implements wick.Hedger.
func (NoHedger) TryHedge() bool { return false }
