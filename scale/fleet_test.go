package scale

import (
	"context"
	"fmt"
	"log/slog"
	"syscall"
	"testing"
	"time"

	"currantwick"
	"currantwick/boot"
	"currantwick/certs"
	"currantwick/fakes"
	"currantwick/node"
	"currantwick/setup"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
)

const (
	fleetSettle = 3 * time.Second
	fleetFor    = 10 * time.Second
	fleetReady  = time.Minute
	fleetPort   = wick.Address("127.0.0.1:0")
)

// fleet is a number of daemons in this process, which talk over loopback.
type fleet struct {
	b          *testing.B
	log        *fakes.Log
	hosts      *fakes.Hosts
	nodes      []*node.Node
	registries []*prometheus.Registry
}

// BenchmarkFleet measures what control costs daemons that serve nobody: run it
// with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{7, 20, 60} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			f := newFleet(b, size)
			ctx, stop := context.WithCancel(context.Background())
			var group errgroup.Group
			for _, n := range f.nodes {
				group.Go(func() error { return n.Run(ctx) })
			}
			f.ready()
			f.measure()
			stop()
			if err := group.Wait(); err != nil {
				b.Error(err)
			}
		})
	}
}

func newFleet(b *testing.B, size int) *fleet {
	f := &fleet{b: b}
	var err error
	if f.log, err = fakes.StartLog(fakes.LogConfig{Address: fleetPort}); err != nil {
		b.Fatal(err)
	}
	if f.hosts, err = fakes.StartHosts(fakes.HostsConfig{Address: fleetPort}); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = f.log.Close()
		_ = f.hosts.Close()
	})
	authority, err := certs.NewAuthority(certs.Config{Life: time.Hour})
	if err != nil {
		b.Fatal(err)
	}
	for i := range size {
		f.add(authority, i)
	}
	return f
}

func (f *fleet) add(authority *certs.Authority, i int) {
	host := hostName(i)
	pair, err := authority.Issue(certs.Config{Life: time.Hour}, host)
	if err != nil {
		f.b.Fatal(err)
	}
	material, err := certs.NewMaterial(authority.PEM().Cert, pair)
	if err != nil {
		f.b.Fatal(err)
	}
	s := setup.Default()
	s.Host, s.Domain = host, wick.Domain(fmt.Sprintf("d%d", i%18))
	s.Entry.Address, s.Peer.Address = fleetPort, fleetPort
	s.Log.Address, s.Hosts.Address = f.log.Address(), f.hosts.Address()
	s.Stop.Linger = 0
	registry := prometheus.NewRegistry()
	n, err := boot.Node(boot.Config{
		Settings: s, Keys: certs.Static(material),
		Log: slog.New(slog.DiscardHandler), Registry: registry,
	})
	if err != nil {
		f.b.Fatal(err)
	}
	f.nodes = append(f.nodes, n)
	f.registries = append(f.registries, registry)
}

// ready waits for one view of all daemons.
func (f *fleet) ready() {
	deadline := time.Now().Add(fleetReady)
	for !f.isReady() {
		if time.Now().After(deadline) {
			f.b.Fatal("no view of all daemons in time")
		}
		time.Sleep(lookEvery)
	}
	time.Sleep(fleetSettle)
}

const lookEvery = 50 * time.Millisecond

func (f *fleet) isReady() bool {
	for _, n := range f.nodes {
		if len(n.Snapshot().View.Members) != len(f.nodes) {
			return false
		}
	}
	return true
}

// measure reports the rates over a while, for one daemon.
func (f *fleet) measure() {
	before, cpu, appends := f.counters(), processTime(f.b), f.log.Stats().Appends
	time.Sleep(fleetFor)
	after := f.counters()
	each := float64(len(f.nodes)) * fleetFor.Seconds()
	for _, name := range []string{"peer_calls_total", "peer_sent_bytes_total", "peer_received_bytes_total"} {
		f.b.ReportMetric((after[name]-before[name])/each, name+"/s")
	}
	f.b.ReportMetric(100*(processTime(f.b)-cpu).Seconds()/each, "%core")
	f.b.ReportMetric(float64(f.log.Stats().Appends-appends)/fleetFor.Seconds(), "appends/s,all")
	f.b.ReportMetric(0, "ns/op")
}

// counters sums the daemons' counters by name.
func (f *fleet) counters() map[string]float64 {
	out := make(map[string]float64)
	for _, r := range f.registries {
		families, err := r.Gather()
		if err != nil {
			f.b.Fatal(err)
		}
		for _, m := range families {
			for _, v := range m.GetMetric() {
				out[m.GetName()[len("currantwick_"):]] += v.GetCounter().GetValue()
			}
		}
	}
	return out
}

// processTime returns the processor time that this process has used, which
// includes the stand-ins.
func processTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
