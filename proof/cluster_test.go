package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"currantwick"
	"currantwick/certs"
	"currantwick/codec"
	"currantwick/fakes"
	"currantwick/fault"
	"currantwick/httpc"
	"currantwick/lease"
	"currantwick/plog"

	"github.com/valyala/fasthttp"
)

const (
	anyPort = wick.Address("127.0.0.1:0")
	model   = wick.ModelName("base")
	// waitTimeout is the timeout of eventually and of requests; streamed requests
	// get twice as long.
	waitTimeout  = 20 * time.Second
	pollInterval = 10 * time.Millisecond
)

// binDir is the directory of the executables.
var binDir string

// daemon is one currantwick process.
type daemon struct {
	*process
	host  wick.HostName
	entry wick.Address
}

// sizes configures a cluster.
type sizes struct {
	daemons, engines, services int
	adapters                   int
	engine                     fakes.EngineConfig
	store                      fakes.StoreConfig
	hostLag                    wick.Duration
}

// cluster is a complete system of processes. The daemons reach the engines, the
// services, the log, the host list and each other only through the proxy.
type cluster struct {
	t       *testing.T
	sizes   sizes
	fakes   fakes.Addresses
	proxy   fault.Addresses
	daemons []*daemon
	http    *httpc.Client
	log     *plog.Client
	objects wick.Objects
	changes int
}

func defaultSizes() sizes {
	return sizes{
		daemons: 3, engines: 3, services: 1, adapters: 4,
		engine: fakes.EngineConfig{
			Address: anyPort, Model: model, BatchSlots: 16, AdapterSlots: 4,
			Base: ms(5), PerSequence: wick.Duration(100 * time.Microsecond), ReportLag: ms(100),
		},
		store: fakes.StoreConfig{Address: anyPort, Rate: 50, FullSpeed: 8, Knee: 16, LoadTime: ms(30)},
	}
}

// domains is the number of failure domains, to which hosts are assigned round
// robin.
const domains = 3

func domainOf(i int) wick.Domain { return wick.Domain(fmt.Sprintf("domain-%d", i%domains+1)) }

func ms(n int) wick.Duration { return wick.Duration(time.Duration(n) * time.Millisecond) }

func linkName(kind string, i int) fault.LinkName {
	return fault.LinkName(fmt.Sprintf("%s-%d", kind, i+1))
}

// startCluster starts all processes and waits until requests are served through
// each entry.
func startCluster(t *testing.T, z sizes) *cluster {
	t.Helper()
	b := &cluster{t: t, sizes: z, http: httpc.New(httpc.Config{ReadTimeout: ms(15_000)})}
	cfg := fakes.SetConfig{
		Store: &z.store,
		Log:   &fakes.LogConfig{Address: anyPort, AppendRate: 300},
		Hosts: &fakes.HostsConfig{Address: anyPort, Lag: z.hostLag},
	}
	for range z.engines {
		cfg.Engines = append(cfg.Engines, z.engine)
	}
	for range z.services {
		cfg.Services = append(cfg.Services, fakes.ServiceConfig{Address: anyPort})
	}
	startFake(t, "all", cfg, &b.fakes)
	listens := b.startProxy()
	b.startDaemons(listens)
	b.log = plog.New(plog.Config{Address: b.fakes.Log})
	b.objects = b.configuration()
	b.publish(b.objects)
	b.waitReady()
	return b
}

// startProxy starts the proxy and returns the address at which each daemon must
// listen for its peers.
func (b *cluster) startProxy() []wick.Address {
	b.t.Helper()
	cfg := fault.Config{Control: anyPort, Seed: 1}
	add := func(name fault.LinkName, network fault.Network, target wick.Address) {
		cfg.Links = append(cfg.Links, fault.Link{Name: name, Network: network, Listen: anyPort, Target: target})
	}
	for i, a := range b.fakes.Engines {
		add(linkName("engine", i), fault.TCP, a)
	}
	for i, a := range b.fakes.Services {
		add(linkName("service", i), fault.TCP, a)
	}
	add("log", fault.TCP, b.fakes.Log)
	add("hosts", fault.TCP, b.fakes.Hosts)
	var listens []wick.Address
	for i := range b.sizes.daemons {
		at := freePort(b.t, "udp")
		listens = append(listens, at)
		add(linkName("peer", i), fault.UDP, at)
	}
	startFake(b.t, "proxy", cfg, &b.proxy)
	return listens
}

