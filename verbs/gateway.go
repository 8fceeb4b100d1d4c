package verbs

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"reflect"
	"strings"

	"currantwick"
	"currantwick/boot"
	"currantwick/limit"
	"currantwick/logs"
	"currantwick/platform"
	"currantwick/stats"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/spf13/pflag"
	"golang.org/x/sync/errgroup"
)

var gatewayVerb = verb{
	name:    "gateway",
	short:   "run a daemon on the users' platform",
	example: "currantwick gateway -settings settings.json -metrics 9464/metrics",
	values:  map[string][]string{"log": {"debug", "info", "warn", "error"}},
	define:  defineGateway,
}

func defineGateway(flags *pflag.FlagSet) action {
	file := flags.String("settings", os.Getenv(platform.SettingsVariable), "JSON settings file of the platform")
	metrics := flags.String("metrics", "", "port and path of the metrics, as PORT/PATH; not served if empty")
	level := flags.String("log", "info", "minimum log level: debug, info, warn or error")
	hedgeRatio := flags.String("hedge-ratio", "0", hedgeRatioUsage)
	hedgePercentile := flags.Float64("hedge-percentile", defaultHedgePercentile, hedgePercentileUsage)
	return func(ctx context.Context, env Env, _ []string) (Code, error) {
		var minLevel slog.Level
		if err := minLevel.UnmarshalText([]byte(*level)); err != nil {
			return Usage, fmt.Errorf("log level: %w", err)
		}
		hedge, err := parseHedgeLimits(*hedgeRatio, *hedgePercentile)
		if err != nil {
			return Usage, err
		}
		daemon, err := platform.LoadSettings(*file)
		if err != nil {
			return Usage, err
		}
		if err := serveGateway(ctx, env, *file, *metrics, daemon, minLevel, hedge); err != nil {
			return Failed, err
		}
		return Done, nil
	}
}

// serveGateway runs a daemon and its log writer.
func serveGateway(ctx context.Context, env Env, file, metrics string, d wick.DaemonConfig, minLevel slog.Level, hedge limit.HedgeLimits) error {
	queue := logs.NewQueue()
	log := queue.Logger(minLevel).With("host", d.Host)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	cfg := boot.GatewayConfig{Daemon: d, Log: log, Observer: stats.NewGateway(registry, queue.Dropped), Conns: stats.NewConns(registry), Hedge: hedge}
	if metrics != "" {
		address, path, err := parseMetrics(d, metrics)
		if err != nil {
			return err
		}
		cfg.Metrics, cfg.MetricsAddress, cfg.MetricsPath = metricsHandler(registry), address, path
	}
	g, err := boot.NewGateway(cfg)
	if err != nil {
		return err
	}
	registry.MustRegister(stats.NewState(g.State))
	writing, done := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { return queue.Run(writing, env.Out) })
	log.Info("start", "domain", d.Domain, "callers", d.CallerAddress, "peers", d.PeerAddress, "store", d.StoreAddress, "memory", d.Memory, "fenced", d.Bounds.RequireFencing)
	if hedge.Enabled() {
		log.Info("slow requests are hedged", "ratio", hedge.Total, "routes", hedge.Routes, "percentile", hedge.Percentile)
	}
	group.Go(func() error {
		onHangup(writing, func() { reportSettingsChange(log, file, d) })
		return nil
	})
	err = g.Run(ctx)
	log.Info("stop", "err", fmt.Sprint(err))
	done()
	if werr := group.Wait(); werr != nil && err == nil {
		err = fmt.Errorf("write log: %w", werr)
	}
	return err
}

// reportSettingsChange logs whether the settings file has changed since startup.
// Changes take effect only after a restart.
func reportSettingsChange(log *slog.Logger, file string, running wick.DaemonConfig) {
	d, err := platform.LoadSettings(file)
	if err != nil {
		log.Error("settings file not loaded", "kept", "settings from startup", "err", err)
		return
	}
	log.Info("settings file checked", "changed", !reflect.DeepEqual(d, running))
}

func metricsHandler(r *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}

// parseMetrics parses PORT/PATH into an address on the callers' IP and a path.
func parseMetrics(d wick.DaemonConfig, s string) (wick.Address, string, error) {
	port, path, _ := strings.Cut(s, "/")
	ip, err := d.CallerAddress.IP()
	if err != nil {
		return "", "", fmt.Errorf("metrics: %w", err)
	}
	at := wick.Address(ip.String() + ":" + port)
	if err := at.Check(); err != nil {
		return "", "", fmt.Errorf("metrics: %w", err)
	}
	return at, "/" + path, nil
}
