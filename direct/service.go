package direct

import (
	"net/http"

	"currantwick"
	"currantwick/choose"
)

// minConnections is the least number of connections to an endpoint that a daemon may
// have, however many daemons there are: one for each request of a usual burst.
const minConnections = 3

// maxConnections returns this daemon's part of the connections to an endpoint of the
// request's pool; 0 for no limit.
func (t *task) maxConnections() int {
	v := t.server.cfg.Control.View()
	if v.ServingConfig == nil || v.ServingConfig.Pools[t.pool].ConnectionLimit <= 0 {
		return 0
	}
	return max(v.ServingConfig.Pools[t.pool].ConnectionLimit/max(v.Daemons, 1), minConnections)
}

// isPlain reports whether the request's pool is one of plain services.
func (t *task) isPlain() bool {
	config := t.server.cfg.Control.View().ServingConfig
	return config != nil && config.Pools[t.pool].Engine == nil
}

// isFull reports whether a plain service that refused the request did so for lack of
// room. Such a refusal is no failure: if it counted as one, all daemons would avoid the
// service for seconds and fill the others in turn.
func (t *task) isFull(to target, now wick.Instant) bool {
	r := to.runner
	return t.isPlain() && !choose.RefusalIsFailure(r.Slots, r.OtherLoad.Running+r.Meter.Read(now).Running)
}

// recordWork records how long a plain service took for the request, and makes room for
// the next one: a caller may read its answer slowly.
func (t *task) recordWork(to target, sent wick.Instant, rec *wick.Response) {
	if rec.Status < http.StatusInternalServerError && t.isPlain() {
		now := t.server.cfg.Clock.Now()
		to.runner.Meter.ObserveWork(now, now.Sub(sent))
		if t.admission != nil {
			t.admission.took = now.Sub(sent)
			t.leaveGate()
		}
	}
}
