package limit

import (
	"fmt"
	"time"

	"currantwick"
)

const (
	// totalHedgeBurst is the maximum number of saved hedges of all routes.
	totalHedgeBurst = 50
	// maxGatewayDelay bounds the delay of a gateway's hedges. It only keeps the
	// estimate within the longest timeouts: a lower bound would hedge more requests
	// than the percentile says where answers usually take longer.
	maxGatewayDelay = time.Minute
)

// HedgeLimits are the limits that operators set for a gateway's hedges.
type HedgeLimits struct {
	// Total bounds the hedges of all routes, as a fraction of the requests that may
	// be hedged; 0 for no hedges. It is also the limit of each route without one of
	// its own.
	Total float64
	// Routes are the limits of single routes; 0 for no hedges.
	Routes map[wick.RouteName]float64
	// Percentile is the fraction of attempts that finish before a hedge is sent; 0
	// for the default.
	Percentile float64
}

// Check reports whether the limits are in range.
func (l HedgeLimits) Check() error {
	if !isRatio(l.Total) {
		return fmt.Errorf("hedges: ratio %v is not from 0 to below 1", l.Total)
	}
	for name, ratio := range l.Routes {
		if !isRatio(ratio) {
			return fmt.Errorf("hedges: ratio %v of route %s is not from 0 to below 1", ratio, name)
		}
	}
	if !isRatio(l.Percentile) {
		return fmt.Errorf("hedges: percentile %v is not from 0 to below 1", l.Percentile)
	}
	return nil
}

// Enabled reports whether any requests may be hedged.
func (l HedgeLimits) Enabled() bool { return l.Total > 0 }

// NewTotal returns the limit over all routes. It starts without credit, so that
// hedges are never a larger fraction of the requests than Total.
func (l HedgeLimits) NewTotal() wick.RetryBudget {
	return &RetryRatio{config: RetryConfig{Ratio: l.Total, Burst: totalHedgeBurst}}
}

// NewHedger returns the hedger of the requests of a route to a pool, or nil if they
// must not be hedged. total is the limit over all routes.
func (l HedgeLimits) NewHedger(k wick.HedgeKey, total wick.RetryBudget) (wick.Hedger, error) {
	ratio, own := l.Routes[k.Route]
	if !own {
		ratio = l.Total
	}
	if ratio == 0 || !l.Enabled() {
		return nil, nil
	}
	return NewHedger(HedgeConfig{Percentile: l.Percentile, Ratio: ratio, MaxDelay: maxGatewayDelay, Total: total})
}

// isRatio reports whether x is from 0 to below 1, which NaN is not.
func isRatio(x float64) bool { return x >= 0 && x < 1 }
