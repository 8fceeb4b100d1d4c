// Package fleet runs several daemons in one process, with keys that live in
// memory only: for the demo, the load tool and benchmarks.
package fleet

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
	// keyLife is how long the keys hold; no fleet runs longer.
	keyLife = 24 * time.Hour
	// readyCheck is how often Ready looks.
	readyCheck = 20 * time.Millisecond
)

// Config says which daemons to run.
type Config struct {
	// Daemons is how many there are; positive. They run on host-1, host-2 and
	// so on.
	Daemons int
	// Domains are given to the daemons in turn; not empty.
	Domains []wick.Domain
	// Log and Hosts are where the platform's stand-ins listen.
	Log, Hosts wick.Address
	// LogOf gives a daemon, counted from 0, a way to the log of its own; it
	// goes before Log where it is not nil.
	LogOf  func(i int) wick.Address
	Policy setup.Policy
}

// Fleet is a number of daemons.
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
	authority, err := certs.NewAuthority(certs.Config{Life: keyLife})
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
	pair, err := authority.Issue(certs.Config{Life: keyLife}, s.Host)
	if err != nil {
		return fmt.Errorf("issue keys: %w", err)
	}
	material, err := certs.NewMaterial(authority.PEM().Cert, pair)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	registry := prometheus.NewRegistry()
	n, err := boot.Node(boot.Config{
		Settings: s,
		Keys:     certs.Static(material),
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
	if f.cfg.LogOf != nil {
		s.Log.Address = f.cfg.LogOf(i)
	}
	s.Policy = f.cfg.Policy
	s.Stop.Linger = 0
	return s
}

// Nodes returns the daemons.
func (f *Fleet) Nodes() []*node.Node { return f.nodes }

// Registries returns the metrics of each daemon.
func (f *Fleet) Registries() []*prometheus.Registry { return f.registries }

// Start runs the daemons until ctx ends or Close is called.
func (f *Fleet) Start(ctx context.Context) {
	ctx, f.stop = context.WithCancel(ctx)
	for _, n := range f.nodes {
		f.group.Go(func() error { return n.Run(ctx) })
	}
}

// Close stops the daemons gracefully and waits for their end.
func (f *Fleet) Close() error {
	f.stop()
	if err := f.group.Wait(); err != nil {
		return fmt.Errorf("daemons: %w", err)
	}
	return nil
}

// Ready waits until the daemons have one view of them all and have applied the
// configuration up to an offset.
func (f *Fleet) Ready(ctx context.Context, offset wick.Offset) error {
	for !f.isReady(offset) {
		select {
		case <-ctx.Done():
			return errors.Join(errors.New("daemons are not one view in time"), ctx.Err())
		case <-time.After(readyCheck):
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
