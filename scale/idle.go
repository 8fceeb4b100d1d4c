package scale

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"currantwick/pause"
)

// idleTime is how long idle daemons are measured.
const idleTime = 10 * time.Second

// Idle is the control overhead of one of several daemons without traffic.
type Idle struct {
	Daemons int
	// Calls is the number of control messages sent or received per second.
	Calls float64
	// Sent and Received are the bytes per second of these messages, without
	// transport overhead.
	Sent, Received float64
	// CPU is the CPU time of the process, fakes included, per daemon, as a
	// fraction of one core.
	CPU float64
	// Appends is the number of appends per second by all daemons together.
	Appends float64
}

// String returns the figures in one line.
func (i Idle) String() string {
	return fmt.Sprintf("%d daemons: each %.0f messages, %.0f B sent, %.0f B received a second, %.2f%% of a core; all %.1f appends a second",
		i.Daemons, i.Calls, i.Sent, i.Received, 100*i.CPU, i.Appends)
}

// MeasureIdle measures the given number of daemons without traffic.
func MeasureIdle(ctx context.Context, daemons int) (Idle, error) {
	s, err := newCluster(clusterConfig{daemons: daemons})
	if err != nil {
		return Idle{}, err
	}
	if err := s.start(ctx, unusedChange(0)); err != nil {
		return Idle{}, errors.Join(err, s.close())
	}
	before, err := s.reading()
	if err != nil {
		return Idle{}, errors.Join(err, s.close())
	}
	pause.For(ctx, idleTime)
	after, err := s.reading()
	return after.since(before, daemons), errors.Join(err, s.close())
}

// reading holds the values of all counters at one time.
type reading struct {
	counters map[string]float64
	cpu      time.Duration
	appends  int
}

func (s *cluster) reading() (reading, error) {
	r := reading{counters: make(map[string]float64), appends: s.set.Log.Stats().Appends}
	for _, registry := range s.inproc.Registries() {
		families, err := registry.Gather()
		if err != nil {
			return r, fmt.Errorf("read counters: %w", err)
		}
		for _, m := range families {
			for _, v := range m.GetMetric() {
				r.counters[m.GetName()] += v.GetCounter().GetValue()
			}
		}
	}
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return r, fmt.Errorf("read CPU time: %w", err)
	}
	r.cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	return r, nil
}

func (r reading) since(before reading, daemons int) Idle {
	each := float64(daemons) * idleTime.Seconds()
	rate := func(name string) float64 {
		return (r.counters["currantwick_"+name] - before.counters["currantwick_"+name]) / each
	}
	return Idle{
		Daemons:  daemons,
		Calls:    rate("peer_calls_total"),
		Sent:     rate("peer_sent_bytes_total"),
		Received: rate("peer_received_bytes_total"),
		CPU:      (r.cpu - before.cpu).Seconds() / each,
		Appends:  float64(r.appends-before.appends) / idleTime.Seconds(),
	}
}
