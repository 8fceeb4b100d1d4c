package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"currantwick"
)

// runnerMode is how a runner handles requests and orders.
type runnerMode string

// The modes of a runner.
const (
	runnerServes runnerMode = "Serves"
	// runnerSlow takes slowEventTime instead of eventTime.
	runnerSlow runnerMode = "Slow"
	// runnerFails runs requests but answers with an error.
	runnerFails runnerMode = "Fails"
	// runnerFull refuses requests.
	runnerFull runnerMode = "Full"
	// runnerPauses refuses requests and asks for a pause of pauseTime.
	runnerPauses runnerMode = "Pauses"
	// runnerLeaves says in all answers that it is about to end, and serves.
	runnerLeaves runnerMode = "Leaves"
	// runnerBreaks cuts answers off.
	runnerBreaks runnerMode = "Breaks"
	// runnerDropsAnswers executes orders and drops their answers.
	runnerDropsAnswers runnerMode = "Mute"
	// runnerLags executes orders late, after their sender has timed out.
	runnerLags runnerMode = "Lags"
)

const (
	// eventTime is the time that a runner takes for each event of a stream and
	// for a call, and slowEventTime that of a slow runner.
	eventTime     = 5 * time.Millisecond
	slowEventTime = 150 * time.Millisecond
	// loadTime is the time of a load, cachedTime that of a cached adapter.
	loadTime   = 120 * time.Millisecond
	cachedTime = 12 * time.Millisecond
	// orderLag is how late runnerLags executes an order.
	orderLag = 400 * time.Millisecond
	// pauseTime is the pause that runnerPauses asks for.
	pauseTime = 5 * time.Second
	// eventsPerStream is the number of events of a stream.
	eventsPerStream = 4
)

// runnerConfig configures a runner.
type runnerConfig struct {
	Name  wick.EndpointName
	Model wick.ModelName
	// Adapters is the number of adapter slots.
	Adapters wick.Slots
	// Memory is the memory for the model, of ModelSize, and for adapters, of
	// AdapterSize each; 0 if it is not limited.
	Memory, ModelSize, AdapterSize wick.Megabytes
	// Fenced is set if the runner rejects orders with an old fencing token.
	Fenced bool
	Ledger *ledger
	// Deadly reports whether a request crashes the runner, which Crash does. It may
	// be nil.
	Deadly func(h http.Header, body []byte) bool
	Crash  func()
}

// runner is a fake of one incarnation of a platform runner.
type runner struct {
	cfg runnerConfig

	mu   sync.Mutex
	mode runnerMode
	// orders is the number of orders that changed the runner's state. An order
	// whose expected number differs is refused.
	orders int
	// hasModel is set when the base model is loaded or loading; it is ready at
	// modelReadyAt.
	hasModel     bool
	modelReadyAt time.Time
	// fence is the highest token, and holder the last sender, of the orders that
	// passed the checks of the token and the expected number.
	fence    uint64
	holder   string
	slots    map[string]*slot
	cached   map[string]bool
	received []http.Header
	arrivals arrivals
}

// arrivals records the times at which requests arrive.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// after counts the arrivals after an instant.
func (a *arrivals) after(t time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.at {
		if at.After(t) {
			n++
		}
	}
	return n
}

// slot is an adapter that is loading, loaded, or waiting to be unloaded.
type slot struct {
	revision  wick.Revision
	readyAt   time.Time
	users     int
	unloading bool
}

// newRunner returns a runner without adapters, and with its base model if loaded
// is set.
func newRunner(cfg runnerConfig, loaded bool) *runner {
	return &runner{cfg: cfg, mode: runnerServes, hasModel: loaded, slots: make(map[string]*slot), cached: make(map[string]bool)}
}

// setMode sets how the runner handles requests and orders from now on.
func (r *runner) setMode(m runnerMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
}

func (r *runner) currentMode() runnerMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// headers returns the headers of the requests received so far.
func (r *runner) headers() []http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]http.Header(nil), r.received...)
}

// storeRecord returns the runner's record for the store.
func (r *runner) storeRecord(pool wick.PoolName, at wick.Address, in wick.Domain, slots wick.Slots, state string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := json.Marshal(map[string]any{
		"service": pool, "address": at, "zone": in, "slots": slots, "state": state, "born": time.Now().UnixMilli(), "models": r.models(),
	})
	if err != nil {
		return ""
	}
	return string(data)
}

