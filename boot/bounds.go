package boot

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"currantwick"
	"currantwick/accept"
	"currantwick/conns"
	"currantwick/tally"

	"golang.org/x/sys/unix"
)

// Names of the listeners whose connections are not like those of the others.
const (
	callerListener = "callers"
	linkListener   = "links"
)

const (
	// memoryShare is the share of the process's memory that accepted connections, the
	// heads and bodies of requests, and large messages of links take together. What else
	// a process needs takes 20 to 30 MB and the garbage of the collector's cycle.
	memoryShare = 0.5
	// The shares of the process's memory that a use leaves to those after it: bodies,
	// then connections, then heads that are not small. Links take the last.
	bodiesLeave      = 0.1
	connectionsLeave = 0.05
	// othersLeave is what connections to listeners that are not for callers leave. It is
	// less than connectionsLeave, so that connections of callers don't take the memory
	// of links and readiness checks. These are at most 384 and 48 connections on the
	// smallest host.
	othersLeave = 0.01
	headsLeave  = 0.02

	// The shares of the descriptors that connections may take. At 3,075 descriptors
	// callers have 2,306, of which each request that is served takes one for its
	// endpoint, and links 384, for deployments of up to 300 daemons. The rest is for
	// files, idle connections to endpoints, and connections that are being closed: with
	// 0.8 for callers, a process beside other load had 487 of 512 descriptors open.
	callerShare = 0.75
	linkShare   = 0.125
	otherShare  = 1.0 / 64
	// minOther is the least number of connections to a listener that is not for callers.
	minOther = 8

	// Times of deployments whose configuration has none, and the time that a header may
	// take beyond the configured one, for delays of the network.
	defaultHeaderTime = 10 * time.Second
	defaultIdleTime   = time.Minute
	headerMargin      = 500 * time.Millisecond
	// refusedRetryAfter is when callers may come back whose request there was no room
	// for, in seconds: a few times the duration of a short request.
	refusedRetryAfter = "0.5"
)

// maxUnsent bounds what the kernel keeps of an answer that it can't send yet, of each
// connection; it takes up to 4 MiB otherwise.
const maxUnsent = 128 << 10

// setListenerOptions sets the options of a listener, which its connections inherit.
func setListenerOptions(network, address string, raw syscall.RawConn) error {
	if err := conns.SetSocketOptions(network, address, raw); err != nil {
		return fmt.Errorf("listener: %w", err)
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
	})
	if err := errors.Join(err, failed); err != nil {
		return fmt.Errorf("bound unsent bytes: %w", err)
	}
	return nil
}

// unobserved is a wick.ConnObserver that discards all events.
type unobserved struct{}

// ConnectionClosed implements wick.ConnObserver.
func (unobserved) ConnectionClosed(string, wick.CloseCause) {}

// bounds are the memory and the descriptors that listeners share.
type bounds struct {
	process wick.Bytes
	memory  *tally.Memory
	// descriptors is the number of descriptors that the process may open.
	descriptors int
}

func newBounds(d wick.DaemonConfig) (*bounds, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return nil, fmt.Errorf("read limit of descriptors: %w", err)
	}
	own := int(min(limit.Cur, 1<<20))
	return &bounds{
		process: d.Memory, memory: tally.NewMemory(portion(d.Memory, memoryShare)),
		descriptors: min(own, cmp.Or(d.Descriptors, own)),
	}, nil
}

func portion(n wick.Bytes, part float64) wick.Bytes { return wick.Bytes(float64(n) * part) }

func (b *bounds) bodies() wick.MemoryBudget { return b.memory.Leaving(portion(b.process, bodiesLeave)) }

// connections returns the number of connections that a listener may have.
func (b *bounds) connections(name string) int {
	part := otherShare
	switch name {
	case callerListener:
		part = callerShare
	case linkListener:
		part = linkShare
	}
	return max(int(float64(b.descriptors)*part), minOther)
}

// connectionMemory returns the budget for the connections of a listener.
func (b *bounds) connectionMemory(name string) wick.MemoryBudget {
	if name == callerListener {
		return b.memory.Leaving(portion(b.process, connectionsLeave))
	}
	return b.memory.Leaving(portion(b.process, othersLeave))
}

// bound bounds the connections of a listener.
func (g *Gateway) bound(l net.Listener, name string) net.Listener {
	cfg := accept.Config{
		Name: name, Connections: g.bounds.connections(name), Forwards: name == callerListener,
		Memory: g.bounds.connectionMemory(name),
		Heads:  g.bounds.memory.Leaving(portion(g.bounds.process, headsLeave)),
		Times:  g.times, Observer: g.cfg.Conns, Log: g.cfg.Log,
	}
	if name == linkListener {
		cfg.Times = nil
	}
	bounded := accept.New(l, cfg)
	if name == callerListener {
		g.callers = bounded
	}
	return bounded
}

// times returns the times of the present configuration.
func (g *Gateway) times() accept.Times {
	limits := g.server.Limits()
	t := accept.Times{Head: defaultHeaderTime, Idle: defaultIdleTime}
	if limits.HeaderTime > 0 {
		t.Head = limits.HeaderTime.Std() + headerMargin
	}
	if limits.IdleTime > 0 {
		t.Idle = limits.IdleTime.Std()
	}
	return t
}
