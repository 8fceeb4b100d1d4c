// Package scale measures what control costs: daemons in this process that talk
// over loopback, beside stand-ins for the platform. Its benchmarks measure the
// decisions alone, at sizes that one machine can't run.
package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/fleet"
	"currantwick/pause"
	"currantwick/setup"
)

const (
	anyPort = wick.Address("127.0.0.1:0")
	// settleFor is the time from one view of all daemons to the measurement.
	settleFor = 3 * time.Second
	// readyWithin bounds the wait for one view of all daemons.
	readyWithin = time.Minute
	// domains is how many failure domains the daemons stand in, in turn.
	domains = 18
)

// site is daemons with their stand-ins.
type site struct {
	set   *fakes.Set
	fleet *fleet.Fleet
}

// siteConfig says what to start.
type siteConfig struct {
	daemons  int
	services int
	// appends bounds the appends a second that the log takes; 0 is no bound.
	appends wick.PerSecond
	// logOf gives each daemon a way to the log of its own, if it is not nil.
	logOf func(set *fakes.Set) (func(i int) wick.Address, error)
}

// open starts the stand-ins and opens the daemons' sockets.
func open(cfg siteConfig) (*site, error) {
	stand := fakes.SetConfig{
		Log:   &fakes.LogConfig{Address: anyPort, AppendRate: cfg.appends},
		Hosts: &fakes.HostsConfig{Address: anyPort},
	}
	for range cfg.services {
		stand.Services = append(stand.Services, fakes.ServiceConfig{Address: anyPort})
	}
	set, err := fakes.StartSet(stand)
	if err != nil {
		return nil, fmt.Errorf("stand-ins: %w", err)
	}
	f, err := daemons(cfg, set)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("daemons: %w", err), set.Close())
	}
	return &site{set: set, fleet: f}, nil
}

func daemons(cfg siteConfig, set *fakes.Set) (*fleet.Fleet, error) {
	c := fleet.Config{
		Daemons: cfg.daemons,
		Log:     set.Log.Address(),
		Hosts:   set.Hosts.Address(),
		Policy:  setup.Default().Policy,
	}
	for i := range domains {
		c.Domains = append(c.Domains, wick.Domain(fmt.Sprintf("domain-%d", i+1)))
	}
	if cfg.logOf != nil {
		var err error
		if c.LogOf, err = cfg.logOf(set); err != nil {
			return nil, fmt.Errorf("ways to the log: %w", err)
		}
	}
	return fleet.New(c)
}

// start runs the daemons until they are one view with a configuration, and a
// while longer.
func (s *site) start(ctx context.Context, c wick.Change) error {
	s.fleet.Start(ctx)
	ready, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	v, err := s.publish(ready, c)
	if err != nil {
		return err
	}
	if err := s.fleet.Ready(ready, v.Offset); err != nil {
		return fmt.Errorf("wait for one view: %w", err)
	}
	pause.For(ctx, settleFor)
	return nil
}

// publish sends a change through the first daemon.
func (s *site) publish(ctx context.Context, c wick.Change) (wick.Verdict, error) {
	v, err := s.fleet.Nodes()[0].Publish(ctx, c)
	if err != nil {
		return v, fmt.Errorf("publish %s: %w", c.ID, err)
	}
	if !v.Accepted() {
		return v, fmt.Errorf("publish %s: %w", c.ID, v.Violations[0])
	}
	return v, nil
}

func (s *site) close() error {
	return errors.Join(s.fleet.Close(), s.set.Close())
}

// minimal is a configuration that no request uses.
func minimal(i int) wick.Change {
	return wick.Change{ID: wick.ChangeID(fmt.Sprintf("change-%d", i)), Operator: "scale", Puts: wick.Objects{
		Models: []wick.Model{{Name: "m", Context: wick.Tokens(i + 1)}},
	}}
}
