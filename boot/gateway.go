package boot

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"currantwick"
	"currantwick/accept"
	"currantwick/clock"
	"currantwick/codec"
	"currantwick/conns"
	"currantwick/coord"
	"currantwick/direct"
	"currantwick/gateio"
	"currantwick/limit"
	"currantwick/links"
	"currantwick/node"
	"currantwick/pause"
	"currantwick/platform"
	"currantwick/share"
	"currantwick/tally"

	"golang.org/x/sync/errgroup"
)

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// memoryLimitShare is the share of the process's memory that is set as the
	// soft limit, above which the garbage collector runs more often.
	memoryLimitShare = 0.7
	// gcPercent lets the heap, which is small, grow threefold between
	// collections.
	gcPercent = 200
	// stopMargin is how long before the end of the grace time, when the platform
	// kills the process, a stopping daemon exits.
	stopMargin = 400 * time.Millisecond
	// lameDuckTime is how long a stopping daemon still accepts requests, from
	// callers that do not know of the stop yet. Streams accepted later might not
	// end within the grace time. lameDuckShare bounds it to a share of the grace
	// time.
	lameDuckTime  = 2800 * time.Millisecond
	lameDuckShare = 0.4
	// sweepInterval is the time between two sweeps of idle connections.
	sweepInterval = time.Second
)

// GatewayConfig sets up a Gateway.
type GatewayConfig struct {
	Daemon   wick.DaemonConfig
	Log      *slog.Logger
	Observer wick.GatewayObserver
	// Conns observes the connections that the daemon accepts; nil if nobody does.
	Conns wick.ConnObserver
	// Metrics is served at MetricsAddress and MetricsPath if it is not nil,
	// with the state at StatePath of the same address.
	Metrics        http.Handler
	MetricsAddress wick.Address
	MetricsPath    string
	// Hedge are the limits on second attempts beside slow ones; zero for none.
	Hedge limit.HedgeLimits
}

// Gateway is the daemon for the platform of package platform, which publishes its
// configuration and its runners in a record store.
type Gateway struct {
	cfg    GatewayConfig
	thread *coord.Thread
	server *direct.Server
	io     *gateio.IO
	hub    *links.Hub
	pools  []*conns.Pool
	bounds *bounds
	// callers is the listener for callers, set before it is served.
	callers *accept.Listener
	group   *errgroup.Group
	// groupCtx ends when a goroutine of the group fails.
	groupCtx context.Context
}

