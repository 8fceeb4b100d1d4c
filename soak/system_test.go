package soak

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"currantwick"
	"currantwick/fault"
	"currantwick/procs"
)

// Sizes of the system that no flag sets.
const (
	adapters       = 6
	slotsPerRunner = 3
)

// Sizes of weights. A runner has memory for its model and, in half of the systems, for
// fewer adapters than it has slots.
const (
	weightMemory = wick.Megabytes(1000)
	modelSize    = wick.Megabytes(900)
	smallAdapter = wick.Megabytes(30)
	largeAdapter = wick.Megabytes(40)
)

// Names in the configuration.
const (
	host  = "soak.example"
	model = "m"
	pool  = "s"
)

// routes is the format of a configuration. Its arguments are the version, the number in
// the path of the route that is new in this version, and the sizes of an adapter, of the
// model and of all that a runner holds.
const routes = `{"version":%d,"routes":[
	{"name":"stream","host":"soak.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":4000,"objectiveMs":500,"gapTargetMs":400,"service":"s","attempts":1},
	{"name":"resumable","host":"soak.example","pathPrefix":"/stream/again/","kind":"streaming","timeoutMs":4000,"objectiveMs":500,"gapTargetMs":400,"service":"s","attempts":2,"resumable":true},
	{"name":"safe","host":"soak.example","pathPrefix":"/safe/","kind":"safe","timeoutMs":2000,"objectiveMs":300,"service":"s","attempts":2},
	{"name":"unsafe","host":"soak.example","pathPrefix":"/unsafe/","kind":"unsafe","timeoutMs":2000,"objectiveMs":300,"service":"s","attempts":1},
	{"name":"new","host":"soak.example","pathPrefix":"/new%d/","kind":"safe","timeoutMs":2000,"objectiveMs":300,"service":"s","attempts":1}],
	"services":[{"name":"s","engine":{"slots":8,"adapterSlots":3,"loadsPerS":20,"models":[{"name":"m","adapterMb":%v,"weightsMb":%v}],"weightsMb":%v}}],"limits":{"headerBytes":16384,"bodyBytes":100000}}`

// bounds returns the platform's bounds, with shorter times than in production to
// keep runs short.
func bounds(fenced bool) wick.Bounds {
	return wick.Bounds{
		Lease: wick.Duration(1500 * time.Millisecond), RequireFencing: fenced, Grace: wick.Duration(4 * time.Second),
		RevisionDeadline: wick.Duration(4 * time.Second), RetryRatio: 0.2, RetrySlack: 50, EntriesTTL: wick.Duration(2 * time.Second),
		ChangeDeadline: wick.Duration(2 * time.Second),
	}
}

// restartableRunner is a runner that can be restarted as a new incarnation behind
// the same proxy link.
type restartableRunner struct {
	link   fault.LinkName
	domain wick.Domain

	// mu guards the fields below; a crash may meet an injected restart.
	mu           sync.Mutex
	server       *httptest.Server
	runner       *runner
	incarnations int
}

// current returns the present incarnation.
func (r *restartableRunner) current() *runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runner
}

// stop ends the present incarnation and all that it runs.
func (r *restartableRunner) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server.CloseClientConnections()
	r.server.Listener.Close() // Requests still running end with their connections.
}

// system is the system under test in one run: daemons, fake runners, a fake store
// and the proxy between them.
type system struct {
	ledger  *ledger
	store   *procs.Store
	proxy   *fault.Proxy
	daemons []*procs.Daemon
	runners []*restartableRunner
	fenced  bool
	// adapterSize is the size of each adapter.
	adapterSize wick.Megabytes
	// version is the newest published configuration, and revision the newest
	// published adapter version.
	version, revision uint64
	// deadly reports whether a request crashes the runner that begins it; nil for
	// none.
	deadly func(h http.Header, body []byte) bool
	// startTime is the start of the run, and history the log of injected faults.
	startTime time.Time
	history   []string

	mu      sync.Mutex
	results []result
	// crashes are the times at which deadly requests crashed runners.
	crashes []time.Time
}

func (s *system) logEvent(format string, args ...any) {
	s.history = append(s.history, fmt.Sprintf("%6.2f s  ", time.Since(s.startTime).Seconds())+fmt.Sprintf(format, args...))
}

func startSystem(t *testing.T, seed uint64) *system {
	t.Helper()
	return startSystemWith(t, seed, nil)
}

