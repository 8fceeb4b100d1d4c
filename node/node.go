// Package node assembles a daemon from the control thread, the relay, the owner
// server, and the clients and servers around them.
package node

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"sync"
	"time"

	"currantwick"
	"currantwick/claim"
	"currantwick/clock"
	"currantwick/ctrl"
	"currantwick/eject"
	"currantwick/entry"
	"currantwick/lease"
	"currantwick/limit"
	"currantwick/owner"
	"currantwick/peer"
	"currantwick/place"
	"currantwick/relay"
	"currantwick/route"

	"golang.org/x/sync/errgroup"
)

const (
	// peerIdleTimeout closes a connection between daemons on which nothing
	// arrives.
	peerIdleTimeout = 1500 * time.Millisecond
	// heartbeatInterval is the time between heartbeat frames on an answer that
	// has no new text.
	heartbeatInterval = 400 * time.Millisecond
	// drainPollInterval is how often a stopping daemon checks whether it may
	// exit.
	drainPollInterval = 50 * time.Millisecond
)

// Keys provides the TLS settings for connections between daemons.
type Keys interface {
	// PeerServer returns the settings of the accepting end.
	PeerServer() *tls.Config
	// PeerClient returns the settings of the dialing end.
	PeerClient() *tls.Config
}

// Config sets up a Node.
type Config struct {
	// Self is this daemon. Its addresses may have port 0; its incarnation is
	// set by New.
	Self wick.Member
	// Listen is the address to listen on for other daemons if it differs from
	// the advertised one; empty means Self.Peer.
	Listen wick.Address
	// EntryTLS is nil if callers connect over plain HTTP.
	EntryTLS *tls.Config
	Limits   Limits
	Keys     Keys
	// HostOf returns the host that a verified certificate names.
	HostOf func(*x509.Certificate) (wick.HostName, error)

	Log      wick.Log
	Hosts    wick.Hosts
	Engine   wick.Engine
	Services wick.Services

	Lease  lease.Config
	Claim  claim.Config
	Route  route.Config
	Eject  eject.Config
	Place  place.Config
	Policy ctrl.Policy
	// Retries decides whether a failed request may be retried.
	Retries wick.RetryBudget
	// Hedge sets up the hedger of each pool.
	Hedge    limit.HedgeConfig
	Timeouts Timeouts

	Control wick.ControlObserver
	Traffic wick.TrafficObserver
	Peers   wick.PeerObserver
}

// Limits bound requests and connections of callers; all are positive.
type Limits struct {
	// BodyBytes bounds the body of a request.
	BodyBytes wick.Bytes
	// MaxRequests and MaxConnections bound the requests and connections served
	// at once.
	MaxRequests    int
	MaxConnections int
	// Idle is how long an idle connection of a caller is kept open.
	Idle time.Duration
}

// Timeouts are the daemon's timeouts and intervals; all are positive.
type Timeouts struct {
	// Append bounds one append to the log, Order one order to an engine.
	Append time.Duration
	Order  time.Duration
	// HostsInterval is the time between two reads of the list of hosts.
	HostsInterval time.Duration
	// Stale is how long the daemon keeps serving after it last knew that its
	// configuration was current.
	Stale time.Duration
	// Checkpoint is the time between checkpoints of the configuration.
	Checkpoint time.Duration
	// Linger is how long a stopping daemon still accepts requests of callers
	// that cached its address.
	Linger time.Duration
	// Grace bounds the wait for the last request during a stop.
	Grace time.Duration
}

// Node is one daemon.
type Node struct {
	cfg    Config
	clock  wick.Clock
	thread *ctrl.Thread
	owner  *owner.Server
	relay  *relay.Relay
	client *peer.Client
	peers  *peer.Server
	entry  *entry.Server
	io     *controlIO
	// drain is closed, once, when an operator requests a graceful stop.
	drain     chan struct{}
	drainOnce sync.Once
}

// New opens the daemon's sockets and builds its components.
func New(cfg Config) (*Node, error) {
	bootClock, err := clock.New()
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	n := &Node{cfg: cfg, clock: bootClock, drain: make(chan struct{})}
	n.client = peer.NewClient(peer.ClientConfig{TLS: cfg.Keys.PeerClient, IdleTimeout: peerIdleTimeout, Observer: cfg.Peers})
	n.peers, err = peer.Listen(peer.ServerConfig{
		Address:     cmp.Or(cfg.Listen, cfg.Self.Peer),
		TLS:         cfg.Keys.PeerServer(),
		HostOf:      cfg.HostOf,
		IdleTimeout: peerIdleTimeout,
		Handler:     n,
		Observer:    cfg.Peers,
	})
	if err != nil {
		return nil, fmt.Errorf("peer server: %w", err)
	}
	n.entry, err = entry.Listen(entry.Config{
		Address:        cfg.Self.Entry,
		TLS:            cfg.EntryTLS,
		BodyBytes:      cfg.Limits.BodyBytes,
		MaxRequests:    cfg.Limits.MaxRequests,
		MaxConnections: cfg.Limits.MaxConnections,
		Idle:           cfg.Limits.Idle,
		Front:          n,
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("entry server: %w", err), n.peers.Close())
	}
	n.cfg.Self.Entry = n.entry.Address()
	if cfg.Listen == "" {
		n.cfg.Self.Peer = n.peers.Address()
	}
	if n.cfg.Self.Incarnation, err = NewIncarnation(); err != nil {
		return nil, errors.Join(err, n.peers.Close(), n.entry.Close())
	}
	return n, n.build()
}

