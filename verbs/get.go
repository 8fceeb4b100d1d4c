package verbs

import (
	"context"
	"fmt"

	"github.com/spf13/pflag"
)

var getVerb = verb{
	name:  "get",
	short: "print objects with their revisions, in the format that apply reads",
	example: `currantwick get > conf.json
  currantwick get -kind Route -name notices`,
	values: map[string][]string{"kind": {"Model", "Adapter", "Version", "Priority", "Store", "Pool", "Endpoint", "Route"}},
	define: defineGet,
}

func defineGet(flags *pflag.FlagSet) action {
	var f adminFlags
	f.register(flags)
	kind := flags.String("kind", "", "print only objects of this `kind`: Model, Adapter, Version, Priority, Store, Pool, Endpoint or Route")
	name := flags.String("name", "", "print only the object with this `name`; adapter/version for a version")
	return func(ctx context.Context, env Env, _ []string) (Code, error) {
		c, err := f.client()
		if err != nil {
			return Usage, err
		}
		d, err := c.objects(ctx, *kind, *name)
		if err != nil {
			return Failed, fmt.Errorf("get: %w", err)
		}
		if len(d.Revisions) == 0 && *name != "" {
			return Failed, fmt.Errorf("no object %s %s", *kind, *name)
		}
		if err := printJSON(env.Out, d); err != nil {
			return Failed, err
		}
		return Done, nil
	}
}
