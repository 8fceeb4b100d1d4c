// Package verbs implements the subcommands of the currantwick command line.
package verbs

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
)

// Code is an exit code.
type Code int

// The exit codes of all verbs.
const (
	// Done means that the verb succeeded, or that a change was accepted.
	Done Code = 0
	// Failed means that the verb failed, or that a change was rejected.
	Failed Code = 1
	// Usage means that the command line, or a settings, token or CA file that
	// serve, gateway or an admin verb needs, is invalid. diff returns it for
	// every failure, since its code 1 means that something differs.
	Usage Code = 2
	// Unknown means that a change may or may not have taken effect, or that a
	// draining daemon has not stopped in time.
	Unknown Code = 3
)

// Env is what verbs read from and write to.
type Env struct {
	In       io.Reader
	Out, Err io.Writer
}

// System returns the environment of the process.
func System() Env { return Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr} }

// verb is one verb of the command line.
type verb struct {
	name string
	// short is a one-line summary for the help.
	short string
	// example shows working command lines.
	example string
	// run adds the verb's flags to flags, parses args and does the work.
	run func(ctx context.Context, env Env, flags *flag.FlagSet, args []string) (Code, error)
}

// list holds all verbs in the order of the help.
var list = []verb{
	demoVerb, serveVerb, gatewayVerb, checkVerb, applyVerb, getVerb, diffVerb, statusVerb, drainVerb, goneVerb,
	entriesVerb, auditVerb, keysVerb, stateVerb, traceVerb,
}

// Run runs the verb that args[0] names and returns the exit code.
func Run(ctx context.Context, env Env, args []string) Code {
	if len(args) == 0 || args[0] == "-h" || args[0] == "help" {
		help(env.Err)
		return Usage
	}
	for _, v := range list {
		if v.name == args[0] {
			return v.start(ctx, env, args[1:])
		}
	}
	fmt.Fprintf(env.Err, "currantwick: no verb %q\n", args[0])
	help(env.Err)
	return Usage
}

func (v verb) start(ctx context.Context, env Env, args []string) Code {
	flags := flag.NewFlagSet(v.name, flag.ContinueOnError)
	flags.SetOutput(env.Err)
	flags.Usage = func() {
		fmt.Fprintf(env.Err, "currantwick %s: %s\n\nExample:\n  %s\n\nFlags:\n", v.name, v.short, v.example)
		flags.PrintDefaults()
	}
	code, err := v.run(ctx, env, flags, args)
	if errors.Is(err, flag.ErrHelp) {
		return Done
	}
	if err != nil {
		fmt.Fprintf(env.Err, "currantwick %s: %v\n", v.name, err)
	}
	return code
}

func help(w io.Writer) {
	fmt.Fprintln(w, "usage: currantwick VERB [FLAGS]")
	fmt.Fprintln(w)
	for _, v := range list {
		fmt.Fprintf(w, "  %-8s %s\n", v.name, v.short)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "currantwick VERB -h shows the flags of a verb and an example.")
}
