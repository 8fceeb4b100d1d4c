package verbs

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// normalizeArgs returns args with the flags in the form that pflag parses:
// -settings becomes --settings. The command line was parsed by package flag
// before, which takes one dash or two, and pflag reads -settings as the
// one-letter flags -s, -e and so on.
func normalizeArgs(root *cobra.Command, args []string) []string {
	out := slices.Clone(args)
	rest := out
	if rest[0] == cobra.ShellCompRequestCmd || rest[0] == cobra.ShellCompNoDescRequestCmd {
		// The last word is incomplete: its flag is known only if its value has begun.
		rest = rest[1:]
		if last := len(rest) - 1; last >= 0 && !strings.Contains(rest[last], "=") {
			rest = rest[:last]
		}
	}
	cmd := root
	if len(rest) > 0 {
		for _, c := range root.Commands() {
			if c.Name() == rest[0] {
				cmd, rest = c, rest[1:]
				break
			}
		}
	}
	normalizeFlags(cmd.Flags(), rest)
	return out
}

// normalizeFlags rewrites the flags in args in place, up to the first argument
// that is no flag. Values of flags stay as they are, also if they begin with a
// dash.
func normalizeFlags(flags *pflag.FlagSet, args []string) {
	for i := 0; i < len(args); i++ {
		if len(args[i]) < 2 || args[i][0] != '-' || args[i] == "--" {
			return
		}
		flag := strings.TrimPrefix(args[i][1:], "-")
		name, _, hasValue := strings.Cut(flag, "=")
		if len(name) == 1 && flags.ShorthandLookup(name) != nil {
			args[i] = "-" + flag
			continue
		}
		args[i] = "--" + flag
		known := flags.Lookup(name)
		if known != nil && known.NoOptDefVal == "" && !hasValue {
			i++ // The value.
		}
	}
}

// translateFlagError returns an error of pflag in the words of package flag,
// which the command line used before.
func translateFlagError(err error) error {
	var unknown *pflag.NotExistError
	var noValue *pflag.ValueRequiredError
	var invalid *pflag.InvalidValueError
	switch {
	case errors.As(err, &unknown):
		return fmt.Errorf("flag provided but not defined: -%s", unknown.GetSpecifiedName())
	case errors.As(err, &noValue):
		return fmt.Errorf("flag needs an argument: -%s", noValue.GetSpecifiedName())
	case errors.As(err, &invalid):
		cause := "parse error"
		if errors.Is(err, strconv.ErrRange) {
			cause = "value out of range"
		}
		name := invalid.GetFlag().Name
		if invalid.GetFlag().Value.Type() == "bool" {
			return fmt.Errorf("invalid boolean value %q for -%s: %s", invalid.GetValue(), name, cause)
		}
		return fmt.Errorf("invalid value %q for flag -%s: %s", invalid.GetValue(), name, cause)
	}
	return err
}
