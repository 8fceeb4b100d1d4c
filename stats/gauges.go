package stats

import (
	"time"

	"currantwick"

	"github.com/prometheus/client_golang/prometheus"
)

// GaugeSources are the functions that the gauges call at each scrape.
// Invariants: no field is nil, and no function blocks.
type GaugeSources struct {
	// Ready returns why the daemon is not ready for callers, or nil if it is.
	Ready func() *wick.Error
	// Config returns the offset of the configuration in force.
	Config func() wick.Offset
	// Expires returns the expiry time of the daemon's certificate for peers.
	Expires func() time.Time
}

// RegisterGauges registers gauges that are evaluated at each scrape.
func RegisterGauges(r *prometheus.Registry, src GaugeSources) {
	r.MustRegister(
		newGaugeFunc("ready", "1 while callers may turn to the daemon.", func() float64 {
			if src.Ready() != nil {
				return 0
			}
			return 1
		}),
		newGaugeFunc("config_offset", "Offset of the configuration in force.", func() float64 {
			return float64(src.Config())
		}),
		newGaugeFunc("certificate_expiry_timestamp_seconds", "When the certificate for other daemons ends, in Unix time.", func() float64 {
			return float64(src.Expires().Unix())
		}),
	)
}

func newGaugeFunc(name, help string, f func() float64) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f)
}
