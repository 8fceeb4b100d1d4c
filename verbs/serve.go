package verbs

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"currantwick"
	"currantwick/boot"
	"currantwick/certs"
	"currantwick/codec"
	"currantwick/setup"
	"currantwick/stats"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"golang.org/x/sync/errgroup"
)

var serveVerb = verb{
	name:    "serve",
	short:   "run a daemon",
	example: "currantwick serve -settings host-1.json",
	run:     runServe,
}

func runServe(ctx context.Context, env Env, flags *flag.FlagSet, args []string) (Code, error) {
	file := flags.String("settings", "", "file with the daemon's settings, in JSON")
	defaults := flags.Bool("print-defaults", false, "print the default settings and exit")
	if err := flags.Parse(args); err != nil {
		return Usage, err
	}
	if *defaults {
		return printDefaults(env)
	}
	settings, err := setup.Load(*file)
	if err != nil {
		return Usage, fmt.Errorf("settings: %w", err)
	}
	if err := serve(ctx, env, settings); err != nil {
		return Failed, err
	}
	return Done, nil
}

func printDefaults(env Env) (Code, error) {
	data, err := codec.EncodeJSON(setup.Default())
	if err != nil {
		return Failed, fmt.Errorf("print defaults: %w", err)
	}
	fmt.Fprintf(env.Out, "%s\n", data)
	return Done, nil
}

// serve runs a daemon until ctx ends and it has stopped gracefully. SIGHUP
// makes it read its keys again.
func serve(ctx context.Context, env Env, settings setup.Settings) error {
	log := slog.New(slog.NewJSONHandler(env.Err, nil))
	keys, err := certs.NewSource(certs.Files(settings.Keys).Load)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	doors, err := newDoors(settings, keys)
	if err != nil {
		return err
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n, err := boot.Node(boot.Config{
		Settings: settings,
		Keys:     keys,
		EntryTLS: doors.entry,
		Log:      log,
		Registry: registry,
	})
	if err != nil {
		log.Error("daemon not started", "error", err)
		return fmt.Errorf("start: %w", err)
	}
	stats.Watch(registry, stats.Watched{
		Ready:   n.Ready,
		Config:  func() wick.Offset { return n.Snapshot().Offset },
		Expires: keys.Expires,
	})
	operators, err := doors.operators(settings, n, registry)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	log.Info("daemon started", "host", settings.Host, "entry", n.Self().Entry, "peer", n.Self().Peer, "admin", operators.Address())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		reload(ctx, doors.sources, log)
		return nil
	})
	// Operators are served until the last request has ended.
	serving, closeAdmin := context.WithCancel(context.WithoutCancel(ctx))
	defer closeAdmin()
	group.Go(func() error { return operators.Run(serving) })
	group.Go(func() error {
		defer cancel()
		defer closeAdmin()
		return n.Run(ctx)
	})
	err = group.Wait()
	log.Info("daemon stopped", "host", settings.Host)
	return err
}

// reload reads the keys again at each SIGHUP. Keys that can't be used leave
// the old ones in force.
func reload(ctx context.Context, sources []*certs.Source, log *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		for _, s := range sources {
			if err := s.Reload(); err != nil {
				log.Error("keys not reloaded", "error", err)
				continue
			}
			log.Info("keys reloaded", "expires", s.Expires())
		}
	}
}
