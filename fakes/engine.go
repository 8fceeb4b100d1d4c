package fakes

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"currantwick"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	// Address is where the engine listens; port 0 picks a free port.
	Address wick.Address `json:"Address"`
	// Model is the base model's name.
	Model wick.ModelName `json:"Model"`
	// BatchSlots is the maximum number of running requests; at least 1.
	BatchSlots wick.Slots `json:"BatchSlots"`
	// AdapterSlots is the maximum number of resident adapters.
	AdapterSlots wick.Slots `json:"AdapterSlots"`
	// QueueBound is the maximum number of waiting requests; 0 for no limit.
	QueueBound wick.Slots `json:"QueueBound,omitempty"`
	// A step takes Base plus PerSequence for each request in the batch.
	Base        wick.Duration `json:"Base"`
	PerSequence wick.Duration `json:"PerSequence"`
	// PerPromptToken is the time to prefill one token of a prompt.
	PerPromptToken wick.Duration `json:"PerPromptToken,omitempty"`
	// PrefixCache is the size of the prefix cache in tokens.
	PrefixCache wick.Tokens `json:"PrefixCache,omitempty"`
	// ReportLag is the minimum age of reports, except soon after a start or
	// restart.
	ReportLag wick.Duration `json:"ReportLag,omitempty"`
	// Beat is the interval between heartbeats of a waiting stream.
	Beat wick.Duration `json:"Beat,omitempty"`
	// ChecksFencing makes the engine refuse orders with a stale fencing token.
	ChecksFencing bool `json:"ChecksFencing,omitempty"`
	// Store is the address of the weight store of another process.
	Store wick.Address `json:"Store,omitempty"`
	// Weights is a weight store in this process; it takes precedence over
	// Store.
	Weights *Store `json:"-"`
}

// defaultHeartbeat is the interval between heartbeats where the settings name
// none.
const defaultHeartbeat = 200 * time.Millisecond

// EngineStats holds the counters of an engine since it was started. A simulated
// crash doesn't reset them.
type EngineStats struct {
	// Runs counts, for each request id, how often it entered the batch.
	Runs map[wick.RequestID]int `json:"Runs"`
	// RunsOn counts the same for each model.
	RunsOn map[string]int `json:"RunsOn"`
	Tokens wick.Tokens    `json:"Tokens"`
	// Finished counts completed requests, and Canceled those that were canceled
	// in the batch or in the queue.
	Finished int `json:"Finished"`
	Canceled int `json:"Canceled"`
	// Loads, Unloads and FailedLoads count orders by their result.
	Loads       int `json:"Loads"`
	Unloads     int `json:"Unloads"`
	FailedLoads int `json:"FailedLoads"`
	// Violations counts unloads of adapters that requests ran on or waited
	// for, and Evicted counts those requests.
	Violations int `json:"Violations"`
	Evicted    int `json:"Evicted"`
	// WrongModel counts requests whose prompt contains "want:MODEL" and that
	// ran on another model.
	WrongModel int `json:"WrongModel"`
	// BadResumes counts requests to continue an answer after a text that is
	// not a prefix of this answer.
	BadResumes int `json:"BadResumes"`
	// NotResident, QueueFull, OldFencing, SlotsFull and Expired count refusals.
	NotResident int `json:"NotResident"`
	QueueFull   int `json:"QueueFull"`
	OldFencing  int `json:"OldFencing"`
	SlotsFull   int `json:"SlotsFull"`
	Expired     int `json:"Expired"`
	// Steps counts steps, and BatchSum adds up the batch size of each step, so
	// BatchSum/Steps/BatchSlots is the batch efficiency.
	Steps    int `json:"Steps"`
	BatchSum int `json:"BatchSum"`
	// Cached counts the prompt tokens found in the prefix cache, and Prefilled
	// the other tokens that requests started with: prompt tokens, and answer
	// tokens of resumed requests.
	Prefilled wick.Tokens `json:"Prefilled"`
	Cached    wick.Tokens `json:"Cached"`
	Crashes   int         `json:"Crashes"`
}

// Engine is a fake of a model engine with continuous batching. One
// goroutine runs the steps of the batch, and one for each request sends its
// tokens.
type Engine struct {
	cfg      EngineConfig
	server   *server
	group    errgroup.Group
	lifetime context.Context // canceled by Close
	stop     context.CancelFunc
	// wake holds a value when there may be work for the batch.
	wake chan struct{}

	mu       sync.Mutex
	boot     int
	resident map[string]bool
	loading  map[string]*loading
	fenced   fence
	waiting  []*sequence // in the order in which they enter the batch
	running  []*sequence
	prefix   *prefixCache
	samples  []sample // oldest first
	faults   faults
	stats    EngineStats
}

