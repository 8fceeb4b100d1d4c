package verbs

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"currantwick"
	"currantwick/admin"
	"currantwick/pause"

	"github.com/spf13/pflag"
	"github.com/valyala/fasthttp"
)

// stopPollInterval is the time between checks whether a daemon has stopped.
const stopPollInterval = 200 * time.Millisecond

var drainVerb = verb{
	name:  "drain",
	short: "stop a daemon gracefully, or mark an endpoint as leaving so that it gets no new work",
	example: `currantwick drain -admin 10.0.0.1:7002
  currantwick drain -endpoint runner-3 -operator ana`,
	exits: []exit{
		{Done, "the daemon has stopped, or the change was accepted"},
		{Failed, "not done, or the change was rejected"},
		{Usage, "the command line, or a token or CA file that it names, is invalid"},
		{Unknown, "the daemon may still run, or the change may take effect"},
	},
	define: defineDrain,
}

func defineDrain(flags *pflag.FlagSet) action {
	var f adminFlags
	f.register(flags)
	endpoint := flags.String("endpoint", "", "`name` of an endpoint to mark as leaving, instead of the daemon")
	operator := flags.String("operator", os.Getenv(envOperator), "`name` of the operator who publishes the change; default from $"+envOperator)
	within := flags.Duration("within", time.Hour, "how long to wait for the daemon to stop; 0 to return at once")
	return func(ctx context.Context, env Env, _ []string) (Code, error) {
		c, err := f.client()
		if err != nil {
			return Usage, err
		}
		if *endpoint != "" {
			return drainEndpoint(ctx, env, c, *endpoint, *operator)
		}
		if len(c.addresses) != 1 {
			return Usage, errors.New("-admin must name exactly one daemon, the one to stop")
		}
		return drainDaemon(ctx, env, c, *within)
	}
}

func drainDaemon(ctx context.Context, env Env, c *client, within time.Duration) (Code, error) {
	got, err := c.do(ctx, fasthttp.MethodPost, admin.PathDrain, nil)
	if err != nil {
		return Failed, fmt.Errorf("drain: %w", err)
	}
	if got.status != fasthttp.StatusAccepted {
		return Failed, fmt.Errorf("drain: %w", got.decode(nil))
	}
	fmt.Fprintln(env.Out, "draining")
	if within == 0 {
		return Done, nil
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	err = withProgress(env, "waiting for the last requests to end", func() error { return c.awaitStopped(ctx) })
	if err != nil {
		return Unknown, err
	}
	fmt.Fprintln(env.Out, "stopped")
	return Done, nil
}

// awaitStopped waits until nothing listens at the daemon's address.
func (c *client) awaitStopped(ctx context.Context) error {
	for ctx.Err() == nil {
		_, err := c.do(ctx, fasthttp.MethodGet, admin.PathHealth, nil)
		if err != nil && wick.AsError(err).Outcome == wick.NotRun {
			return nil
		}
		pause.For(ctx, stopPollInterval)
	}
	return fmt.Errorf("the daemon is still running: %w", ctx.Err())
}

// drainEndpoint publishes the endpoint as leaving, provided that its revision is
// still the one that was read.
func drainEndpoint(ctx context.Context, env Env, c *client, name, operator string) (Code, error) {
	d, err := c.objects(ctx, string(wick.KindEndpoint), name)
	if err != nil {
		return Failed, fmt.Errorf("read endpoint: %w", err)
	}
	if len(d.Objects.Endpoints) != 1 {
		return Failed, fmt.Errorf("no endpoint %s", name)
	}
	d.Objects.Endpoints[0].Leaving = true
	change := wick.Change{ID: newChangeID(), Operator: wick.OperatorName(operator), Puts: d.Objects, Based: d.Revisions}
	f := applyFlags{}
	return f.publishOne(ctx, env, c, change)
}
