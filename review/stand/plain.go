package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the plain service on the sheet of the small deployments.
const (
	plainSlots = 6
	plainQueue = 24
	plainWork  = 15 * time.Millisecond
	beatTime   = 1200 * time.Millisecond
	// plainDown is how long a crashed server is down.
	plainDown = 3 * time.Second
)

// plain is a stand-in for the servers of a plain service at one address. Each start has
// an identifier of its own.
type plain struct {
	addr, zone, service string
	world               *world
	ledger              *ledger
	// deadly reports whether a request crashes the server that begins to run it.
	deadly func(body []byte) bool
	// arrived is called when a deadly request begins to run.
	arrived func(id string)
	// engine is set for a model engine, which answers with streams. It has its model and
	// no adapters.
	engine bool
	// events and pace are the number of events of an answer and the time of each.
	events int
	pace   time.Duration
	// pause is how long an answer stays silent after its third event, as if its request
	// had been preempted; 0 for none.
	pause time.Duration
	// slots is the number of requests that run at once; plainSlots if 0.
	slots int

	mu      sync.Mutex
	id      string
	born    int64
	beat    int
	server  *http.Server
	running int
}

// start begins a new start of the server.
func (p *plain) start(g *errgroup.Group) error {
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return fmt.Errorf("listen for server: %w", err)
	}
	p.mu.Lock()
	p.id, p.born, p.running = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), 0
	id, srv := p.id, &http.Server{}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.handle(g, id, w, r) })
	p.server = srv
	p.mu.Unlock()
	g.Go(func() error {
		_ = srv.Serve(l) // Ends with the server.
		return nil
	})
	p.publish(id)
	g.Go(func() error {
		for range time.Tick(beatTime) {
			if !p.publish(id) {
				return nil
			}
		}
		return nil
	})
	return nil
}

func (p *plain) slotCount() int {
	if p.slots > 0 {
		return p.slots
	}
	return plainSlots
}

// publish writes the server's record and reports whether this start still runs.
func (p *plain) publish(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.id != id {
		return false
	}
	p.beat++
	state := map[string]any{
		"service": p.service, "address": p.addr, "zone": p.zone, "version": 1, "slots": p.slotCount(), "state": "ready", "coldRemainingMs": 0,
		"sequence": p.beat, "born": p.born,
	}
	if p.engine {
		state["models"] = baseModel()
	}
	data, err := json.Marshal(state)
	if err == nil {
		p.world.store.put(names.ServerTopic, -1, entry{id, data})
	}
	return true
}

// crash ends this start and all that it runs. The server is back after plainDown; the
// record of the old start goes after three beats without a report.
func (p *plain) crash(g *errgroup.Group, id string) {
	p.mu.Lock()
	if p.id != id {
		p.mu.Unlock()
		return
	}
	p.id = ""
	srv := p.server
	p.mu.Unlock()
	p.world.record.add("%s: crashes", id)
	_ = srv.Close()
	time.AfterFunc(3*beatTime, func() { p.world.store.put(names.ServerTopic, -1, entry{id, nil}) })
	time.AfterFunc(plainDown, func() {
		if err := p.start(g); err != nil {
			p.world.record.say("server not started again: %v", err)
		}
	})
}

func (p *plain) handle(g *errgroup.Group, id string, w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(names.Attempt)
	h := w.Header()
	h.Set(names.Attempt, attempt)
	if want := r.Header.Get(names.Expect); want != "" && want != id {
		h.Set(names.Instance, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case names.Order:
		return // The model is there already.
	case names.Report:
		p.report(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	p.mu.Lock()
	if p.id != id {
		p.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if p.running >= p.slotCount()+plainQueue {
		p.mu.Unlock()
		h.Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.running++
	p.mu.Unlock()
	n := p.ledger.run(attempt, id)
	p.world.record.add("%s: %s begins to run, run %d", id, attempt, n)
	isDeadly := p.deadly != nil && p.deadly(body)
	if isDeadly {
		p.arrived(attempt)
	}
	if p.engine {
		p.stream(w, r, attempt, isDeadly)
	}
	if isDeadly {
		p.crash(g, id)
		panic(http.ErrAbortHandler)
	}
	if !p.engine {
		time.Sleep(plainWork)
	}
	p.mu.Lock()
	p.running--
	p.mu.Unlock()
	if p.engine {
		return
	}
	h.Set(names.Seal, fmt.Sprintf("seal.%s.%s", id, attempt))
	_, _ = fmt.Fprintf(w, "answer to %s", attempt) // The caller may have left.
}

// baseModel describes what an engine without adapters holds.
func baseModel() []map[string]any {
	return []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}
}

func (p *plain) report(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	// The caller may have left.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": baseModel(), "incoming": []string{}, "busy": false, "sequence": 0, "born": p.born,
		"waiting": 0, "running": 0, "cacheUsed": 0, "cacheTotal": 149363, "handles": 0,
	})
}

// stream answers with the events after the last one that the caller has. A deadly request
// gets the first one only.
func (p *plain) stream(w http.ResponseWriter, r *http.Request, attempt string, deadly bool) {
	const pauseAfter = 3
	h := w.Header()
	h.Set(names.Seal, "seal."+attempt)
	h.Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // Without it, from the first event on.
	for i := last; i < p.events; i++ {
		wait := p.pace
		if i == pauseAfter && last == 0 {
			wait += p.pause
		}
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			p.world.record.add("%s: dropped after %d events, its channel is closed", attempt, i)
			return
		}
		if deadly && i > 0 {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i+1, attempt, i+1); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
}
