package trial

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["late-load"] = lateLoad }

const (
	// places is the number of adapters that an engine holds.
	places = 15
	// modelTime is the time of a load of the base model.
	modelTime = 1900 * time.Millisecond
	// crashAfter is the time from the order without an answer to the crash of its engine,
	// downTime that until the engine is back, and lateOrder that until the order is carried
	// out.
	crashAfter = 40 * time.Millisecond
	downTime   = 2 * time.Second
	lateOrder  = 11 * time.Second
)

const orderConfig = `{"version":3,"routes":[
{"name":"r-draft","host":"desk.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":10000,"objectiveMs":1000,"gapTargetMs":250,"priority":0,"service":"models","attempts":1}],
"services":[{"name":"models","healthPath":"/health","connectionLimit":230,"protocol":"h1","transportSecurity":false,
"engine":{"slots":32,"adapterSlots":15,"kvCacheTokens":219251,"weightsMb":67000,"loadsPerS":6.8,"models":[{"name":"base","weightsMb":65500,"loadS":1.9,"adapters":3000,"adapterMb":40}]}}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000}}`

// engine is a stand-in for a runner of models that restarts under its name, without
// anything loaded.
type engine struct {
	d    *deployment
	name string
	// lose reports whether an order is left without an answer; it may be nil.
	lose func(o orderBody) bool

	mu      sync.Mutex
	address string
	server  *http.Server
	born    int64
	// modelAt is when the model is loaded; zero if it is not.
	modelAt         time.Time
	adapters        map[string]*adapter
	sequence, fence int
	running         int
	// down is set while the engine is down, and overfilled counts the orders to load more
	// than there are places for.
	down       bool
	overfilled int
}

// start starts the engine without adapters. The model is there at an instant, or not at
// all.
func (e *engine) start(modelAt time.Time) error {
	at, err := e.d.listen(e)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address, e.server, e.born = at, e.d.servers[len(e.d.servers)-1], time.Now().UnixMilli()
	e.modelAt, e.adapters, e.sequence, e.fence, e.down = modelAt, make(map[string]*adapter), 0, 0, false
	e.d.notef("%s starts at %s", e.name, at)
	return nil
}

// crash ends the engine with what it runs; e.mu is held.
func (e *engine) crash() {
	e.down = true
	e.server.Close()
}

func (e *engine) hasModel() bool { return !e.modelAt.IsZero() && time.Now().After(e.modelAt) }

// models lists what is loaded; e.mu is held.
func (e *engine) models() []map[string]any {
	list := []string{}
	for name, a := range e.adapters {
		if time.Now().After(a.readyAt) {
			list = append(list, fmt.Sprintf("%s@%d", name, a.version))
		}
	}
	if !e.hasModel() {
		return []map[string]any{}
	}
	return []map[string]any{{"name": modelName, "version": 1, "adapters": list}}
}

// publish writes the engine's entry unless it is down.
func (e *engine) publish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.d.store.put(topicRunners, e.name, text(map[string]any{
		"service": "models", "address": e.address, "zone": "zone-a", "version": "v1", "slots": 32, "state": "ready",
		"coldRemainingMs": 0, "sequence": e.sequence, "born": e.born, "stage": "both", "models": e.models(),
	}))
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Currantwick-Attempt-Identifier")
	w.Header().Set("Currantwick-Attempt-Identifier", id)
	if want := q.Header.Get("Currantwick-Expect-Instance"); want != "" && want != e.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/currantwick/order":
		e.order(w, q)
	case "/currantwick/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		incoming := []string{}
		for name, a := range e.adapters {
			if time.Now().Before(a.readyAt) {
				incoming = append(incoming, fmt.Sprintf("%s/%s@%d", modelName, name, a.version))
			}
		}
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, text(map[string]any{
			"stage": "both", "models": e.models(), "busy": !e.modelAt.IsZero() && !e.hasModel(), "sequence": e.sequence, "waiting": 0,
			"running": e.running, "cacheUsed": 0, "cacheTotal": 219251, "handles": 0, "incoming": incoming, "born": e.born,
		}))
	default:
		e.stream(w, q, id)
	}
}

