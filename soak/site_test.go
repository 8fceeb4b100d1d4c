package soak

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"currantwick"
	"currantwick/fault"
)

// Size of the site beside what flags say.
const (
	adapters  = 6
	slotsEach = 3
)

// Names that the configuration uses.
const (
	host  = "soak.example"
	model = "m"
	pool  = "s"
)

// routes is a configuration; its arguments are the version and one more route.
const routes = `{"version":%d,"routes":[
	{"name":"stream","host":"soak.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":4000,"objectiveMs":500,"gapTargetMs":400,"service":"s","attempts":1},
	{"name":"resumable","host":"soak.example","pathPrefix":"/stream/again/","kind":"streaming","timeoutMs":4000,"objectiveMs":500,"gapTargetMs":400,"service":"s","attempts":2,"resumable":true},
	{"name":"safe","host":"soak.example","pathPrefix":"/safe/","kind":"safe","timeoutMs":2000,"objectiveMs":300,"service":"s","attempts":2},
	{"name":"unsafe","host":"soak.example","pathPrefix":"/unsafe/","kind":"unsafe","timeoutMs":2000,"objectiveMs":300,"service":"s","attempts":1},
	{"name":"new","host":"soak.example","pathPrefix":"/safe/new%d/","kind":"safe","timeoutMs":2000,"objectiveMs":300,"service":"s","attempts":1}],
	"services":[{"name":"s","engine":{"slots":8,"adapterSlots":3,"loadsPerS":20,"models":[{"name":"m"}]}}],"limits":{"headerBytes":16384,"bodyBytes":100000}}`

// bounds are the platform's bounds; the times are shorter than real ones, so
// that a run is short.
func bounds(fenced bool) wick.Bounds {
	return wick.Bounds{
		Lease: wick.Duration(1500 * time.Millisecond), RequireFencing: fenced, Grace: wick.Duration(4 * time.Second),
		RevisionDeadline: wick.Duration(4 * time.Second), RetryRatio: 0.2, RetrySlack: 50, EntriesTTL: wick.Duration(2 * time.Second),
	}
}

// instance is one life of a runner behind a fixed link.
type instance struct {
	link   fault.LinkName
	domain wick.Domain
	server *httptest.Server
	runner *runner
	name   wick.EndpointName
	lives  int
}

// site is everything of one run.
type site struct {
	ledger  *ledger
	store   *store
	proxy   *fault.Proxy
	daemons []*daemon
	runners []*instance
	fenced  bool
	// version and revision are the newest published.
	version, revision uint64
	// began is the start of the run, and history what was done to the site.
	began   time.Time
	history []string

	mu      sync.Mutex
	results []result
}

func (s *site) note(format string, args ...any) {
	s.history = append(s.history, fmt.Sprintf("%6.2f s  ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

func startSite(t *testing.T, seed uint64) *site {
	t.Helper()
	s := &site{ledger: new(ledger), fenced: seed%2 == 0, version: 1, revision: 1, began: time.Now()}
	alias := make(map[wick.Address]wick.Address)
	s.store = newStore(alias)
	atStore := httptest.NewServer(s.store)
	t.Cleanup(atStore.Close)
	// A link that refuses connections gives its port up for a while, so the
	// links have a loopback address that no other run uses.
	links, ip := fault.Config{Seed: seed}, loopback()
	add := func(name fault.LinkName, target wick.Address) {
		links.Links = append(links.Links, fault.Link{Name: name, Network: fault.TCP, Listen: wick.Address(ip + ":0"), Target: target})
	}
	for i := range *daemonsFlag {
		s.daemons = append(s.daemons, newDaemon(t, i, bounds(s.fenced)))
		add(storeLink(i), wick.Address(atStore.Listener.Addr().String()))
		add(peerLink(i), s.daemons[i].settings.PeerAddress)
	}
	for i := range *runnersFlag {
		r := &instance{link: fault.LinkName(fmt.Sprintf("runner %d", i)), domain: domainOf(i)}
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
	s.store.putSite(fmt.Sprintf(routes, s.version, s.version))
	for _, r := range s.runners {
		s.publish(r, "ready")
	}
	for i, d := range s.daemons {
		alias[d.settings.PeerAddress] = proxy.Address(peerLink(i))
	}
	for i, d := range s.daemons {
		d.settings.StoreAddress = proxy.Address(storeLink(i))
		if err := writeSettings(d.file, d.settings); err != nil {
			t.Fatal(err)
		}
		d.start(t)
		t.Cleanup(d.kill)
	}
	return s
}

func storeLink(i int) fault.LinkName { return fault.LinkName(fmt.Sprintf("store of daemon %d", i)) }

func peerLink(i int) fault.LinkName { return fault.LinkName(fmt.Sprintf("peers of daemon %d", i)) }

func domainOf(i int) wick.Domain { return wick.Domain([]string{"a", "b"}[i%2]) }

// startRunner begins a life of a runner.
func (s *site) startRunner(r *instance, loaded bool) {
	r.lives++
	r.name = wick.EndpointName(fmt.Sprintf("%s-%d", r.link[len("runner "):], r.lives))
	r.runner = newRunner(runnerConfig{Name: r.name, Model: model, Adapters: slotsEach, Fenced: s.fenced, Ledger: s.ledger}, loaded)
	r.server = httptest.NewServer(r.runner)
}

// publish writes a runner's entry.
func (s *site) publish(r *instance, state string) {
	s.store.putRunner(r.name, r.runner.entry(pool, s.proxy.Address(r.link), r.domain, 8, state))
}

// restartRunner ends a runner's life and begins the next one at the same
// address, without adapters.
func (s *site) restartRunner(r *instance) error {
	r.server.CloseClientConnections()
	r.server.Listener.Close() // Runs that go on end with their connections.
	s.store.putRunner(r.name, "")
	s.startRunner(r, false)
	err := s.proxy.Set(fault.Control{
		Links: []fault.LinkName{r.link}, Reset: true, Target: wick.Address(r.server.Listener.Addr().String()),
	})
	s.publish(r, "ready")
	return err
}

func (s *site) waitReady(t *testing.T, within time.Duration) {
	t.Helper()
	s.until(t, within, func() error {
		var errs []error
		for _, d := range s.daemons {
			errs = append(errs, ready(d.settings))
		}
		return errors.Join(errs...)
	})
}

// until waits until check returns no error.
func (s *site) until(t *testing.T, within time.Duration, check func() error) {
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
