package verbs

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"currantwick"
	"currantwick/admin"
	"currantwick/boot"
	"currantwick/certs"
	"currantwick/codec"
	"currantwick/node"
	"currantwick/setup"
	"currantwick/stats"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/spf13/pflag"
	"golang.org/x/sync/errgroup"
)

var serveVerb = verb{
	name:    "serve",
	short:   "run a daemon",
	example: "currantwick serve -settings host-1.json",
	define:  defineServe,
}

func defineServe(flags *pflag.FlagSet) action {
	file := flags.String("settings", "", "JSON settings file of the daemon")
	defaults := flags.Bool("print-defaults", false, "print the default settings and exit")
	return func(ctx context.Context, env Env, _ []string) (Code, error) {
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
}

func printDefaults(env Env) (Code, error) {
	data, err := codec.EncodeJSON(setup.Default())
	if err != nil {
		return Failed, fmt.Errorf("print defaults: %w", err)
	}
	fmt.Fprintf(env.Out, "%s\n", data)
	return Done, nil
}

// service is a daemon with its admin server.
type service struct {
	log         *slog.Logger
	serverTLS   *serverTLS
	node        *node.Node
	adminServer *admin.Server
}

// serve runs a daemon until ctx ends and the daemon has stopped gracefully. It
// reloads its keys at SIGHUP.
func serve(ctx context.Context, env Env, settings setup.Settings) error {
	log := slog.New(slog.NewJSONHandler(env.Err, nil))
	s, err := newService(settings, log)
	if err != nil {
		log.Error("daemon not started", "error", err)
		return fmt.Errorf("start: %w", err)
	}
	self := s.node.Self()
	log.Info("daemon started", "host", self.Host, "entry", self.Entry, "peer", self.Peer, "admin", s.adminServer.Address())
	err = s.run(ctx)
	log.Info("daemon stopped", "host", self.Host)
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// newService creates a daemon and opens all its sockets.
func newService(settings setup.Settings, log *slog.Logger) (*service, error) {
	keys, err := certs.NewSource(certs.Files(settings.Keys).Load)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	s := &service{log: log}
	if s.serverTLS, err = newServerTLS(settings, keys); err != nil {
		return nil, fmt.Errorf("TLS: %w", err)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s.node, err = boot.NewNode(boot.Config{
		Settings: settings,
		Keys:     keys,
		EntryTLS: s.serverTLS.entry,
		Log:      log,
		Registry: registry,
	})
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	stats.RegisterGauges(registry, stats.GaugeSources{
		Ready:   s.node.CheckReady,
		Config:  func() wick.Offset { return s.node.Snapshot().Offset },
		Expires: keys.Expires,
	})
	if s.adminServer, err = s.serverTLS.adminServer(settings, s.node, registry); err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	return s, nil
}

// run serves callers, peers and operators. The admin server runs until the last
// request has ended.
func (s *service) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	serving, closeAdmin := context.WithCancel(context.WithoutCancel(ctx))
	defer closeAdmin()
	var group errgroup.Group
	group.Go(func() error {
		onHangup(ctx, func() { reload(s.serverTLS.sources, s.log) })
		return nil
	})
	group.Go(func() error { return s.adminServer.Run(serving) })
	group.Go(func() error {
		defer cancel()
		defer closeAdmin()
		return s.node.Run(ctx)
	})
	if err := group.Wait(); err != nil {
		return fmt.Errorf("run: %w", err)
	}
	return nil
}

// reload reads the keys again. If new keys can't be used, the old ones stay in
// use.
func reload(sources []*certs.Source, log *slog.Logger) {
	for _, s := range sources {
		if err := s.Reload(); err != nil {
			log.Error("keys not reloaded", "error", err)
			continue
		}
		log.Info("keys reloaded", "expires", s.Expires())
	}
}

// onHangup calls do at each SIGHUP until ctx ends.
func onHangup(ctx context.Context, do func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		do()
	}
}
