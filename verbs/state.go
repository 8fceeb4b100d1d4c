package verbs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"currantwick"
	"currantwick/boot"
	"currantwick/codec"

	"github.com/spf13/pflag"
	"github.com/valyala/fasthttp"
)

var stateVerb = verb{
	name:  "state",
	short: "show the state of a daemon on the users' platform",
	example: `currantwick state -at 10.1.0.38:9464
  currantwick state -at 10.1.0.38:9464 -json`,
	define: defineState,
}

// stateTimeout bounds the request; the daemon answers from memory.
const stateTimeout = 5 * time.Second

func defineState(flags *pflag.FlagSet) action {
	at := flags.String("at", "", "metrics `address` of the daemon")
	asJSON := flags.Bool("json", false, "print JSON")
	return func(_ context.Context, env Env, _ []string) (Code, error) {
		if *at == "" {
			return Usage, errors.New("-at must be set to the metrics address of a daemon")
		}
		status, body, err := fasthttp.GetTimeout(nil, "http://"+*at+boot.StatePath, stateTimeout)
		if err == nil && status != fasthttp.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		if err != nil {
			return Failed, fmt.Errorf("state of %s: %w", *at, err)
		}
		var s wick.GatewayState
		if err := codec.DecodeJSON(body, &s); err != nil {
			return Failed, fmt.Errorf("state of %s: %w", *at, err)
		}
		if *asJSON {
			err = printJSON(env.Out, s)
		} else {
			err = printState(env.Out, s)
		}
		if err != nil {
			return Failed, err
		}
		return Done, nil
	}
}

// printState writes human-readable tables.
func printState(out io.Writer, s wick.GatewayState) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "daemon %s in %s, ready %v, stopping %v\n", s.Host, s.Domain, s.Ready, s.Stopping)
	fmt.Fprintf(w, "configuration %d, known to be the newest %v ago\n", s.Config, s.ConfigAge.Std().Round(time.Millisecond))
	fmt.Fprintf(w, "%d daemons, callers are sent to %v\n\n", s.Daemons, s.Entries)
	fmt.Fprintln(w, "shard\tholder\ttoken\torders")
	for _, sh := range s.Shards {
		fmt.Fprintf(w, "%d\t%s\t%d\t%v\n", sh.Shard, sh.Holder, sh.Fence, sh.Orders)
	}
	fmt.Fprintln(w, "\nendpoint\tpool\tdomain\trunning\tunread\tadapters\tfree\tlate\tfailed")
	for _, e := range s.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%v\t%.2f\n", e.Name, e.Pool, e.Domain, e.Running, e.Waiting,
			e.Adapters, e.Free, e.Lag.Std().Round(time.Millisecond), e.FailedShare)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print state: %w", err)
	}
	return nil
}
