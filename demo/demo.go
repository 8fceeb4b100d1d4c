// Package demo runs the whole system inside one process: fakes of the platform
// and the runners, three daemons, a published configuration, streamed requests
// through two entry daemons, and a command that is sent twice but runs once.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/inproc"
	"currantwick/setup"
)

const (
	daemons = 3
	runners = 3
	// runTimeout limits all steps of the demo together.
	runTimeout    = 20 * time.Second
	keyLife       = time.Hour
	retryInterval = 20 * time.Millisecond
	anyPort       = wick.Address("127.0.0.1:0")
)

// Run runs the demo and writes its results to out.
func Run(ctx context.Context, out io.Writer) error {
	set, err := fakes.StartSet(fakesConfig())
	if err != nil {
		return fmt.Errorf("fakes: %w", err)
	}
	r := &demoRun{out: out, set: set}
	err = r.run(ctx)
	return errors.Join(err, set.Close())
}

// fakesConfig returns fakes that are small and fast, so that the demo
// takes only seconds.
func fakesConfig() fakes.SetConfig {
	cfg := fakes.SetConfig{
		Store: &fakes.StoreConfig{
			Rate: 20, FullSpeed: 4, Knee: 16,
			LoadTime: wick.Duration(50 * time.Millisecond),
		},
		Log:      &fakes.LogConfig{Address: anyPort},
		Hosts:    &fakes.HostsConfig{Address: anyPort},
		Services: []fakes.ServiceConfig{{Address: anyPort}},
	}
	for range runners {
		cfg.Engines = append(cfg.Engines, fakes.EngineConfig{
			Address:      anyPort,
			Model:        modelName,
			BatchSlots:   4,
			AdapterSlots: 2,
			Base:         wick.Duration(5 * time.Millisecond),
			PerSequence:  wick.Duration(time.Millisecond),
		})
	}
	return cfg
}

// demoRun is one run of the demo.
type demoRun struct {
	out    io.Writer
	set    *fakes.Set
	inproc *inproc.Fleet
}

func (r *demoRun) printf(format string, args ...any) {
	fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *demoRun) run(ctx context.Context) error {
	var err error
	r.inproc, err = inproc.New(inproc.Config{
		Daemons: daemons,
		Domains: []wick.Domain{"domain-1", "domain-2", "domain-3"},
		Log:     r.set.Log.Address(),
		Hosts:   r.set.Hosts.Address(),
		Policy:  setup.Default().Policy,
	})
	if err != nil {
		return fmt.Errorf("daemons: %w", err)
	}
	r.inproc.Start(ctx)
	if err := errors.Join(r.steps(ctx), r.inproc.Close()); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	r.printf("stopped cleanly")
	return nil
}

// steps runs the steps of the demo.
func (r *demoRun) steps(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	if err := r.publish(ctx); err != nil {
		return err
	}
	if err := r.waitReady(ctx); err != nil {
		return err
	}
	c := newCaller()
	entries, err := c.entries(r.inproc.Nodes()[0].Self().Entry)
	if err != nil {
		return err
	}
	for _, e := range entries.Entries {
		r.printf("entry %s at %s in %s", e.Host, e.Address, e.Domain)
	}
	if err := r.streamCompletions(c, entries.Entries); err != nil {
		return err
	}
	return r.sendCommands(ctx, c, entries.Entries)
}

func (r *demoRun) publish(ctx context.Context) error {
	v, err := r.inproc.Nodes()[0].Publish(ctx, sampleChange(r.set.Addresses()))
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	if !v.Accepted() {
		return fmt.Errorf("publish: %w", v.Violations[0])
	}
	r.printf("configuration accepted at offset %d", v.Offset)
	return nil
}

// waitReady waits until all daemons are in one view and have the configuration.
func (r *demoRun) waitReady(ctx context.Context) error {
	if err := r.inproc.WaitReady(ctx, 1); err != nil {
		return fmt.Errorf("wait for one view: %w", err)
	}
	view := r.inproc.Nodes()[0].Snapshot().View
	r.printf("view %d with %d daemons", view.Number, len(view.Members))
	return nil
}

// streamCompletions sends one streamed request through each of two entries.
func (r *demoRun) streamCompletions(c *caller, entries []wick.EntryPoint) error {
	for i, route := range []wick.RouteName{"alpha", "beta"} {
		e := entries[i]
		got, err := c.stream(e.Address, route, "one two three", answerTokens)
		if err != nil {
			return fmt.Errorf("completion through %s: %w", e.Host, err)
		}
		want := fakes.Answer("one two three", got.Ran.Ref.String(), answerTokens)
		if got.Text != want {
			return fmt.Errorf("completion through %s: got %q, want %q", e.Host, got.Text, want)
		}
		r.printf("route %s through %s: ran on %s with %s, %d tokens, whole", route, e.Host, got.Ran.Endpoint, got.Ran.Ref, got.Tokens)
	}
	return nil
}

// sendCommands sends the same command through two entries.
func (r *demoRun) sendCommands(ctx context.Context, c *caller, entries []wick.EntryPoint) error {
	for _, e := range entries[:2] {
		outcome, err := r.awaitOutcome(ctx, c, e)
		if err != nil {
			return fmt.Errorf("command through %s: %w", e.Host, err)
		}
		r.printf("command demo-1 through %s: %s", e.Host, outcome)
	}
	if runs := r.set.Services[0].Stats().Runs; runs != 1 {
		return fmt.Errorf("command ran %d times", runs)
	}
	r.printf("command demo-1 ran once")
	return nil
}

// awaitOutcome retries a command until its outcome is known. The outcome is
// appended to the log shortly after the first answer, so a retry may briefly get
// Unknown.
func (r *demoRun) awaitOutcome(ctx context.Context, c *caller, e wick.EntryPoint) (wick.Outcome, error) {
	for {
		outcome, err := c.call(e.Address, "confirm", "demo-1", []byte(`{"Slot":12}`))
		if outcome != wick.Unknown {
			return outcome, err
		}
		select {
		case <-ctx.Done():
			return outcome, errors.Join(err, ctx.Err())
		case <-time.After(retryInterval):
		}
	}
}
