package trial

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeatTime is how often a runner publishes its record.
	heartbeatTime = 1200 * time.Millisecond
	// adapterTime is the time of an adapter's load, and reportAge the age of what a
	// report says.
	adapterTime = 250 * time.Millisecond
	modelName   = "base"
)

// runner is a stand-in for a runner. Without adapter slots it is a plain service.
type runner struct {
	name, service, zone, address string
	slots, adapterSlots          int
	born                         int64
	d                            *deployment
	// server serves the runner, and running counts what it works on where a case says so.
	server  *http.Server
	running atomic.Int32
	// quiet leaves requests out of the record.
	quiet bool
	// answer answers a request that has been admitted.
	answer func(w http.ResponseWriter, r *http.Request, id string)

	mu sync.Mutex
	// sequence counts the orders that were accepted, and fence is the highest token.
	sequence, fence int
	adapters        map[string]*adapter
	// orders are those that arrived, whatever became of them.
	orders []givenOrder
	// removed is set once the entry was removed.
	removed bool
	// ran has the identifiers of the requests that began to run.
	ran map[string]int
}

// givenOrder is an order that arrived.
type givenOrder struct {
	holder string
	token  int
	at     time.Time
}

// adapter is an adapter that is loaded or being loaded.
type adapter struct {
	version, users int
	readyAt        time.Time
	unloading      bool
}

func newRunner(d *deployment, i int, service string, slots, adapterSlots int) *runner {
	return &runner{
		name: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: fmt.Sprintf("zone-%c", 'a'+i%2),
		slots: slots, adapterSlots: adapterSlots, born: time.Now().UnixMilli(), d: d,
		adapters: make(map[string]*adapter), ran: make(map[string]int),
	}
}

// publish writes the runner's record to the store, unless its entry was removed.
func (r *runner) publish() {
	rec := r.recordText()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.removed {
		r.d.store.put(topicRunners, r.name, rec)
	}
}

// remove removes the runner's entry from the store. The runner serves on.
func (r *runner) remove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed = true
	offset := r.d.store.put(topicRunners, r.name, "")
	r.d.notef("store: offset %d removes the entry of %s", offset, r.name)
}

// runs returns how often a request ran.
func (r *runner) runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

// total returns how many requests ran.
func (r *runner) total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ran)
}

// recordText returns the runner's record for the store.
func (r *runner) recordText() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.adapterSlots > 0 {
		rec["stage"], rec["models"] = "both", r.models()
	}
	return text(rec)
}

// models lists what is loaded; r.mu is held.
func (r *runner) models() []map[string]any {
	names := []string{}
	for name, a := range r.adapters {
		if time.Now().After(a.readyAt) {
			names = append(names, fmt.Sprintf("%s@%d", name, a.version))
		}
	}
	return []map[string]any{{"name": modelName, "version": 1, "adapters": names}}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Currantwick-Attempt-Identifier")
	w.Header().Set("Currantwick-Instance", r.name)
	if want := q.Header.Get("Currantwick-Expect-Instance"); want != "" && want != r.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/currantwick/order":
		r.order(w, q)
		return
	case "/currantwick/report":
		r.report(w)
		return
	}
	w.Header().Set("Currantwick-Attempt-Identifier", id)
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return // The sender has closed the connection.
	}
	a, status := r.admit(q)
	if status != 0 {
		w.Header().Set("Currantwick-Not-Executed", "1")
		w.WriteHeader(status)
		r.d.notef("%s refuses request %s with %d", r.name, id, status)
		return
	}
	if !r.quiet {
		r.d.notef("%s runs request %s, %s %s, %d bytes", r.name, id, q.Method, q.URL.Path, len(body))
	}
	w.Header().Set("Currantwick-Server-Seal", r.name+"."+id)
	r.answer(w, q, id)
	if !r.quiet {
		r.d.notef("%s has answered request %s: channel open %v", r.name, id, q.Context().Err() == nil)
	}
	if a != nil {
		r.mu.Lock()
		a.users--
		r.mu.Unlock()
	}
}

// admit begins to run a request, or returns the status with which it is refused.
func (r *runner) admit(q *http.Request) (*adapter, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := q.Header.Get("Currantwick-Attempt-Identifier")
	model, name, _ := strings.Cut(q.Header.Get("Currantwick-Model"), "/")
	if model == "" || name == "" {
		r.ran[id]++
		return nil, 0
	}
	a, want := r.adapters[name], q.Header.Get("Currantwick-Expect-Version")
	switch {
	case a == nil || a.unloading || time.Now().Before(a.readyAt), want != "" && want != strconv.Itoa(a.version):
		return nil, http.StatusMisdirectedRequest
	}
	a.users++
	r.ran[id]++
	return a, 0
}

// orderBody is an order.
type orderBody struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Version      int    `json:"version"`
	Holder       string `json:"holder"`
	FencingToken int    `json:"fencingToken"`
	Expected     *int   `json:"expected"`
}

func (r *runner) order(w http.ResponseWriter, q *http.Request) {
	var o orderBody
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Holder == "" || o.FencingToken == 0 || o.Adapter == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	status := r.carryOut(o)
	r.orders = append(r.orders, givenOrder{o.Holder, o.FencingToken, time.Now()})
	r.mu.Unlock()
	r.d.notef("%s: order %s %s by %s, token %d: %d", r.name, o.Operation, o.Adapter, o.Holder, o.FencingToken, status)
	w.WriteHeader(status)
}

// carryOut carries out an order; r.mu is held.
func (r *runner) carryOut(o orderBody) int {
	if o.FencingToken < r.fence && !r.d.unfenced {
		return http.StatusPreconditionFailed
	}
	if o.Expected != nil && *o.Expected != r.sequence {
		return http.StatusConflict
	}
	r.fence = o.FencingToken
	a := r.adapters[o.Adapter]
	if o.Operation == "unload" {
		if a == nil {
			return http.StatusOK
		}
		r.sequence++
		if a.users == 0 {
			delete(r.adapters, o.Adapter)
			return http.StatusOK
		}
		a.unloading = true
		return http.StatusAccepted
	}
	version := max(o.Version, 1)
	if a != nil && a.version == version {
		return http.StatusOK
	}
	if a == nil && len(r.adapters) >= r.adapterSlots {
		r.d.notef("%s has more adapters than places", r.name)
		return http.StatusBadRequest
	}
	r.sequence++
	r.adapters[o.Adapter] = &adapter{version: version, readyAt: time.Now().Add(adapterTime)}
	return http.StatusAccepted
}

func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	incoming, running := []string{}, 0
	for name, a := range r.adapters {
		running += a.users
		if time.Now().Before(a.readyAt) {
			incoming = append(incoming, fmt.Sprintf("%s/%s@%d", modelName, name, a.version))
		}
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprint(w, text(map[string]any{
		"stage": "both", "models": r.models(), "busy": false, "sequence": r.sequence, "waiting": 0, "running": running,
		"cacheUsed": 0, "cacheTotal": 200000, "handles": 0, "incoming": incoming, "born": r.born,
	}))
}
