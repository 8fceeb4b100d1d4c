// Package verbs implements the subcommands of the currantwick command line.
package verbs

import (
	"context"
	"io"
	"os"

	"github.com/spf13/pflag"
)

// program is the name of the command in help and errors.
const program = "currantwick"

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
	// args describes the arguments after the flags in the help; empty if the
	// verb ignores them.
	args string
	// argValues holds the possible values of the first argument, for
	// completion; empty for file names.
	argValues []string
	// example shows working command lines.
	example string
	// exits describes the exit codes of the verb; empty for commonExits.
	exits []exit
	// values holds the possible values of flags, by flag, for completion. A
	// flag that is not in it completes to file names.
	values map[string][]string
	// define adds the verb's flags to flags and returns what the verb does
	// once they are parsed.
	define func(flags *pflag.FlagSet) action
}

// action does the work of a verb; args are the arguments after the flags.
type action func(ctx context.Context, env Env, args []string) (Code, error)

// exit describes an exit code in the help.
type exit struct {
	code Code
	text string
}

// allExits describes the exit codes of all verbs together.
var allExits = []exit{
	{Done, "done, or the change was accepted"},
	{Failed, "not done, or the change was rejected; for diff: there is a difference"},
	{Usage, "the command line, or a file that it names, is invalid; for diff: any failure"},
	{Unknown, "unknown: the change may take effect, or the daemon may still run"},
}

// commonExits describes the exit codes of verbs that publish no change.
var commonExits = []exit{
	{Done, "done"},
	{Failed, "not done"},
	{Usage, "the command line, or a settings, token or CA file that it names, is invalid"},
}

// list holds the verbs in the order of the help.
var list = []verb{
	demoVerb, serveVerb, gatewayVerb, checkVerb, applyVerb, getVerb, diffVerb, statusVerb, drainVerb, goneVerb,
	entriesVerb, auditVerb, keysVerb, stateVerb, traceVerb,
}
