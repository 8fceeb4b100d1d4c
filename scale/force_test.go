package scale

import (
	"context"
	"fmt"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/fault"
	"currantwick/fleet"
	"currantwick/setup"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	forceDaemons = 7
	forceChanges = 30
	forcePause   = 100 * time.Millisecond
)

// BenchmarkInForce measures the time from the sending of a change until all of
// seven daemons have it in force: run it with -benchtime 1x. In the last two
// rows three of the daemons can't reach the log.
func BenchmarkInForce(b *testing.B) {
	delay := wick.Duration(300 * time.Millisecond)
	cut := []fault.LinkName{"log-4", "log-5", "log-6"}
	tests := []struct {
		name    string
		control *fault.Control
	}{
		{"up", nil},
		{"slow", &fault.Control{Delay: &delay}},
		{"cut", &fault.Control{Links: cut, Mode: fault.Cut}},
		{"silent", &fault.Control{Links: cut, Mode: fault.Blackhole}},
	}
	for _, test := range tests {
		b.Run("log="+test.name, func(b *testing.B) {
			f, proxy := forceFleet(b)
			if test.control != nil {
				if err := proxy.Set(*test.control); err != nil {
					b.Fatal(err)
				}
			}
			h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for i := range forceChanges {
				_ = h.RecordValue(inForce(b, f, i).Microseconds())
				time.Sleep(forcePause)
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(h.Max())/1000, "max-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// forceFleet starts seven daemons, each with a link of its own to the log.
func forceFleet(b *testing.B) (*fleet.Fleet, *fault.Proxy) {
	set, err := fakes.StartSet(fakes.SetConfig{
		Log:   &fakes.LogConfig{Address: fleetPort},
		Hosts: &fakes.HostsConfig{Address: fleetPort},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = set.Close() })
	var cfg fault.Config
	for i := range forceDaemons {
		cfg.Links = append(cfg.Links, fault.Link{
			Name: forceLink(i), Network: fault.TCP, Listen: fleetPort, Target: set.Log.Address(),
		})
	}
	proxy, err := fault.Start(cfg)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = proxy.Close() })
	f, err := fleet.New(fleet.Config{
		Daemons: forceDaemons, Domains: []wick.Domain{"d0", "d1", "d2"},
		LogOf: func(i int) wick.Address { return proxy.Address(forceLink(i)) },
		Hosts: set.Hosts.Address(), Policy: setup.Default().Policy,
	})
	if err != nil {
		b.Fatal(err)
	}
	f.Start(context.Background())
	b.Cleanup(func() { _ = f.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), fleetReady)
	defer cancel()
	if _, err := f.Nodes()[0].Publish(ctx, model(-1)); err != nil {
		b.Fatal(err)
	}
	if err := f.Ready(ctx, 1); err != nil {
		b.Fatal(err)
	}
	time.Sleep(fleetSettle)
	return f, proxy
}

func forceLink(i int) fault.LinkName { return fault.LinkName(fmt.Sprintf("log-%d", i)) }

func model(i int) wick.Change {
	return wick.Change{ID: wick.ChangeID(fmt.Sprintf("c%d", i+1)), Operator: "bench", Puts: wick.Objects{
		Models: []wick.Model{{Name: "m", Context: wick.Tokens(i + 2)}},
	}}
}

// inForce publishes a change through a daemon that reaches the log, and waits
// until all daemons have it.
func inForce(b *testing.B, f *fleet.Fleet, i int) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), fleetReady)
	defer cancel()
	start := time.Now()
	v, err := f.Nodes()[0].Publish(ctx, model(i))
	if err != nil || !v.Accepted() {
		b.Fatal(err, v.Violations)
	}
	for _, n := range f.Nodes() {
		for n.Snapshot().Offset < v.Offset {
			if ctx.Err() != nil {
				b.Fatalf("%s has not applied offset %d", n.Self().Host, v.Offset)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}
