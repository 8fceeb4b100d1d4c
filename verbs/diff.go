package verbs

import (
	"context"
	"fmt"

	"github.com/spf13/pflag"
)

var diffVerb = verb{
	name:    "diff",
	short:   "show what apply would change; the exit code is 1 if anything differs",
	example: "currantwick diff -file conf.json -prune",
	exits: []exit{
		{Done, "no difference"},
		{Failed, "there is a difference"},
		{Usage, "any failure"},
	},
	define: defineDiff,
}

func defineDiff(flags *pflag.FlagSet) action {
	var f adminFlags
	f.register(flags)
	file := flags.String("file", "", "configuration `file`; - for standard input")
	prune := flags.Bool("prune", false, "include the deletion of objects that the file does not name")
	return func(ctx context.Context, env Env, _ []string) (Code, error) {
		c, err := f.client()
		if err != nil {
			return Usage, err
		}
		want, err := readConfigFile(env, *file)
		if err != nil {
			return Usage, err
		}
		current, err := c.objects(ctx, "", "")
		if err != nil {
			return Usage, fmt.Errorf("read the configuration: %w", err)
		}
		d := want.diff(current, *prune)
		d.print(env.Out)
		if !d.empty() {
			return Failed, nil
		}
		return Done, nil
	}
}
