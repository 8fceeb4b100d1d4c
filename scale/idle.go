package scale

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"currantwick/pause"
)

// idleFor is how long idle daemons are watched.
const idleFor = 10 * time.Second

// Idle is what control costs one of several daemons that serve nobody.
type Idle struct {
	Daemons int
	// Calls counts control messages, sent or received, a second.
	Calls float64
	// Sent and Received are bytes of them a second, without the transport's.
	Sent, Received float64
	// Core is the share of a core, that of the stand-ins included.
	Core float64
	// Appends are those of all daemons together, a second.
	Appends float64
}

// String writes the figures in a line.
func (i Idle) String() string {
	return fmt.Sprintf("%d daemons: each %.0f messages, %.0f B sent, %.0f B received a second, %.2f%% of a core; all %.1f appends a second",
		i.Daemons, i.Calls, i.Sent, i.Received, 100*i.Core, i.Appends)
}

// MeasureIdle watches a number of daemons that serve nobody.
func MeasureIdle(ctx context.Context, daemons int) (Idle, error) {
	s, err := open(siteConfig{daemons: daemons})
	if err != nil {
		return Idle{}, err
	}
	if err := s.start(ctx, minimal(0)); err != nil {
		return Idle{}, errors.Join(err, s.close())
	}
	before, err := s.reading()
	if err != nil {
		return Idle{}, errors.Join(err, s.close())
	}
	pause.For(ctx, idleFor)
	after, err := s.reading()
	return after.since(before, daemons), errors.Join(err, s.close())
}

// reading is the state of all counters.
type reading struct {
	counters map[string]float64
	cpu      time.Duration
	appends  int
}

func (s *site) reading() (reading, error) {
	r := reading{counters: make(map[string]float64), appends: s.set.Log.Stats().Appends}
	for _, registry := range s.fleet.Registries() {
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
		return r, fmt.Errorf("read processor time: %w", err)
	}
	r.cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	return r, nil
}

func (r reading) since(before reading, daemons int) Idle {
	each := float64(daemons) * idleFor.Seconds()
	rate := func(name string) float64 {
		return (r.counters["currantwick_"+name] - before.counters["currantwick_"+name]) / each
	}
	return Idle{
		Daemons:  daemons,
		Calls:    rate("peer_calls_total"),
		Sent:     rate("peer_sent_bytes_total"),
		Received: rate("peer_received_bytes_total"),
		Core:     (r.cpu - before.cpu).Seconds() / each,
		Appends:  float64(r.appends-before.appends) / idleFor.Seconds(),
	}
}
