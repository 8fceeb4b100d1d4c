package stats

import (
	"currantwick"

	"github.com/prometheus/client_golang/prometheus"
)

// State collects metrics from the state of a gateway at each scrape, so that
// removed endpoints leave no stale series.
type State struct {
	state func() wick.GatewayState

	running, pendingPrefill, adapters, lag, fails *prometheus.Desc
	configAge, daemons                            *prometheus.Desc
}

var _ prometheus.Collector = (*State)(nil)

// NewState returns a collector. state must be safe for concurrent use.
func NewState(state func() wick.GatewayState) *State {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
	}
	return &State{
		state:          state,
		running:        desc("endpoint_running", "Requests of all daemons at an endpoint.", "endpoint", "pool"),
		pendingPrefill: desc("endpoint_unread_tokens", "Tokens of prompts at an endpoint that were not read yet.", "endpoint", "pool"),
		adapters:       desc("endpoint_adapters", "Adapters that an endpoint holds or loads.", "endpoint", "pool"),
		lag:            desc("endpoint_lag_seconds", "By how much first tokens came later than estimated lately.", "endpoint", "pool"),
		fails:          desc("endpoint_failed_share", "Share of the last requests that an endpoint failed.", "endpoint", "pool"),
		configAge:      desc("configuration_age_seconds", "Time since the configuration in force was known to be the newest."),
		daemons:        desc("known_daemons", "Daemons that are known to run."),
	}
}

// Describe implements prometheus.Collector.
func (c *State) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.running, c.pendingPrefill, c.adapters, c.lag, c.fails, c.configAge, c.daemons} {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (c *State) Collect(to chan<- prometheus.Metric) {
	s := c.state()
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	gauge(c.configAge, s.ConfigAge.Std().Seconds())
	gauge(c.daemons, float64(s.Daemons))
	for _, e := range s.Endpoints {
		name, pool := string(e.Name), string(e.Pool)
		gauge(c.running, float64(e.Running), name, pool)
		gauge(c.pendingPrefill, float64(e.Waiting), name, pool)
		gauge(c.adapters, float64(e.Adapters), name, pool)
		gauge(c.lag, e.Lag.Std().Seconds(), name, pool)
		gauge(c.fails, e.FailedShare, name, pool)
	}
}