// NewGateway builds a daemon, which Run starts.
func NewGateway(cfg GatewayConfig) (*Gateway, error) {
	runtime.GOMAXPROCS(cfg.Daemon.Cores)
	debug.SetMemoryLimit(int64(float64(cfg.Daemon.Memory) * memoryLimitShare))
	debug.SetGCPercent(gcPercent)
	bootClock, err := clock.New()
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	self, err := instance(cfg.Daemon)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	if cfg.Conns == nil {
		cfg.Conns = unobserved{}
	}
	g := &Gateway{cfg: cfg}
	if g.bounds, err = newBounds(cfg.Daemon); err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	g.group, g.groupCtx = errgroup.WithContext(context.Background())
	traffic := conns.New(conns.Config{OnOpen: cfg.Observer.ConnectionOpened, OnLimited: cfg.Observer.ConnectionLimited})
	orders := conns.New(conns.Config{PerAddress: 1})
	calls := conns.New(conns.Config{PerAddress: int(wick.NumTopics)})
	g.pools = []*conns.Pool{traffic, orders, calls}
	runners := platform.NewRunners(traffic, orders)
	g.io = gateio.New(gateio.Config{
		Store:   platform.NewStore(cfg.Daemon.StoreAddress, calls, cfg.Observer.StoreCallFinished),
		Runners: runners,
		Clock:   bootClock,
		Group:   g.group,
	})
	parts, pauses := new(tally.Parts), new(tally.Pauses)
	bounds := cfg.Daemon.Bounds
	shareLimits := share.Config{
		Window:    bounds.AllotmentWindow.Std(),
		Overshoot: bounds.AllotmentOvershoot,
		Slack:     float64(bounds.AllotmentSlack),
	}
	shares := tally.NewShares(tally.SharesConfig{
		Clock:  bootClock,
		Limits: shareLimits,
		Ask:    func() { g.thread.RequestUnits() },
	})
	g.thread = coord.New(coord.Config{
		Self:     self,
		Seeds:    cfg.Daemon.Seeds,
		Bounds:   cfg.Daemon.Bounds,
		Clock:    bootClock,
		Wall:     clock.Wall{},
		IO:       g.io,
		Decoder:  platform.Decoder{},
		Log:      cfg.Log,
		Observer: cfg.Observer,

		Pauses:        pauses,
		AnsweredParts: parts,
		Shares:        shares,
		ShareLimits:   shareLimits,
	})
	g.hub = links.New(links.Config{Self: self, Events: g.thread, Memory: g.bounds.memory, Group: g.group})
	retry, err := limit.NewSharedRetries(bounds.RetryRatio, bounds.RetrySlack)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	hedgers, err := tally.NewGatewayHedgers(cfg.Hedge)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	g.server = direct.New(direct.Config{
		Host:     cfg.Daemon.Host,
		Domain:   cfg.Daemon.Domain,
		Bounds:   cfg.Daemon.Bounds,
		Control:  g.thread,
		Sender:   runners,
		Clock:    bootClock,
		Retry:    tally.NewLockedSharedBudget(retry),
		Log:      cfg.Log,
		Observer: cfg.Observer,

		Pauses:        pauses,
		AnsweredParts: parts,
		Hedgers:       hedgers,
		Shares:        shares,
		Answers:       g.bounds.bodies(),
	})
	return g, nil
}

func instance(d wick.DaemonConfig) (wick.Instance, error) {
	incarnation, err := node.NewIncarnation()
	if err != nil {
		return wick.Instance{}, fmt.Errorf("describe daemon: %w", err)
	}
	return wick.Instance{
		Host:          d.Host,
		Incarnation:   incarnation,
		PeerAddress:   d.PeerAddress,
		CallerAddress: d.CallerAddress,
		Domain:        d.Domain,
		Capacity:      d.Capacity,
	}, nil
}

// State returns the daemon's state.
func (g *Gateway) State() wick.GatewayState { return g.server.State() }

// Run serves until the context stop is canceled, and then until the requests in
// flight have ended or the grace time, less stopMargin, is over.
func (g *Gateway) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	defer context.AfterFunc(g.groupCtx, cancel)()
	servers, err := g.listen(ctx)
	if err != nil {
		return err
	}
	g.io.Start(ctx, g.thread, g.hub)
	g.group.Go(func() error { return g.thread.Run(ctx) })
	g.group.Go(func() error { return g.sweep(ctx) })
	g.group.Go(func() error {
		defer cancel()
		select {
		case <-stop.Done():
			g.shutdown(servers)
		case <-ctx.Done():
		}
		g.close(servers)
		return nil
	})
	return g.group.Wait()
}

// httpServer is one HTTP server.
type httpServer struct {
	name    string
	server  *http.Server
	handler *stopHandler
	callers bool
}

// stopHandler refuses requests that there is no room for, and asks callers to close
// their connections once the daemon stops.
// http.Server.SetKeepAlivesEnabled would close the idle ones at once, also those
// on which a request is arriving.
type stopHandler struct {
	next     http.Handler
	stopping atomic.Bool
}

// ServeHTTP implements http.Handler.
func (h *stopHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if accept.IsRefused(r.Context()) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", refusedRetryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.next.ServeHTTP(w, r)
}

