// Package accept bounds what accepted connections take of a process: their number, the
// time and the memory of the heads of requests, the time without a request, and the time
// of a write. It works below net/http, which bounds only single heads.
package accept

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"currantwick"
)

const (
	// connMemory is what an idle connection of net/http takes: two buffers of 4 KiB,
	// the stack of its goroutine, and the structures of the connection.
	connMemory = 16 << 10
	// servingMemory is what a request takes beyond this while it is served: a connection
	// to an endpoint with its buffer, a buffer for the answer, and two goroutines.
	servingMemory = 24 << 10
	// smallHead is the cost of a head up to which it takes no memory of the budget. It
	// is part of connMemory and servingMemory.
	smallHead = 8 << 10
	// byteCost and lineCost are what a head takes for each of its bytes, which are copied
	// for the endpoint, and for each of its lines: entries of maps, strings and slices.
	// 400 heads of 60 KiB in lines of 7 bytes took 360 MB.
	byteCost = 4
	lineCost = 256
	// blockedTime is how long a write waits before its connection may be closed to make
	// room for others.
	blockedTime = time.Second
	// writeStep is how much is written at a time, so that the write of a large answer to
	// a slow but steady reader does not count as blocked. At 10 Mbit/s it takes 52 ms.
	writeStep = 64 << 10
	// minWriteRate is the rate in bytes per second below which nobody reads an answer, in
	// addition to the idle time.
	minWriteRate = 64 << 10
	// acceptPause is the wait after a failed accept.
	acceptPause = 20 * time.Millisecond
	// refusalTime bounds the read of what is left of a refused request.
	refusalTime = 500 * time.Millisecond
	// logInterval is the time between two log lines with one cause.
	logInterval = 10 * time.Second
)

var newline = []byte("\n")

// Times are the times that callers are given.
type Times struct {
	// Head is the time from the first to the last byte of a request's head, and Idle
	// that without a request; positive.
	Head, Idle time.Duration
}

// Config configures a Listener.
type Config struct {
	// Name names the listener in metrics and log lines.
	Name string
	// Forwards is set if requests are forwarded: one that is served counts as one more
	// connection, for that to its endpoint, and its handler sets the deadlines of the
	// body. Connections bounds the open connections.
	Connections int
	Forwards    bool
	// Memory is the budget for connections, and Heads that for heads that are not small.
	Memory, Heads wick.MemoryBudget
	// Times returns the present times; nil for a listener whose protocol has its own.
	Times    func() Times
	Observer wick.ConnObserver
	Log      *slog.Logger
}

// Listener is a net.Listener whose connections are bounded.
type Listener struct {
	net.Listener
	cfg  Config
	base time.Time

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// serving is the number of connections that are served.
	serving int
	// logged is when each cause was logged last, and since how many connections were
	// closed for it after that.
	logged map[wick.CloseCause]time.Time
	since  map[wick.CloseCause]int
}

// New returns a listener that bounds the connections of l.
func New(l net.Listener, cfg Config) *Listener {
	return &Listener{
		Listener: l, cfg: cfg, base: time.Now(), conns: make(map[*Conn]struct{}),
		logged: make(map[wick.CloseCause]time.Time), since: make(map[wick.CloseCause]int),
	}
}

// Accept implements net.Listener. It waits while descriptors are short.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
			if !errors.Is(err, syscall.ECONNABORTED) {
				l.closeOne(wick.CloseFull)
			}
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("accept: %w", err)
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			return nc, nil
		}
		if c := l.admit(tcp); c != nil {
			return c, nil
		}
	}
}

// admit returns a connection with its share of the bounds, or nil after it was refused.
func (l *Listener) admit(tcp *net.TCPConn) *Conn {
	c := &Conn{TCPConn: tcp, listener: l}
	if at, ok := tcp.RemoteAddr().(*net.TCPAddr); ok {
		c.remote = at.AddrPort().Addr().Unmap()
	}
	if cause := l.reserve(connMemory); cause != "" {
		tcp.Close()
		l.Report(cause)
		return nil
	}
	l.mu.Lock()
	c.enter(waiting)
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c
}

// reserve takes memory and makes room for one more connection. It closes others if need
// be, and returns what is short if there are none that may be closed.
func (l *Listener) reserve(memory wick.Bytes) wick.CloseCause {
	for l.isFull() {
		if !l.closeOne(wick.CloseFull) {
			return wick.CloseFull
		}
	}
	for !l.cfg.Memory.Take(memory) {
		if !l.closeOne(wick.CloseMemory) {
			return wick.CloseMemory
		}
	}
	return ""
}

func (l *Listener) isFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)+l.serving >= l.cfg.Connections
}

