package verbs

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"text/tabwriter"

	"currantwick"

	"github.com/spf13/pflag"
	"github.com/valyala/fasthttp"
)

var entriesVerb = verb{
	name:    "entries",
	short:   "list the entry addresses that a daemon gives to callers",
	example: "currantwick entries -entry 10.0.0.1:7000 -domain domain-a",
	define:  defineEntries,
}

func defineEntries(flags *pflag.FlagSet) action {
	entry := flags.String("entry", "", "entry `address` of a daemon")
	domain := flags.String("domain", "", "failure `domain` of the caller; entries in it are listed first")
	ca := flags.String("ca", os.Getenv(envCA), "`file` with the CA certificates that daemons' TLS certificates are verified with; plain HTTP if empty; default from $"+envCA)
	asJSON := flags.Bool("json", false, "print JSON")
	return func(ctx context.Context, env Env, _ []string) (Code, error) {
		if err := wick.Address(*entry).Check(); err != nil {
			return Usage, fmt.Errorf("-entry: %w", err)
		}
		c := &client{addresses: []wick.Address{wick.Address(*entry)}, scheme: "http", http: &fasthttp.Client{}}
		if *ca != "" {
			trusted, err := trustCA(*ca)
			if err != nil {
				return Usage, err
			}
			c.scheme, c.http.TLSConfig = "https", trusted
		}
		got, err := c.do(ctx, fasthttp.MethodGet, "/v1/entries?domain="+url.QueryEscape(*domain), nil)
		if err != nil {
			return Failed, fmt.Errorf("entries: %w", err)
		}
		var list wick.EntryList
		if err := got.decode(&list); err != nil {
			return Failed, fmt.Errorf("entries: %w", err)
		}
		if *asJSON {
			return Done, printJSON(env.Out, list)
		}
		w := tabwriter.NewWriter(env.Out, 0, 8, 2, ' ', 0)
		fmt.Fprintln(w, "ADDRESS\tHOST\tDOMAIN")
		for _, e := range list.Entries {
			fmt.Fprintf(w, "%s\t%s\t%s\n", e.Address, e.Host, e.Domain)
		}
		if len(list.Entries) == 0 {
			return Failed, errors.New("the daemon returned no entries")
		}
		if err := w.Flush(); err != nil {
			return Failed, fmt.Errorf("print: %w", err)
		}
		return Done, nil
	}
}
