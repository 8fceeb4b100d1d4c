// Package admin is the HTTP front end for operators. It publishes changes,
// serves objects, status, the audit trail, metrics and profiles, and drains the
// daemon. It only translates between HTTP and wick.Operator; it makes no
// decisions.
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

// Paths of the admin API.
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
	// maxBodyBytes bounds the body of a request; the log accepts less.
	maxBodyBytes = 16 << 20
	// readTimeout bounds how long an operator may take to send a request.
	readTimeout = 30 * time.Second
	// idleTimeout bounds how long an idle connection is kept.
	idleTimeout = 2 * time.Minute
	// shutdownTimeout bounds the wait for open requests at shutdown.
	shutdownTimeout = 5 * time.Second
	jsonType        = "application/json"
	bearer          = "Bearer "
)

// Config configures a Server.
type Config struct {
	// Address is the listen address.
	Address wick.Address
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Token is the bearer token that operators must send; not empty.
	Token string
	// Operator handles the requests.
	Operator wick.Operator
	// Metrics is served at /metrics.
	Metrics prometheus.Gatherer
}

// Server is the HTTP server for operators.
type Server struct {
	cfg      Config
	token    [sha256.Size]byte
	listener net.Listener
	http     fasthttp.Server
	metrics  fasthttp.RequestHandler
	// base is canceled when the server stops, to end waiting requests.
	base   context.Context
	cancel context.CancelFunc
}

// Listen returns a server that listens on cfg.Address.
func Listen(cfg Config) (*Server, error) {
	if cfg.Token == "" {
		return nil, errors.New("the operators' token must not be empty")
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
		ErrorHandler:          s.handleReadError,
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
	return s, nil
}

// discardLogger discards fasthttp's log lines, which report clients that
// disconnect; the daemon logs only its own state changes.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Address returns where the server listens.
func (s *Server) Address() wick.Address { return wick.Address(s.listener.Addr().String()) }

// Close closes a server whose Run was not called.
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
		within, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := s.http.ShutdownWithContext(within); err != nil {
			return fmt.Errorf("stop serving operators: %w", err)
		}
		return nil
	})
	return group.Wait()
}

// handle serves one request. Paths that neither change state nor reveal the
// configuration need no token.
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
	if !s.authorized(c) {
		writeError(c, wick.NotRunf(wick.CodeUnauthorized, "the operators' token is missing or wrong"))
		return
	}
	s.handleAuthorized(c, path)
}

// authorized reports whether a request carries the token. It compares in
// constant time, so that the timing reveals nothing about the token.
func (s *Server) authorized(c *fasthttp.RequestCtx) bool {
	shown, ok := strings.CutPrefix(string(c.Request.Header.Peek(fasthttp.HeaderAuthorization)), bearer)
	sum := sha256.Sum256([]byte(shown))
	return subtle.ConstantTimeCompare(sum[:], s.token[:]) == 1 && ok
}

// handleAuthorized serves a request with a valid token.
func (s *Server) handleAuthorized(c *fasthttp.RequestCtx, path string) {
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

// handleReadError answers requests that could not be read.
func (s *Server) handleReadError(c *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		writeError(c, wick.NotRunf(wick.CodeTooLarge, "body over %d bytes", maxBodyBytes))
		return
	}
	writeError(c, wick.NotRunf(wick.CodeBadRequest, "malformed request: %v", err))
}
