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

const (
	// beatTime is the time between two reports of a server to the store.
	beatTime = 1200 * time.Millisecond
	// touchTime is stabilityWindowMs.
	touchTime = 3 * time.Second
	// downTime is how long a crashed server is down.
	downTime = 3 * time.Second
	// serverWindow is the receive buffer of a server's sockets, in bytes: links have small
	// windows.
	serverWindow = 16 << 10
)

// Names of the services.
const (
	engineService = "draft-models"
	plainService  = "booking-desk"
)

// Figures of the plain service on the sheet of the small deployments.
const (
	plainServers = 3
	plainSlots   = 6
	plainQueue   = 24
	plainWork    = 15 * time.Millisecond
	plainBytes   = 800
)

// server is a stand-in for a plain service, or for an engine that holds its model and no
// adapters.
type server struct {
	id, addr, zone, service string
	// slots and queue are the number of requests that run and wait at once.
	slots, queue int
	world        *world
	answer       answer
	// readsLate is set while the server reads long bodies after it has answered.
	readsLate atomic.Bool
	// deadly is called when a request begins to run, and reports whether it crashes the
	// server; nil if none does.
	deadly func(id string, body []byte) bool

	born int64
	http *http.Server
	// down is set once this start has crashed.
	down atomic.Bool

	mu      sync.Mutex
	running int
	waiting int
	free    *sync.Cond
	// ended are the requests that ran to a good end.
	ended map[string]bool
	// begun are the requests that began to run.
	begun map[string]bool
}

// answer describes the answers of a server.
type answer struct {
	// events is the number of events, and eventBytes the size of the data of each.
	events, eventBytes int
	// pace is the time of each event.
	pace time.Duration
}

// startServers starts engines and the plain service, in all zones in turn. It returns the
// engines.
func (w *world) startServers(count int, a answer) ([]*server, error) {
	zones := []string{"addis-a", "addis-b", "adama"}
	var list []*server
	for i := range count + plainServers {
		s := &server{
			id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), addr: w.net.at(firstServer+i, portServer), zone: zones[i%3], world: w,
			service: engineService, slots: engineSlots, queue: engineQueue,
			answer: a, ended: make(map[string]bool), begun: make(map[string]bool),
		}
		if i >= count {
			s.service, s.slots, s.queue = plainService, plainSlots, plainQueue
		}
		if err := s.start(); err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	return list[:count], nil
}

func (s *server) start() error {
	lc := net.ListenConfig{Control: receiveBuffer(serverWindow)}
	l, err := lc.Listen(context.Background(), "tcp", s.addr)
	if err != nil {
		return fmt.Errorf("listen for server: %w", err)
	}
	s.born = time.Now().UnixMilli()
	s.free = sync.NewCond(&s.mu)
	s.http = &http.Server{Handler: s}
	s.world.group.Go(func() error {
		_ = s.http.Serve(l) // Ends with the server.
		return nil
	})
	s.publish(1)
	s.world.group.Go(func() error {
		n := 1
		for range time.Tick(beatTime) {
			if s.down.Load() {
				return nil
			}
			n++
			s.publish(n)
		}
		return nil
	})
	return nil
}

// crash ends this start and all that it runs. Another one begins at the address after
// downTime; the record of this one goes after three beats without a report.
func (s *server) crash() {
	if s.down.Swap(true) {
		return
	}
	s.world.record.add("%s: crashes", s.id)
	_ = s.http.Close() // Nothing can be done about a failure.
	time.AfterFunc(3*beatTime, func() { s.world.store.put(names.ServerTopic, -1, entry{s.id, nil}) })
	time.AfterFunc(downTime, func() {
		next := &server{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), addr: s.addr, zone: s.zone, world: s.world, service: s.service, slots: s.slots, queue: s.queue,
			answer: s.answer, deadly: s.deadly, ended: s.ended, begun: s.begun,
		}
		if err := next.start(); err != nil {
			s.world.record.say("server not started again: %v", err)
		}
	})
}

func (s *server) publish(beat int) {
	state := map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": beat, "born": s.born,
	}
	if s.service == engineService {
		state["stage"], state["models"] = "both", loadedModels()
	}
	data, err := json.Marshal(state)
	if err == nil {
		s.world.store.put(names.ServerTopic, -1, entry{s.id, data})
	}
}

func loadedModels() []map[string]any {
	return []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, h := r.Header.Get(names.Attempt), w.Header()
	h.Set(names.Attempt, id)
	if want := r.Header.Get(names.Expect); want != "" && want != s.id {
		h.Set(names.Instance, s.id)
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
			"stage": "both", "models": loadedModels(), "incoming": []string{}, "busy": false, "sequence": 0, "born": s.born,
			"waiting": 0, "running": 0, "cacheUsed": 0, "cacheTotal": engineTokens, "handles": 0,
		})
		return
	}
	var body []byte
	if s.readsLate.Load() {
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
	if !s.enter() {
		h.Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	if s.service == engineService {
		s.stream(w, r, id, body)
		return
	}
	time.Sleep(plainWork)
	h.Set(names.Seal, "seal."+s.id+"."+id)
	_, _ = io.WriteString(w, strings.Repeat("x", plainBytes)) // The caller may have left.
}

// enter waits for a slot and returns false if the queue is full.
func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots && s.waiting >= s.queue {
		return false
	}
	s.waiting++
	for s.running >= s.slots {
		s.free.Wait()
	}
	s.waiting--
	s.running++
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.free.Signal()
}

// stream answers with the events after the last one that the caller has.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	h, control := w.Header(), http.NewResponseController(w)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // Without it, from the first event on.
	data := strings.Repeat("x", s.answer.eventBytes)
	for i := last; i < s.answer.events; i++ {
		select {
		case <-time.After(s.answer.pace):
		case <-r.Context().Done():
			s.world.record.add("%s: %s dropped after %d events, its channel is closed", s.id, id, i)
			return
		}
		if i == last {
			s.mu.Lock()
			s.begun[id] = true
			s.mu.Unlock()
			s.world.record.add("%s: %s begins to run", s.id, id)
			if s.deadly != nil && s.deadly(id, body) {
				s.crash()
				panic(http.ErrAbortHandler)
			}
			h.Set(names.Seal, "seal."+s.id+"."+id)
			h.Set("Content-Type", "text/event-stream")
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, data); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
	s.mu.Lock()
	s.ended[id] = true
	s.mu.Unlock()
	s.world.record.add("%s: %s ran to its end", s.id, id)
}

// ranToEnd reports whether a request ran to a good end at one of the servers.
func ranToEnd(list []*server, id string) bool {
	for _, s := range list {
		s.mu.Lock()
		ended := s.ended[id]
		s.mu.Unlock()
		if ended {
			return true
		}
	}
	return false
}

// hasBegun reports whether a request began to run at one of the servers.
func hasBegun(list []*server, id string) bool {
	for _, s := range list {
		s.mu.Lock()
		begun := s.begun[id]
		s.mu.Unlock()
		if begun {
			return true
		}
	}
	return false
}