// closeOne closes the connection that matters least, and reports whether there was one.
func (l *Listener) closeOne(cause wick.CloseCause) bool {
	return l.closeVictim(cause, func() *Conn { return leastImportant(l.conns, l.now()) })
}

// closeVictim closes the connection that choose returns, and reports whether there was
// one. The connection is marked as closed while mu is still held, so that a request that
// is complete before is not cut, and one that is complete after is not run.
func (l *Listener) closeVictim(cause wick.CloseCause, choose func() *Conn) bool {
	l.mu.Lock()
	victim := choose()
	if victim == nil || !victim.release() {
		l.mu.Unlock()
		return false
	}
	l.mu.Unlock()
	_ = victim.closeReleased(true) // Nothing can be done about a failure.
	l.Report(cause)
	return true
}

func (l *Listener) now() int64 { return int64(time.Since(l.base)) }

// Report counts a connection that was closed, and logs the first of a cause in
// logInterval.
func (l *Listener) Report(cause wick.CloseCause) {
	l.cfg.Observer.ConnectionClosed(l.cfg.Name, cause)
	l.mu.Lock()
	l.since[cause]++
	count, open := l.since[cause], len(l.conns)
	// Ordinary connections become idle.
	isDue := cause != wick.CloseIdle && time.Since(l.logged[cause]) >= logInterval
	if isDue {
		l.logged[cause], l.since[cause] = time.Now(), 0
	}
	l.mu.Unlock()
	if isDue {
		l.cfg.Log.Warn("connections closed", "listener", l.cfg.Name, "cause", cause, "count", count, "open", open)
	}
}

// State follows the states of connections; it is for http.Server.ConnState.
func State(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive: // The head is complete, or was refused.
		c.serve()
	case http.StateIdle:
		c.wait()
	}
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// Context adds a connection to the context of its requests; it is for
// http.Server.ConnContext.
func Context(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// ResetOnClose sets whether the connection of a context is reset when it is closed or the
// process ends, so that the remote end does not mistake a truncated answer for a complete one.
func ResetOnClose(ctx context.Context, reset bool) error {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return errors.New("context has no accepted connection")
	}
	linger := -1 // The default: an orderly close after all data was sent.
	if reset {
		linger = 0
	}
	if err := c.SetLinger(linger); err != nil {
		return fmt.Errorf("set linger time: %w", err)
	}
	return nil
}

// IsRefused reports whether there is no room for the request of a context. It must be
// answered at once, and its connection closed.
func IsRefused(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return ok && c.refused.Load()
}

// phase is what happens on a connection.
type phase int32

const (
	// waiting is a connection that has not carried a request.
	waiting phase = iota
	// inHead is one on which a head arrives.
	inHead
	// idle is one between requests.
	idle
	// serving is one with a request.
	serving
)

// Conn is an accepted connection.
type Conn struct {
	*net.TCPConn
	listener *Listener
	remote   netip.Addr
	phase    atomic.Int32
	// since is when the phase began, and blocked when the write began that has not
	// ended; 0 if there is none. Both count from the listener's base.
	since, blocked atomic.Int64
	// head is the cost of the present head, and taken the part of it that was taken out
	// of the budget. Only the reading goroutine writes head.
	head  int64
	taken atomic.Int64
	// isServing is set while servingMemory is taken, and isClosed once all was returned;
	// the listener's mu guards both.
	isServing, isClosed bool
	// refused is set if there is no room for the present request, after which the
	// connection is closed.
	refused atomic.Bool
}

func (c *Conn) enter(p phase) {
	c.setPhase(p)
	c.setPhaseDeadline(p)
}

func (c *Conn) setPhase(p phase) {
	c.since.Store(c.listener.now())
	c.phase.Store(int32(p))
}

func (c *Conn) setPhaseDeadline(p phase) {
	if times := c.listener.cfg.Times; times != nil {
		t := times()
		var err error
		switch p {
		case waiting, idle:
			err = c.TCPConn.SetReadDeadline(time.Now().Add(t.Idle))
		case inHead:
			err = c.TCPConn.SetReadDeadline(time.Now().Add(t.Head))
		case serving:
			deadline := time.Time{}
			if !c.listener.cfg.Forwards {
				deadline = time.Now().Add(t.Head) // Bodies are discarded.
			}
			err = c.TCPConn.SetReadDeadline(deadline)
		}
		_ = err // It fails only on a closed connection, as does the next read.
	}
}

func (c *Conn) is(p phase) bool { return phase(c.phase.Load()) == p }

