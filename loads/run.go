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

// Config says what to run.
type Config struct {
	Scene Scene
	Seed  uint64
	// Policy names the policies in the daemons' settings.
	Policy setup.Policy
	// Entries are where callers reach a system that runs already, with the
	// scene's routes in force. It gets the load but no faults, and nothing of
	// its engines is counted. Where empty, a system is started.
	Entries []wick.Address
}

// system is what a load is sent to.
type system interface {
	entries() []wick.Address
	// begin causes the faults of a phase.
	begin(p Phase)
	seen() seen
	mostRuns() int
	close() error
}

// remote is a system of other processes.
type remote []wick.Address

func (r remote) entries() []wick.Address { return r }
func (r remote) begin(Phase)             {}
func (r remote) seen() seen              { return seen{} }
func (r remote) mostRuns() int           { return 0 }
func (r remote) close() error            { return nil }

func open(ctx context.Context, cfg Config) (system, error) {
	if len(cfg.Entries) > 0 {
		return remote(cfg.Entries), nil
	}
	return startBench(ctx, cfg.Scene, cfg.Policy)
}

// Outcome is what one run has shown.
type Outcome struct {
	Answers []Answer
	// Phases holds what the engines counted in each phase of the scene.
	Phases []seen
	// MostRuns is how often the most repeated command ran.
	MostRuns int
	Machine  Machine
}

// Run starts a system, sends it the load of a scene, and stops it.
func Run(ctx context.Context, cfg Config) (Outcome, error) {
	if err := cfg.Scene.Check(); err != nil {
		return Outcome{}, fmt.Errorf("scene: %w", err)
	}
	sys, err := open(ctx, cfg)
	if err != nil {
		return Outcome{}, fmt.Errorf("start: %w", err)
	}
	out, err := load(ctx, cfg, sys)
	if err != nil {
		return out, errors.Join(err, sys.close())
	}
	out.MostRuns = sys.mostRuns()
	if err := sys.close(); err != nil {
		return out, fmt.Errorf("stop: %w", err)
	}
	return out, nil
}

// load sends the load and waits for all answers.
func load(ctx context.Context, cfg Config, sys system) (Outcome, error) {
	trace := Trace(cfg.Scene, cfg.Seed)
	out := Outcome{Answers: make([]Answer, len(trace))}
	c := newCaller(cfg.Scene, sys.entries(), fmt.Sprintf("seed-%d", cfg.Seed))
	watch := watchMachine()
	start := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		var err error
		out.Phases, err = phases(ctx, cfg.Scene, sys, start)
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

// phases causes the faults of each phase in its time and returns what the
// engines counted meanwhile.
func phases(ctx context.Context, s Scene, sys system, start time.Time) ([]seen, error) {
	var out []seen
	at := start
	last := sys.seen()
	for _, p := range s.Phases {
		sys.begin(p)
		at = at.Add(p.For.Std())
		if !sleepUntil(ctx, at) {
			return out, ctx.Err()
		}
		now := sys.seen()
		out = append(out, now.less(last))
		last = now
	}
	sys.begin(Phase{})
	return out, nil
}

// sleepUntil reports whether the time came before ctx ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	return pause.For(ctx, time.Until(at))
}
