package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/fault"
	"currantwick/pause"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	propagationDaemons = 7
	propagationChanges = 30
	propagationPause   = 100 * time.Millisecond
	propagationPoll    = time.Millisecond
	propagationDelay   = wick.Duration(300 * time.Millisecond)
)

// LogFault is a fault on the daemons' links to the log.
type LogFault string

// The faults of the links to the log. LogCutForSome and LogSilentForSome affect
// three of the seven daemons.
const (
	LogHealthy       LogFault = "up"
	LogSlow          LogFault = "slow"
	LogCutForSome    LogFault = "cut for some"
	LogSilentForSome LogFault = "silent for some"
)

// faultControl returns the proxy's control message that causes a fault.
func (f LogFault) faultControl() fault.Control {
	some := []fault.LinkName{logLink(4), logLink(5), logLink(6)}
	delay := propagationDelay
	switch f {
	case LogSlow:
		return fault.Control{Delay: &delay}
	case LogCutForSome:
		return fault.Control{Links: some, Mode: fault.Cut}
	case LogSilentForSome:
		return fault.Control{Links: some, Mode: fault.Blackhole}
	}
	return fault.Control{Mode: fault.Pass}
}

// Propagation holds how long changes took from publishing until all seven
// daemons had applied them.
type Propagation struct {
	Log         LogFault
	Median, Max time.Duration
}

// String returns the figures in one line.
func (p Propagation) String() string {
	return fmt.Sprintf("log %s: in force on all of %d daemons after %v, at most %v", p.Log, propagationDaemons, p.Median, p.Max)
}

// MeasurePropagation measures how long changes, published one after the other,
// take to be applied by all daemons.
func MeasurePropagation(ctx context.Context, f LogFault) (Propagation, error) {
	var proxy *fault.Proxy
	s, err := newCluster(clusterConfig{daemons: propagationDaemons, logProxies: func(set *fakes.Set) (func(int) wick.Address, error) {
		var err error
		proxy, err = fault.Start(fault.Config{Links: logLinks(set.Log.Address())})
		return func(i int) wick.Address { return proxy.Address(logLink(i)) }, err
	}})
	if err != nil {
		return Propagation{}, err
	}
	h, err := s.measurePropagation(ctx, proxy, f)
	err = errors.Join(err, s.close(), proxy.Close())
	return Propagation{
		Log:    f,
		Median: time.Duration(h.ValueAtQuantile(50)) * time.Microsecond,
		Max:    time.Duration(h.Max()) * time.Microsecond,
	}, err
}

func logLinks(log wick.Address) []fault.Link {
	var links []fault.Link
	for i := range propagationDaemons {
		links = append(links, fault.Link{Name: logLink(i), Network: fault.TCP, Listen: anyPort, Target: log})
	}
	return links
}

func logLink(i int) fault.LinkName { return fault.LinkName(fmt.Sprintf("log-%d", i)) }

// measurePropagation causes the fault, publishes the changes, and returns their
// times in microseconds.
func (s *cluster) measurePropagation(ctx context.Context, proxy *fault.Proxy, f LogFault) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, int64(readyTimeout/time.Microsecond), 3)
	if err := s.start(ctx, unusedChange(0)); err != nil {
		return h, err
	}
	if err := proxy.Set(f.faultControl()); err != nil {
		return h, fmt.Errorf("set the fault: %w", err)
	}
	for i := range propagationChanges {
		elapsed, err := s.publishAndWait(ctx, unusedChange(i+1))
		if err != nil {
			return h, err
		}
		if err := h.RecordValue(elapsed.Microseconds()); err != nil {
			return h, fmt.Errorf("record a time: %w", err)
		}
		pause.For(ctx, propagationPause)
	}
	return h, nil
}

// publishAndWait publishes a change and returns how long it took until all
// daemons had applied it.
func (s *cluster) publishAndWait(ctx context.Context, c wick.Change) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	start := time.Now()
	v, err := s.publish(ctx, c)
	if err != nil {
		return 0, err
	}
	for _, n := range s.inproc.Nodes() {
		for n.Snapshot().Offset < v.Offset {
			if ctx.Err() != nil {
				return 0, fmt.Errorf("%s has not applied offset %d: %w", n.Self().Host, v.Offset, ctx.Err())
			}
			pause.For(ctx, propagationPoll)
		}
	}
	return time.Since(start), nil
}
