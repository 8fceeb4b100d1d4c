package verbs

import (
	"context"
	"flag"
	"fmt"

	"currantwick/demo"
)

var demoVerb = verb{
	name:    "demo",
	short:   "run the whole request path in one process, with simulated back ends",
	example: "currantwick demo",
	run:     runDemo,
}

func runDemo(ctx context.Context, env Env, flags *flag.FlagSet, args []string) (Code, error) {
	if err := flags.Parse(args); err != nil {
		return Usage, err
	}
	if err := demo.Run(ctx, env.Out); err != nil {
		return Failed, fmt.Errorf("run the demo: %w", err)
	}
	return Done, nil
}
