package loads

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantwick"
	"currantwick/pause"
	"currantwick/setup"

	"golang.org/x/sync/errgroup"
)

// Config configures a run.
type Config struct {
	Scene Scene
	Seed  uint64
	// Policy selects the daemons' policies.
	Policy setup.Policy
	// Entries are the caller addresses of a running system that has the scene's
	// routes in its configuration. It gets the load but no faults, and its engines'
	// counters are not read. If empty, Run starts a system.
	Entries []wick.Address
}

// system is a system under load.
type system interface {
	entries() []wick.Address
	// startPhase injects the faults of a phase and ends those of the previous one.
	startPhase(p Phase)
	counters() counters
	mostRuns() int
	close() error
}

// remote is a system that runs in other processes, by the addresses of its
// entries.
type remote []wick.Address

func (r remote) entries() []wick.Address { return r }
func (r remote) startPhase(Phase)        {}
func (r remote) counters() counters      { return counters{} }
func (r remote) mostRuns() int           { return 0 }
func (r remote) close() error            { return nil }

func open(ctx context.Context, cfg Config) (system, error) {
	if len(cfg.Entries) > 0 {
		return remote(cfg.Entries), nil
	}
	return startLocal(ctx, cfg.Scene, cfg.Policy)
}

// RunResult is the result of one run.
type RunResult struct {
	Answers []Answer
	// Phases holds the increase of the engines' counters in each phase of the scene.
	Phases []counters
	// MostRuns is the highest number of runs of any one command.
	MostRuns int
	Machine  Machine
}

// Run sends the load of a scene to a system. It starts and stops one unless
// cfg.Entries names one.
func Run(ctx context.Context, cfg Config) (RunResult, error) {
	if err := cfg.Scene.Check(); err != nil {
		return RunResult{}, fmt.Errorf("scene: %w", err)
	}
	sys, err := open(ctx, cfg)
	if err != nil {
		return RunResult{}, fmt.Errorf("start system: %w", err)
	}
	out, err := sendTrace(ctx, cfg, sys)
	if err != nil {
		return out, errors.Join(err, sys.close())
	}
	out.MostRuns = sys.mostRuns()
	if err := sys.close(); err != nil {
		return out, fmt.Errorf("stop system: %w", err)
	}
	return out, nil
}

// sendTrace sends the requests of the trace when they are due and waits for all
// answers.
func sendTrace(ctx context.Context, cfg Config, sys system) (RunResult, error) {
	trace := Trace(cfg.Scene, cfg.Seed)
	out := RunResult{Answers: make([]Answer, len(trace))}
	c := newCaller(cfg.Scene, sys.entries(), fmt.Sprintf("seed-%d", cfg.Seed))
	watch := watchMachine()
	start := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		var err error
		out.Phases, err = runPhases(ctx, cfg.Scene, sys, start)
		return err
	})
	group.Go(func() error {
		for i, a := range trace {
			if !sleepUntil(ctx, start.Add(a.At)) {
				return ctx.Err()
			}
			group.Go(func() error {
				out.Answers[i] = c.send(i, a, start)
				return nil
			})
		}
		return nil
	})
	if err := group.Wait(); err != nil {
		return out, fmt.Errorf("load: %w", err)
	}
	out.Machine = watch.end(out.Answers)
	return out, nil
}

// runPhases injects the faults of each phase in turn and returns the increase of
// the engines' counters in each.
func runPhases(ctx context.Context, s Scene, sys system, start time.Time) ([]counters, error) {
	var out []counters
	at := start
	last := sys.counters()
	for _, p := range s.Phases {
		sys.startPhase(p)
		at = at.Add(p.For.Std())
		if !sleepUntil(ctx, at) {
			return out, ctx.Err()
		}
		now := sys.counters()
		out = append(out, now.minus(last))
		last = now
	}
	sys.startPhase(Phase{})
	return out, nil
}

// sleepUntil sleeps until the given time, and reports whether it was reached
// before ctx was done.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return pause.For(ctx, time.Until(at))
}
