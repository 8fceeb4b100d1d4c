package verbs

import (
	"fmt"
	"strconv"
	"strings"

	"currantwick"
	"currantwick/limit"
)

const (
	// defaultHedgePercentile is in percent.
	defaultHedgePercentile = 95
	hedgeRatioUsage        = "maximum hedges as a fraction of the requests that may be hedged, in total and for each route; 0 is off. " +
		"ROUTE=RATIO after a comma sets the limit of one route, as in 0.05,search=0.1,draft=0"
	hedgePercentileUsage = "percentile of the times of a route and pool after which a request is hedged, in percent or as a fraction below 1"
)

// parseHedgeLimits parses the values of -hedge-ratio and -hedge-percentile.
func parseHedgeLimits(ratios string, percentile float64) (limit.HedgeLimits, error) {
	if percentile > 1 {
		percentile /= 100
	}
	if percentile <= 0 || percentile >= 1 {
		return limit.HedgeLimits{}, fmt.Errorf("hedge-percentile: %v is neither a percentile nor a fraction", percentile)
	}
	l := limit.HedgeLimits{Percentile: percentile}
	for i, part := range strings.Split(ratios, ",") {
		// A route's name may contain an equals sign, a ratio does not.
		at := strings.LastIndex(part, "=")
		if named := at >= 0; named == (i == 0) {
			return limit.HedgeLimits{}, fmt.Errorf("hedge-ratio: %q is not RATIO with ROUTE=RATIO after commas", ratios)
		}
		ratio, err := strconv.ParseFloat(strings.TrimSpace(part[at+1:]), 64)
		if err != nil {
			return limit.HedgeLimits{}, fmt.Errorf("hedge-ratio: %w", err)
		}
		if i == 0 {
			l.Total = ratio
			continue
		}
		if l.Routes == nil {
			l.Routes = make(map[wick.RouteName]float64)
		}
		l.Routes[wick.RouteName(strings.TrimSpace(part[:at]))] = ratio
	}
	if err := l.Check(); err != nil {
		return limit.HedgeLimits{}, fmt.Errorf("hedge-ratio: %w", err)
	}
	return l, nil
}
