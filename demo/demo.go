// Package demo shows the whole path inside one process: stand-ins for the
// platform and the runners, three daemons, a published configuration, streamed
// requests through two entries, and a command that runs once though it is sent
// twice.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/fleet"
	"currantwick/setup"
)

const (
	daemons = 3
	runners = 3
	// readyWithin bounds the wait until the daemons act together.
	readyWithin = 20 * time.Second
	keyLife     = time.Hour
	readyCheck  = 20 * time.Millisecond
	anyPort     = wick.Address("127.0.0.1:0")
)

// Run shows the path and writes what happened to out.
func Run(ctx context.Context, out io.Writer) error {
	set, err := fakes.StartSet(standIns())
	if err != nil {
		return fmt.Errorf("stand-ins: %w", err)
	}
	s := &show{out: out, set: set}
	err = s.run(ctx)
	return errors.Join(err, set.Close())
}

// standIns are small and fast, so that the demo is over in seconds.
func standIns() fakes.SetConfig {
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

// show is one run of the demo.
type show struct {
	out   io.Writer
	set   *fakes.Set
	fleet *fleet.Fleet
}

func (s *show) printf(format string, args ...any) {
	fmt.Fprintf(s.out, format+"\n", args...)
}

func (s *show) run(ctx context.Context) error {
	var err error
	s.fleet, err = fleet.New(fleet.Config{
		Daemons: daemons,
		Domains: []wick.Domain{"domain-1", "domain-2", "domain-3"},
		Log:     s.set.Log.Address(),
		Hosts:   s.set.Hosts.Address(),
		Policy:  setup.Default().Policy,
	})
	if err != nil {
		return fmt.Errorf("daemons: %w", err)
	}
	s.fleet.Start(ctx)
	if err := errors.Join(s.scenes(ctx), s.fleet.Close()); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	s.printf("stopped cleanly")
	return nil
}

// scenes shows the path step by step.
func (s *show) scenes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if err := s.publish(ctx); err != nil {
		return err
	}
	if err := s.ready(ctx); err != nil {
		return err
	}
	c := newCaller()
	entries, err := c.entries(s.fleet.Nodes()[0].Self().Entry)
	if err != nil {
		return err
	}
	for _, e := range entries.Entries {
		s.printf("entry %s at %s in %s", e.Host, e.Address, e.Domain)
	}
	if err := s.completions(c, entries.Entries); err != nil {
		return err
	}
	return s.commands(ctx, c, entries.Entries)
}

func (s *show) publish(ctx context.Context) error {
	v, err := s.fleet.Nodes()[0].Publish(ctx, sample(s.set.Addresses()))
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	if !v.Accepted() {
		return fmt.Errorf("publish: %w", v.Violations[0])
	}
	s.printf("configuration accepted at offset %d", v.Offset)
	return nil
}

// ready waits until all daemons are one view and hold the configuration.
func (s *show) ready(ctx context.Context) error {
	if err := s.fleet.Ready(ctx, 1); err != nil {
		return fmt.Errorf("wait for one view: %w", err)
	}
	view := s.fleet.Nodes()[0].Snapshot().View
	s.printf("view %d with %d daemons", view.Number, len(view.Members))
	return nil
}

// completions sends one streamed request through each of two entries.
func (s *show) completions(c *caller, entries []wick.EntryPoint) error {
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
		s.printf("route %s through %s: ran on %s with %s, %d tokens, whole", route, e.Host, got.Ran.Endpoint, got.Ran.Ref, got.Tokens)
	}
	return nil
}

// commands sends the same command through two entries.
func (s *show) commands(ctx context.Context, c *caller, entries []wick.EntryPoint) error {
	for _, e := range entries[:2] {
		outcome, err := s.command(ctx, c, e)
		if err != nil {
			return fmt.Errorf("command through %s: %w", e.Host, err)
		}
		s.printf("command demo-1 through %s: %s", e.Host, outcome)
	}
	if runs := s.set.Services[0].Stats().Runs; runs != 1 {
		return fmt.Errorf("command ran %d times", runs)
	}
	s.printf("command demo-1 ran once")
	return nil
}

// command sends a command until its outcome is on the log, which follows the
// answer by a moment.
func (s *show) command(ctx context.Context, c *caller, e wick.EntryPoint) (wick.Outcome, error) {
	for {
		outcome, err := c.call(e.Address, "confirm", "demo-1", []byte(`{"Slot":12}`))
		if outcome != wick.Unknown {
			return outcome, err
		}
		select {
		case <-ctx.Done():
			return outcome, errors.Join(err, ctx.Err())
		case <-time.After(readyCheck):
		}
	}
}
