package loads

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantwick/setup"

	"golang.org/x/sync/errgroup"
)

// Config says what to run.
type Config struct {
	Scene Scene
	Seed  uint64
	// Policy names the policies in the daemons' settings.
	Policy setup.Policy
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
	b, err := startBench(ctx, cfg.Scene, cfg.Policy)
	if err != nil {
		return Outcome{}, fmt.Errorf("start: %w", err)
	}
	out, err := b.run(ctx, cfg)
	if err != nil {
		return out, errors.Join(err, b.close())
	}
	out.MostRuns = b.mostRuns()
	if err := b.close(); err != nil {
		return out, fmt.Errorf("stop: %w", err)
	}
	return out, nil
}

func (b *bench) run(ctx context.Context, cfg Config) (Outcome, error) {
	trace := Trace(cfg.Scene, cfg.Seed)
	out := Outcome{Answers: make([]Answer, len(trace))}
	c := newCaller(cfg.Scene, b.entries(), fmt.Sprintf("seed-%d", cfg.Seed))
	watch := watchMachine()
	start := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		var err error
		out.Phases, err = b.phases(ctx, start)
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
func (b *bench) phases(ctx context.Context, start time.Time) ([]seen, error) {
	var out []seen
	at := start
	last := b.seen()
	for _, p := range b.scene.Phases {
		b.begin(p)
		at = at.Add(p.For.Std())
		if !sleepUntil(ctx, at) {
			return out, ctx.Err()
		}
		now := b.seen()
		out = append(out, now.less(last))
		last = now
	}
	b.begin(Phase{})
	return out, nil
}

// sleepUntil reports whether the time came before ctx ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
