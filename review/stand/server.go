package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of an engine on the sheet of the small deployments.
const (
	adapterSlots   = 17
	adapterTime    = 250 * time.Millisecond
	adapterTimeHot = 25 * time.Millisecond
	adaptersAtOnce = 16
	adaptersOnWay  = 4
	eventTime      = 20 * time.Millisecond
	eventsPerRun   = 8
	modelName      = "daka510000"
	modelAdapters  = 3000
	// Sizes in MB: what an engine holds, its model, and an adapter of it.
	engineWeights = 16700
	modelWeights  = 16100
	adapterWeight = 14
)

// transit is the weight store: it shares its throughput among the adapters that are on
// their way to all engines.
type transit struct {
	mu    sync.Mutex
	loads []*load
}

// load is an adapter on its way; done is called at its end.
type load struct {
	left time.Duration
	done func()
}

func (t *transit) begin(done func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads = append(t.loads, &load{adapterTime, done})
}

// serve advances the loads.
func (t *transit) serve(g *errgroup.Group) {
	g.Go(func() error {
		last := time.Now()
		for now := range time.Tick(2 * time.Millisecond) {
			for _, done := range t.advance(now.Sub(last)) {
				done()
			}
			last = now
		}
		return nil
	})
}

// advance lets time pass and returns what to call for the loads that have ended.
func (t *transit) advance(by time.Duration) []func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []func()
	share := min(1, adaptersAtOnce/float64(max(len(t.loads), 1)))
	kept := t.loads[:0]
	for _, l := range t.loads {
		if l.left -= time.Duration(share * float64(by)); l.left > 0 {
			kept = append(kept, l)
		} else {
			ended = append(ended, l.done)
		}
	}
	t.loads = kept
	return ended
}

// loaded is an adapter in a slot of an engine.
type loaded struct {
	version int
	ready   bool
	users   int
	leaving bool
}

// server is a stand-in for a model engine: it speaks HTTP/1.1 on raw connections, so
// that it can send what a faulty server sends.
type server struct {
	id     string
	addr   string
	zone   string
	born   int64
	world  *world
	onWay  *transit
	ledger *ledger
	// extraShare is the largest share of answers after which a second copy follows late,
	// while garbling returns true. The copies are those of refusals.
	extraShare float64
	garbling   func() bool

	// adapterMb is the size of an adapter; adapterWeight if 0.
	adapterMb int
	// overfilled is called when an order asks for more than the engine holds, before the
	// engine crashes.
	overfilled func()

	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	crashed  bool
	// answers and copies count what the server has answered and what of it twice.
	answers, copies int
	sequence        int
	fence           int64
	adapters        map[string]*loaded
	hot             map[string]bool
	beat            int
}

// ledger counts the runs of each request.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]string
	// refused are the requests that a caller was told have not run.
	refused map[string]int
}

func newLedger() *ledger {
	return &ledger{runs: make(map[string][]string), refused: make(map[string]int)}
}

func (l *ledger) run(id, server string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], server)
	return len(l.runs[id])
}

func (l *ledger) refuse(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[id] = status
}

// serve accepts connections until the listener is closed, and publishes the server's
// record.
func (s *server) serve(g *errgroup.Group) error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("listen for server: %w", err)
	}
	s.listener, s.born = l, time.Now().UnixMilli()
	s.adapters, s.hot = make(map[string]*loaded), make(map[string]bool)
	s.publish()
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			g.Go(func() error {
				s.serveConn(c)
				return nil
			})
		}
	})
	g.Go(func() error {
		for range time.Tick(1200 * time.Millisecond) {
			s.publish()
		}
		return nil
	})
	return nil
}

func (s *server) publish() {
	s.mu.Lock()
	if s.crashed {
		s.mu.Unlock()
		return
	}
	s.beat++
	data, err := json.Marshal(map[string]any{
		"service": "draft-models", "address": s.addr, "zone": s.zone, "version": 1, "slots": 128, "state": "ready",
		"coldRemainingMs": 0, "sequence": s.beat, "born": s.born, "models": s.models(),
	})
	s.mu.Unlock()
	if err == nil {
		s.world.store.put(names.ServerTopic, -1, entry{s.id, data})
	}
}

