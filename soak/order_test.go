package soak

import (
	"encoding/json"
	"net/http"
	"time"

	"currantwick"
)

// order is the body of a load or unload order.
type order struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Version      uint64 `json:"version"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fencingToken"`
	Expected     *int   `json:"expected"`
}

func (r *runner) handleOrder(w http.ResponseWriter, req *http.Request) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil || o.Holder == "" || o.FencingToken == 0 || o.Model != string(r.cfg.Model) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.currentMode() {
	case runnerDropsAnswers:
		r.execute(o)
		panic(http.ErrAbortHandler)
	case runnerLags:
		sleep(orderLag)
	}
	w.WriteHeader(r.execute(o))
}

// execute executes an order and returns the status of the answer.
func (r *runner) execute(o order) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.Fenced && o.FencingToken < r.fence {
		return http.StatusPreconditionFailed
	}
	if o.Expected != nil && *o.Expected != r.orders || r.hasModel && time.Now().Before(r.modelReadyAt) {
		return http.StatusConflict
	}
	r.checkHolder(o)
	switch {
	case o.Adapter == "":
		return r.loadModel()
	case !r.hasModel:
		return http.StatusBadRequest
	case o.Operation == "load":
		return r.load(o.Adapter, max(wick.Revision(o.Version), 1))
	}
	return r.unload(o.Adapter)
}

// checkHolder records a violation if an order that passed the checks of the token
// and the expected number came from a holder whose term is over, or that shares
// its fencing token with another holder.
func (r *runner) checkHolder(o order) {
	switch {
	case o.FencingToken < r.fence:
		r.cfg.Ledger.violate("%s: order of %s with token %d after token %d", r.cfg.Name, o.Holder, o.FencingToken, r.fence)
	case o.FencingToken == r.fence && o.Holder != r.holder:
		r.cfg.Ledger.violate("%s: orders of both %s and %s with token %d", r.cfg.Name, r.holder, o.Holder, r.fence)
	}
	r.fence, r.holder = max(r.fence, o.FencingToken), o.Holder
}

func (r *runner) loadModel() int {
	if r.hasModel {
		return http.StatusOK
	}
	r.orders++
	r.hasModel, r.modelReadyAt = true, time.Now().Add(loadTime)
	return http.StatusAccepted
}

func (r *runner) load(name string, revision wick.Revision) int {
	old := r.slots[name]
	if old != nil && old.revision == revision && !old.unloading {
		return http.StatusOK
	}
	taken := len(r.slots)
	if old != nil && old.users > 0 {
		taken++ // Has no effect, as the check below applies only without an old version.
	}
	if old == nil && taken >= int(r.cfg.Adapters) {
		r.cfg.Ledger.violate("%s: ordered to load %s with %d slots taken", r.cfg.Name, name, taken)
		return http.StatusBadRequest
	}
	if used := r.cfg.ModelSize + wick.Megabytes(len(r.slots))*r.cfg.AdapterSize; old == nil && r.cfg.Memory > 0 && used+r.cfg.AdapterSize > r.cfg.Memory {
		r.cfg.Ledger.violate("%s: ordered to load %s with %v of %v MB taken", r.cfg.Name, name, used, r.cfg.Memory)
		return http.StatusBadRequest
	}
	r.orders++
	takes := loadTime
	if r.cached[name] {
		takes = cachedTime
	}
	r.cached[name] = true
	r.slots[name] = &slot{revision: revision, readyAt: time.Now().Add(takes)}
	return http.StatusAccepted
}

func (r *runner) unload(name string) int {
	p := r.slots[name]
	if p == nil {
		return http.StatusOK
	}
	r.orders++
	if p.users == 0 {
		delete(r.slots, name)
		return http.StatusOK
	}
	p.unloading = true
	return http.StatusAccepted
}
