package fault

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"currantwick"

	"golang.org/x/sync/errgroup"
)

// Times and sizes of a TCP link.
const (
	dialTimeout = 2 * time.Second
	bufferBytes = 32 << 10
	// probeInterval is the time between checks of a target that refused.
	probeInterval = 10 * time.Millisecond
)

func listenTCP(addr wick.Address) (net.Listener, error) {
	ln, err := net.Listen("tcp", string(addr))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}

// tcpLink forwards TCP connections.
type tcpLink struct {
	faults *faults
	addr   wick.Address
	group  *errgroup.Group
	done   chan struct{} // closed by close

	mu sync.Mutex
	ln net.Listener // nil while the link refuses connections
	// cut is set when the mode refuses connections, and down when the target
	// does.
	cut, down bool
	closed    bool
	pairs     map[*pair]struct{}
}

func openTCP(addr wick.Address, s *faults, group *errgroup.Group) (activeLink, error) {
	ln, err := listenTCP(addr)
	if err != nil {
		return nil, fmt.Errorf("open link: %w", err)
	}
	l := &tcpLink{faults: s, addr: wick.Address(ln.Addr().String()), group: group, done: make(chan struct{})}
	l.pairs = map[*pair]struct{}{}
	l.acceptFrom(ln)
	return l, nil
}

func (l *tcpLink) address() wick.Address { return l.addr }

// acceptFrom makes ln the link's listener, and forwards its connections until it
// closes.
func (l *tcpLink) acceptFrom(ln net.Listener) {
	l.ln = ln
	l.group.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil // The listener is closed.
			}
			l.group.Go(func() error {
				l.forward(c)
				return nil
			})
		}
	})
}

func (l *tcpLink) setRefusing(on bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = on
	return l.updateListener()
}

// updateListener opens or closes the listener according to the faults and the
// state of the target; l.mu is held.
func (l *tcpLink) updateListener() error {
	open := !l.cut && !l.down && !l.closed
	if open == (l.ln != nil) {
		return nil
	}
	if !open {
		_ = l.ln.Close()
		l.ln = nil
		return nil
	}
	ln, err := listenTCP(l.addr)
	if err != nil {
		return fmt.Errorf("open link again: %w", err)
	}
	l.acceptFrom(ln)
	return nil
}

// mirrorRefusal refuses connections while the target does, so clients see what
// they would see without the proxy.
func (l *tcpLink) mirrorRefusal() {
	l.mu.Lock()
	if l.down || l.closed {
		l.mu.Unlock()
		return
	}
	l.down = true
	_ = l.updateListener() // It only closes here.
	l.mu.Unlock()
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-t.C:
		}
		if c, err := net.DialTimeout("tcp", l.faults.targetAddr(), dialTimeout); err == nil {
			_ = c.Close()
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
	_ = l.updateListener() // If the port is in use by now, the link keeps refusing.
}

// forward connects a client to the target until both directions have ended or
// one has failed.
func (l *tcpLink) forward(client net.Conn) {
	target, err := net.DialTimeout("tcp", l.faults.targetAddr(), dialTimeout)
	if err != nil {
		abort(client)
		l.mirrorRefusal()
		return
	}
	p := &pair{faults: l.faults, client: client, target: target, done: make(chan struct{})}
	l.addPair(p)
	var both errgroup.Group
	both.Go(func() error { return p.copy(target, client, HoldTo) })
	both.Go(func() error { return p.copy(client, target, HoldFrom) })
	copyErr := both.Wait()
	p.abort()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
	if copyErr != nil {
		l.checkTarget()
	}
}

// checkTarget tests whether the target still accepts connections after one has
// broken.
func (l *tcpLink) checkTarget() {
	c, err := net.DialTimeout("tcp", l.faults.targetAddr(), dialTimeout)
	if err != nil {
		l.mirrorRefusal()
		return
	}
	_ = c.Close()
}

// addPair registers a pair for later faults. It aborts the pair if the link has
// been cut or closed in the meantime.
func (l *tcpLink) addPair(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pairs[p] = struct{}{}
	if mode, _, _ := l.faults.current(); mode == Cut || l.closed {
		p.abort()
	}
}

func (l *tcpLink) forEach(do func(*pair)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		do(p)
	}
}

func (l *tcpLink) reset() { l.forEach((*pair).abort) }

func (l *tcpLink) silence() { l.forEach(func(p *pair) { p.silent.Store(true) }) }

func (l *tcpLink) close() {
	l.mu.Lock()
	if !l.closed {
		close(l.done)
	}
	l.closed = true
	_ = l.updateListener() // It only closes here.
	l.mu.Unlock()
	l.reset()
}

// pair is a proxied connection: the client's and the one to the target.
type pair struct {
	faults         *faults
	client, target net.Conn
	silent         atomic.Bool
	once           sync.Once
	done           chan struct{}
}

// copy forwards bytes in one direction subject to the faults; held is the mode
// that stops this direction. The end of the stream is forwarded; any other
// error resets both sides.
func (p *pair) copy(dst, src net.Conn, held Mode) error {
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if !p.waitToForward(held) {
			return nil
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				p.abort()
				return fmt.Errorf("write: %w", err)
			}
		}
		if err != nil {
			return p.closeWrite(dst, err)
		}
	}
}

// waitToForward waits until the next bytes may be forwarded, and reports whether
// the connection may still forward. A silent connection notices no reset by its
// peers, so it waits until the proxy aborts it.
func (p *pair) waitToForward(held Mode) bool {
	for {
		if p.silent.Load() {
			<-p.done
			return false
		}
		mode, delay, changed := p.faults.current()
		if mode != Blackhole && mode != held {
			return p.sleep(delay) && !p.silent.Load()
		}
		select {
		case <-changed:
		case <-p.done:
			return false
		}
	}
}

func (p *pair) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.done:
		return false
	}
}

func (p *pair) abort() {
	p.once.Do(func() {
		close(p.done)
		abort(p.client)
		abort(p.target)
	})
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// closeWrite forwards the end of one direction.
func (p *pair) closeWrite(dst net.Conn, err error) error {
	tc, ok := dst.(*net.TCPConn)
	if !ok || !errors.Is(err, io.EOF) {
		p.abort()
		return fmt.Errorf("read: %w", err)
	}
	if err := tc.CloseWrite(); err != nil {
		p.abort()
		return fmt.Errorf("end: %w", err)
	}
	return nil
}