// crash ends the engine for good and all that it runs. Its record goes after three beats
// without a report. The caller holds the lock.
func (s *server) crash() {
	s.crashed = true
	s.world.record.add("%s: crashes", s.id)
	_ = s.listener.Close()
	for _, c := range s.conns {
		_ = c.Close()
	}
	time.AfterFunc(3*beatTime, func() { s.world.store.put(names.ServerTopic, -1, entry{s.id, nil}) })
}

// models describes what is loaded. The caller holds the lock.
func (s *server) models() []map[string]any {
	list := []string{}
	for name, a := range s.adapters {
		if a.ready {
			list = append(list, fmt.Sprintf("%s@%d", name, a.version))
		}
	}
	return []map[string]any{{"name": modelName, "version": 1, "adapters": list}}
}

// answer is a response to be written.
type answer struct {
	status int
	header [][2]string
	body   []byte
}

func (a answer) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for _, h := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(a.body))
	b.Write(a.body)
	return b.Bytes()
}

// serveConn serves one request at a time on a connection. A second copy of an answer
// that was kept is sent when the next request has arrived.
func (s *server) serveConn(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var late []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != nil {
			s.world.record.add("%s: the late second answer goes out", s.id)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		id := req.Header.Get(names.Attempt)
		s.mu.Lock()
		s.answers++
		s.mu.Unlock()
		var out answer
		switch {
		case req.Header.Get(names.Expect) != "" && req.Header.Get(names.Expect) != s.id:
			out = answer{status: http.StatusMisdirectedRequest, header: [][2]string{{names.Instance, s.id}}}
		case req.URL.Path == names.Order:
			out = answer{status: s.order(body)}
		case req.URL.Path == names.Report:
			out = s.report()
		default:
			a, status := s.admit(id, req)
			if status == 0 {
				if !s.stream(c, id, a) {
					return
				}
				continue
			}
			out = answer{status: status, header: [][2]string{{names.NotRun, "1"}}}
		}
		out.header = append(out.header, [2]string{names.Attempt, id})
		data := out.encode()
		if _, err := c.Write(data); err != nil {
			return
		}
		if out.status == http.StatusServiceUnavailable && s.doubles() {
			late = data
			s.world.record.add("%s: a second copy of answer %d to %s is kept", s.id, out.status, id)
		}
	}
}

// doubles reports whether a second copy follows this answer, and counts it.
func (s *server) doubles() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.garbling == nil || !s.garbling() || float64(s.copies+1) > s.extraShare*float64(s.answers) {
		return false
	}
	s.copies++
	return true
}

// admit begins a run, or returns the status with which the request is refused.
func (s *server) admit(id string, req *http.Request) (*loaded, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	model, name, _ := strings.Cut(req.Header.Get(names.Model), "/")
	want := req.Header.Get(names.ExpectVersion)
	a := s.adapters[name]
	switch {
	case id == "":
		return nil, http.StatusBadRequest
	case model != modelName || name != "" && (a == nil || a.leaving):
		return nil, http.StatusMisdirectedRequest
	case name == "":
		return &loaded{}, 0
	case !a.ready:
		s.world.record.add("%s: %s refused, its adapter %s is being loaded", s.id, id, name)
		return nil, http.StatusServiceUnavailable
	case want != "" && want != "0" && want != strconv.Itoa(a.version):
		return nil, http.StatusMisdirectedRequest
	}
	a.users++
	return a, 0
}

// stream runs a request and reports whether the connection can carry another one.
func (s *server) stream(c net.Conn, id string, a *loaded) bool {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		a.users--
	}()
	time.Sleep(eventTime)
	n := s.ledger.run(id, s.id)
	s.world.record.add("%s: %s begins to run, run %d", s.id, id, n)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: seal.%s.%s.%d\r\nTransfer-Encoding: chunked\r\n\r\n",
		names.Attempt, id, names.Seal, s.id, id, n)
	for i := range eventsPerRun {
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", i+1, id, i+1)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
		if _, err := c.Write(b.Bytes()); err != nil {
			s.world.record.add("%s: %s dropped, its connection is closed", s.id, id)
			return false
		}
		b.Reset()
		time.Sleep(eventTime)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// orderBody is the body of an order.
type orderBody struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Version   int    `json:"version"`
	Holder    string `json:"holder"`
	Expected  *int   `json:"expected"`
}

