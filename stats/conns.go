package stats

import (
	"currantwick"

	"github.com/prometheus/client_golang/prometheus"
)

// Conns implements wick.ConnObserver.
type Conns struct {
	closed *prometheus.CounterVec
}

var _ wick.ConnObserver = (*Conns)(nil)

// NewConns registers the metrics of accepted connections. They must not be in the
// registry yet.
func NewConns(registry *prometheus.Registry) *Conns {
	c := &Conns{newCounterVec("connections_closed_total", "Accepted connections that were closed or refused to keep a bound, by listener and cause.", "listener", "cause")}
	registry.MustRegister(c.closed)
	return c
}

// ConnectionClosed implements wick.ConnObserver.
func (c *Conns) ConnectionClosed(listener string, cause wick.CloseCause) {
	c.closed.WithLabelValues(listener, string(cause)).Inc()
}
