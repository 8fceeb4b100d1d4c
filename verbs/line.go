package verbs

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// Run runs the command line args, without the program's name, and returns the
// exit code.
func Run(ctx context.Context, env Env, args []string) Code {
	root := newRoot(env)
	if len(args) == 0 {
		writeOverview(env.Err, root)
		return Usage
	}
	root.SetArgs(normalizeArgs(root, args))
	cmd, err := root.ExecuteContextC(ctx)
	if err == nil {
		return Done
	}
	failure := &exitError{code: Usage, err: err}
	errors.As(err, &failure)
	if failure.err != nil {
		fmt.Fprintf(env.Err, "%s: %v\n", cmd.CommandPath(), failure.err)
	}
	return failure.code
}

// exitError is the result of a verb other than Done without an error.
type exitError struct {
	code Code
	// err may be nil: a verb may have printed all that there is to say.
	err error
}

// Error implements error.
func (e *exitError) Error() string { return fmt.Sprintf("exit code %d: %v", e.code, e.err) }

// Unwrap returns the error of the verb.
func (e *exitError) Unwrap() error { return e.err }

// newRoot returns the command tree. Its flags hold the values of one command
// line, so each Run needs a tree of its own.
func newRoot(env Env) *cobra.Command {
	root := &cobra.Command{
		Use:           program,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          checkVerbName,
		// Without RunE, cobra would print the help for an unknown verb and succeed.
		RunE: func(root *cobra.Command, _ []string) error {
			return errors.Join(root.Usage(), &exitError{Usage, errors.New("no verb given")})
		},
		ValidArgsFunction: cobra.NoFileCompletions,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	if info, ok := debug.ReadBuildInfo(); ok {
		root.Version = versionText(info)
	}
	root.SetIn(env.In)
	root.SetOut(env.Out)
	root.SetErr(env.Err)
	root.SetHelpFunc(func(*cobra.Command, []string) { writeOverview(env.Out, root) })
	root.SetUsageFunc(func(*cobra.Command) error {
		writeOverview(env.Err, root)
		return nil
	})
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return errors.Join(cmd.Usage(), &exitError{Usage, translateFlagError(err)})
	})
	root.InitDefaultHelpFlag()
	root.InitDefaultVersionFlag()
	for _, v := range list {
		root.AddCommand(v.command(env))
	}
	root.AddCommand(completionVerb(root).command(env))
	root.SetHelpCommand(helpVerb(root).command(env))
	root.InitDefaultHelpCmd()
	return root
}

// checkVerbName runs only if no verb has the name in args[0].
func checkVerbName(root *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return errors.Join(root.Usage(), &exitError{Usage, fmt.Errorf("no verb %q", args[0])})
}

// command returns the cobra command of the verb.
func (v verb) command(env Env) *cobra.Command {
	cmd := &cobra.Command{
		Use:   strings.TrimSpace(v.name + " [FLAGS] " + v.args),
		Short: v.short,
		Args:  cobra.ArbitraryArgs,
		// Use names the flags already.
		DisableFlagsInUseLine: true,
	}
	// As in package flag, the first argument that is no flag ends the flags.
	cmd.Flags().SetInterspersed(false)
	act := v.define(cmd.Flags())
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		code, err := act(cmd.Context(), env, args)
		if code == Done && err == nil {
			return nil
		}
		return &exitError{code, err}
	}
	cmd.InitDefaultHelpFlag()
	cmd.SetUsageFunc(func(cmd *cobra.Command) error {
		v.writeHelp(env.Err, cmd)
		return nil
	})
	cmd.SetHelpFunc(func(cmd *cobra.Command, _ []string) {
		if cmd.Flags().Changed("help") {
			// VERB -h has always written to standard error, as package flag does.
			v.writeHelp(env.Err, cmd)
			return
		}
		v.writeHelp(env.Out, cmd)
	})
	v.addCompletions(cmd)
	return cmd
}

// addCompletions completes the values of flags; their names need no code.
func (v verb) addCompletions(cmd *cobra.Command) {
	cmd.ValidArgs = v.argValues
	if v.args == "" {
		cmd.ValidArgsFunction = cobra.NoFileCompletions
	}
	for name, values := range v.values {
		// It fails only for a flag that does not exist, which a test excludes.
		_ = cmd.RegisterFlagCompletionFunc(name, cobra.FixedCompletions(values, cobra.ShellCompDirectiveNoFileComp))
	}
}

func helpVerb(root *cobra.Command) verb {
	return verb{
		name:      "help",
		short:     "show the flags, an example and the exit codes of a verb",
		args:      "[VERB]",
		argValues: verbNames(),
		example:   "currantwick help apply",
		define: func(*pflag.FlagSet) action {
			return func(_ context.Context, env Env, args []string) (Code, error) {
				if len(args) == 0 {
					writeOverview(env.Out, root)
					return Done, nil
				}
				for _, cmd := range root.Commands() {
					if cmd.Name() == args[0] {
						cmd.HelpFunc()(cmd, nil)
						return Done, nil
					}
				}
				return Usage, fmt.Errorf("no verb %q", args[0])
			}
		},
	}
}

func completionVerb(root *cobra.Command) verb {
	return verb{
		name:      "completion",
		short:     "print a completion script for bash, zsh or fish",
		args:      "bash|zsh|fish",
		argValues: []string{"bash", "zsh", "fish"},
		example: `source <(currantwick completion bash)
  currantwick completion zsh > "${fpath[1]}/_currantwick"
  currantwick completion fish > ~/.config/fish/completions/currantwick.fish`,
		define: func(*pflag.FlagSet) action {
			return func(_ context.Context, env Env, args []string) (Code, error) {
				return writeCompletion(env, root, args)
			}
		},
	}
}

func writeCompletion(env Env, root *cobra.Command, args []string) (Code, error) {
	if len(args) != 1 {
		return Usage, errors.New("exactly one of bash, zsh and fish must be given")
	}
	var err error
	switch args[0] {
	case "bash":
		err = root.GenBashCompletionV2(env.Out, true)
	case "zsh":
		err = root.GenZshCompletion(env.Out)
	case "fish":
		err = root.GenFishCompletion(env.Out, true)
	default:
		return Usage, fmt.Errorf("no completion for %q; want bash, zsh or fish", args[0])
	}
	if err != nil {
		return Failed, fmt.Errorf("write the completion script: %w", err)
	}
	return Done, nil
}