// listen opens all addresses and starts serving them.
func (g *Gateway) listen(ctx context.Context) ([]httpServer, error) {
	d := g.cfg.Daemon
	lc := net.ListenConfig{Control: setListenerOptions, KeepAliveConfig: conns.KeepAlive()}
	var list []httpServer
	open := func(name string, at wick.Address, h http.Handler) error {
		if at == "" || h == nil {
			return nil
		}
		l, err := lc.Listen(ctx, "tcp", string(at))
		if err != nil {
			return fmt.Errorf("listen for %s: %w", name, err)
		}
		handler := &stopHandler{next: h}
		srv := &http.Server{
			Handler: handler, ConnState: accept.State, ConnContext: accept.Context, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: slog.NewLogLogger(g.cfg.Log.Handler(), slog.LevelDebug),
		}
		list = append(list, httpServer{name, srv, handler, name == callerListener})
		g.group.Go(func() error {
			if err := srv.Serve(g.bound(l, name)); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve %s: %w", name, err)
			}
			return nil
		})
		return nil
	}
	mux := http.NewServeMux()
	if g.cfg.Metrics != nil {
		mux.Handle(g.cfg.MetricsPath, g.cfg.Metrics)
		mux.HandleFunc("GET "+StatePath, g.serveState)
	}
	err := errors.Join(
		open(callerListener, d.CallerAddress, platform.NewHandler(platform.HandlerConfig{
			Gateway: g.server,
			Memory:  g.bounds.bodies(),
			Log:     g.cfg.Log,

			OnLateBody:   func() { g.callers.Report(wick.CloseBody) },
			ResetOnClose: accept.ResetOnClose,
		})),
		open("directory", d.DirectoryAddress, platform.NewDirectory(g.server)),
		open("readiness", d.ReadyAddress, platform.NewReadiness(g.server)),
		open("metrics", g.cfg.MetricsAddress, mux),
	)
	if err != nil {
		return nil, err
	}
	l, err := lc.Listen(ctx, "tcp", string(d.PeerAddress))
	if err != nil {
		return nil, fmt.Errorf("listen for daemons: %w", err)
	}
	g.group.Go(func() error { return g.hub.Serve(ctx, g.bound(l, linkListener)) })
	return list, nil
}

// StatePath is the path at which the state is served as JSON.
const StatePath = "/state"

func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	data, err := codec.EncodeJSON(g.State())
	if err != nil {
		g.cfg.Log.Error("state not encoded", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	writeWithin(w, data, g.bounds.bodies())
}

// writeWithin answers with JSON whose memory is taken out of a budget while it is written,
// or with 503 if there is none.
func writeWithin(w http.ResponseWriter, data []byte, budget wick.MemoryBudget) {
	size := wick.Bytes(len(data))
	if !budget.Take(size) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer budget.Give(size)
	w.Header().Set("Content-Type", "application/json")
	w.Write(data) // A write fails only if the client disconnected.
}

// sweep closes idle connections periodically until ctx ends.
func (g *Gateway) sweep(ctx context.Context) error {
	for pause.For(ctx, sweepInterval) {
		for _, p := range g.pools {
			p.Sweep()
		}
	}
	return nil
}

// shutdown directs callers to other daemons, serves those that do not know of
// the stop yet for the lame duck time, and waits for the requests in flight.
func (g *Gateway) shutdown(servers []httpServer) {
	grace := g.cfg.Daemon.Bounds.Grace.Std()
	g.thread.Stop()
	for _, s := range servers {
		if s.callers {
			s.handler.stopping.Store(true)
		}
	}
	lameDuck := min(lameDuckTime, time.Duration(float64(grace)*lameDuckShare))
	pause.For(context.Background(), lameDuck)
	ctx, cancel := context.WithTimeout(context.Background(), grace-lameDuck-stopMargin)
	defer cancel()
	for _, s := range servers {
		if !s.callers {
			continue
		}
		if err := s.server.Shutdown(ctx); err != nil {
			g.cfg.Log.Warn("requests aborted: not finished within the grace time", "err", err)
		}
	}
}

// close closes all servers and their remaining connections.
func (g *Gateway) close(servers []httpServer) {
	for _, s := range servers {
		if err := s.server.Close(); err != nil {
			g.cfg.Log.Warn("server not closed", "server", s.name, "err", err)
		}
	}
}
