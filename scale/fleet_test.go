package scale

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/fleet"
	"currantwick/setup"
)

const (
	fleetSettle = 3 * time.Second
	fleetFor    = 10 * time.Second
	fleetReady  = time.Minute
	fleetPort   = wick.Address("127.0.0.1:0")
)

// running is a fleet with its stand-ins.
type running struct {
	b     *testing.B
	log   *fakes.Log
	fleet *fleet.Fleet
}

// BenchmarkFleet measures what control costs daemons that serve nobody: run it
// with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{7, 20, 60} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			r := newRunning(b, size)
			r.fleet.Start(context.Background())
			ctx, cancel := context.WithTimeout(context.Background(), fleetReady)
			defer cancel()
			if err := r.fleet.Ready(ctx, 0); err != nil {
				b.Fatal(err)
			}
			time.Sleep(fleetSettle)
			r.measure()
			if err := r.fleet.Close(); err != nil {
				b.Error(err)
			}
		})
	}
}

func newRunning(b *testing.B, size int) *running {
	set, err := fakes.StartSet(fakes.SetConfig{
		Log:   &fakes.LogConfig{Address: fleetPort},
		Hosts: &fakes.HostsConfig{Address: fleetPort},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = set.Close() })
	var domains []wick.Domain
	for i := range 18 {
		domains = append(domains, wick.Domain(fmt.Sprintf("d%d", i)))
	}
	f, err := fleet.New(fleet.Config{
		Daemons: size, Domains: domains,
		Log: set.Log.Address(), Hosts: set.Hosts.Address(), Policy: setup.Default().Policy,
	})
	if err != nil {
		b.Fatal(err)
	}
	return &running{b: b, log: set.Log, fleet: f}
}

// measure reports the rates over a while, for one daemon.
func (f *running) measure() {
	before, cpu, appends := f.counters(), processTime(f.b), f.log.Stats().Appends
	time.Sleep(fleetFor)
	after := f.counters()
	each := float64(len(f.fleet.Nodes())) * fleetFor.Seconds()
	for _, name := range []string{"peer_calls_total", "peer_sent_bytes_total", "peer_received_bytes_total"} {
		f.b.ReportMetric((after[name]-before[name])/each, name+"/s")
	}
	f.b.ReportMetric(100*(processTime(f.b)-cpu).Seconds()/each, "%core")
	f.b.ReportMetric(float64(f.log.Stats().Appends-appends)/fleetFor.Seconds(), "appends/s,all")
	f.b.ReportMetric(0, "ns/op")
}

// counters sums the daemons' counters by name.
func (f *running) counters() map[string]float64 {
	out := make(map[string]float64)
	for _, r := range f.fleet.Registries() {
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
