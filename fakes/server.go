package fakes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"currantwick"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Times of opening and closing a server.
const (
	reopenRetry  = 20 * time.Millisecond
	closeTimeout = 2 * time.Second
)

// server is an HTTP server whose connections can fail on demand.
type server struct {
	handler fasthttp.RequestHandler

	mu     sync.Mutex
	addr   string
	ln     net.Listener
	srv    *fasthttp.Server
	conns  map[*conn]struct{}
	frozen chan struct{} // closed at the end of a freeze; nil if not frozen
	closed bool
	group  errgroup.Group
}

func newServer(h fasthttp.RequestHandler) *server {
	return &server{handler: h, conns: map[*conn]struct{}{}}
}

// open listens at an address. Port 0 picks a free port, which stays the same
// when the server reopens.
func (s *server) open(addr wick.Address) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr = string(addr)
	return s.listen()
}

// listen starts to serve; s.mu is held.
func (s *server) listen() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.addr = ln.Addr().String()
	s.ln = ln
	srv := &fasthttp.Server{
		Handler:               s.handler,
		Logger:                quietLogger{},
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	s.srv = srv
	s.group.Go(func() error {
		_ = srv.Serve(trackingListener{ln, s}) // It returns when the server closes ln.
		return nil
	})
	return nil
}

// Address returns where the server listens.
func (s *server) Address() wick.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wick.Address(s.addr)
}

// crash resets all connections and refuses new ones for a time.
func (s *server) crash(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	_ = s.ln.Close()
	s.reset()
	time.AfterFunc(d, s.reopen)
}

// reset resets all connections but the exempt ones, so that their peers see the
// failure; s.mu is held.
func (s *server) reset() {
	for c := range s.conns {
		if c.exempt.Load() {
			continue
		}
		delete(s.conns, c)
		c.abort()
	}
}

func (s *server) reopen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if err := s.listen(); err != nil {
		time.AfterFunc(reopenRetry, s.reopen)
	}
}

// silence makes all open connections permanently silent: writes to them
// are dropped, and reads block.
func (s *server) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(!c.exempt.Load())
	}
}

// freeze blocks reads and writes for a time.
func (s *server) freeze(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		return
	}
	ch := make(chan struct{})
	s.frozen = ch
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.frozen = nil
		close(ch)
	})
}

// freezeEnd returns a channel that closes at the end of the freeze, or nil if
// the server is not frozen.
func (s *server) freezeEnd() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozen
}

// Close stops the server and closes all connections.
func (s *server) Close() error {
	s.mu.Lock()
	s.closed = true
	_ = s.ln.Close()
	for c := range s.conns {
		c.abort()
	}
	srv := s.srv
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = srv.ShutdownWithContext(ctx)
	if err := s.group.Wait(); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// connOf returns the connection of a request.
func connOf(ctx *fasthttp.RequestCtx) *conn {
	c, _ := ctx.Conn().(*conn)
	return c
}

// trackingListener wraps the connections it accepts and registers them with the
// server.
type trackingListener struct {
	net.Listener
	parent *server
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err // fasthttp compares it with known errors.
	}
	c := &conn{Conn: nc, parent: l.parent, done: make(chan struct{})}
	l.parent.mu.Lock()
	defer l.parent.mu.Unlock()
	l.parent.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection that can freeze or become silent.
type conn struct {
	net.Conn
	parent *server
	silent atomic.Bool
	// exempt is set when the connection carried a control request, whose
	// answer must not be lost to the fault that it causes.
	exempt atomic.Bool
	done   chan struct{}
	once   sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.waitWhileFrozen()
	if c.silent.Load() {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.waitWhileFrozen()
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.done) })
	c.parent.mu.Lock()
	delete(c.parent.conns, c)
	c.parent.mu.Unlock()
	return c.Conn.Close()
}

// abort resets the connection; the server's lock is held.
func (c *conn) abort() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	c.once.Do(func() { close(c.done) })
	_ = c.Conn.Close()
}

// drop resets the connection; the server's lock is not held.
func (c *conn) drop() {
	if c == nil {
		return
	}
	c.parent.mu.Lock()
	defer c.parent.mu.Unlock()
	delete(c.parent.conns, c)
	c.abort()
}

func (c *conn) waitWhileFrozen() {
	ch := c.parent.freezeEnd()
	if ch == nil || c.exempt.Load() {
		return
	}
	select {
	case <-ch:
	case <-c.done:
	}
}

// gone reports whether the peer has closed the connection. It peeks without
// consuming data, so the server still reads every byte.
func (c *conn) gone() bool {
	if c == nil || c.silent.Load() {
		return false
	}
	tc, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return closed || err != nil
}