// StartEngine starts an engine.
func StartEngine(cfg EngineConfig) (*Engine, error) {
	cfg.BatchSlots = max(cfg.BatchSlots, 1)
	if cfg.Beat <= 0 {
		cfg.Beat = wick.Duration(defaultHeartbeat)
	}
	e := &Engine{cfg: cfg, wake: make(chan struct{}, 1), faults: faults{slow: 1}}
	e.stats.Runs = map[wick.RequestID]int{}
	e.stats.RunsOn = map[string]int{}
	e.clearState()
	e.server = newServer(e.handle)
	e.lifetime, e.stop = context.WithCancel(context.Background())
	if err := e.server.open(cfg.Address); err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	e.group.Go(func() error { return e.runBatch(e.lifetime) })
	e.group.Go(func() error { return e.sampleReports(e.lifetime) })
	return e, nil
}

// clearState drops the state that an engine loses when it restarts; e.mu is
// held.
func (e *Engine) clearState() {
	e.boot++
	e.resident = map[string]bool{}
	e.loading = map[string]*loading{}
	e.fenced = fence{}
	e.waiting = nil
	e.running = nil
	e.prefix = newPrefixCache(e.cfg.PrefixCache)
	e.samples = []sample{{time.Now(), e.report()}}
}

// Address returns where the engine listens.
func (e *Engine) Address() wick.Address { return e.server.Address() }

// Close stops the engine and aborts its requests.
func (e *Engine) Close() error {
	e.stop()
	e.mu.Lock()
	e.abortAll()
	e.mu.Unlock()
	if err := e.server.Close(); err != nil {
		return fmt.Errorf("engine: %w", err)
	}
	if err := e.group.Wait(); err != nil {
		return fmt.Errorf("engine: %w", err)
	}
	return nil
}

// Stats returns a copy of the engine's counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Runs = copyCounts(s.Runs)
	s.RunsOn = copyCounts(s.RunsOn)
	return s
}

func copyCounts[K comparable](m map[K]int) map[K]int {
	out := make(map[K]int, len(m))
	for k, n := range m {
		out[k] = n
	}
	return out
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/completions":
		e.complete(ctx)
	case "/v1/load_lora_adapter":
		e.order(ctx, wick.OrderLoad)
	case "/v1/unload_lora_adapter":
		e.order(ctx, wick.OrderUnload)
	case "/v1/report":
		reply(ctx, e.laggedReport())
	case "/health":
		ctx.SetStatusCode(fasthttp.StatusOK)
	case "/stats":
		reply(ctx, e.Stats())
	case "/control":
		var c EngineControl
		if decodeControl(ctx, &c) {
			e.Control(c)
		}
	default:
		refuse(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// sample is a report and the time of its measurement.
type sample struct {
	at     time.Time
	report wick.Report
}

// sampleEvery is the interval between samples for reports.
const sampleEvery = 20 * time.Millisecond

// sampleReports takes a sample at each interval, from which delayed reports are
// served.
func (e *Engine) sampleReports(ctx context.Context) error {
	t := time.NewTicker(sampleEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		e.mu.Lock()
		e.sample()
		e.mu.Unlock()
	}
}

// sample adds a report. Of the reports at least as old as the lag it keeps
// only the newest; e.mu is held.
func (e *Engine) sample() {
	now := time.Now()
	e.samples = append(e.samples, sample{now, e.report()})
	drop := 0
	for drop+1 < len(e.samples) && now.Sub(e.samples[drop+1].at) >= e.cfg.ReportLag.Std() {
		drop++
	}
	e.samples = e.samples[drop:]
}

// report returns the current state; e.mu is held.
func (e *Engine) report() wick.Report {
	serving := map[string]wick.Slots{}
	for _, s := range e.waiting {
		serving[s.model]++
	}
	for _, s := range e.running {
		serving[s.model]++
	}
	r := wick.Report{
		Boot:    strconv.Itoa(e.boot),
		Running: wick.Slots(len(e.running)),
		Waiting: wick.Slots(len(e.waiting)),
	}
	for name := range e.resident {
		r.Resident = append(r.Resident, wick.Resident{Ref: parseRef(name), Serving: serving[name]})
	}
	return r
}

// laggedReport returns the newest report that is at least as old as the lag, or
// the oldest one since the engine started if none is.
func (e *Engine) laggedReport() wick.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ReportLag <= 0 {
		return e.report()
	}
	e.sample()
	s := e.samples[0]
	s.report.Age = wick.Duration(time.Since(s.at))
	return s.report
}
