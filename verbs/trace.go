package verbs

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"currantwick/logs"
)

var traceVerb = verb{
	name:    "trace",
	short:   "show the lines about one request in the logs of several daemons",
	example: "currantwick trace -request 9c41d07be2a35f68 host-1.log host-2.log",
	run:     runTrace,
}

func runTrace(_ context.Context, env Env, flags *flag.FlagSet, args []string) (Code, error) {
	request := flags.String("request", "", "`id` of the request")
	if err := flags.Parse(args); err != nil {
		return Usage, err
	}
	if *request == "" || flags.NArg() == 0 {
		return Usage, errors.New("-request and at least one log file must be given")
	}
	var from []io.Reader
	for _, name := range flags.Args() {
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
