package direct

import (
	"sync"

	"currantwick"
	"currantwick/choose"
	"currantwick/coord"
)

// An endpoint that replaces an adapter in use takes no other orders until the
// requests on the old version have ended. A new version is therefore loaded on
// another endpoint first, and requests move there as soon as it can serve.

// maxVersionRequests bounds the number of adapters in versionRequests.
const maxVersionRequests = 1024

// versionRequests records the newest version of each adapter that was requested
// on another endpoint. The zero value is ready to use.
type versionRequests struct {
	mu        sync.Mutex
	requested map[wick.Weights]wick.Revision
}

// add records a version and reports whether it was not requested before.
func (r *versionRequests) add(w wick.Weights, n wick.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requested[w] >= n {
		return false
	}
	if r.requested == nil || len(r.requested) >= maxVersionRequests {
		r.requested = make(map[wick.Weights]wick.Revision)
	}
	r.requested[w] = n
	return true
}

// isNewestReady reports whether an endpoint of the pool serves the newest
// version of the request's adapter.
func (t *task) isNewestReady(v *coord.View, now wick.Instant) bool {
	newest := v.Newest[t.weights].Number
	if newest == 0 {
		return false
	}
	for _, r := range v.Pools[t.pool] {
		if res, ok := r.Adapters[t.weights]; ok && res.Revision >= newest && now >= res.Ready {
			return true
		}
	}
	return false
}

// requestNewest requests the newest version of the adapter, unless an endpoint
// has it or is loading it. It picks an endpoint that doesn't hold an older
// version.
func (t *task) requestNewest(v *coord.View, now wick.Instant) {
	newest := v.Newest[t.weights].Number
	list := v.Pools[t.pool]
	for _, r := range list {
		if r.Adapters[t.weights].Revision >= newest {
			return
		}
	}
	if !t.server.versionRequests.add(t.weights, newest) {
		return
	}
	cands := t.candidates(v, now, list)
	for i, r := range list {
		if _, held := r.Adapters[t.weights]; held {
			cands[i].Avoid = true
		}
	}
	if i, _ := choose.PickEngine(t.input(v, now), cands); i >= 0 {
		t.server.cfg.Control.RequestAdapter(wick.AdapterRequest{Endpoint: list[i].Name, Weights: t.weights, Revision: newest})
	}
}
