package verbs

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"currantwick"
	"currantwick/admin"
	"currantwick/codec"

	"github.com/spf13/pflag"
	"github.com/valyala/fasthttp"
)

var goneVerb = verb{
	name:    "gone",
	short:   "report hosts as permanently lost, so that no daemon waits for theirs",
	example: "currantwick gone -hosts entry-3,entry-4",
	define:  defineGone,
}

func defineGone(flags *pflag.FlagSet) action {
	var f adminFlags
	f.register(flags)
	hosts := flags.String("hosts", "", "comma-separated `names` of hosts whose daemons have certainly stopped")
	return func(ctx context.Context, env Env, _ []string) (Code, error) {
		if *hosts == "" {
			return Usage, errors.New("-hosts must name at least one host")
		}
		c, err := f.client()
		if err != nil {
			return Usage, err
		}
		var body admin.Gone
		for h := range strings.SplitSeq(*hosts, ",") {
			body.Hosts = append(body.Hosts, wick.HostName(h))
		}
		data, err := codec.EncodeJSON(body)
		if err != nil {
			return Failed, fmt.Errorf("gone: %w", err)
		}
		got, err := c.do(ctx, fasthttp.MethodPost, admin.PathGone, data)
		if err != nil {
			return Failed, fmt.Errorf("gone: %w", err)
		}
		var runs []wick.Run
		if err := got.decode(&runs); err != nil {
			return Failed, fmt.Errorf("gone: %w", err)
		}
		for _, r := range runs {
			fmt.Fprintf(env.Out, "ended: run %d on %s\n", r.Incarnation, r.Host)
		}
		if len(runs) == 0 {
			fmt.Fprintln(env.Out, "no view names these hosts")
		}
		return Done, nil
	}
}
