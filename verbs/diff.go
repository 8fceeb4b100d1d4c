package verbs

import (
	"context"
	"flag"
	"fmt"
)

var diffVerb = verb{
	name:    "diff",
	short:   "show what apply would change; the exit code is 1 if anything differs",
	example: "currantwick diff -file conf.json -prune",
	run:     runDiff,
}

func runDiff(ctx context.Context, env Env, flags *flag.FlagSet, args []string) (Code, error) {
	var f adminFlags
	f.register(flags)
	file := flags.String("file", "", "configuration `file`; - for standard input")
	prune := flags.Bool("prune", false, "include the deletion of objects that the file does not name")
	if err := flags.Parse(args); err != nil {
		return Usage, err
	}
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
