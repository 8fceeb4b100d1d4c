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
	commandFor      = 3 * time.Second
	// commandAppends is what the log takes, in appends a second.
	commandAppends wick.PerSecond = 300

	// LookUp is a route whose calls are idempotent.
	LookUp wick.RouteName = "look-up"
	// Confirm is a route whose calls need a claim.
	Confirm wick.RouteName = "confirm"
)

// Calls is how calls of plain services went.
type Calls struct {
	Route   wick.RouteName
	Callers int
	// Rate and Appends are per second.
	Rate, Appends float64
	Failed        int64
	Middle, P99   time.Duration
}

// String writes the figures in a line.
func (c Calls) String() string {
	return fmt.Sprintf("%s, %d callers: %.0f calls and %.0f appends a second, %v in the middle, %v at the 99th percentile, %d failed",
		c.Route, c.Callers, c.Rate, c.Appends, c.Middle, c.P99, c.Failed)
}

// MeasureCalls lets callers call one route in closed loops, each with keys of
// its own.
func MeasureCalls(ctx context.Context, route wick.RouteName, callers int) (Calls, error) {
	s, err := open(siteConfig{daemons: commandDaemons, services: commandServices, appends: commandAppends})
	if err != nil {
		return Calls{}, err
	}
	if err := s.start(ctx, desk(s.set.Addresses().Services)); err != nil {
		return Calls{}, errors.Join(err, s.close())
	}
	appends := s.set.Log.Stats().Appends
	h, failed := s.callAll(ctx, route, callers)
	out := Calls{
		Route: route, Callers: callers, Failed: failed,
		Rate:    float64(h.TotalCount()) / commandFor.Seconds(),
		Appends: float64(s.set.Log.Stats().Appends-appends) / commandFor.Seconds(),
		Middle:  time.Duration(h.ValueAtQuantile(50)) * time.Microsecond,
		P99:     time.Duration(h.ValueAtQuantile(99)) * time.Microsecond,
	}
	return out, s.close()
}

// desk is a configuration of plain services alone.
func desk(at []wick.Address) wick.Change {
	o := wick.Objects{
		Priorities: []wick.Priority{{Name: "p", Level: 9, Deadline: wick.Duration(5 * time.Second)}},
		Pools:      []wick.Pool{{Name: "desk", Kind: wick.ServiceEndpoint}},
		Routes: []wick.Route{
			{Name: LookUp, Pool: "desk", Priority: "p", Path: "/look-up"},
			{Name: Confirm, Pool: "desk", Priority: "p", Path: "/confirm", NonIdempotent: true},
		},
	}
	for i, a := range at {
		name := fmt.Sprintf("desk-%d", i+1)
		o.Endpoints = append(o.Endpoints, wick.Endpoint{
			Name: wick.EndpointName(name), Pool: "desk", Host: wick.HostName(name),
			Domain: "domain-1", Address: a, BatchSlots: 256,
		})
	}
	return wick.Change{ID: "desk", Operator: "scale", Puts: o}
}

// callAll returns the times of the answered calls in microseconds, and how many
// failed.
func (s *site) callAll(ctx context.Context, route wick.RouteName, callers int) (*hdrhistogram.Histogram, int64) {
	ctx, cancel := context.WithTimeout(ctx, commandFor)
	defer cancel()
	var group errgroup.Group
	var failed atomic.Int64
	parts := make([]*hdrhistogram.Histogram, callers)
	for i := range callers {
		parts[i] = newTimes()
		group.Go(func() error {
			failed.Add(s.callInTurn(ctx, route, i, parts[i]))
			return nil
		})
	}
	_ = group.Wait() // Its functions return no error.
	whole := newTimes()
	for _, p := range parts {
		whole.Merge(p)
	}
	return whole, failed.Load()
}

func newTimes() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(readyWithin/time.Microsecond), 3)
}

// callInTurn makes one call after the other until ctx ends, and returns how
// many failed. A call that has begun is finished.
func (s *site) callInTurn(ctx context.Context, route wick.RouteName, caller int, times *hdrhistogram.Histogram) (failed int64) {
	n := s.fleet.Nodes()[caller%len(s.fleet.Nodes())]
	for k := 0; ctx.Err() == nil; k++ {
		id := fmt.Sprintf("c%d-%d", caller, k)
		at := time.Now()
		ask := wick.Ask{Request: wick.RequestID(id), Route: route, Key: wick.ClaimKey(id)}
		if _, err := n.Invoke(context.WithoutCancel(ctx), ask); err != nil {
			failed++
			continue
		}
		// A time beyond the histogram's range is longer than any deadline.
		_ = times.RecordValue(time.Since(at).Microseconds())
	}
	return failed
}
