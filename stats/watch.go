package stats

import (
	"time"

	"currantwick"

	"github.com/prometheus/client_golang/prometheus"
)

// Watched is what is looked at when metrics are read. No field is nil, and no
// function waits.
type Watched struct {
	// Ready returns why callers should not turn to the daemon, or nil.
	Ready func() *wick.Error
	// Config returns the newest offset of the configuration in force.
	Config func() wick.Offset
	// Expires returns when the daemon's certificate for its peers ends.
	Expires func() time.Time
}

// Watch registers gauges that are read when somebody asks for them.
func Watch(r *prometheus.Registry, w Watched) {
	r.MustRegister(
		read("ready", "1 while callers may turn to the daemon.", func() float64 {
			if w.Ready() != nil {
				return 0
			}
			return 1
		}),
		read("config_offset", "Offset of the configuration in force.", func() float64 {
			return float64(w.Config())
		}),
		read("certificate_expiry_timestamp_seconds", "When the certificate for other daemons ends, in Unix time.", func() float64 {
			return float64(w.Expires().Unix())
		}),
	)
}

func read(name, help string, f func() float64) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f)
}
