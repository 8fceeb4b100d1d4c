package main

import (
	"context"
	"fmt"
	"io"

	"currantwick"
	"currantwick/scale"
)

// measureControl measures the cost of the control plane and prints one line per
// measurement.
func measureControl(ctx context.Context, out io.Writer) error {
	for _, n := range []int{7, 20, 60} {
		if err := printLine(out)(scale.MeasureIdle(ctx, n)); err != nil {
			return fmt.Errorf("%d idle daemons: %w", n, err)
		}
	}
	for _, f := range []scale.LogFault{scale.LogHealthy, scale.LogSlow, scale.LogCutForSome, scale.LogSilentForSome} {
		if err := printLine(out)(scale.MeasurePropagation(ctx, f)); err != nil {
			return fmt.Errorf("changes with the log %s: %w", f, err)
		}
	}
	calls := []struct {
		route   wick.RouteName
		callers int
	}{{scale.LookUp, 1}, {scale.LookUp, 64}, {scale.Confirm, 1}, {scale.Confirm, 64}, {scale.Confirm, 512}}
	for _, c := range calls {
		if err := printLine(out)(scale.MeasureCalls(ctx, c.route, c.callers)); err != nil {
			return fmt.Errorf("calls of %s: %w", c.route, err)
		}
	}
	return nil
}

// printLine returns a function that prints a measurement unless it failed.
func printLine(out io.Writer) func(fmt.Stringer, error) error {
	return func(s fmt.Stringer, err error) error {
		if err == nil {
			fmt.Fprintln(out, s)
		}
		return err
	}
}
