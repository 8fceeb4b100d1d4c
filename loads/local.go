package loads

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/inproc"
	"currantwick/setup"
)

const (
	anyPort = wick.Address("127.0.0.1:0")
	// readyTimeout bounds the wait until all daemons are in one view and have the
	// scene's configuration.
	readyTimeout = 60 * time.Second
)

// local is a system under test that runs in this process: daemons, and fakes of
// the platform and the runners.
type local struct {
	scene  Scene
	set    *fakes.Set
	inproc *inproc.Fleet
}

// startLocal starts the fakes and daemons of a scene, publishes its
// configuration, and waits until all daemons have applied it.
func startLocal(ctx context.Context, s Scene, p setup.Policy) (*local, error) {
	set, err := fakes.StartSet(fakesConfig(s))
	if err != nil {
		return nil, fmt.Errorf("start fakes: %w", err)
	}
	f, err := inproc.New(inproc.Config{
		Daemons: s.Daemons, Domains: s.Domains,
		Log: set.Log.Address(), Hosts: set.Hosts.Address(), Policy: p,
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start daemons: %w", err), set.Close())
	}
	l := &local{scene: s, set: set, inproc: f}
	f.Start(ctx)
	if err := l.publish(ctx); err != nil {
		return nil, errors.Join(err, l.close())
	}
	return l, nil
}

func fakesConfig(s Scene) fakes.SetConfig {
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

// publish publishes the scene's objects and waits until all daemons have applied
// them.
func (l *local) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var last wick.Offset
	for _, c := range changes(l.scene, l.set.Addresses()) {
		v, err := l.inproc.Nodes()[0].Publish(ctx, c)
		if err != nil {
			return fmt.Errorf("publish %s: %w", c.ID, err)
		}
		if !v.Accepted() {
			return fmt.Errorf("publish %s: %w", c.ID, v.Violations[0])
		}
		last = v.Offset
	}
	if err := l.inproc.WaitReady(ctx, last); err != nil {
		return fmt.Errorf("wait until daemons are ready: %w", err)
	}
	return nil
}

// entries returns the addresses that callers connect to.
func (l *local) entries() []wick.Address {
	var out []wick.Address
	for _, n := range l.inproc.Nodes() {
		out = append(out, n.Self().Entry)
	}
	return out
}

func (l *local) close() error {
	return errors.Join(l.inproc.Close(), l.set.Close())
}

// startPhase injects the faults of a phase and ends those of the previous one.
func (l *local) startPhase(p Phase) {
	slow := p.Slow
	if slow <= 0 {
		slow = 1
	}
	for i, e := range l.set.Engines[:l.scene.Pools[0].Runners] {
		c := fakes.EngineControl{Slow: 1}
		if i < p.SlowRunners {
			c.Slow = slow
		}
		if i >= l.scene.Pools[0].Runners-p.Restarts {
			c.CrashFor = wick.Duration(restartTime)
		}
		e.Control(c)
	}
}

// restartTime is how long a runner takes to restart.
const restartTime = 2 * time.Second

// counters holds the sums of the engines' counters.
type counters struct {
	Loads int
	// Steps, BatchSum and Tokens count the first pool only.
	Steps    int
	BatchSum int
	Tokens   wick.Tokens
	// Violations counts adapters that were unloaded while a request used them.
	Violations int
	WrongModel int
}

func (l *local) counters() counters {
	var out counters
	for i, e := range l.set.Engines {
		s := e.Stats()
		if i < l.scene.Pools[0].Runners {
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

// minus returns the increase of the counters from t to s.
func (s counters) minus(t counters) counters {
	return counters{
		Loads:      s.Loads - t.Loads,
		Steps:      s.Steps - t.Steps,
		BatchSum:   s.BatchSum - t.BatchSum,
		Tokens:     s.Tokens - t.Tokens,
		Violations: s.Violations - t.Violations,
		WrongModel: s.WrongModel - t.WrongModel,
	}
}

// plus returns the sum of s and t.
func (s counters) plus(t counters) counters { return s.minus(counters{}.minus(t)) }

// mostRuns returns the highest number of runs of any one command.
func (l *local) mostRuns() int {
	most := 0
	for _, s := range l.set.Services {
		most = max(most, s.Stats().Most)
	}
	return most
}
