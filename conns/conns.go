// Package conns performs HTTP/1.1 exchanges over pooled TCP connections. A
// connection carries one exchange at a time, and no request twice. Requests are
// never retried: an error reports whether a byte was written, and the caller decides
// on retries.
package conns

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"currantwick"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout covers several round trips between zones, and is less than the
	// second that callers allow for their own connects.
	dialTimeout = 500 * time.Millisecond
	// defaultIdle is the maximum idle time of a connection, also used if the
	// remote end does not announce its idle timeout.
	defaultIdle = 3 * time.Second
	// idleMargin is how long before the remote end's idle timeout, which is
	// announced in whole seconds, a connection is dropped.
	idleMargin = time.Second
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as dead.
	unackedTimeout = 1500 * time.Millisecond
	// probeInterval and probeCount define the keep-alive probes on a connection
	// that receives nothing, so that a dead one is detected within three seconds.
	probeInterval = time.Second
	probeCount    = 2
	// defaultPerAddress bounds the idle connections to one address.
	defaultPerAddress = 16
)

// Config configures a Pool.
type Config struct {
	// PerAddress bounds the idle connections to one address; 16 by default.
	PerAddress int
	// ConnWait is how long a request waits for a connection to an address that has as
	// many as it may have; 50 ms by default.
	ConnWait time.Duration
	// OnOpen is called for each new connection; it may be nil.
	OnOpen func()
	// OnLimited is called for each request that waits for a connection because of its
	// MaxOpen, and again, with over set, if it opens one beyond that; it may be nil.
	OnLimited func(over bool)
}

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer net.Dialer
	// group runs writes of long bodies, concurrently with the reading of their
	// responses.
	group  errgroup.Group
	bounds bounds

	mu sync.Mutex
	// idle lists connections by address, the most recently used last.
	idle map[wick.Address][]*conn
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	if cfg.PerAddress <= 0 {
		cfg.PerAddress = defaultPerAddress
	}
	if cfg.ConnWait <= 0 {
		cfg.ConnWait = defaultConnWait
	}
	return &Pool{
		cfg:    cfg,
		dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: KeepAlive(), Control: SetSocketOptions},
		idle:   make(map[wick.Address][]*conn),
		bounds: bounds{byAddress: make(map[wick.Address]*bound)},
	}
}

// KeepAlive returns the keep-alive settings of all connections of a daemon.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}
}

// SetSocketOptions sets the options of all sockets of a daemon, for net.Dialer and
// net.ListenConfig.
func SetSocketOptions(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("reach socket: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("set user timeout: %w", failed)
	}
	return nil
}

// takeIdle returns an idle connection for a request that was used less than the
// request's MaxIdle ago and is still open, or nil if there is none.
func (p *Pool) takeIdle(addr wick.Address, req *Request) *conn {
	now := time.Now()
	for {
		c := p.pop(addr, req.Echo)
		if c == nil {
			return nil
		}
		if now.Before(c.expiresAt) && now.Sub(c.lastUsed) < req.MaxIdle && c.isIdle() {
			return c
		}
		c.close()
	}
}

// pop removes and returns the connection that was used last, of those that have not
// carried the identifier echo; nil if there is none.
func (p *Pool) pop(addr wick.Address, echo wick.HeaderField) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i, c := range slices.Backward(list) {
		if echo.Name == "" || !c.carried.has(echo.Value) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put adds an idle connection, gives it to a request that waits for it, or closes it if
// there are enough.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bounds.hand(c) {
		return
	}
	list := p.idle[c.addr]
	if len(list) >= p.cfg.PerAddress || p.bounds.excess(c.addr, c.maxOpen) {
		c.close()
		return
	}
	p.idle[c.addr] = append(list, c)
}

// Sweep closes the connections whose idle time has expired.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		clear(list[len(kept):])
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr wick.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.close()
	}
	delete(p.idle, addr)
}

// Check opens a new connection and closes it, to see whether anything accepts
// connections at an address.
func (p *Pool) Check(ctx context.Context, addr wick.Address) error {
	nc, err := p.dialer.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	return nc.Close()
}

// dial opens a new connection, which p.bounds has counted.
func (p *Pool) dial(ctx context.Context, addr wick.Address) (*conn, error) {
	c, err := p.open(ctx, addr)
	p.bounds.dialed(addr, err == nil)
	return c, err
}

func (p *Pool) open(ctx context.Context, addr wick.Address) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	if p.cfg.OnOpen != nil {
		p.cfg.OnOpen()
	}
	return newConn(p, addr, nc)
}
