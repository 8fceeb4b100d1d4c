package limit

import (
	"fmt"
	"time"

	"currantwick"
)

// RetryConfig holds the settings of retries. Zero fields take their defaults.
type RetryConfig struct {
	Policy wick.RetryPolicy
	// Part is how many retries each first try allows; below 1.
	Part float64
	// Burst is how many retries may be saved up; as many are there at the
	// start.
	Burst int
}

const (
	defaultRetryPart  = 0.1
	defaultRetryBurst = 50
)

// NewRetries returns the budget the settings name.
func NewRetries(cfg RetryConfig) (wick.RetryBudget, error) {
	if cfg.Part < 0 || cfg.Part >= 1 || cfg.Burst < 0 {
		return nil, fmt.Errorf("retries: part %v or burst %d is out of range", cfg.Part, cfg.Burst)
	}
	if cfg.Part == 0 {
		cfg.Part = defaultRetryPart
	}
	if cfg.Burst == 0 {
		cfg.Burst = defaultRetryBurst
	}
	switch cfg.Policy {
	case "", wick.RetryShare:
		return &Retries{config: cfg, bucket: bucket{tokens: float64(cfg.Burst)}}, nil
	case wick.RetryUnlimited:
		return Unlimited{}, nil
	}
	return nil, fmt.Errorf("retries: %q is no policy", string(cfg.Policy))
}

// Retries allows retries for a part of the first tries.
type Retries struct {
	config RetryConfig
	bucket bucket
}

// Earn implements wick.RetryBudget.
func (r *Retries) Earn() {
	r.bucket.tokens = min(r.bucket.tokens+r.config.Part, float64(r.config.Burst))
}

// Spend implements wick.RetryBudget.
func (r *Retries) Spend() bool { return r.bucket.take() }

// Unlimited allows every retry. It is the baseline.
type Unlimited struct{}

// Earn implements wick.RetryBudget.
func (Unlimited) Earn() {}

// Spend implements wick.RetryBudget.
func (Unlimited) Spend() bool { return true }

// HedgeConfig holds the settings of hedges. Zero fields take their defaults.
type HedgeConfig struct {
	Policy wick.HedgePolicy
	// Percentile is the part of tries that are done before a hedge starts; 0
	// to 1.
	Percentile float64
	// Part is how many hedges each request allows; below 1.
	Part float64
	// Least and Most bound the delay of a hedge.
	Least, Most time.Duration
}

const (
	defaultPercentile = 0.95
	defaultHedgePart  = 0.05
	defaultHedgeLeast = 5 * time.Millisecond
	defaultHedgeMost  = 2 * time.Second
	// hedgeBurst is how many hedges may be saved up.
	hedgeBurst = 10
	// learnTries is how many tries are watched before the first hedge.
	learnTries = 20
	// learnStep is the largest part by which one try moves the percentile.
	learnStep = 0.1
)

// NewHedger returns the hedger the settings name. One hedger serves requests
// that should take about as long as one another.
func NewHedger(cfg HedgeConfig) (wick.Hedger, error) {
	if cfg.Percentile < 0 || cfg.Percentile >= 1 || cfg.Part < 0 || cfg.Part >= 1 {
		return nil, fmt.Errorf("hedges: percentile %v or part %v is out of range", cfg.Percentile, cfg.Part)
	}
	if cfg.Percentile == 0 {
		cfg.Percentile = defaultPercentile
	}
	if cfg.Part == 0 {
		cfg.Part = defaultHedgePart
	}
	if cfg.Least == 0 {
		cfg.Least = defaultHedgeLeast
	}
	if cfg.Most == 0 {
		cfg.Most = defaultHedgeMost
	}
	if cfg.Least < 0 || cfg.Most < cfg.Least {
		return nil, fmt.Errorf("hedges: delays from %v to %v are out of range", cfg.Least, cfg.Most)
	}
	switch cfg.Policy {
	case "", wick.HedgePercentile:
		return &Hedges{config: cfg}, nil
	case wick.HedgeNone:
		return Never{}, nil
	}
	return nil, fmt.Errorf("hedges: %q is no policy", string(cfg.Policy))
}

// Hedges hedges after a learned percentile, within a part of the requests.
type Hedges struct {
	config HedgeConfig
	bucket bucket
	// learned estimates the percentile of the time of tries, in seconds.
	learned float64
	tries   int
}

// Began implements wick.Hedger.
func (h *Hedges) Began() {
	h.bucket.tokens = min(h.bucket.tokens+h.config.Part, hedgeBurst)
}

// Took implements wick.Hedger. The estimate moves up by much for each try that
// took longer and down by little for each that did not, in such a proportion
// that it rests at the percentile.
func (h *Hedges) Took(d time.Duration) {
	h.tries = min(h.tries+1, learnTries)
	s := max(d, time.Microsecond).Seconds()
	switch {
	case h.learned == 0:
		h.learned = s
	case s > h.learned:
		h.learned *= 1 + learnStep*h.config.Percentile
	default:
		h.learned /= 1 + learnStep*(1-h.config.Percentile)
	}
}

// Delay implements wick.Hedger.
func (h *Hedges) Delay() (time.Duration, bool) {
	if h.tries < learnTries {
		return 0, false
	}
	d := time.Duration(h.learned * float64(time.Second))
	return min(max(d, h.config.Least), h.config.Most), true
}

// Hedge implements wick.Hedger.
func (h *Hedges) Hedge() bool { return h.bucket.take() }

// Never does not hedge. It is the baseline.
type Never struct{}

// Began implements wick.Hedger.
func (Never) Began() {}

// Took implements wick.Hedger.
func (Never) Took(time.Duration) {}

// Delay implements wick.Hedger.
func (Never) Delay() (time.Duration, bool) { return 0, false }

// Hedge implements wick.Hedger.
func (Never) Hedge() bool { return false }
