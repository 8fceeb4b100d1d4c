package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// endpointWindow is the receive buffer of an endpoint's sockets, in bytes: links have small
// windows.
const endpointWindow = 16 << 10

// Figures of an engine on the sheet of the small deployments.
const (
	engineSlots  = 128
	engineQueue  = 384
	engineTokens = 149363
)

// Names of the services.
const (
	engineService = "draft-models"
	plainService  = "booking-desk"
)

// Further figures of the plain service there.
const (
	plainServers = 3
	plainBytes   = 800
)

// endpoint is a stand-in for a plain service, or for an engine that holds its model and no
// adapters. Unlike plain it has a queue, and its engine may answer before it reads a request.
type endpoint struct {
	id, addr, zone, service string
	// slots and queue are the number of requests that run and wait at once.
	slots, queue int
	world        *world
	shape        shape
	// readsLate is set while the server reads long bodies after it has answered.
	readsLate atomic.Bool
	// deadly is called when a request begins to run, and reports whether it crashes the
	// server; nil if none does.
	deadly func(id string, body []byte) bool
	// begun has the requests that began to run at any endpoint, ended those that ran to a
	// good end.
	begun, ended *ledger

	born int64
	http *http.Server
	// down is set once this start has crashed.
	down atomic.Bool

	mu      sync.Mutex
	running int
	waiting int
	free    *sync.Cond
}

// shape describes the answers of an engine.
type shape struct {
	// events is the number of events, and eventBytes the size of the data of each.
	events, eventBytes int
	// pace is the time of each event.
	pace time.Duration
}

// startEndpoints starts engines and the plain service, in all zones in turn. It returns the
// engines.
func (w *world) startEndpoints(count int, a shape) ([]*endpoint, error) {
	zones := []string{"addis-a", "addis-b", "adama"}
	begun, ended := newLedger(), newLedger()
	var list []*endpoint
	for i := range count + plainServers {
		e := &endpoint{
			id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), addr: w.net.at(firstServer+i, portServer), zone: zones[i%3], world: w,
			service: engineService, slots: engineSlots, queue: engineQueue,
			shape: a, begun: begun, ended: ended,
		}
		if i >= count {
			e.service, e.slots, e.queue = plainService, plainSlots, plainQueue
		}
		if err := e.start(); err != nil {
			return nil, err
		}
		list = append(list, e)
	}
	return list[:count], nil
}

func (e *endpoint) start() error {
	lc := net.ListenConfig{Control: receiveBuffer(endpointWindow)}
	l, err := lc.Listen(context.Background(), "tcp", e.addr)
	if err != nil {
		return fmt.Errorf("listen for server: %w", err)
	}
	e.born = time.Now().UnixMilli()
	e.free = sync.NewCond(&e.mu)
	e.http = &http.Server{Handler: e}
	e.world.group.Go(func() error {
		_ = e.http.Serve(l) // Ends with the server.
		return nil
	})
	e.publish(1)
	e.world.group.Go(func() error {
		n := 1
		for range time.Tick(beatTime) {
			if e.down.Load() {
				return nil
			}
			n++
			e.publish(n)
		}
		return nil
	})
	return nil
}

// crash ends this start and all that it runs. Another one begins at the address after
// plainDown; the record of this one goes after three beats without a report.
func (e *endpoint) crash() {
	if e.down.Swap(true) {
		return
	}
	e.world.record.add("%s: crashes", e.id)
	_ = e.http.Close() // Nothing can be done about a failure.
	time.AfterFunc(3*beatTime, func() { e.world.store.put(names.ServerTopic, -1, entry{e.id, nil}) })
	time.AfterFunc(plainDown, func() {
		next := &endpoint{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), addr: e.addr, zone: e.zone, world: e.world, service: e.service, slots: e.slots, queue: e.queue,
			shape: e.shape, deadly: e.deadly, begun: e.begun, ended: e.ended,
		}
		if err := next.start(); err != nil {
			e.world.record.say("server not started again: %v", err)
		}
	})
}

func (e *endpoint) publish(beat int) {
	state := map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": beat, "born": e.born,
	}
	if e.service == engineService {
		state["stage"], state["models"] = "both", baseModel()
	}
	data, err := json.Marshal(state)
	if err == nil {
		e.world.store.put(names.ServerTopic, -1, entry{e.id, data})
	}
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, h := r.Header.Get(names.Attempt), w.Header()
	h.Set(names.Attempt, id)
	if want := r.Header.Get(names.Expect); want != "" && want != e.id {
		h.Set(names.Instance, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case names.Order:
		return // The model is there already, and no adapter is asked for.
	case names.Report:
		h.Set("Content-Type", "application/json")
		// The caller may have left.
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": baseModel(), "incoming": []string{}, "busy": false, "sequence": 0, "born": e.born,
			"waiting": 0, "running": 0, "cacheUsed": 0, "cacheTotal": engineTokens, "handles": 0,
		})
		return
	}
	var body []byte
	if e.readsLate.Load() {
		// It fails only on a closed channel.
		_ = http.NewResponseController(w).EnableFullDuplex()
		// The body is read after the answer, so that the channel can be kept.
		defer io.Copy(io.Discard, r.Body)
	} else {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if !e.enter() {
		h.Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	if e.service == engineService {
		e.stream(w, r, id, body)
		return
	}
	time.Sleep(plainWork)
	h.Set(names.Seal, "seal."+e.id+"."+id)
	_, _ = io.WriteString(w, strings.Repeat("x", plainBytes)) // The caller may have left.
}

// enter waits for a slot and returns false if the queue is full.
func (e *endpoint) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.slots && e.waiting >= e.queue {
		return false
	}
	e.waiting++
	for e.running >= e.slots {
		e.free.Wait()
	}
	e.waiting--
	e.running++
	return true
}

func (e *endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.free.Signal()
}

// stream answers with the events after the last one that the caller has.
func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	h, control := w.Header(), http.NewResponseController(w)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // Without it, from the first event on.
	data := strings.Repeat("x", e.shape.eventBytes)
	for i := last; i < e.shape.events; i++ {
		select {
		case <-time.After(e.shape.pace):
		case <-r.Context().Done():
			e.world.record.add("%s: %s dropped after %d events, its channel is closed", e.id, id, i)
			return
		}
		if i == last {
			e.begun.run(id, e.id)
			e.world.record.add("%s: %s begins to run", e.id, id)
			if e.deadly != nil && e.deadly(id, body) {
				e.crash()
				panic(http.ErrAbortHandler)
			}
			h.Set(names.Seal, "seal."+e.id+"."+id)
			h.Set("Content-Type", "text/event-stream")
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, data); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
	e.ended.run(id, e.id)
	e.world.record.add("%s: %s ran to its end", e.id, id)
}

// has reports whether a request is in the ledger.
func (l *ledger) has(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[id]) > 0
}
