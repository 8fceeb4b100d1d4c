package verbs

import (
	"context"
	"fmt"
	"os"

	"currantwick"

	"github.com/spf13/pflag"
)

var applyVerb = verb{
	name:  "apply",
	short: "publish a configuration file and wait for the verdict",
	example: `currantwick get > conf.json
  currantwick apply -file conf.json -based -dry-run
  currantwick apply -file conf.json -based`,
	exits: []exit{
		{Done, "the change was accepted, or there is nothing to change"},
		{Failed, "the change was rejected or not published"},
		{Usage, "the command line, or a token or CA file that it names, is invalid"},
		{Unknown, "the change may take effect; the audit trail tells"},
	},
	define: defineApply,
}

// applyFlags are the flags of apply.
type applyFlags struct {
	adminFlags
	file, operator, id          string
	dryRun, based, prune, split bool
	json                        bool
}

func (f *applyFlags) register(flags *pflag.FlagSet) {
	f.adminFlags.register(flags)
	flags.StringVar(&f.file, "file", "", "configuration `file`; - for standard input")
	flags.StringVar(&f.operator, "operator", os.Getenv(envOperator), "`name` of the operator, for the audit trail; default from $"+envOperator)
	flags.StringVar(&f.id, "id", "", "`id` of the change; random if omitted")
	flags.BoolVar(&f.dryRun, "dry-run", false, "validate the change without publishing it")
	flags.BoolVar(&f.based, "based", false, "reject the change if an object in it has changed since the file's Revisions")
	flags.BoolVar(&f.prune, "prune", false, "delete objects that the file does not name")
	flags.BoolVar(&f.split, "split", false, "publish many objects as several changes; each is atomic, but not all together")
	flags.BoolVar(&f.json, "json", false, "print the verdicts as JSON")
}

func defineApply(flags *pflag.FlagSet) action {
	var f applyFlags
	f.register(flags)
	return func(ctx context.Context, env Env, _ []string) (Code, error) {
		c, err := f.client()
		if err != nil {
			return Usage, err
		}
		if f.operator == "" {
			return Usage, fmt.Errorf("-operator or $%s must be set", envOperator)
		}
		want, err := readConfigFile(env, f.file)
		if err != nil {
			return Failed, err
		}
		current, err := c.objects(ctx, "", "")
		if err != nil {
			return Failed, fmt.Errorf("read the configuration: %w", err)
		}
		d := want.diff(current, f.prune)
		if d.empty() {
			fmt.Fprintln(env.Out, "nothing to change")
			return Done, nil
		}
		if !f.json {
			d.print(env.Out)
		}
		return f.publish(ctx, env, c, want, d)
	}
}

// publish publishes the changes in order and stops at the first one that is not
// accepted.
func (f *applyFlags) publish(ctx context.Context, env Env, c *client, want configFile, d difference) (Code, error) {
	id := wick.ChangeID(f.id)
	if id == "" {
		id = newChangeID()
	}
	for _, change := range d.changes(id, wick.OperatorName(f.operator), f.split && !f.dryRun) {
		if f.based {
			change.Based = want.based(change)
		}
		code, err := f.publishOne(ctx, env, c, change)
		if code != Done {
			return code, err
		}
	}
	return Done, nil
}

func (f *applyFlags) publishOne(ctx context.Context, env Env, c *client, change wick.Change) (Code, error) {
	var v wick.Verdict
	err := withProgress(env, "waiting for the verdict on "+string(change.ID), func() error {
		var err error
		v, err = c.publish(ctx, change, f.dryRun)
		return err
	})
	if err != nil {
		return failedPublish(change, err)
	}
	if f.json {
		if err := printJSON(env.Out, v); err != nil {
			return Failed, err
		}
	} else {
		printVerdict(env, v, f.dryRun)
	}
	if !v.Accepted() {
		return Failed, nil
	}
	return Done, nil
}

// failedPublish returns the exit code and the error for a change that got no
// verdict.
func failedPublish(change wick.Change, err error) (Code, error) {
	e := wick.AsError(err)
	if e.Code == wick.CodeTooLarge {
		return Failed, fmt.Errorf("change %s was not published: %w\ntry it as several changes with -split", change.ID, err)
	}
	if e.Outcome == wick.NotRun {
		return Failed, fmt.Errorf("change %s was not published: %w", change.ID, err)
	}
	return Unknown, fmt.Errorf("change %s may take effect: %w\nlook for its verdict with: currantwick audit -change %s", change.ID, err, change.ID)
}

func printVerdict(env Env, v wick.Verdict, dryRun bool) {
	switch {
	case !v.Accepted():
		for _, violation := range v.Violations {
			fmt.Fprintln(env.Out, violation.Error())
		}
		fmt.Fprintf(env.Out, "rejected: %d violations\n", len(v.Violations))
	case dryRun:
		fmt.Fprintln(env.Out, "would be accepted")
	default:
		fmt.Fprintf(env.Out, "accepted: change %s at offset %d\n", v.Change, v.Offset)
	}
}
