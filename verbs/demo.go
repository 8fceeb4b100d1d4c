package verbs

import (
	"context"
	"fmt"

	"currantwick/demo"

	"github.com/spf13/pflag"
)

var demoVerb = verb{
	name:    "demo",
	short:   "run the whole request path in one process, with simulated back ends",
	example: "currantwick demo",
	define:  defineDemo,
}

func defineDemo(flags *pflag.FlagSet) action {
	return func(ctx context.Context, env Env, _ []string) (Code, error) {
		if err := demo.Run(ctx, env.Out); err != nil {
			return Failed, fmt.Errorf("run the demo: %w", err)
		}
		return Done, nil
	}
}
