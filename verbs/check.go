package verbs

import (
	"context"
	"errors"
	"fmt"

	"currantwick"
	"currantwick/config"
	"currantwick/setup"

	"github.com/spf13/pflag"
)

var checkVerb = verb{
	name:  "check",
	short: "validate a configuration or settings file offline and report all errors",
	example: `currantwick check -file conf.json
  currantwick check -file changes.json -onto conf.json
  currantwick check -settings host-1.json`,
	exits: []exit{
		{Done, "the file is valid"},
		{Failed, "the file has errors or cannot be read"},
		{Usage, "the command line is invalid"},
	},
	define: defineCheck,
}

func defineCheck(flags *pflag.FlagSet) action {
	settings := flags.String("settings", "", "settings `file` of a daemon")
	file := flags.String("file", "", "configuration `file`; - for standard input")
	onto := flags.String("onto", "", "configuration `file` that -file is applied to; an empty configuration if omitted")
	return func(_ context.Context, env Env, _ []string) (Code, error) {
		switch {
		case (*settings == "") == (*file == ""):
			return Usage, errors.New("exactly one of -file and -settings must be set")
		case *settings != "":
			return checkSettings(env, *settings)
		}
		return checkFile(env, *file, *onto)
	}
}

func checkSettings(env Env, file string) (Code, error) {
	if _, err := setup.Load(file); err != nil {
		return Failed, err
	}
	fmt.Fprintln(env.Out, "ok")
	return Done, nil
}

func checkFile(env Env, file, onto string) (Code, error) {
	d, err := readConfigFile(env, file)
	if err != nil {
		return Failed, err
	}
	state := config.New()
	if onto != "" {
		base, err := readConfigFile(env, onto)
		if err != nil {
			return Failed, err
		}
		if vs := validate(state, base); len(vs) > 0 {
			return Failed, fmt.Errorf("file %s: %w", onto, config.JoinViolations(vs))
		}
	}
	vs := validate(state, d)
	for _, v := range vs {
		fmt.Fprintln(env.Out, v.Error())
	}
	if len(vs) > 0 {
		return Failed, fmt.Errorf("%d violations", len(vs))
	}
	fmt.Fprintln(env.Out, "ok")
	return Done, nil
}

// validate returns the violations of a configuration file against a
// configuration. If there are none, it applies the file.
func validate(s *config.State, d configFile) []wick.Violation {
	change := wick.Change{ID: "check", Operator: "check", Puts: d.Objects, Deletes: d.Deletes}
	vs := config.Validate(s.Table(), change)
	if len(vs) == 0 {
		s.Apply(wick.Entry{Offset: s.Offset() + 1, Record: wick.Record{Change: &change}})
	}
	return vs
}
