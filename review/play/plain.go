package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// plain is a stand-in for a runner of the light application.
type plain struct {
	sys  *system
	id   string
	born int64
	at   string
	// work is how long a request takes.
	work time.Duration
	// answer writes the answer to a request that has run; it is called in its goroutine.
	answer func(w http.ResponseWriter, id string)
	ran    *runs
	server *http.Server
	// stopped is closed once the runner publishes no record any more.
	stopped chan struct{}

	mu       sync.Mutex
	arrivals []time.Time
}

// leave removes the entry of the runner and returns when. The runner serves for a while
// longer, and then ends with what it runs.
func (p *plain) leave() time.Time {
	close(p.stopped)
	p.sys.store.put(names.RunnerTopic, -1, entry{p.id, nil})
	at := time.Now()
	p.sys.record.line("the entry of runner %s is removed", p.id)
	p.sys.group.Go(func() error {
		sleep(lingers)
		p.sys.record.line("runner %s ends", p.id)
		p.server.Close()
		return nil
	})
	return at
}

// arrivedAfter counts the requests that reached the runner after an instant.
func (p *plain) arrivedAfter(t time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, at := range p.arrivals {
		if at.After(t) {
			n++
		}
	}
	return n
}

// runs are the requests that runners ran, by their identifiers.
type runs struct {
	mu    sync.Mutex
	count map[string]int
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == nil {
		r.count = make(map[string]int)
	}
	r.count[id]++
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[id]
}

// startPlain starts runners of the light application.
func (s *system) startPlain(n int, work time.Duration, ran *runs, answer func(w http.ResponseWriter, id string)) error {
	for i := range n {
		l, err := listen()
		if err != nil {
			return err
		}
		p := &plain{sys: s, id: fmt.Sprintf("i-%s", newID()[:10]), born: time.Now().UnixMilli(), at: l.Addr().String(), work: work, answer: answer, ran: ran}
		p.stopped = make(chan struct{})
		p.server = s.serve(l, p)
		s.plain = append(s.plain, p)
		s.publish(p.id, p.stopped, func() map[string]any {
			return map[string]any{"service": "control", "address": p.at, "zone": zones[i%len(zones)], "slots": 6, "born": p.born, "models": []string{}}
		})
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h, id := w.Header(), r.Header.Get(names.Request)
	h.Set(names.Request, id)
	if want := r.Header.Get(names.Endpoint); want != "" && want != p.id {
		h.Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		h.Set(names.Self, p.id)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	p.mu.Unlock()
	p.ran.add(id)
	p.sys.record.line("runner %s runs %s %s", p.id, id, r.URL.Path)
	sleep(p.work)
	h.Set(names.Seal, "seal."+id)
	p.answer(w, id)
}
