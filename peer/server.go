package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"sync"
	"time"

	"currantwick"

	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"
)

// ServerConfig sets up a Server.
type ServerConfig struct {
	// Address is the address to listen on.
	Address wick.Address
	// TLS is the server's side of mutual TLS.
	TLS *tls.Config
	// HostOf returns the host that a verified certificate names.
	HostOf func(*x509.Certificate) (wick.HostName, error)
	// IdleTimeout is the time after which a connection on which nothing arrives is
	// closed.
	IdleTimeout time.Duration
	// Handler handles calls and submissions.
	Handler wick.PeerServer
	// Observer receives the sizes of calls.
	Observer wick.PeerObserver
}

// Server accepts connections of other daemons.
type Server struct {
	cfg      ServerConfig
	listener *quic.Listener
}

// Listen opens the server's socket.
func Listen(cfg ServerConfig) (*Server, error) {
	l, err := quic.ListenAddr(string(cfg.Address), cfg.TLS, quicConfig(cfg.IdleTimeout))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", cfg.Address, err)
	}
	return &Server{cfg: cfg, listener: l}, nil
}

// Address returns the address the server listens on.
func (s *Server) Address() wick.Address {
	return wick.Address(s.listener.Addr().String())
}

// Close closes the socket of a server that was never run.
func (s *Server) Close() error {
	if err := s.listener.Close(); err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}

// Run serves until ctx ends, then closes all connections.
func (s *Server) Run(ctx context.Context) error {
	var group errgroup.Group
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			break
		}
		group.Go(func() error {
			s.serveConn(ctx, conn)
			return nil
		})
	}
	err := s.listener.Close()
	_ = group.Wait()
	if err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}

func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	defer func() { _ = conn.CloseWithError(0, "stopping") }()
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		return // Not reached: TLS requires a client certificate.
	}
	from, err := s.cfg.HostOf(certs[0])
	if err != nil {
		return // The certificate names no valid host.
	}
	var group errgroup.Group
	for {
		st, err := conn.AcceptStream(ctx)
		if err != nil {
			break
		}
		group.Go(func() error {
			s.serveStream(ctx, from, st)
			return nil
		})
	}
	_ = group.Wait()
}

func (s *Server) serveStream(ctx context.Context, from wick.HostName, st *quic.Stream) {
	defer func() { _ = st.Close() }()
	var open streamHeader
	received, err := readValue(st, &open)
	if err != nil {
		cancelStream(st)
		return
	}
	if open.Call != nil {
		s.serveCall(ctx, from, st, *open.Call, received)
		return
	}
	s.serveSubmit(ctx, from, st, *open.Submit)
}

func (s *Server) serveCall(ctx context.Context, from wick.HostName, st *quic.Stream, msg wick.PeerMessage, received wick.Bytes) {
	answer, err := s.cfg.Handler.HandleCall(ctx, from, msg)
	if err != nil {
		answer = wick.PeerMessage{Error: wick.AsError(err)}
	}
	sent, err := writeValue(st, answer)
	if err != nil {
		cancelStream(st)
		return
	}
	s.cfg.Observer.CallFinished(sent, received)
}

// serveSubmit runs a request. Its context ends when the entry daemon closes the
// stream, so that abandoned requests are canceled.
func (s *Server) serveSubmit(ctx context.Context, from wick.HostName, st *quic.Stream, sub wick.Submission) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watch errgroup.Group
	watch.Go(func() error {
		defer cancel()
		_, _ = st.Read(make([]byte, 1)) // Returns when the entry daemon closes the stream.
		return nil
	})
	var mu sync.Mutex
	emit := func(f wick.Frame) error {
		mu.Lock()
		defer mu.Unlock()
		_, err := writeValue(st, f)
		return err
	}
	if err := s.cfg.Handler.HandleSubmit(ctx, from, sub, emit); err != nil {
		fail := wick.Frame{Request: sub.Request, Kind: wick.FrameFail, Fail: wick.AsError(err)}
		if err := emit(fail); err != nil && !errors.Is(err, context.Canceled) {
			st.CancelWrite(0)
		}
	}
	_ = st.Close()
	st.CancelRead(0)
	_ = watch.Wait()
}
