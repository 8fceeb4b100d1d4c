// Package fault is a small TCP and UDP proxy that injects faults into single
// links between the processes of a test: refused connections, delay, loss,
// duplication, and open connections that become silent while new ones work.
package fault

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"currantwick"
	"currantwick/codec"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// LinkName names a link of a proxy.
type LinkName string

// Network is the transport of a link.
type Network string

// The transports.
const (
	TCP Network = "TCP"
	UDP Network = "UDP"
)

// Mode is what a link does with traffic.
type Mode string

// The modes of links.
const (
	// Pass forwards traffic.
	Pass Mode = "Pass"
	// Cut resets connections and refuses new ones; datagrams are dropped.
	Cut Mode = "Cut"
	// Blackhole accepts connections and forwards nothing; bytes read in this
	// mode are forwarded when the mode changes. Datagrams are dropped.
	Blackhole Mode = "Blackhole"
	// HoldTo forwards nothing to the target, and HoldFrom nothing from it.
	// Datagrams are forwarded.
	HoldTo   Mode = "HoldTo"
	HoldFrom Mode = "HoldFrom"
)

// Link is one proxied address.
type Link struct {
	Name    LinkName `json:"Name"`
	Network Network  `json:"Network"`
	// Listen is where the link accepts traffic; port 0 picks a free port.
	Listen wick.Address `json:"Listen"`
	// Target is where the link forwards traffic to.
	Target wick.Address `json:"Target"`
}

// Config configures a Proxy.
type Config struct {
	// Control is where the proxy accepts Control messages over HTTP; empty
	// for none.
	Control wick.Address `json:"Control,omitempty"`
	Links   []Link       `json:"Links"`
	// Seed makes loss and duplication reproducible.
	Seed uint64 `json:"Seed,omitempty"`
}

// Check implements wick.Checker.
func (c Config) Check() error {
	seen := map[LinkName]bool{}
	for _, l := range c.Links {
		if l.Network != TCP && l.Network != UDP {
			return fmt.Errorf("link %s: Network: %q is neither TCP nor UDP", l.Name, string(l.Network))
		}
		if err := errors.Join(l.Listen.Check(), l.Target.Check()); err != nil {
			return fmt.Errorf("link %s: %w", l.Name, err)
		}
		if seen[l.Name] {
			return fmt.Errorf("link %s: Name: used by another link", l.Name)
		}
		seen[l.Name] = true
	}
	return nil
}

// Control sets the faults of links. Fields that are not set change nothing.
type Control struct {
	// Links names the affected links; empty for all.
	Links []LinkName `json:"Links,omitempty"`
	Mode  Mode       `json:"Mode,omitempty"`
	// Silence makes all currently open connections permanently silent.
	// For UDP a connection is the flow from one source address; traffic from
	// another address is a new flow.
	Silence bool `json:"Silence,omitempty"`
	// Reset resets all currently open connections.
	Reset bool `json:"Reset,omitempty"`
	// Delay delays traffic in each direction.
	Delay *wick.Duration `json:"Delay,omitempty"`
	// Loss is the ratio of datagrams that are dropped, and Duplicate that of the
	// others that are sent twice; both from 0 to 1.
	Loss      *float64 `json:"Loss,omitempty"`
	Duplicate *float64 `json:"Duplicate,omitempty"`
	// Target changes the link's target; open connections keep the old one.
	Target wick.Address `json:"Target,omitempty"`
}

// Check implements wick.Checker.
func (c Control) Check() error {
	switch c.Mode {
	case "", Pass, Cut, Blackhole, HoldTo, HoldFrom:
		return nil
	}
	return fmt.Errorf("Mode: %q is no mode", string(c.Mode))
}

// Addresses holds where a proxy listens.
type Addresses struct {
	Control wick.Address              `json:"Control,omitempty"`
	Links   map[LinkName]wick.Address `json:"Links"`
}

// activeLink is the running side of a Link.
type activeLink interface {
	address() wick.Address
	// reset closes all open connections; silence makes them silent.
	reset()
	silence()
	// setRefusing makes the link refuse new connections or accept them again.
	setRefusing(bool) error
	close()
}

// Proxy runs a set of links.
type Proxy struct {
	group      errgroup.Group
	linkFaults map[LinkName]*faults
	links      map[LinkName]activeLink
	server     *fasthttp.Server
	ln         net.Listener // of the server
}

