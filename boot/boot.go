// Package boot builds both kinds of daemon from their settings: the node, for the
// platform with an append-only log, and the gateway, for the platform of package
// platform, which publishes its configuration and its runners in a record store.
package boot

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"time"

	"currantwick"
	"currantwick/calls"
	"currantwick/certs"
	"currantwick/claim"
	"currantwick/ctrl"
	"currantwick/engine"
	"currantwick/evict"
	"currantwick/hosts"
	"currantwick/httpc"
	"currantwick/lease"
	"currantwick/limit"
	"currantwick/node"
	"currantwick/plog"
	"currantwick/sched"
	"currantwick/setup"
	"currantwick/stats"
	"currantwick/tally"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"
)

// checkpointsPerRetention is the number of checkpoints written within the log's
// retention.
const checkpointsPerRetention = 4

// maxReadWait bounds how long a read of the log waits for a new record.
const maxReadWait = wick.Duration(5 * time.Second)

// Config sets up the daemon that NewNode builds.
type Config struct {
	Settings setup.Settings
	// Keys is the material for mutual TLS between daemons.
	Keys *certs.Source
	// EntryTLS is nil if callers connect over plain HTTP.
	EntryTLS *tls.Config
	Log      *slog.Logger
	Registry *prometheus.Registry
}

// NewNode opens the daemon's sockets and returns the daemon, which is not running
// yet.
func NewNode(cfg Config) (*node.Node, error) {
	c, err := configure(cfg)
	if err != nil {
		return nil, bootError(cfg.Settings).Errorf("configure daemon: %w", err)
	}
	n, err := node.New(c)
	if err != nil {
		return nil, bootError(cfg.Settings).Errorf("build daemon: %w", err)
	}
	return n, nil
}

// configure translates the settings into a configuration of the node.
func configure(cfg Config) (node.Config, error) {
	s := cfg.Settings
	observer := stats.New(stats.Config{Log: cfg.Log, Registry: cfg.Registry})
	backendHTTP := httpc.Config{ReadTimeout: s.Limits.Silence}
	c := node.Config{
		Self:     wick.Member{Host: s.Host, Domain: s.Domain, Peer: s.Peer.Address, Entry: s.Entry.Address},
		Listen:   s.Peer.Listen,
		EntryTLS: cfg.EntryTLS,
		Limits:   limits(s.Limits),
		Keys:     cfg.Keys,
		HostOf:   certs.HostOf,
		Log:      platformLog(s),
		Hosts:    hostList(s.Hosts),
		Engine:   engine.New(engine.Config{HTTP: backendHTTP}),
		Services: calls.New(calls.Config{HTTP: backendHTTP}),
		Lease:    leaseConfig(s),
		Claim:    claimConfig(s),
		Timeouts: times(s),
		Control:  observer,
		Traffic:  observer,
		Peers:    observer,
	}
	return c, usePolicies(&c, s.Policy)
}

// usePolicies sets the policies that the settings select.
func usePolicies(c *node.Config, p setup.Policy) error {
	c.Route.Policy = pickPolicy(p.Router, wick.RouteAffinity, wick.RouteRoundRobin)
	c.Eject.Policy = pickPolicy(p.Eject, wick.EjectOutliers, wick.EjectNone)
	c.Place.Policy = pickPolicy(p.Place, wick.PlaceByShare, wick.PlaceOnDemand)
	c.Hedge.Policy = pickPolicy(p.Hedge, wick.HedgePercentile, wick.HedgeNone)
	c.Policy = ctrl.Policy{
		Order: pickPolicy[wick.Orderer](p.Order, sched.Shortest{}, sched.FIFO{}),
		Evict: pickPolicy[wick.Evictor](p.Evict, evict.Frequency{}, evict.LRU{}),
		Admit: pickPolicy[wick.Admitter](p.Admit, sched.Deadline{}, sched.Bounded{}),
	}
	if _, err := limit.NewHedger(c.Hedge); err != nil {
		return fmt.Errorf("hedging: %w", err)
	}
	retries, err := limit.NewRetryBudget(limit.RetryConfig{
		Policy: pickPolicy(p.Retry, wick.RetryShare, wick.RetryUnlimited),
	})
	if err != nil {
		return fmt.Errorf("retries: %w", err)
	}
	c.Retries = tally.NewLockedRetryBudget(retries)
	return nil
}

func limits(l setup.Limits) node.Limits {
	return node.Limits{
		BodyBytes:      l.BodyBytes,
		MaxRequests:    l.Requests,
		MaxConnections: l.Connections,
		Idle:           l.Idle.Std(),
	}
}

func claimConfig(s setup.Settings) claim.Config {
	return claim.Config{
		Life:       s.Claim.Life.Std(),
		Batch:      s.Claim.Batch.Std(),
		Checkpoint: s.Log.Retention.Std() / checkpointsPerRetention,
	}
}

// platformLog returns the client of the log. An empty read shows that the
// configuration is current, so a read must return well before the configuration
// would count as stale.
func platformLog(s setup.Settings) wick.Log {
	return plog.New(plog.Config{
		Address: s.Log.Address,
		Wait:    min(s.Stale/3, maxReadWait),
		HTTP:    httpc.Config{ReadTimeout: s.Log.Timeout},
	})
}

// bootError returns an error builder with the host and domain of the daemon.
func bootError(s setup.Settings) oops.OopsErrorBuilder {
	return oops.In("boot").With("host", s.Host, "domain", s.Domain)
}

func hostList(h setup.Hosts) wick.Hosts {
	if h.Address == "" {
		return nil
	}
	return hosts.New(hosts.Config{Address: h.Address, HTTP: httpc.Config{}})
}

func leaseConfig(s setup.Settings) lease.Config {
	return lease.Config{
		Seeds:      s.Peers,
		TTL:        s.Lease.TTL.Std(),
		Drift:      s.Lease.Drift.Std(),
		Renew:      s.Lease.Renew.Std(),
		Suspect:    s.Lease.Suspect.Std(),
		Checkpoint: s.Log.Retention.Std() / checkpointsPerRetention,
	}
}

func times(s setup.Settings) node.Timeouts {
	return node.Timeouts{
		Append:        s.Log.Timeout.Std(),
		Order:         s.Limits.Silence.Std(),
		HostsInterval: s.Hosts.Every.Std(),
		Stale:         s.Stale.Std(),
		Checkpoint:    s.Log.Retention.Std() / checkpointsPerRetention,
		Linger:        s.Stop.Linger.Std(),
		Grace:         s.Stop.Grace.Std(),
	}
}

// pickPolicy returns the chosen policy, or the baseline if the settings select
// it.
func pickPolicy[T any](c setup.Choice, chosen, baseline T) T {
	if c == setup.Baseline {
		return baseline
	}
	return chosen
}
