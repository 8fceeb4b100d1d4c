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

// Bounds of opening and closing a gate.
const (
	reopenEvery = 20 * time.Millisecond
	closeWithin = 2 * time.Second
)

// gate is a server whose connections can fail on demand.
type gate struct {
	handler fasthttp.RequestHandler

	mu     sync.Mutex
	addr   string
	ln     net.Listener
	srv    *fasthttp.Server
	conns  map[*conn]struct{}
	frozen chan struct{} // closed at the end of the freeze; nil if there is none
	closed bool
	group  errgroup.Group
}

func newGate(h fasthttp.RequestHandler) *gate {
	return &gate{handler: h, conns: map[*conn]struct{}{}}
}

// open listens at an address; port 0 picks one, which is kept.
func (g *gate) open(addr wick.Address) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addr = string(addr)
	return g.listen()
}

// listen starts to serve; g.mu is held.
func (g *gate) listen() error {
	ln, err := net.Listen("tcp", g.addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	g.addr = ln.Addr().String()
	g.ln = ln
	srv := &fasthttp.Server{
		Handler:               g.handler,
		Logger:                quietLogger{},
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	g.srv = srv
	g.group.Go(func() error {
		_ = srv.Serve(gateListener{ln, g}) // It ends when the gate closes ln.
		return nil
	})
	return nil
}

// Address returns where the gate listens.
func (g *gate) Address() wick.Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wick.Address(g.addr)
}

// crash resets all connections and refuses new ones for a time.
func (g *gate) crash(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	_ = g.ln.Close()
	g.reset()
	time.AfterFunc(d, g.reopen)
}

// reset closes all connections so that their peers notice; g.mu is held.
func (g *gate) reset() {
	for c := range g.conns {
		if c.spared.Load() {
			continue
		}
		delete(g.conns, c)
		c.abort()
	}
}

func (g *gate) reopen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	if err := g.listen(); err != nil {
		time.AfterFunc(reopenEvery, g.reopen)
	}
}

// silence makes all open connections silent for good: what is written to them
// is lost, and nothing is read from them any more.
func (g *gate) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.silent.Store(!c.spared.Load())
	}
}

// freeze stops reads and writes for a time.
func (g *gate) freeze(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		return
	}
	ch := make(chan struct{})
	g.frozen = ch
	time.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.frozen = nil
		close(ch)
	})
}

// thaw returns a channel that closes at the end of the freeze, or nil.
func (g *gate) thaw() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.frozen
}

// Close stops the server and closes all connections.
func (g *gate) Close() error {
	g.mu.Lock()
	g.closed = true
	_ = g.ln.Close()
	for c := range g.conns {
		c.abort()
	}
	srv := g.srv
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeWithin)
	defer cancel()
	_ = srv.ShutdownWithContext(ctx)
	if err := g.group.Wait(); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// connOf returns the connection of a request.
func connOf(ctx *fasthttp.RequestCtx) *conn {
	c, _ := ctx.Conn().(*conn)
	return c
}

// gateListener wraps what it accepts.
type gateListener struct {
	net.Listener
	g *gate
}

// Accept implements net.Listener.
func (l gateListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err // The server compares it with known errors.
	}
	c := &conn{Conn: nc, g: l.g, done: make(chan struct{})}
	l.g.mu.Lock()
	defer l.g.mu.Unlock()
	l.g.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection that can freeze and fall silent.
type conn struct {
	net.Conn
	g      *gate
	silent atomic.Bool
	// spared tells that the connection brought a control request, whose
	// answer must not be lost to the fault it asks for.
	spared atomic.Bool
	done   chan struct{}
	once   sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.pause()
	if c.silent.Load() {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.pause()
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.done) })
	c.g.mu.Lock()
	delete(c.g.conns, c)
	c.g.mu.Unlock()
	return c.Conn.Close()
}

// abort resets the connection; the gate's lock is held.
func (c *conn) abort() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	c.once.Do(func() { close(c.done) })
	_ = c.Conn.Close()
}

// drop resets the connection from outside the gate.
func (c *conn) drop() {
	if c == nil {
		return
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	delete(c.g.conns, c)
	c.abort()
}

func (c *conn) pause() {
	ch := c.g.thaw()
	if ch == nil || c.spared.Load() {
		return
	}
	select {
	case <-ch:
	case <-c.done:
	}
}

// gone reports whether the peer has closed the connection. The look takes
// nothing from it, so that the server still reads all.
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
