package direct

import (
	"net/http"

	"currantwick"
	"currantwick/choose"
)

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
