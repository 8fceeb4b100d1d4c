package loads

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"currantwick"
	"currantwick/boot"
	"currantwick/certs"
	"currantwick/fakes"
	"currantwick/node"
	"currantwick/setup"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
)

const (
	anyPort = wick.Address("127.0.0.1:0")
	keyLife = 24 * time.Hour
	// readyWithin bounds the wait until all daemons act together.
	readyWithin = 60 * time.Second
	readyCheck  = 50 * time.Millisecond
)

// bench is a system under test in this process: stand-ins and daemons.
type bench struct {
	scene Scene
	set   *fakes.Set
	nodes []*node.Node
	group errgroup.Group
	stop  context.CancelFunc
}

// startBench starts the stand-ins and daemons of a scene, publishes its
// configuration, and waits until it is in force everywhere.
func startBench(ctx context.Context, s Scene, p setup.Policy) (*bench, error) {
	set, err := fakes.StartSet(standIns(s))
	if err != nil {
		return nil, fmt.Errorf("stand-ins: %w", err)
	}
	b := &bench{scene: s, set: set, stop: func() {}}
	if err := b.start(ctx, p); err != nil {
		return nil, errors.Join(err, b.close())
	}
	return b, nil
}

func standIns(s Scene) fakes.SetConfig {
	cfg := fakes.SetConfig{
		Store: &s.Store,
		Log:   &fakes.LogConfig{Address: anyPort},
		Hosts: &fakes.HostsConfig{Address: anyPort},
	}
	for range s.runners() {
		e := s.Engine
		e.Address = anyPort
		e.Model = modelName
		cfg.Engines = append(cfg.Engines, e)
	}
	for range s.Services {
		cfg.Services = append(cfg.Services, fakes.ServiceConfig{Address: anyPort, Time: s.ServiceTime})
	}
	return cfg
}

func (b *bench) start(ctx context.Context, p setup.Policy) error {
	authority, err := certs.NewAuthority(certs.Config{Life: keyLife})
	if err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	for i := range b.scene.Daemons {
		n, err := b.daemon(authority, i, p)
		if err != nil {
			return err
		}
		b.nodes = append(b.nodes, n)
	}
	run, stop := context.WithCancel(ctx)
	b.stop = stop
	for _, n := range b.nodes {
		b.group.Go(func() error { return n.Run(run) })
	}
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if err := b.publish(ctx); err != nil {
		return err
	}
	return b.ready(ctx)
}

func (b *bench) daemon(authority *certs.Authority, i int, p setup.Policy) (*node.Node, error) {
	host := wick.HostName(fmt.Sprintf("entry-%d", i+1))
	pair, err := authority.Issue(certs.Config{Life: keyLife}, host)
	if err != nil {
		return nil, fmt.Errorf("keys of %s: %w", host, err)
	}
	material, err := certs.NewMaterial(authority.PEM().Cert, pair)
	if err != nil {
		return nil, fmt.Errorf("keys of %s: %w", host, err)
	}
	s := setup.Default()
	s.Host = host
	s.Domain = b.scene.Domains[i%len(b.scene.Domains)]
	s.Entry.Address = anyPort
	s.Peer.Address = anyPort
	s.Log.Address = b.set.Log.Address()
	s.Hosts.Address = b.set.Hosts.Address()
	s.Stop.Linger = 0
	s.Policy = p
	n, err := boot.Node(boot.Config{
		Settings: s,
		Keys:     certs.Static(material),
		Log:      slog.New(slog.DiscardHandler),
		Registry: prometheus.NewRegistry(),
	})
	if err != nil {
		return nil, fmt.Errorf("boot: %w", err)
	}
	return n, nil
}

func (b *bench) publish(ctx context.Context) error {
	for _, c := range changes(b.scene, b.set.Addresses()) {
		v, err := b.nodes[0].Publish(ctx, c)
		if err != nil {
			return fmt.Errorf("publish %s: %w", c.ID, err)
		}
		if !v.Accepted() {
			return fmt.Errorf("publish %s: %w", c.ID, v.Violations[0])
		}
	}
	return nil
}

// ready waits until all daemons are one view with one configuration.
func (b *bench) ready(ctx context.Context) error {
	t := time.NewTicker(readyCheck)
	defer t.Stop()
	for !b.isReady() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for one view: %w", ctx.Err())
		case <-t.C:
		}
	}
	return nil
}

func (b *bench) isReady() bool {
	first := b.nodes[0].Snapshot()
	for _, n := range b.nodes {
		s := n.Snapshot()
		if len(s.View.Members) != len(b.nodes) || s.View.Number != first.View.Number || s.Offset != first.Offset {
			return false
		}
	}
	return true
}

// entries returns where callers come in.
func (b *bench) entries() []wick.Address {
	var out []wick.Address
	for _, n := range b.nodes {
		out = append(out, n.Self().Entry)
	}
	return out
}

func (b *bench) close() error {
	b.stop()
	return errors.Join(b.group.Wait(), b.set.Close())
}

// begin causes the faults of a phase, and ends those of the one before.
func (b *bench) begin(p Phase) {
	slow := p.Slow
	if slow <= 0 {
		slow = 1
	}
	for i, e := range b.set.Engines[:b.scene.Pools[0].Runners] {
		c := fakes.EngineControl{Slow: 1}
		if i < p.SlowRunners {
			c.Slow = slow
		}
		if i >= b.scene.Pools[0].Runners-p.Restarts {
			c.CrashFor = wick.Duration(restartTime)
		}
		e.Control(c)
	}
}

// restartTime is how long a runner takes to restart.
const restartTime = 2 * time.Second

// seen is what the engines have counted so far.
type seen struct {
	Loads int
	// Steps, BatchSum and Tokens are those of the first pool.
	Steps    int
	BatchSum int
	Tokens   wick.Tokens
	// Violations counts adapters that were unloaded under a request.
	Violations int
	WrongModel int
}

func (b *bench) seen() seen {
	var out seen
	for i, e := range b.set.Engines {
		s := e.Stats()
		if i < b.scene.Pools[0].Runners {
			out.Steps += s.Steps
			out.BatchSum += s.BatchSum
			out.Tokens += s.Tokens
		}
		out.Loads += s.Loads
		out.Violations += s.Violations
		out.WrongModel += s.WrongModel
	}
	return out
}

// less returns what was counted from t on until s.
func (s seen) less(t seen) seen {
	return seen{
		Loads:      s.Loads - t.Loads,
		Steps:      s.Steps - t.Steps,
		BatchSum:   s.BatchSum - t.BatchSum,
		Tokens:     s.Tokens - t.Tokens,
		Violations: s.Violations - t.Violations,
		WrongModel: s.WrongModel - t.WrongModel,
	}
}

// plus returns the sum of s and t.
func (s seen) plus(t seen) seen { return s.less(seen{}.less(t)) }

// mostRuns returns how often the most repeated command ran.
func (b *bench) mostRuns() int {
	most := 0
	for _, s := range b.set.Services {
		most = max(most, s.Stats().Most)
	}
	return most
}
