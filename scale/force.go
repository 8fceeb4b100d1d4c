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
	forceDaemons = 7
	forceChanges = 30
	forcePause   = 100 * time.Millisecond
	forceLook    = time.Millisecond
	forceDelay   = wick.Duration(300 * time.Millisecond)
)

// LogFault is what is wrong with the daemons' way to the log.
type LogFault string

// The faults of the way to the log. Where some daemons lose it, these are three
// of the seven.
const (
	LogUp     LogFault = "up"
	LogSlow   LogFault = "slow"
	LogCut    LogFault = "cut for some"
	LogSilent LogFault = "silent for some"
)

// control returns the message to the proxy that causes a fault.
func (f LogFault) control() fault.Control {
	some := []fault.LinkName{forceLink(4), forceLink(5), forceLink(6)}
	delay := forceDelay
	switch f {
	case LogSlow:
		return fault.Control{Delay: &delay}
	case LogCut:
		return fault.Control{Links: some, Mode: fault.Cut}
	case LogSilent:
		return fault.Control{Links: some, Mode: fault.Blackhole}
	}
	return fault.Control{Mode: fault.Pass}
}

// Spread is how long changes took, from their sending, to be in force on all of
// seven daemons.
type Spread struct {
	Log          LogFault
	Middle, Most time.Duration
}

// String writes the figures in a line.
func (s Spread) String() string {
	return fmt.Sprintf("log %s: in force on all of %d daemons after %v, at most %v", s.Log, forceDaemons, s.Middle, s.Most)
}

// MeasureForce publishes changes one after the other.
func MeasureForce(ctx context.Context, f LogFault) (Spread, error) {
	var proxy *fault.Proxy
	s, err := open(siteConfig{daemons: forceDaemons, logOf: func(set *fakes.Set) (func(int) wick.Address, error) {
		var err error
		proxy, err = fault.Start(fault.Config{Links: forceLinks(set.Log.Address())})
		return func(i int) wick.Address { return proxy.Address(forceLink(i)) }, err
	}})
	if err != nil {
		return Spread{}, err
	}
	h, err := s.force(ctx, proxy, f)
	err = errors.Join(err, s.close(), proxy.Close())
	return Spread{
		Log:    f,
		Middle: time.Duration(h.ValueAtQuantile(50)) * time.Microsecond,
		Most:   time.Duration(h.Max()) * time.Microsecond,
	}, err
}

func forceLinks(log wick.Address) []fault.Link {
	var links []fault.Link
	for i := range forceDaemons {
		links = append(links, fault.Link{Name: forceLink(i), Network: fault.TCP, Listen: anyPort, Target: log})
	}
	return links
}

func forceLink(i int) fault.LinkName { return fault.LinkName(fmt.Sprintf("log-%d", i)) }

// force causes the fault and returns the times of the changes in microseconds.
func (s *site) force(ctx context.Context, proxy *fault.Proxy, f LogFault) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, int64(readyWithin/time.Microsecond), 3)
	if err := s.start(ctx, minimal(0)); err != nil {
		return h, err
	}
	if err := proxy.Set(f.control()); err != nil {
		return h, fmt.Errorf("cause the fault: %w", err)
	}
	for i := range forceChanges {
		took, err := s.inForce(ctx, minimal(i+1))
		if err != nil {
			return h, err
		}
		if err := h.RecordValue(took.Microseconds()); err != nil {
			return h, fmt.Errorf("note a time: %w", err)
		}
		pause.For(ctx, forcePause)
	}
	return h, nil
}

// inForce publishes a change and waits until all daemons have it.
func (s *site) inForce(ctx context.Context, c wick.Change) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	start := time.Now()
	v, err := s.publish(ctx, c)
	if err != nil {
		return 0, err
	}
	for _, n := range s.fleet.Nodes() {
		for n.Snapshot().Offset < v.Offset {
			if ctx.Err() != nil {
				return 0, fmt.Errorf("%s has not applied offset %d: %w", n.Self().Host, v.Offset, ctx.Err())
			}
			pause.For(ctx, forceLook)
		}
	}
	return time.Since(start), nil
}
