package verbs

import (
	"context"
	"flag"
	"fmt"

	"currantwick/demo"
)

var demoVerb = verb{
	name:    "demo",
	short:   "show the whole path inside one process, with stand-ins",
	example: "currantwick demo",
	run:     runDemo,
}

func runDemo(ctx context.Context, env Env, flags *flag.FlagSet, args []string) (Code, error) {
	if err := flags.Parse(args); err != nil {
		return Usage, err
	}
	if err := demo.Run(ctx, env.Out); err != nil {
		return Failed, fmt.Errorf("show the path: %w", err)
	}
	return Done, nil
}
