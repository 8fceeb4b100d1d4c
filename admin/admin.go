// Package admin is the front end for operators over HTTP: publish a change,
// read objects, status and the audit trail, drain, metrics and profiles. It
// translates to and from wick.Operator and decides nothing.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"currantwick"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"github.com/valyala/fasthttp/pprofhandler"
	"golang.org/x/sync/errgroup"
)

// Paths of the operators' interface.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathChanges = "/v1/changes"
	PathObjects = "/v1/objects"
	PathStatus  = "/v1/status"
	PathAudit   = "/v1/audit"
	PathDrain   = "/v1/drain"
	PathGone    = "/v1/gone"

	pathProfiles = "/debug/pprof/"
)

const (
	// bodyBytes bounds a change; the log takes less.
	bodyBytes = 16 << 20
	// readTimeout bounds how long an operator may take to send a request.
	readTimeout = 30 * time.Second
	// idleTimeout bounds how long an unused connection is kept.
	idleTimeout = 2 * time.Minute
	// stopWithin bounds the wait for open requests when the server stops.
	stopWithin = 5 * time.Second
	jsonType   = "application/json"
	bearer     = "Bearer "
)

// Config sets up a Server.
type Config struct {
	// Address is where to listen.
	Address wick.Address
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Token is what operators must show; not empty.
	Token string
	// Operator serves what arrives.
	Operator wick.Operator
	// Metrics is what /metrics shows.
	Metrics prometheus.Gatherer
}

// Server is the front end.
type Server struct {
	cfg      Config
	token    [sha256.Size]byte
	listener net.Listener
	http     fasthttp.Server
	metrics  fasthttp.RequestHandler
	// base ends when the server stops, so that nobody waits on.
	base   context.Context
	cancel context.CancelFunc
}

// Listen opens the server's socket.
func Listen(cfg Config) (*Server, error) {
	if cfg.Token == "" {
		return nil, errors.New("operators need a token")
	}
	l, err := net.Listen("tcp", string(cfg.Address))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", cfg.Address, err)
	}
	if cfg.TLS != nil {
		l = tls.NewListener(l, cfg.TLS)
	}
	s := &Server{cfg: cfg, token: sha256.Sum256([]byte(cfg.Token)), listener: l}
	s.base, s.cancel = context.WithCancel(context.Background())
	s.metrics = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(cfg.Metrics, promhttp.HandlerOpts{}))
	s.http = fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.refuse,
		MaxRequestBodySize:    bodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger:                quietLogger{},
	}
	return s, nil
}

// quietLogger drops what fasthttp would print: an operator that goes away is
// no change of state.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}

// Address returns where the server listens.
func (s *Server) Address() wick.Address { return wick.Address(s.listener.Addr().String()) }

// Close gives up a server that was never run.
func (s *Server) Close() error {
	s.cancel()
	if err := s.listener.Close(); err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error {
		if err := s.http.Serve(s.listener); err != nil {
			return fmt.Errorf("serve operators: %w", err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		s.cancel()
		within, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopWithin)
		defer cancel()
		if err := s.http.ShutdownWithContext(within); err != nil {
			return fmt.Errorf("stop serving operators: %w", err)
		}
		return nil
	})
	return group.Wait()
}

// handle serves one request. What changes nothing and tells nothing of the
// configuration needs no token.
func (s *Server) handle(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	switch path {
	case PathHealth:
		c.SetBodyString("ok\n")
		return
	case PathReady:
		s.ready(c)
		return
	case PathMetrics:
		s.metrics(c)
		return
	}
	if !s.knows(c) {
		writeError(c, wick.NotRunf(wick.CodeUnauthorized, "the operators' token is missing or wrong"))
		return
	}
	s.trusted(c, path)
}

// knows reports whether a request shows the token. The time it takes does not
// tell how much of it is right.
func (s *Server) knows(c *fasthttp.RequestCtx) bool {
	shown, ok := strings.CutPrefix(string(c.Request.Header.Peek(fasthttp.HeaderAuthorization)), bearer)
	sum := sha256.Sum256([]byte(shown))
	return subtle.ConstantTimeCompare(sum[:], s.token[:]) == 1 && ok
}

// trusted serves a request that showed the token.
func (s *Server) trusted(c *fasthttp.RequestCtx, path string) {
	switch {
	case path == PathChanges && c.IsPost():
		s.publish(c)
	case path == PathObjects && c.IsGet():
		s.objects(c)
	case path == PathStatus && c.IsGet():
		s.status(c)
	case path == PathAudit && c.IsGet():
		s.audit(c)
	case path == PathDrain && c.IsPost():
		s.drain(c)
	case path == PathGone && c.IsPost():
		s.gone(c)
	case strings.HasPrefix(path, pathProfiles) && c.IsGet():
		pprofhandler.PprofHandler(c)
	default:
		writeError(c, wick.NotRunf(wick.CodeBadRequest, "no such path or method: %s %s", c.Method(), path))
	}
}

// refuse answers requests that could not be read.
func (s *Server) refuse(c *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		writeError(c, wick.NotRunf(wick.CodeTooLarge, "body over %d bytes", bodyBytes))
		return
	}
	writeError(c, wick.NotRunf(wick.CodeBadRequest, "malformed request: %v", err))
}
