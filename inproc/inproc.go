// Package inproc runs several daemons in one process with in-memory keys, for
// the demo, the load tool and benchmarks.
package inproc

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"currantwick"
	"currantwick/boot"
	"currantwick/certs"
	"currantwick/node"
	"currantwick/setup"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
)

const (
	anyPort = wick.Address("127.0.0.1:0")
	// certLifetime is the validity of the keys; no fleet runs longer.
	certLifetime = 24 * time.Hour
	// readyPollInterval is the time between two checks of WaitReady.
	readyPollInterval = 20 * time.Millisecond
)

// Config sets up a Fleet.
type Config struct {
	// Daemons is the number of daemons; positive. They are named host-1, host-2
	// and so on.
	Daemons int
	// Domains are assigned to the daemons in turn; not empty.
	Domains []wick.Domain
	// Log and Hosts are the addresses of the simulated platform.
	Log, Hosts wick.Address
	// LogAddress returns a log address for a daemon, counted from 0. If not nil, it
	// overrides Log.
	LogAddress func(i int) wick.Address
	Policy     setup.Policy
}

// Fleet is a set of daemons.
type Fleet struct {
	cfg        Config
	nodes      []*node.Node
	registries []*prometheus.Registry
	group      errgroup.Group
	stop       context.CancelFunc
}

// New opens the daemons' sockets.
func New(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, stop: func() {}}
	authority, err := certs.NewAuthority(certs.Config{Life: certLifetime})
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	for i := range cfg.Daemons {
		if err := f.add(authority, i); err != nil {
			return nil, fmt.Errorf("daemon %d: %w", i+1, err)
		}
	}
	return f, nil
}

func (f *Fleet) add(authority *certs.Authority, i int) error {
	s := f.settings(i)
	pair, err := authority.Issue(certs.Config{Life: certLifetime}, s.Host)
	if err != nil {
		return fmt.Errorf("issue keys: %w", err)
	}
	material, err := certs.NewMaterial(authority.PEM().Cert, pair)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	registry := prometheus.NewRegistry()
	n, err := boot.NewNode(boot.Config{
		Settings: s,
		Keys:     certs.NewStaticSource(material),
		Log:      slog.New(slog.DiscardHandler),
		Registry: registry,
	})
	if err != nil {
		return fmt.Errorf("boot: %w", err)
	}
	f.nodes = append(f.nodes, n)
	f.registries = append(f.registries, registry)
	return nil
}

func (f *Fleet) settings(i int) setup.Settings {
	s := setup.Default()
	s.Host = wick.HostName(fmt.Sprintf("host-%d", i+1))
	s.Domain = f.cfg.Domains[i%len(f.cfg.Domains)]
	s.Entry.Address, s.Peer.Address = anyPort, anyPort
	s.Log.Address, s.Hosts.Address = f.cfg.Log, f.cfg.Hosts
	if f.cfg.LogAddress != nil {
		s.Log.Address = f.cfg.LogAddress(i)
	}
	s.Policy = f.cfg.Policy
	s.Stop.Linger = 0
	return s
}

// Nodes returns the daemons.
func (f *Fleet) Nodes() []*node.Node { return f.nodes }

// Registries returns the metrics registry of each daemon.
func (f *Fleet) Registries() []*prometheus.Registry { return f.registries }

// Start runs the daemons until ctx ends or Close is called.
func (f *Fleet) Start(ctx context.Context) {
	ctx, f.stop = context.WithCancel(ctx)
	for _, n := range f.nodes {
		f.group.Go(func() error { return n.Run(ctx) })
	}
}

// Close stops the daemons gracefully and waits until they have exited.
func (f *Fleet) Close() error {
	f.stop()
	if err := f.group.Wait(); err != nil {
		return fmt.Errorf("daemons: %w", err)
	}
	return nil
}

// WaitReady waits until all daemons have the same view with all of them as members
// and have applied the configuration up to an offset.
func (f *Fleet) WaitReady(ctx context.Context, offset wick.Offset) error {
	for !f.isReady(offset) {
		select {
		case <-ctx.Done():
			return errors.Join(errors.New("daemons did not reach a common view in time"), ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func (f *Fleet) isReady(offset wick.Offset) bool {
	first := f.nodes[0].Snapshot().View.Number
	for _, n := range f.nodes {
		s := n.Snapshot()
		if len(s.View.Members) != len(f.nodes) || !s.View.Has(n.Self()) ||
			s.View.Number != first || s.Offset < offset || s.Stale {
			return false
		}
	}
	return true
}