// Start starts all links, or none.
func Start(cfg Config) (*Proxy, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{linkFaults: map[LinkName]*faults{}, links: map[LinkName]activeLink{}}
	for i, l := range cfg.Links {
		s := newFaults(l.Target, cfg.Seed+uint64(i))
		c, err := p.open(l, s)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("link %s: %w", l.Name, err), p.Close())
		}
		p.linkFaults[l.Name] = s
		p.links[l.Name] = c
	}
	if cfg.Control != "" {
		if err := p.serve(cfg.Control); err != nil {
			return nil, errors.Join(fmt.Errorf("control: %w", err), p.Close())
		}
	}
	return p, nil
}

func (p *Proxy) open(l Link, s *faults) (activeLink, error) {
	if l.Network == UDP {
		return openUDP(l.Listen, s, &p.group)
	}
	return openTCP(l.Listen, s, &p.group)
}

// Addresses returns where the proxy listens.
func (p *Proxy) Addresses() Addresses {
	a := Addresses{Links: map[LinkName]wick.Address{}}
	if p.ln != nil {
		a.Control = wick.Address(p.ln.Addr().String())
	}
	for name, c := range p.links {
		a.Links[name] = c.address()
	}
	return a
}

// Address returns where a link listens.
func (p *Proxy) Address(name LinkName) wick.Address { return p.links[name].address() }

// Set sets faults.
func (p *Proxy) Set(c Control) error {
	if err := c.Check(); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	names := c.Links
	if len(names) == 0 {
		for name := range p.links {
			names = append(names, name)
		}
	}
	for _, name := range names {
		l, ok := p.links[name]
		if !ok {
			return fmt.Errorf("control: no link %s", name)
		}
		p.linkFaults[name].set(c)
		if c.Silence {
			l.silence()
		}
		if c.Mode != "" {
			if err := l.setRefusing(c.Mode == Cut); err != nil {
				return fmt.Errorf("link %s: %w", name, err)
			}
		}
		if c.Reset || c.Mode == Cut {
			l.reset()
		}
	}
	return nil
}

// Close stops the proxy and drops all connections.
func (p *Proxy) Close() error {
	if p.server != nil {
		// Both are needed, and errors are ignored: a server that has not started
		// to serve doesn't know its listener, and one that has reports an error
		// if the listener is already closed.
		_ = p.ln.Close()
		_ = p.server.Shutdown()
	}
	for _, l := range p.links {
		l.close()
	}
	return p.group.Wait()
}

// controlIdleTimeout closes idle control connections, so that the proxy can
// stop.
const controlIdleTimeout = time.Second

func (p *Proxy) serve(addr wick.Address) error {
	ln, err := listenTCP(addr)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	p.ln = ln
	p.server = &fasthttp.Server{Handler: p.handle, IdleTimeout: controlIdleTimeout, CloseOnShutdown: true}
	p.group.Go(func() error {
		_ = p.server.Serve(ln) // It returns when the proxy closes ln.
		return nil
	})
	return nil
}

func (p *Proxy) handle(ctx *fasthttp.RequestCtx) {
	var c Control
	err := codec.DecodeJSON(ctx.PostBody(), &c)
	if err == nil {
		err = p.Set(c)
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

// faults holds the active faults of one link. The link's goroutines share it.
type faults struct {
	mu        sync.Mutex
	target    wick.Address
	mode      Mode
	delay     time.Duration
	loss      float64
	duplicate float64
	rand      *rand.Rand
	// changed is closed, and replaced, each time the mode is set.
	changed chan struct{}
}

func newFaults(target wick.Address, seed uint64) *faults {
	return &faults{
		target:  target,
		mode:    Pass,
		rand:    rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

func (s *faults) set(c Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Mode != "" {
		s.mode = c.Mode
		close(s.changed)
		s.changed = make(chan struct{})
	}
	if c.Delay != nil {
		s.delay = c.Delay.Std()
	}
	if c.Loss != nil {
		s.loss = *c.Loss
	}
	if c.Duplicate != nil {
		s.duplicate = *c.Duplicate
	}
	if c.Target != "" {
		s.target = c.Target
	}
}

// current returns the faults that apply to the next data. The channel closes
// when the mode is set again.
func (s *faults) current() (mode Mode, delay time.Duration, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode, s.delay, s.changed
}

func (s *faults) targetAddr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.target)
}

// drawCopies draws how many copies of the next datagram are forwarded.
func (s *faults) drawCopies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.mode == Cut, s.mode == Blackhole, s.rand.Float64() < s.loss:
		return 0
	case s.rand.Float64() < s.duplicate:
		return 2
	}
	return 1
}