// SetReadDeadline implements net.Conn. net/http removes the deadline before each head,
// where this package sets it.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() && !c.is(serving) && c.listener.cfg.Times != nil {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Read implements net.Conn. It counts the bytes of heads.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.is(serving) || c.listener.cfg.Times == nil {
		return n, err
	}
	if n > 0 {
		if !c.is(inHead) {
			c.enter(inHead)
		}
		if !c.count(p[:n]) {
			_ = c.Close() // Nothing can be done about a failure.
			c.listener.Report(wick.CloseMemory)
			return 0, net.ErrClosed
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		cause := wick.CloseIdle
		if c.is(inHead) {
			cause = wick.CloseHead
		}
		c.listener.Report(cause)
	}
	return n, err
}

// count adds the cost of bytes of a head, and returns false if there is no memory for it.
func (c *Conn) count(p []byte) bool {
	lines := bytes.Count(p, newline)
	c.head += int64(byteCost*len(p) + lineCost*lines)
	more := c.head - smallHead - c.taken.Load()
	if more <= 0 {
		return true
	}
	for !c.listener.cfg.Heads.Take(wick.Bytes(more)) {
		if !c.listener.closeHead(c) {
			return false
		}
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.isClosed {
		c.listener.cfg.Heads.Give(wick.Bytes(more))
		return false
	}
	c.taken.Add(more)
	return true
}

// closeHead closes the connection that largestHead returns, and reports whether this was
// another one than c.
func (l *Listener) closeHead(c *Conn) bool {
	return l.closeVictim(wick.CloseMemory, func() *Conn {
		if victim := largestHead(l.conns); victim != c {
			return victim
		}
		return nil
	})
}

// serve begins a request. It is marked as refused if there is no room for it, or if the
// connection was closed for another one while the head arrived.
func (c *Conn) serve() {
	l := c.listener
	l.mu.Lock()
	if c.isClosed {
		l.mu.Unlock()
		c.refused.Store(true)
		return
	}
	c.setPhase(serving)
	l.mu.Unlock()
	c.setPhaseDeadline(serving)
	if !l.cfg.Forwards {
		return
	}
	if cause := l.reserve(servingMemory); cause != "" {
		c.refused.Store(true)
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(refusalTime)) // What is left of the request is discarded.
		l.Report(cause)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.isClosed {
		l.cfg.Memory.Give(servingMemory)
		return
	}
	c.isServing = true
	l.serving++
}

// wait ends a request.
func (c *Conn) wait() {
	c.listener.mu.Lock()
	c.endServing()
	c.listener.mu.Unlock()
	c.head = 0
	c.listener.cfg.Heads.Give(wick.Bytes(c.taken.Swap(0)))
	c.enter(idle)
}

// endServing returns what a request has taken; the listener's mu is held.
func (c *Conn) endServing() {
	if c.isServing {
		c.isServing = false
		c.listener.serving--
		c.listener.cfg.Memory.Give(servingMemory)
	}
}

// Established marks a connection whose remote end has shown what it is, for protocols
// without heads. It is not closed to make room for others.
func (c *Conn) Established() { c.enter(serving) }

// ReadFrom implements io.ReaderFrom, which net/http prefers to Write. That of net.TCPConn
// would write without a deadline, or with that of an earlier write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	n, err := io.Copy(struct{ io.Writer }{c}, r)
	if err != nil {
		return n, fmt.Errorf("copy to connection: %w", err)
	}
	return n, nil
}

// Write implements net.Conn. A write fails if the remote end does not read.
func (c *Conn) Write(p []byte) (int, error) {
	times := c.listener.cfg.Times
	if times == nil {
		return c.TCPConn.Write(p)
	}
	limit := times().Idle + time.Duration(len(p))*time.Second/minWriteRate
	if err := c.TCPConn.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return 0, err
	}
	n := 0
	var err error
	for err == nil && n < len(p) {
		c.blocked.Store(c.listener.now())
		var k int
		k, err = c.TCPConn.Write(p[n:min(n+writeStep, len(p))])
		n += k
	}
	c.blocked.Store(0)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.Report(wick.CloseAnswer)
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	isFirst := c.release()
	c.listener.mu.Unlock()
	if !isFirst {
		return nil
	}
	return c.closeReleased(false)
}

// release marks the connection as closed and returns its place. It returns false if this
// was done before. The listener's mu is held.
func (c *Conn) release() bool {
	if c.isClosed {
		return false
	}
	c.isClosed = true
	c.endServing()
	delete(c.listener.conns, c)
	return true
}

// closeReleased closes a connection after release and returns its memory. Unsent bytes of
// an answer, which the kernel would keep otherwise, are dropped if discard is set.
func (c *Conn) closeReleased(discard bool) error {
	if discard && c.is(serving) {
		_ = c.SetLinger(0) // Without it, the close takes longer.
	}
	c.listener.cfg.Memory.Give(connMemory)
	c.listener.cfg.Heads.Give(wick.Bytes(c.taken.Swap(0)))
	return c.TCPConn.Close()
}
