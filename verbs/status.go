package verbs

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"currantwick"

	"github.com/spf13/pflag"
)

var statusVerb = verb{
	name:  "status",
	short: "show view, owners, leases, endpoints, queues and offsets",
	example: `currantwick status
  currantwick status -json`,
	define: defineStatus,
}

func defineStatus(flags *pflag.FlagSet) action {
	var f adminFlags
	f.register(flags)
	asJSON := flags.Bool("json", false, "print JSON")
	return func(ctx context.Context, env Env, _ []string) (Code, error) {
		c, err := f.client()
		if err != nil {
			return Usage, err
		}
		s, err := c.status(ctx)
		if err != nil {
			return Failed, fmt.Errorf("status: %w", err)
		}
		if *asJSON {
			err = printJSON(env.Out, s)
		} else {
			err = printStatus(env.Out, s)
		}
		if err != nil {
			return Failed, err
		}
		return Done, nil
	}
}

// printStatus writes human-readable tables.
func printStatus(out io.Writer, s wick.Status) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	lease := "none"
	if s.Lease > 0 {
		lease = s.Lease.Std().Round(time.Millisecond).String()
	}
	fmt.Fprintf(w, "daemon %s in %s, view %d, lease %s, configuration %d%s\n",
		s.Self.Host, s.Self.Domain, s.View, lease, s.Config, stateSuffix(s))
	for i, k := range s.Objects {
		if i > 0 {
			fmt.Fprint(w, ", ")
		}
		fmt.Fprintf(w, "%s %d", k.Kind, k.Count)
	}
	fmt.Fprint(w, "\n\n")
	fmt.Fprintln(w, "DAEMON\tDOMAIN\tENTRY\tOWNS\tCONFIG\tCLAIMS\tSTATE")
	for _, d := range s.Daemons {
		state := "live"
		if d.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n",
			d.Member.Host, d.Member.Domain, d.Member.Entry, d.Owns, d.Config, d.Claims, state)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "ENDPOINT\tPOOL\tDOMAIN\tOWNER\tRUNNING\tQUEUED\tADAPTERS\tSTATE")
	for _, e := range s.Endpoints {
		printEndpoint(w, e)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

func stateSuffix(s wick.Status) string {
	out := ""
	if s.Stale {
		out += ", stale"
	}
	if s.Stopping {
		out += ", stopping"
	}
	return out
}

func printEndpoint(w io.Writer, e wick.EndpointStatus) {
	running, queued, adapters, state := "-", "-", "-", "live"
	if d := e.Digest; d != nil {
		running = strconv.Itoa(int(d.Running))
		queued = strconv.FormatFloat(float64(d.Queued), 'f', 2, 64) + "s"
		adapters = strconv.Itoa(len(d.Ready))
		if d.Ejected {
			state = "ejected"
		}
	}
	owner := string(e.Owner)
	switch {
	case e.Leaving:
		state = "leaving"
	case owner == "":
		owner, state = "-", "no owner"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Name, e.Pool, e.Domain, owner, running, queued, adapters, state)
}