func (e *engine) order(w http.ResponseWriter, q *http.Request) {
	var o orderBody
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Holder == "" || o.FencingToken == 0 || o.Model != modelName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.lose != nil && e.lose(o) {
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status := e.carryOut(o)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// carryOut carries out an order and returns the status of its answer; 0 if the engine
// crashed.
func (e *engine) carryOut(o orderBody) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.apply(o)
	expected := -1
	if o.Expected != nil {
		expected = *o.Expected
	}
	e.d.notef("%s: order %s %q by %s, token %d, expected %d: %d; now %d orders, %d adapters", e.name, o.Operation, o.Adapter, o.Holder, o.FencingToken, expected, status, e.sequence, len(e.adapters))
	return status
}

func (e *engine) apply(o orderBody) int {
	loading := !e.modelAt.IsZero() && !e.hasModel()
	switch {
	case e.down:
		return 0
	case o.FencingToken < e.fence:
		return http.StatusPreconditionFailed
	case o.Expected != nil && *o.Expected != e.sequence, loading:
		return http.StatusConflict
	}
	e.fence = o.FencingToken
	a := e.adapters[o.Adapter]
	switch {
	case o.Adapter == "" && e.hasModel():
		return http.StatusOK
	case o.Adapter == "":
		e.sequence++
		e.modelAt = time.Now().Add(modelTime)
		return http.StatusAccepted
	case !e.hasModel():
		return http.StatusBadRequest
	case o.Operation == "unload" && a == nil, o.Operation == "load" && a != nil:
		return http.StatusOK
	case o.Operation == "unload" && a.users > 0:
		return http.StatusConflict
	case o.Operation == "unload":
		e.sequence++
		delete(e.adapters, o.Adapter)
		return http.StatusOK
	case len(e.adapters) >= places:
		e.overfilled++
		e.d.notef("%s crashes with %d requests: ordered to load %s beside %d adapters, with places for %d", e.name, e.running, o.Adapter, len(e.adapters), places)
		e.crash()
		return 0
	}
	e.sequence++
	e.adapters[o.Adapter] = &adapter{version: 1, readyAt: time.Now().Add(adapterTime)}
	return http.StatusAccepted
}

// stream answers a request with events, or refuses it.
func (e *engine) stream(w http.ResponseWriter, q *http.Request, id string) {
	_, name, _ := strings.Cut(q.Header.Get("Currantwick-Model"), "/")
	e.mu.Lock()
	a := e.adapters[name]
	if a == nil || time.Now().Before(a.readyAt) {
		e.mu.Unlock()
		w.Header().Set("Currantwick-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.users++
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		a.users--
		e.running--
	}()
	w.Header().Set("Currantwick-Server-Seal", e.name+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := 1; n <= 14; n++ {
		time.Sleep(20 * time.Millisecond)
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		if control.Flush() != nil {
			return
		}
	}
}

// lateLoad uses as many adapters as an engine holds, one after the other, and then asks for
// one more, once. With trouble, the engine leaves the order to load that one without an
// answer, crashes and starts again under its name; the order is carried out later.
func lateLoad(d *deployment) (bool, error) {
	e := &engine{d: d, name: "i-models-0"}
	rare := fmt.Sprintf("a%d", places+1)
	var once sync.Once
	var restarted error
	e.lose = func(o orderBody) (lost bool) {
		if !d.trouble || o.Operation != "load" || o.Adapter != rare {
			return false
		}
		once.Do(func() {
			lost = true
			d.notef("%s: order %s %q, expected %d: no answer", e.name, o.Operation, o.Adapter, *o.Expected)
			time.AfterFunc(crashAfter, func() {
				e.mu.Lock()
				d.notef("%s crashes after %d orders", e.name, e.sequence)
				e.crash()
				e.mu.Unlock()
				time.AfterFunc(downTime, func() {
					restarted = e.start(time.Time{})
					e.publish()
				})
			})
			time.AfterFunc(lateOrder, func() {
				d.notef("%s: the order without an answer is carried out", e.name)
				e.carryOut(o)
			})
		})
		return lost
	}
	if err := e.start(time.Now()); err != nil {
		return false, err
	}
	time.AfterFunc(time.Millisecond, func() {
		for {
			if d.store != nil {
				e.publish()
			}
			time.Sleep(heartbeatTime)
		}
	})
	if err := d.start(orderConfig, nil, 2); err != nil {
		return false, err
	}
	// ask asks for an adapter until it gets an answer.
	ask := func(name string, n int) error {
		for try := range 100 {
			status, err := draft(d.daemons[n%2].front, name, fmt.Sprintf("%08x%08x", 0xf000+try, n))
			if err == nil && status == http.StatusOK {
				return nil
			}
			time.Sleep(100 * time.Millisecond)
		}
		return errors.New("no answer for " + name)
	}
	// askAll asks for as many adapters as the engine holds.
	askAll := func(from int) error {
		errs := make([]error, places)
		var group sync.WaitGroup
		for n := range places {
			group.Go(func() { errs[n] = ask(fmt.Sprintf("a%d", n+1), from+n) })
		}
		group.Wait()
		return errors.Join(errs...)
	}
	if err := askAll(0); err != nil {
		return false, err
	}
	d.notef("callers have used %d adapters", places)
	time.Sleep(time.Second)
	status, err := draft(d.daemons[0].front, rare, fmt.Sprintf("%016x", 0xffff))
	d.notef("request for %s: status %d, %v", rare, status, err)
	time.Sleep(downTime)
	if d.trouble {
		if err := askAll(places); err != nil {
			return false, err
		}
	}
	d.notef("callers use the same adapters again")
	var group sync.WaitGroup
	cut := 0
	for n, end := 0, time.Now().Add(lateOrder-downTime); time.Now().Before(end); n++ {
		group.Go(func() {
			status, err := draft(d.daemons[n%2].front, fmt.Sprintf("a%d", n%places+1), fmt.Sprintf("%016x", 0xf00000+n))
			if err != nil || status != http.StatusOK {
				e.mu.Lock()
				cut++
				e.mu.Unlock()
			}
		})
		time.Sleep(60 * time.Millisecond)
		if e.crashes() > 0 {
			break
		}
	}
	group.Wait()
	d.notef("%d orders to load more than there are places for; %d of the last requests got no whole answer", e.crashes(), cut)
	return e.crashes() > 0, restarted
}

// crashes returns how often the engine was ordered to load more than it holds.
func (e *engine) crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overfilled
}

// draft sends a request for an adapter on a new channel and returns the status of its
// answer.
func draft(at, name, id string) (int, error) {
	c, err := net.DialTimeout("tcp", at, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /draft/1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4\r\nCurrantwick-Attempt-Identifier: %s\r\nCurrantwick-Time-Remaining: 5000\r\n"+
		"Currantwick-Model: base/%s\r\nCurrantwick-Token-Counts: 400,70\r\nCurrantwick-Prompt-Prefix: a1:93,%s:307\r\n\r\ntext", id, name, id[8:])
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
