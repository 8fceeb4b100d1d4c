package scale

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"currantwick"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

const (
	commandDaemons  = 3
	commandServices = 3
	commandTime     = 3 * time.Second
	// commandAppends is the append rate that the log accepts.
	commandAppends wick.PerSecond = 300

	// LookUp is a route whose calls are idempotent.
	LookUp wick.RouteName = "look-up"
	// Confirm is a route whose calls need a claim.
	Confirm wick.RouteName = "confirm"
)

// Calls is the result of a measurement of calls of plain services.
type Calls struct {
	Route   wick.RouteName
	Callers int
	// Rate and Appends are per second.
	Rate, Appends float64
	Failed        int64
	Median, P99   time.Duration
}

// String returns the figures in one line.
func (c Calls) String() string {
	return fmt.Sprintf("%s, %d callers: %.0f calls and %.0f appends a second, %v in the middle, %v at the 99th percentile, %d failed",
		c.Route, c.Callers, c.Rate, c.Appends, c.Median, c.P99, c.Failed)
}

// MeasureCalls measures callers that call one route in closed loops, each with
// separate keys.
func MeasureCalls(ctx context.Context, route wick.RouteName, callers int) (Calls, error) {
	s, err := newCluster(clusterConfig{daemons: commandDaemons, services: commandServices, appends: commandAppends})
	if err != nil {
		return Calls{}, err
	}
	if err := s.start(ctx, servicesChange(s.set.Addresses().Services)); err != nil {
		return Calls{}, errors.Join(err, s.close())
	}
	appends := s.set.Log.Stats().Appends
	h, failed := s.runCallers(ctx, route, callers)
	out := Calls{
		Route: route, Callers: callers, Failed: failed,
		Rate:    float64(h.TotalCount()) / commandTime.Seconds(),
		Appends: float64(s.set.Log.Stats().Appends-appends) / commandTime.Seconds(),
		Median:  time.Duration(h.ValueAtQuantile(50)) * time.Microsecond,
		P99:     time.Duration(h.ValueAtQuantile(99)) * time.Microsecond,
	}
	return out, s.close()
}

// servicesChange returns a change that publishes plain services only.
func servicesChange(addrs []wick.Address) wick.Change {
	o := wick.Objects{
		Priorities: []wick.Priority{{Name: "p", Level: 9, Deadline: wick.Duration(5 * time.Second)}},
		Pools:      []wick.Pool{{Name: "desk", Kind: wick.ServiceEndpoint}},
		Routes: []wick.Route{
			{Name: LookUp, Pool: "desk", Priority: "p", Path: "/look-up"},
			{Name: Confirm, Pool: "desk", Priority: "p", Path: "/confirm", NonIdempotent: true},
		},
	}
	for i, a := range addrs {
		name := fmt.Sprintf("desk-%d", i+1)
		o.Endpoints = append(o.Endpoints, wick.Endpoint{
			Name: wick.EndpointName(name), Pool: "desk", Host: wick.HostName(name),
			Domain: "domain-1", Address: a, BatchSlots: 256,
		})
	}
	return wick.Change{ID: "desk", Operator: "scale", Puts: o}
}

// runCallers runs the callers for commandTime. It returns the latencies of the
// answered calls in microseconds, and how many calls failed.
func (s *cluster) runCallers(ctx context.Context, route wick.RouteName, callers int) (*hdrhistogram.Histogram, int64) {
	ctx, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	var group errgroup.Group
	var failed atomic.Int64
	parts := make([]*hdrhistogram.Histogram, callers)
	for i := range callers {
		parts[i] = newHistogram()
		group.Go(func() error {
			failed.Add(s.callLoop(ctx, route, i, parts[i]))
			return nil
		})
	}
	_ = group.Wait() // The functions return no error.
	total := newHistogram()
	for _, p := range parts {
		total.Merge(p)
	}
	return total, failed.Load()
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(readyTimeout/time.Microsecond), 3)
}

// callLoop makes one call after the other until ctx ends, and returns how many
// failed. A call in progress is finished.
func (s *cluster) callLoop(ctx context.Context, route wick.RouteName, caller int, times *hdrhistogram.Histogram) (failed int64) {
	n := s.inproc.Nodes()[caller%len(s.inproc.Nodes())]
	for k := 0; ctx.Err() == nil; k++ {
		id := fmt.Sprintf("c%d-%d", caller, k)
		at := time.Now()
		req := wick.CallerRequest{Request: wick.RequestID(id), Route: route, Key: wick.ClaimKey(id)}
		if _, err := n.Invoke(context.WithoutCancel(ctx), req); err != nil {
			failed++
			continue
		}
		// A latency beyond the histogram's range would exceed every deadline, so
		// the error is ignored.
		_ = times.RecordValue(time.Since(at).Microseconds())
	}
	return failed
}
