// Package scale measures the overhead of the control plane, with daemons in this
// process that communicate over loopback, and fakes of the platform. Its
// benchmarks measure only the decisions, at sizes that one machine can't run.
package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/inproc"
	"currantwick/pause"
	"currantwick/setup"
)

const (
	anyPort = wick.Address("127.0.0.1:0")
	// settleTime is the time from the first view of all daemons to the
	// measurement.
	settleTime = 3 * time.Second
	// readyTimeout limits the wait for one view of all daemons, and the wait
	// until they have applied a change.
	readyTimeout = time.Minute
	// domains is the number of failure domains. Daemons are assigned to them
	// in turn.
	domains = 18
)

// cluster holds daemons and their fakes.
type cluster struct {
	set    *fakes.Set
	inproc *inproc.Fleet
}

// clusterConfig configures a cluster.
type clusterConfig struct {
	daemons  int
	services int
	// appends limits the log's appends per second; 0 for no limit.
	appends wick.PerSecond
	// logProxies, if not nil, gives each daemon a separate address of the log.
	logProxies func(set *fakes.Set) (func(i int) wick.Address, error)
}

// newCluster starts the fakes and opens the daemons' sockets.
func newCluster(cfg clusterConfig) (*cluster, error) {
	fakesConfig := fakes.SetConfig{
		Log:   &fakes.LogConfig{Address: anyPort, AppendRate: cfg.appends},
		Hosts: &fakes.HostsConfig{Address: anyPort},
	}
	for range cfg.services {
		fakesConfig.Services = append(fakesConfig.Services, fakes.ServiceConfig{Address: anyPort})
	}
	set, err := fakes.StartSet(fakesConfig)
	if err != nil {
		return nil, fmt.Errorf("fakes: %w", err)
	}
	f, err := daemons(cfg, set)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("daemons: %w", err), set.Close())
	}
	return &cluster{set: set, inproc: f}, nil
}

func daemons(cfg clusterConfig, set *fakes.Set) (*inproc.Fleet, error) {
	c := inproc.Config{
		Daemons: cfg.daemons,
		Log:     set.Log.Address(),
		Hosts:   set.Hosts.Address(),
		Policy:  setup.Default().Policy,
	}
	for i := range domains {
		c.Domains = append(c.Domains, wick.Domain(fmt.Sprintf("domain-%d", i+1)))
	}
	if cfg.logProxies != nil {
		var err error
		if c.LogAddress, err = cfg.logProxies(set); err != nil {
			return nil, fmt.Errorf("proxies to the log: %w", err)
		}
	}
	return inproc.New(c)
}

// start starts the daemons, publishes a configuration, waits until they have it
// and are in one view, and then waits for settleTime.
func (s *cluster) start(ctx context.Context, c wick.Change) error {
	s.inproc.Start(ctx)
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	v, err := s.publish(ready, c)
	if err != nil {
		return err
	}
	if err := s.inproc.WaitReady(ready, v.Offset); err != nil {
		return fmt.Errorf("wait for one view: %w", err)
	}
	pause.For(ctx, settleTime)
	return nil
}

// publish sends a change through the first daemon.
func (s *cluster) publish(ctx context.Context, c wick.Change) (wick.Verdict, error) {
	v, err := s.inproc.Nodes()[0].Publish(ctx, c)
	if err != nil {
		return v, fmt.Errorf("publish %s: %w", c.ID, err)
	}
	if !v.Accepted() {
		return v, fmt.Errorf("publish %s: %w", c.ID, v.Violations[0])
	}
	return v, nil
}

func (s *cluster) close() error {
	return errors.Join(s.inproc.Close(), s.set.Close())
}

// unusedChange returns a change that publishes a model that no request uses.
func unusedChange(i int) wick.Change {
	return wick.Change{ID: wick.ChangeID(fmt.Sprintf("change-%d", i)), Operator: "scale", Puts: wick.Objects{
		Models: []wick.Model{{Name: "m", Context: wick.Tokens(i + 1)}},
	}}
}
