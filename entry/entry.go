// Package entry is the HTTP front end for callers: the list of addresses to use,
// OpenAI-style completions, streamed or not, and calls of plain services. It
// translates between HTTP and wick.Front and makes no decisions.
package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"currantwick"
	"currantwick/codec"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Headers of the API for callers.
const (
	// HeaderRequest is the request id, which is generated if the caller sends
	// none. It is echoed in responses.
	HeaderRequest = "X-Request-Id"
	// HeaderKey is the idempotency key of a call.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline bounds the wait for the first token or the reply, in
	// milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderOutcome is the outcome of a failed request or of a call of a plain
	// service.
	HeaderOutcome = "X-Outcome"
)

const (
	pathEntries     = "/v1/entries"
	pathCompletions = "/v1/completions"
	pathCalls       = "/v1/calls/"
	jsonType        = "application/json"
	requestIDBytes  = 12
	// busyRetry is the time after which a caller may retry on a server that is at
	// its limit of requests.
	busyRetry = time.Second
	// readTimeout bounds how long a caller may take to send a request.
	readTimeout = 30 * time.Second
)

// Config configures a Server.
type Config struct {
	// Address is the address to listen on.
	Address wick.Address
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// BodyBytes bounds the body of a request; positive.
	BodyBytes wick.Bytes
	// MaxRequests and MaxConnections bound what is served concurrently;
	// positive.
	MaxRequests    int
	MaxConnections int
	// Idle is the idle timeout of connections; positive.
	Idle time.Duration
	// Front handles the requests.
	Front wick.Front
}

// Server is the HTTP server for callers.
type Server struct {
	cfg      Config
	listener net.Listener
	http     fasthttp.Server
	base     context.Context
	cancel   context.CancelFunc
	active   atomic.Int64
}

// Listen returns a server that listens on its address.
func Listen(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", string(cfg.Address))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", cfg.Address, err)
	}
	if cfg.TLS != nil {
		l = tls.NewListener(l, cfg.TLS)
	}
	s := &Server{cfg: cfg, listener: l}
	s.base, s.cancel = context.WithCancel(context.Background())
	s.http = fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.handleReadError,
		MaxRequestBodySize:    int(cfg.BodyBytes),
		ReadTimeout:           readTimeout,
		IdleTimeout:           cfg.Idle,
		Concurrency:           cfg.MaxConnections,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
	return s, nil
}

// discardLogger discards fasthttp's log output, which is mostly about callers that
// disconnect; a daemon logs only changes of its state.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Address returns the address that the server listens on.
func (s *Server) Address() wick.Address {
	return wick.Address(s.listener.Addr().String())
}

// Close closes the listener of a server that was never run.
func (s *Server) Close() error {
	if err := s.listener.Close(); err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}

// Active returns how many requests are being served.
func (s *Server) Active() int64 { return s.active.Load() }

// Run serves until ctx ends. It then accepts no new connections and returns
// when all requests have finished.
func (s *Server) Run(ctx context.Context) error {
	defer s.cancel()
	var group errgroup.Group
	group.Go(func() error {
		if err := s.http.Serve(s.listener); err != nil {
			return fmt.Errorf("serve callers: %w", err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		if err := s.http.ShutdownWithContext(s.base); err != nil {
			return fmt.Errorf("stop serving callers: %w", err)
		}
		return nil
	})
	return group.Wait()
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	defer s.active.Add(-1)
	if s.active.Add(1) > int64(s.cfg.MaxRequests) {
		busy := wick.NotRunf(wick.CodeOverload, "this entry serves %d requests already", s.cfg.MaxRequests)
		busy.RetryAfter = wick.Duration(busyRetry)
		writeError(c, busy)
		return
	}
	s.serve(c)
}

func (s *Server) serve(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	switch {
	case path == pathEntries && c.IsGet():
		s.entries(c)
	case path == pathCompletions && c.IsPost():
		s.completions(c)
	case strings.HasPrefix(path, pathCalls) && c.IsPost():
		s.call(c, wick.RouteName(path[len(pathCalls):]))
	default:
		writeError(c, wick.NotRunf(wick.CodeBadRequest, "no such path or method: %s %s", c.Method(), path))
	}
}

// handleReadError responds to requests that could not be read.
func (s *Server) handleReadError(c *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		writeError(c, wick.NotRunf(wick.CodeTooLarge, "body over %d bytes", s.cfg.BodyBytes))
		return
	}
	writeError(c, wick.NotRunf(wick.CodeBadRequest, "malformed request: %v", err))
}

func (s *Server) entries(c *fasthttp.RequestCtx) {
	near := wick.Domain(c.QueryArgs().Peek("domain"))
	writeJSON(c, fasthttp.StatusOK, s.cfg.Front.EntryPoints(near))
}

func (s *Server) call(c *fasthttp.RequestCtx, route wick.RouteName) {
	req, err := parseHeaders(c)
	if err != nil {
		writeError(c, err)
		return
	}
	req.Route = route
	req.Body = append([]byte(nil), c.PostBody()...)
	req.Key = wick.ClaimKey(c.Request.Header.Peek(HeaderKey))
	reply, fail := s.cfg.Front.Invoke(s.base, req)
	c.Response.Header.Set(HeaderRequest, string(req.Request))
	if fail != nil {
		writeError(c, wick.AsError(fail))
		return
	}
	c.Response.Header.Set(HeaderOutcome, string(wick.Answered))
	c.SetStatusCode(reply.Status)
	c.SetBody(reply.Body)
}

// parseHeaders parses the headers that all requests share.
func parseHeaders(c *fasthttp.RequestCtx) (wick.CallerRequest, *wick.Error) {
	req := wick.CallerRequest{Request: wick.RequestID(c.Request.Header.Peek(HeaderRequest))}
	if req.Request == "" {
		req.Request = newRequestID()
	}
	if err := req.Request.Check(); err != nil {
		return req, wick.NotRunf(wick.CodeBadRequest, "%s: %v", HeaderRequest, err)
	}
	text := string(c.Request.Header.Peek(HeaderDeadline))
	if text == "" {
		return req, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return req, wick.NotRunf(wick.CodeBadRequest, "%s: want milliseconds", HeaderDeadline)
	}
	req.TimeLeft = wick.Duration(time.Duration(ms) * time.Millisecond)
	return req, nil
}

func newRequestID() wick.RequestID {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:]) // Never fails.
	return wick.RequestID(hex.EncodeToString(b[:]))
}

func writeJSON(c *fasthttp.RequestCtx, status int, v any) {
	data, err := codec.EncodeJSON(v)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType(jsonType)
	c.SetBody(data)
}