// startSystemWith starts a system in which some requests are deadly.
func startSystemWith(t *testing.T, seed uint64, deadly func(h http.Header, body []byte) bool) *system {
	t.Helper()
	s := &system{deadly: deadly, ledger: new(ledger), fenced: seed%2 == 0, version: 1, revision: 1, startTime: time.Now()}
	s.adapterSize = []wick.Megabytes{smallAdapter, largeAdapter}[seed/2%2]
	alias := make(map[wick.Address]wick.Address)
	s.store = procs.NewStore(alias)
	atStore := httptest.NewServer(s.store)
	t.Cleanup(atStore.Close)
	// A cut link closes its listener and so gives up its port, which another run
	// could take. Each run therefore has its own loopback address for its links.
	links, ip := fault.Config{Seed: seed}, procs.Loopback()
	add := func(name fault.LinkName, target wick.Address) {
		links.Links = append(links.Links, fault.Link{Name: name, Network: fault.TCP, Listen: wick.Address(ip + ":0"), Target: target})
	}
	for i := range *daemonsFlag {
		s.daemons = append(s.daemons, procs.NewDaemon(t, i, domainOf(i), bounds(s.fenced), *logsFlag))
		add(storeLink(i), wick.Address(atStore.Listener.Addr().String()))
		add(peerLink(i), s.daemons[i].Settings.PeerAddress)
	}
	for i := range *runnersFlag {
		r := &restartableRunner{link: fault.LinkName(fmt.Sprintf("runner %d", i)), domain: domainOf(i)}
		s.startRunner(r, true)
		add(r.link, wick.Address(r.server.Listener.Addr().String()))
		s.runners = append(s.runners, r)
	}
	proxy, err := fault.Start(links)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := proxy.Close(); err != nil {
			t.Error(err)
		}
	})
	s.proxy = proxy
	s.store.PutConfig(s.config())
	for _, r := range s.runners {
		s.publishRunner(r, "ready")
	}
	for i, d := range s.daemons {
		alias[d.Settings.PeerAddress] = proxy.Address(peerLink(i))
	}
	for i, d := range s.daemons {
		d.Settings.StoreAddress = proxy.Address(storeLink(i))
		if err := procs.WriteSettings(d.File, d.Settings, 0); err != nil {
			t.Fatal(err)
		}
		d.Start(t)
		t.Cleanup(d.Kill)
	}
	return s
}

// config returns the configuration of the newest version.
func (s *system) config() string {
	return fmt.Sprintf(routes, s.version, s.version, s.adapterSize, modelSize, weightMemory)
}

func storeLink(i int) fault.LinkName { return fault.LinkName(fmt.Sprintf("store of daemon %d", i)) }

func peerLink(i int) fault.LinkName { return fault.LinkName(fmt.Sprintf("peers of daemon %d", i)) }

func domainOf(i int) wick.Domain { return wick.Domain([]string{"a", "b"}[i%2]) }

// startRunner starts a new incarnation of a runner.
func (s *system) startRunner(r *restartableRunner, loaded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnations++
	number := r.incarnations
	r.runner = newRunner(runnerConfig{
		Name:  wick.EndpointName(fmt.Sprintf("%s-%d", r.link[len("runner "):], number)),
		Model: model, Adapters: slotsPerRunner, Fenced: s.fenced, Ledger: s.ledger,
		Memory: weightMemory, ModelSize: modelSize, AdapterSize: s.adapterSize,
		Deadly: s.deadly, Crash: sync.OnceFunc(func() { s.crashRunner(r, number) }),
	}, loaded)
	r.server = httptest.NewServer(r.runner)
}

// publishRunner writes a runner's record to the store.
func (s *system) publishRunner(r *restartableRunner, state string) {
	run := r.current()
	s.store.PutRunner(run.cfg.Name, run.storeRecord(pool, s.proxy.Address(r.link), r.domain, 8, state))
}

// restartRunner replaces a runner by a new incarnation at the same address, with
// neither model nor adapters loaded.
func (s *system) restartRunner(r *restartableRunner) error {
	r.stop()
	s.store.PutRunner(r.current().cfg.Name, "")
	s.startRunner(r, false)
	r.mu.Lock()
	target := wick.Address(r.server.Listener.Addr().String())
	r.mu.Unlock()
	err := s.proxy.Set(fault.Control{Links: []fault.LinkName{r.link}, Reset: true, Target: target})
	s.publishRunner(r, "ready")
	return err
}

// crashRunner ends an incarnation of a runner, if it is still the present one, and
// starts a new one after crashDown unless another fault has done so.
func (s *system) crashRunner(r *restartableRunner, number int) {
	const crashDown = 400 * time.Millisecond
	present := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.incarnations == number
	}
	if !present() {
		return
	}
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	s.mu.Unlock()
	r.stop()
	time.AfterFunc(crashDown, func() {
		if !present() {
			return
		}
		if err := s.restartRunner(r); err != nil {
			s.ledger.violate("runner not restarted: %v", err)
		}
	})
}

func (s *system) waitReady(t *testing.T, within time.Duration) {
	t.Helper()
	s.poll(t, within, func() error {
		var errs []error
		for _, d := range s.daemons {
			errs = append(errs, procs.Ready(d.Settings))
		}
		return errors.Join(errs...)
	})
}

// poll calls check until it returns nil or the time is up.
func (s *system) poll(t *testing.T, within time.Duration, check func() error) {
	t.Helper()
	const every = 100 * time.Millisecond
	end := time.Now().Add(within)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Errorf("after %v: %v", within, err)
			return
		}
		sleep(every)
	}
}