func (b *cluster) startDaemons(listens []wick.Address) {
	b.t.Helper()
	authority, err := certs.NewAuthority(certs.Config{Life: time.Hour})
	if err != nil {
		b.t.Fatal(err)
	}
	dir := b.t.TempDir()
	ca := b.writeFile(filepath.Join(dir, "ca.pem"), authority.PEM().Cert)
	for i, listen := range listens {
		d := &daemon{host: wick.HostName(fmt.Sprintf("host-%d", i+1)), entry: freePort(b.t, "tcp")}
		pair, err := authority.Issue(certs.Config{Life: time.Hour}, d.host)
		if err != nil {
			b.t.Fatal(err)
		}
		s := daemonSettings{
			Host:   d.host,
			Domain: domainOf(i),
			Entry:  addresses{Address: d.entry},
			Peer:   addresses{Address: b.proxy.Links[linkName("peer", i)], Listen: listen},
			Admin:  admin{Address: freePort(b.t, "tcp"), Token: "a-token-for-tests-only"},
			Log:    addresses{Address: b.proxy.Links["log"]},
			Hosts:  addresses{Address: b.proxy.Links["hosts"]},
			Keys: keys{
				CA:   ca,
				Cert: b.writeFile(filepath.Join(dir, string(d.host)+".pem"), pair.Cert),
				Key:  b.writeFile(filepath.Join(dir, string(d.host)+".key"), pair.Key),
			},
			Stop: stop{Linger: ms(1000)},
		}
		d.process, _ = startProcess(b.t, string(d.host), "currantwick", "serve", "-settings", writeSettings(b.t, s))
		d.watchExit()
		b.daemons = append(b.daemons, d)
	}
}

// daemonSettings are the settings of a daemon that differ from the defaults or
// have none.
type daemonSettings struct {
	Host   wick.HostName
	Domain wick.Domain
	Entry  addresses
	Peer   addresses
	Admin  admin
	Log    addresses
	Hosts  addresses
	Keys   keys
	Stop   stop
}

type addresses struct {
	Address wick.Address
	Listen  wick.Address `json:",omitempty"`
}

type admin struct {
	Address wick.Address
	Token   string
}

type keys struct{ CA, Cert, Key string }

type stop struct{ Linger wick.Duration }

func (b *cluster) writeFile(name string, data []byte) string {
	b.t.Helper()
	if err := os.WriteFile(name, data, 0o600); err != nil {
		b.t.Fatal(err)
	}
	return name
}

// ref returns the adapter version of the route numbered i.
func ref(i int) wick.Ref {
	return wick.Ref{Adapter: wick.AdapterName(fmt.Sprintf("adapter-%d", i)), Version: "v1"}
}

func routeName(i int) wick.RouteName { return wick.RouteName(fmt.Sprintf("route-%d", i)) }

// configuration returns the cluster's configuration.
func (b *cluster) configuration() wick.Objects {
	z := b.sizes
	o := wick.Objects{
		Models:     []wick.Model{{Name: model, Context: 4096}},
		Stores:     []wick.Store{{Name: "weights", Rate: z.store.Rate, FullSpeed: z.store.FullSpeed, Knee: z.store.Knee}},
		Priorities: []wick.Priority{{Name: "normal", Level: 5, Deadline: ms(15_000)}},
		Pools: []wick.Pool{
			{Name: "drafting", Kind: wick.RunnerEndpoint, Model: model, Store: "weights"},
			{Name: "booking", Kind: wick.ServiceEndpoint},
		},
		Routes: []wick.Route{
			{Name: "confirm", Pool: "booking", Priority: "normal", Path: "/confirm", NonIdempotent: true},
		},
	}
	for i := range z.adapters {
		r := ref(i)
		o.Adapters = append(o.Adapters, wick.Adapter{Name: r.Adapter, Model: model})
		o.Versions = append(o.Versions, wick.Version{Adapter: r.Adapter, Name: r.Version, Source: "weights/" + r.String(), Size: 1 << 20})
		o.Routes = append(o.Routes, wick.Route{Name: routeName(i), Pool: "drafting", Priority: "normal", Ref: r})
	}
	for i := range z.engines {
		e := endpoint("engine", i, "drafting", b.proxy.Links[linkName("engine", i)])
		e.BatchSlots, e.AdapterSlots, e.ChecksFencing = z.engine.BatchSlots, z.engine.AdapterSlots, z.engine.ChecksFencing
		o.Endpoints = append(o.Endpoints, e)
	}
	for i := range z.services {
		o.Endpoints = append(o.Endpoints, endpoint("service", i, "booking", b.proxy.Links[linkName("service", i)]))
	}
	return o
}

