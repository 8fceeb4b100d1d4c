package conns

import (
	"context"
	"slices"
	"sync"
	"time"

	"currantwick"
)

const (
	// maxDials bounds the connections to one address that are being opened at once,
	// where its connections are bounded.
	maxDials = 2
	// defaultConnWait is about the time that a plain service takes for a request (15 to
	// 60 ms), in which one of several connections becomes free.
	defaultConnWait = 50 * time.Millisecond
)

// bounds counts the open connections by address and lets requests wait for one where
// they are bounded. It is safe for concurrent use; Pool.mu may be held, but is never
// taken.
type bounds struct {
	mu        sync.Mutex
	byAddress map[wick.Address]*bound
}

// bound is the connections to one address.
type bound struct {
	// open counts the connections that are open or being opened, dialing the latter.
	open, dialing int
	// waiting are the requests that wait, the oldest first.
	waiting []*waiter
}

// waiter is a request that waits for a connection.
type waiter struct {
	req *Request
	// granted receives the connection, or nil for the permission to open one.
	granted chan *conn
}

// of returns the bound of an address; b.mu must be held.
func (b *bounds) of(addr wick.Address) *bound {
	a := b.byAddress[addr]
	if a == nil {
		a = new(bound)
		b.byAddress[addr] = a
	}
	return a
}

// mayDial reports whether a request may open a connection.
func (a *bound) mayDial(req *Request) bool {
	return req.MaxOpen <= 0 || a.open < req.MaxOpen && a.dialing < maxDials
}

// dialing counts a new connection if a request may open one, or in any case if force is
// set. Otherwise it returns a waiter.
func (b *bounds) dialing(addr wick.Address, req *Request, force bool) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.of(addr)
	if force || len(a.waiting) == 0 && a.mayDial(req) {
		a.open++
		a.dialing++
		return nil
	}
	w := &waiter{req: req, granted: make(chan *conn, 1)}
	a.waiting = append(a.waiting, w)
	return w
}

// dialed ends the opening of a connection.
func (b *bounds) dialed(addr wick.Address, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.of(addr)
	a.dialing--
	if !ok {
		a.open--
	}
	b.grant(addr, a)
}

// closed counts a connection that was closed.
func (b *bounds) closed(addr wick.Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.of(addr)
	a.open--
	b.grant(addr, a)
}

// grant lets waiting requests open connections.
func (b *bounds) grant(addr wick.Address, a *bound) {
	for len(a.waiting) > 0 && a.mayDial(a.waiting[0].req) {
		a.open++
		a.dialing++
		a.waiting[0].granted <- nil
		a.waiting = a.waiting[1:]
	}
	if a.open == 0 && len(a.waiting) == 0 {
		delete(b.byAddress, addr)
	}
}

// hand passes a connection to the oldest request that waits for one and may use it. It
// reports whether there was one.
func (b *bounds) hand(c *conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.of(c.addr)
	i := slices.IndexFunc(a.waiting, func(w *waiter) bool { return c.fits(w.req) })
	if i < 0 {
		return false
	}
	a.waiting[i].granted <- c
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return true
}

// excess reports whether an address has more connections than it may have.
func (b *bounds) excess(addr wick.Address, most int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return most > 0 && b.of(addr).open > most
}

// leave removes a waiter. It returns false if the waiter was granted something.
func (b *bounds) leave(addr wick.Address, w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.of(addr)
	i := slices.Index(a.waiting, w)
	if i >= 0 {
		a.waiting = slices.Delete(a.waiting, i, i+1)
	}
	b.grant(addr, a)
	return i >= 0
}

// fits reports whether a connection may carry a request.
func (c *conn) fits(req *Request) bool {
	return req.Echo.Name == "" || !c.carried.has(req.Echo.Value)
}

// connect returns an idle connection for a request or opens one. Where the connections
// are bounded and there are enough, it waits for one to become free. A request that has
// waited for ConnWait opens one beyond the bound, since it must not fail for want of it.
func (p *Pool) connect(ctx context.Context, addr wick.Address, req *Request) (*conn, error) {
	if c := p.takeIdle(addr, req); c != nil {
		return c, nil
	}
	w := p.bounds.dialing(addr, req, false)
	if w == nil {
		return p.dial(ctx, addr)
	}
	// One may have become free meanwhile, or an idle one may not fit the request.
	if c := p.takeIdle(addr, req); c != nil {
		p.abandon(addr, w)
		return c, nil
	}
	p.closeUnfit(addr)
	p.limited(false)
	timer := time.NewTimer(p.cfg.ConnWait)
	defer timer.Stop()
	select {
	case c := <-w.granted:
		return p.use(ctx, addr, c)
	case <-timer.C:
		if !p.bounds.leave(addr, w) {
			return p.use(ctx, addr, <-w.granted)
		}
		p.limited(true)
		p.bounds.dialing(addr, req, true)
		return p.dial(ctx, addr)
	case <-ctx.Done():
		p.abandon(addr, w)
		return nil, context.Cause(ctx)
	}
}

// use returns a granted connection, or opens one if it has been closed meanwhile.
func (p *Pool) use(ctx context.Context, addr wick.Address, c *conn) (*conn, error) {
	if c == nil {
		return p.dial(ctx, addr)
	}
	if c.isIdle() {
		return c, nil
	}
	p.bounds.dialing(addr, &Request{}, true)
	c.close()
	return p.dial(ctx, addr)
}

// abandon gives up a waiter with what it may have been granted.
func (p *Pool) abandon(addr wick.Address, w *waiter) {
	if p.bounds.leave(addr, w) {
		return
	}
	if c := <-w.granted; c != nil {
		p.put(c)
	} else {
		p.bounds.dialed(addr, false)
	}
}

// closeUnfit closes the idle connection to an address that was used least recently, so
// that another one may be opened.
func (p *Pool) closeUnfit(addr wick.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[addr]; len(list) > 0 {
		c := list[0]
		p.idle[addr] = slices.Delete(list, 0, 1)
		c.close()
	}
}

func (p *Pool) limited(over bool) {
	if p.cfg.OnLimited != nil {
		p.cfg.OnLimited(over)
	}
}
