package scale

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/fleet"
	"currantwick/setup"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

const (
	commandDaemons = 3
	commandFor     = 3 * time.Second
	// logRate is what the platform's log takes, in appends a second.
	logRate = 300
)

// BenchmarkCommands measures how many commands one batched stream of claims
// carries, and what a claim costs in time: run it with -benchtime 1x.
func BenchmarkCommands(b *testing.B) {
	tests := []struct {
		route   wick.RouteName
		callers int
	}{
		{"look", 1}, {"look", 64}, {"confirm", 1}, {"confirm", 64}, {"confirm", 512},
	}
	for _, test := range tests {
		b.Run(fmt.Sprintf("route=%s/callers=%d", test.route, test.callers), func(b *testing.B) {
			set, f := commandFleet(b)
			appends := set.Log.Stats().Appends
			h := callAll(b, f, test.route, test.callers)
			b.ReportMetric(float64(h.TotalCount())/commandFor.Seconds(), "calls/s")
			b.ReportMetric(float64(set.Log.Stats().Appends-appends)/commandFor.Seconds(), "appends/s")
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func commandFleet(b *testing.B) (*fakes.Set, *fleet.Fleet) {
	set, err := fakes.StartSet(fakes.SetConfig{
		Log:      &fakes.LogConfig{Address: fleetPort, AppendRate: logRate},
		Hosts:    &fakes.HostsConfig{Address: fleetPort},
		Services: []fakes.ServiceConfig{{Address: fleetPort}, {Address: fleetPort}, {Address: fleetPort}},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = set.Close() })
	f, err := fleet.New(fleet.Config{
		Daemons: commandDaemons, Domains: []wick.Domain{"d0", "d1", "d2"},
		Log: set.Log.Address(), Hosts: set.Hosts.Address(), Policy: setup.Default().Policy,
	})
	if err != nil {
		b.Fatal(err)
	}
	f.Start(context.Background())
	b.Cleanup(func() { _ = f.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), fleetReady)
	defer cancel()
	v, err := f.Nodes()[0].Publish(ctx, desk(set.Addresses().Services))
	if err != nil || !v.Accepted() {
		b.Fatal(err, v.Violations)
	}
	if err := f.Ready(ctx, v.Offset); err != nil {
		b.Fatal(err)
	}
	time.Sleep(fleetSettle)
	return set, f
}

// desk is a configuration of plain services alone.
func desk(at []wick.Address) wick.Change {
	o := wick.Objects{
		Priorities: []wick.Priority{{Name: "p", Level: 9, Deadline: wick.Duration(5 * time.Second)}},
		Pools:      []wick.Pool{{Name: "desk", Kind: wick.ServiceEndpoint}},
		Routes: []wick.Route{
			{Name: "look", Pool: "desk", Priority: "p", Path: "/look"},
			{Name: "confirm", Pool: "desk", Priority: "p", Path: "/confirm", NonIdempotent: true},
		},
	}
	for i, a := range at {
		o.Endpoints = append(o.Endpoints, wick.Endpoint{
			Name: wick.EndpointName(fmt.Sprintf("desk-%d", i)), Pool: "desk",
			Host: wick.HostName(fmt.Sprintf("desk-%d", i)), Domain: "d0", Address: a, BatchSlots: 256,
		})
	}
	return wick.Change{ID: "desk", Operator: "bench", Puts: o}
}

// callAll lets callers call in closed loops and returns the times in
// microseconds.
func callAll(b *testing.B, f *fleet.Fleet, route wick.RouteName, callers int) *hdrhistogram.Histogram {
	ctx, cancel := context.WithTimeout(context.Background(), commandFor)
	defer cancel()
	var group errgroup.Group
	var failed atomic.Int64
	parts := make([]*hdrhistogram.Histogram, callers)
	for i := range callers {
		parts[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		group.Go(func() error {
			n := f.Nodes()[i%len(f.Nodes())]
			for k := 0; ctx.Err() == nil; k++ {
				id := fmt.Sprintf("c%d-%d", i, k)
				at := time.Now()
				ask := wick.Ask{Request: wick.RequestID(id), Route: route, Key: wick.ClaimKey(id)}
				if _, err := n.Invoke(context.Background(), ask); err != nil {
					failed.Add(1)
					continue
				}
				_ = parts[i].RecordValue(time.Since(at).Microseconds())
			}
			return nil
		})
	}
	_ = group.Wait()
	whole := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, p := range parts {
		whole.Merge(p)
	}
	b.ReportMetric(float64(failed.Load()), "failed")
	return whole
}