// build creates the control thread, the relay and the owner server.
func (n *Node) build() error {
	n.cfg.Lease.Self = n.cfg.Self
	n.cfg.Claim.Self = n.cfg.Self.Host
	n.cfg.Claim.Incarnation = n.cfg.Self.Incarnation
	n.relay = relay.New(relay.Config{
		Self:         n.cfg.Self.Host,
		Snapshot:     n.Snapshot,
		Local:        n,
		Peers:        n.client,
		FrameTimeout: peerIdleTimeout,
		Retries:      n.cfg.Retries,
		Hedge:        n.cfg.Hedge,
		OnRequest:    n.recordCompletion,
		Observer:     n.cfg.Traffic,
	})
	var err error
	n.thread, err = ctrl.New(ctrl.Config{
		Clock:      n.clock,
		Lease:      n.cfg.Lease,
		Claim:      n.cfg.Claim,
		Route:      n.cfg.Route,
		Policy:     n.cfg.Policy,
		Eject:      n.cfg.Eject,
		Place:      n.cfg.Place,
		InFlight:   n.relay.InFlight(),
		Stale:      n.cfg.Timeouts.Stale,
		Checkpoint: n.cfg.Timeouts.Checkpoint,
		Observer:   n.cfg.Control,
	})
	if err != nil {
		return fmt.Errorf("build: %w", err)
	}
	n.owner = owner.New(owner.Config{
		Thread:            n.thread,
		Clock:             n.clock,
		Engine:            n.cfg.Engine,
		Services:          n.cfg.Services,
		HeartbeatInterval: heartbeatInterval,
	})
	return nil
}

// Self returns this daemon with the addresses it listens on.
func (n *Node) Self() wick.Member { return n.cfg.Self }

// Snapshot returns the newest control state.
func (n *Node) Snapshot() *ctrl.Snapshot { return n.thread.Snapshot() }

// Run serves until ctx ends or an operator drains the daemon, then stops
// gracefully.
func (n *Node) Run(ctx context.Context) error {
	// workCtx outlives ctx, so that requests in flight when the stop begins can
	// finish.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	entryCtx, closeEntry := context.WithCancel(workCtx)
	defer closeEntry()
	var group errgroup.Group
	n.io = &controlIO{n: n, ctx: workCtx, group: &group}
	group.Go(func() error { return n.thread.Run(workCtx, n.io) })
	group.Go(func() error { return n.peers.Run(workCtx) })
	group.Go(func() error { return n.entry.Run(entryCtx) })
	for _, stream := range []wick.StreamName{wick.ConfigStream, wick.ViewStream, wick.ClaimStream, wick.AuditStream} {
		group.Go(func() error { return n.followStream(workCtx, stream) })
	}
	group.Go(func() error { return n.followHosts(workCtx) })
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-n.drain:
		}
		n.shutdown(closeEntry)
		return nil
	})
	err := group.Wait()
	n.client.Close()
	n.recordRunEnded(ctx)
	if err != nil {
		return fmt.Errorf("run daemon: %w", err)
	}
	return nil
}

// recordRunEnded appends to the log that this run has ended if the view still
// contains it, since the last daemon to stop leaves no other daemon that could
// remove it. It is called when all other goroutines have ended.
func (n *Node) recordRunEnded(ctx context.Context) {
	if m, ok := n.Snapshot().View.Member(n.cfg.Self.Host); !ok || m.Incarnation != n.cfg.Self.Incarnation {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.cfg.Timeouts.Append)
	defer cancel()
	run := wick.Run{Host: n.cfg.Self.Host, Incarnation: n.cfg.Self.Incarnation}
	// An error is ignored. Without the record, the next daemons to start wait
	// until an operator declares this host lost.
	_ = n.appendRunsEnded(ctx, []wick.Run{run})
}

// shutdown stops the daemon gracefully: it is removed from the entry list, then
// from the view, accepts no new requests, and exits when the last answer was sent
// or Timeouts.Grace has passed.
func (n *Node) shutdown(closeEntry context.CancelFunc) {
	n.thread.Post(ctrl.LeaveRequested{})
	time.Sleep(n.cfg.Timeouts.Linger)
	n.thread.Post(ctrl.RefuseRequested{})
	deadline := time.Now().Add(n.cfg.Timeouts.Grace)
	for n.busy() && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	closeEntry()
}

// busy reports whether requests are in flight at this daemon.
func (n *Node) busy() bool { return n.entry.Active() > 0 || n.owner.Active() > 0 }