// models returns the model and its loaded adapters in the format of reports.
// The caller must hold r.mu.
func (r *runner) models() []map[string]any {
	if !r.hasModel || time.Now().Before(r.modelReadyAt) {
		return []map[string]any{}
	}
	names := []string{}
	for name, p := range r.slots {
		if !time.Now().Before(p.readyAt) {
			names = append(names, fmt.Sprintf("%s@%d", name, p.revision))
		}
	}
	return []map[string]any{{"name": r.cfg.Model, "adapters": names}}
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get("Currantwick-Expect-Instance"); want != "" && want != string(r.cfg.Name) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/currantwick/order":
		r.handleOrder(w, req)
	case "/currantwick/report":
		r.report(w)
	default:
		r.run(w, req)
	}
}

func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	incoming := []string{}
	for name, p := range r.slots {
		if time.Now().Before(p.readyAt) {
			incoming = append(incoming, fmt.Sprintf("%s/%s@%d", r.cfg.Model, name, p.revision))
		}
	}
	// The client may have disconnected.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"models": r.models(), "sequence": r.orders, "incoming": incoming, "busy": r.hasModel && time.Now().Before(r.modelReadyAt),
	})
}

// admit admits a request and records its run, or returns the status with which
// it is refused. The slot is nil for a request without an adapter.
func (r *runner) admit(id wick.RequestID, h http.Header) (*slot, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, h.Clone())
	r.arrivals.add()
	if r.mode == runnerFull || r.mode == runnerPauses {
		return nil, http.StatusServiceUnavailable
	}
	model, name, _ := strings.Cut(h.Get("Currantwick-Model"), "/")
	run := run{Runner: r.cfg.Name, At: time.Now()}
	if name == "" {
		if model != "" && (!r.hasModel || time.Now().Before(r.modelReadyAt)) {
			return nil, http.StatusMisdirectedRequest
		}
		r.cfg.Ledger.Begin(id, run)
		return nil, 0
	}
	p := r.slots[name]
	want := h.Get("Currantwick-Expect-Version")
	switch {
	case p == nil || p.unloading || want != "" && want != strconv.FormatUint(uint64(p.revision), 10):
		return nil, http.StatusMisdirectedRequest
	case time.Now().Before(p.readyAt):
		return nil, http.StatusServiceUnavailable
	}
	run.Revision = p.revision
	p.users++
	r.cfg.Ledger.Begin(id, run)
	return p, 0
}

func (r *runner) release(h http.Header, p *slot) {
	if p == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p.users--
	_, name, _ := strings.Cut(h.Get("Currantwick-Model"), "/")
	if p.unloading && p.users == 0 && r.slots[name] == p {
		delete(r.slots, name)
	}
}

// event returns the n-th event of the stream that answers a request.
func event(id wick.RequestID, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// answer returns the answer to a call.
func answer(id wick.RequestID) string { return "answer to " + string(id) }

// seal is the value of the header that marks an answer as a runner's.
const seal = "seal"

// sealOf returns the seal header of an answer.
func sealOf(h http.Header) string { return h.Get("Currantwick-Server-Seal") }

func (r *runner) run(w http.ResponseWriter, req *http.Request) {
	id := wick.RequestID(req.Header.Get("Currantwick-Attempt-Identifier"))
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Currantwick-Attempt-Identifier", string(id))
	h.Set("Currantwick-Server-Seal", seal)
	p, status := r.admit(id, req.Header)
	switch r.currentMode() {
	case runnerPauses:
		h.Set("Retry-After", strconv.FormatFloat(pauseTime.Seconds(), 'f', 1, 64))
	case runnerLeaves:
		h.Set("Server-Leaving", "1")
	}
	if status != 0 {
		h.Set("Currantwick-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer r.release(req.Header, p)
	if r.cfg.Deadly != nil && r.cfg.Deadly(req.Header, body) {
		r.work()
		r.cfg.Crash()
		panic(http.ErrAbortHandler)
	}
	if r.currentMode() == runnerFails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if strings.HasPrefix(req.URL.Path, "/stream/") {
		r.stream(w, req, id)
		return
	}
	r.work()
	if r.currentMode() == runnerBreaks {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer(id)) // The client may have disconnected.
}

func (r *runner) work() {
	if r.currentMode() == runnerSlow {
		sleep(slowEventTime)
		return
	}
	sleep(eventTime)
}

func (r *runner) stream(w http.ResponseWriter, req *http.Request, id wick.RequestID) {
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // Without the header, start with the first event.
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := after + 1; n <= eventsPerStream && req.Context().Err() == nil; n++ {
		r.work()
		event := event(id, n)
		if n > 1 && r.currentMode() == runnerBreaks {
			_, _ = io.WriteString(w, event[:len(event)/2]) // The answer is cut off anyway.
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
}
