// Command wickfake runs fakes of the platform, the engines and plain services in
// one process, or a proxy that injects faults. When it is ready, it
// prints one line of JSON with its addresses. It exits at SIGTERM.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"currantwick/codec"
	"currantwick/fakes"
	"currantwick/fault"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wickfake:", err)
		os.Exit(1)
	}
}

const usage = "usage: wickfake engine|service|log|hosts|store|all|proxy -settings FILE"

// run starts what the verb in args[0] names and waits until ctx ends.
func run(ctx context.Context, args []string, out io.Writer) error {
	if len(args) == 0 {
		return errors.New(usage)
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	settings := flags.String("settings", "", "JSON settings file")
	if err := flags.Parse(args[1:]); err != nil {
		return fmt.Errorf("flags: %w", err)
	}
	data, err := os.ReadFile(*settings)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	r, err := start(args[0], data)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	line, err := codec.EncodeJSON(r.addresses)
	if err != nil {
		return errors.Join(fmt.Errorf("addresses: %w", err), r.Close())
	}
	fmt.Fprintf(out, "%s\n", line)
	<-ctx.Done()
	return r.Close()
}

// running is what a verb started.
type running struct {
	io.Closer
	// addresses is printed as JSON when the process is ready.
	addresses any
}

func start(verb string, data []byte) (running, error) {
	if verb == "proxy" {
		return startProxy(data)
	}
	cfg, err := decode(verb, data)
	if err != nil {
		return running{}, fmt.Errorf("settings of %s: %w", verb, err)
	}
	s, err := fakes.StartSet(cfg)
	if err != nil {
		return running{}, fmt.Errorf("%s: %w", verb, err)
	}
	return running{s, s.Addresses()}, nil
}

func startProxy(data []byte) (running, error) {
	var cfg fault.Config
	if err := codec.DecodeJSON(data, &cfg); err != nil {
		return running{}, fmt.Errorf("settings of proxy: %w", err)
	}
	p, err := fault.Start(cfg)
	if err != nil {
		return running{}, fmt.Errorf("proxy: %w", err)
	}
	return running{p, p.Addresses()}, nil
}

// decode decodes the settings of a verb into those of a set.
func decode(verb string, data []byte) (fakes.SetConfig, error) {
	var cfg fakes.SetConfig
	switch verb {
	case "all":
		return cfg, codec.DecodeJSON(data, &cfg)
	case "engine":
		cfg.Engines = make([]fakes.EngineConfig, 1)
		return cfg, codec.DecodeJSON(data, &cfg.Engines[0])
	case "service":
		cfg.Services = make([]fakes.ServiceConfig, 1)
		return cfg, codec.DecodeJSON(data, &cfg.Services[0])
	case "log":
		cfg.Log = &fakes.LogConfig{}
		return cfg, codec.DecodeJSON(data, cfg.Log)
	case "hosts":
		cfg.Hosts = &fakes.HostsConfig{}
		return cfg, codec.DecodeJSON(data, cfg.Hosts)
	case "store":
		cfg.Store = &fakes.StoreConfig{}
		return cfg, codec.DecodeJSON(data, cfg.Store)
	}
	return cfg, errors.New(usage)
}