// order carries out an order and returns the status of its answer.
func (s *server) order(body []byte) int {
	var o orderBody
	var token map[string]any
	if json.Unmarshal(body, &o) != nil || json.Unmarshal(body, &token) != nil {
		return http.StatusBadRequest
	}
	var fence int64
	for name, v := range token {
		if n, ok := v.(float64); ok && strings.HasPrefix(name, "fencing") {
			fence = int64(n)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.crashed || o.Holder == "" || fence == 0 || o.Model != modelName:
		return http.StatusBadRequest
	case fence < s.fence:
		return http.StatusPreconditionFailed
	case o.Expected != nil && *o.Expected != s.sequence:
		return http.StatusConflict
	}
	s.fence = fence
	old := s.adapters[o.Adapter]
	switch {
	case o.Adapter == "":
		return http.StatusOK
	case o.Operation == "unload":
		return s.unload(o.Adapter)
	case old != nil && !old.leaving && old.version >= max(o.Version, 1):
		return http.StatusOK
	case old != nil:
		return http.StatusConflict
	}
	return s.load(o.Adapter, max(o.Version, 1))
}

// load begins a load. The caller holds the lock.
func (s *server) load(name string, version int) int {
	incoming := 0
	for _, a := range s.adapters {
		if !a.ready {
			incoming++
		}
	}
	if incoming >= adaptersOnWay {
		return http.StatusConflict
	}
	size := s.adapterMb
	if size == 0 {
		size = adapterWeight
	}
	if total := modelWeights + (len(s.adapters)+1)*size; len(s.adapters) >= adapterSlots || total > engineWeights {
		s.world.record.say("%s: ordered to load %s: %d adapters and %d MB in all; it holds %d and %d", s.id, name, len(s.adapters)+1, total, adapterSlots, engineWeights)
		if s.overfilled != nil {
			s.overfilled()
		}
		s.crash()
		return http.StatusBadRequest
	}
	s.sequence++
	a := &loaded{version: version}
	s.adapters[name] = a
	ready := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		a.ready = true
	}
	if s.hot[name] {
		time.AfterFunc(adapterTimeHot, ready)
	} else {
		s.onWay.begin(ready)
	}
	s.hot[name] = true
	return http.StatusAccepted
}

// unload drops an adapter, at once if no request uses it. The caller holds the lock.
func (s *server) unload(name string) int {
	a := s.adapters[name]
	if a == nil {
		return http.StatusOK
	}
	s.sequence++
	if a.users == 0 {
		delete(s.adapters, name)
		return http.StatusOK
	}
	a.leaving = true
	s.world.group.Go(func() error {
		for range time.Tick(10 * time.Millisecond) {
			s.mu.Lock()
			if a.users == 0 {
				if s.adapters[name] == a {
					delete(s.adapters, name)
				}
				s.mu.Unlock()
				return nil
			}
			s.mu.Unlock()
		}
		return nil
	})
	return http.StatusAccepted
}

// report describes the server.
func (s *server) report() answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	incoming := []string{}
	for name, a := range s.adapters {
		if !a.ready {
			incoming = append(incoming, fmt.Sprintf("%s/%s@%d", modelName, name, a.version))
		}
	}
	data, err := json.Marshal(map[string]any{
		"stage": "both", "models": s.models(), "incoming": incoming, "busy": false, "sequence": s.sequence, "born": s.born,
		"waiting": 0, "running": 0, "cacheUsed": 0, "cacheTotal": 149363, "handles": 0,
	})
	if err != nil {
		return answer{status: http.StatusInternalServerError}
	}
	return answer{status: http.StatusOK, header: [][2]string{{"Content-Type", "application/json"}}, body: data}
}