func endpoint(kind string, i int, pool wick.PoolName, addr wick.Address) wick.Endpoint {
	return wick.Endpoint{
		Name: wick.EndpointName(linkName(kind, i)), Pool: pool,
		Host:    wick.HostName(fmt.Sprintf("%s-host-%d", kind, i+1)),
		Domain:  domainOf(i),
		Address: addr, BatchSlots: 64,
	}
}

// publish appends a change to the platform's log.
func (b *cluster) publish(puts wick.Objects) {
	b.t.Helper()
	b.changes++
	c := wick.Change{ID: wick.ChangeID(fmt.Sprintf("change-%d", b.changes)), Operator: "proof", Puts: puts}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if _, err := b.log.Append(ctx, wick.ConfigStream, wick.Record{Change: &c}); err != nil {
		b.t.Fatal(err)
	}
}

// waitReady waits until each entry lists all daemons and answers requests.
func (b *cluster) waitReady() {
	b.t.Helper()
	for i, d := range b.daemons {
		eventually(b.t, fmt.Sprintf("%s lists all daemons", d.host), func() bool {
			return len(b.entries(d.entry).Entries) == len(b.daemons)
		})
		eventually(b.t, fmt.Sprintf("%s answers", d.host), func() bool {
			return b.request(d.entry, routeName(i%b.sizes.adapters), fmt.Sprintf("ready %d", i), 2).complete
		})
	}
}

// owner returns the daemon that owns an engine when all daemons are in the view.
func (b *cluster) owner(engine int) *daemon {
	b.t.Helper()
	var v wick.View
	for _, d := range b.daemons {
		v.Members = append(v.Members, wick.Member{Host: d.host})
	}
	m, _ := lease.Owner(v, lease.EndpointKey(wick.EndpointName(linkName("engine", engine))))
	return b.daemons[slices.IndexFunc(b.daemons, func(d *daemon) bool { return d.host == m.Host })]
}

// others returns all daemons but one.
func (b *cluster) others(but *daemon) []*daemon {
	return slices.DeleteFunc(slices.Clone(b.daemons), func(d *daemon) bool { return d == but })
}

// entries returns the entry list of a daemon.
func (b *cluster) entries(addr wick.Address) wick.EntryList {
	var list wick.EntryList
	_ = b.get(addr, "/v1/entries", &list) // A starting daemon has none yet.
	return list
}

func (b *cluster) get(addr wick.Address, path string, v any) error {
	return b.exchange(addr, fasthttp.MethodGet, path, nil, v)
}

func (b *cluster) exchange(addr wick.Address, method, path string, body []byte, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.SetBodyRaw(body)
	if err := b.http.Do(ctx, addr, req, resp); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s: status %d: %s", path, resp.StatusCode(), resp.Body())
	}
	if v == nil {
		return nil
	}
	return codec.DecodeJSON(resp.Body(), v)
}

// control sends faults to a fake or the proxy, and retries while it is down.
func (b *cluster) control(addr wick.Address, c any) {
	b.t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		b.t.Fatal(err)
	}
	eventually(b.t, "a fault is set", func() bool {
		return b.exchange(addr, fasthttp.MethodPost, "/control", data, nil) == nil
	})
}

// engineStats returns the counters of each engine.
func (b *cluster) engineStats() []fakes.EngineStats {
	b.t.Helper()
	var out []fakes.EngineStats
	for _, a := range b.fakes.Engines {
		var s fakes.EngineStats
		eventually(b.t, "an engine returns its stats", func() bool { return b.get(a, "/stats", &s) == nil })
		out = append(out, s)
	}
	return out
}

// eventually polls a condition until it holds, and fails the test on a timeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	limit := time.After(waitTimeout)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !ok() {
		select {
		case <-limit:
			t.Fatalf("timed out waiting until %s", what)
		case <-tick.C:
		}
	}
}
