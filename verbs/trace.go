package verbs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"currantwick/logs"

	"github.com/spf13/pflag"
)

var traceVerb = verb{
	name:    "trace",
	short:   "show the lines about one request in the logs of several daemons",
	example: "currantwick trace -request 9c41d07be2a35f68 host-1.log host-2.log",
	args:    "LOG...",
	define:  defineTrace,
}

func defineTrace(flags *pflag.FlagSet) action {
	request := flags.String("request", "", "`id` of the request")
	return func(_ context.Context, env Env, args []string) (Code, error) {
		if *request == "" || len(args) == 0 {
			return Usage, errors.New("-request and at least one log file must be given")
		}
		var from []io.Reader
		for _, name := range args {
			file, err := os.Open(name)
			if err != nil {
				return Failed, fmt.Errorf("open log: %w", err)
			}
			defer file.Close()
			from = append(from, file)
		}
		lines, err := logs.Trace(*request, from...)
		if err != nil {
			return Failed, err
		}
		if len(lines) == 0 {
			return Failed, fmt.Errorf("no log line mentions request %s", *request)
		}
		for _, l := range lines {
			fmt.Fprintln(env.Out, l.Text)
		}
		return Done, nil
	}
}
