package fault

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"currantwick"

	"golang.org/x/sync/errgroup"
)

// Bounds of a UDP link.
const (
	maxDatagram = 64 << 10
	flowIdle    = 60 * time.Second
	socketBytes = 1 << 20
)

// udpLink carries datagrams, one flow for each address they come from.
type udpLink struct {
	state *state
	conn  *net.UDPConn
	group *errgroup.Group

	mu     sync.Mutex
	closed bool
	flows  map[netip.AddrPort]*flow
}

// flow is the way of one sender to the target.
type flow struct {
	far    *net.UDPConn
	silent atomic.Bool
}

func openUDP(addr wick.Address, s *state, group *errgroup.Group) (carrier, error) {
	at, err := netip.ParseAddrPort(string(addr))
	if err != nil {
		return nil, fmt.Errorf("address: %w", err)
	}
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	_ = c.SetReadBuffer(socketBytes)
	l := &udpLink{state: s, conn: c, group: group, flows: map[netip.AddrPort]*flow{}}
	group.Go(l.receive)
	return l, nil
}

func (l *udpLink) address() wick.Address { return wick.Address(l.conn.LocalAddr().String()) }

// receive passes datagrams from senders to the target.
func (l *udpLink) receive() error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // A target that is down was reported for an earlier datagram.
		}
		f := l.flow(from)
		if f == nil || f.silent.Load() {
			continue
		}
		l.pass(buf[:n], func(b []byte) { _, _ = f.far.Write(b) })
	}
}

// pass sends a datagram on as often and as late as the faults say.
func (l *udpLink) pass(data []byte, send func([]byte)) {
	_, delay, _ := l.state.now()
	for range l.state.copies() {
		if delay <= 0 {
			send(data)
			continue
		}
		late := append([]byte(nil), data...)
		time.AfterFunc(delay, func() { send(late) })
	}
}

// flow returns the flow of a sender, new if need be, or nil if there can be
// none now.
func (l *udpLink) flow(from netip.AddrPort) *flow {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f, ok := l.flows[from]; ok {
		return f
	}
	if l.closed {
		return nil
	}
	to, err := netip.ParseAddrPort(l.state.to())
	if err != nil {
		return nil
	}
	far, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		return nil
	}
	_ = far.SetReadBuffer(socketBytes)
	f := &flow{far: far}
	l.flows[from] = f
	l.group.Go(func() error {
		l.answer(from, f)
		return nil
	})
	return f
}

// answer passes datagrams from the target back to a sender, until the flow is
// idle.
func (l *udpLink) answer(to netip.AddrPort, f *flow) {
	defer l.drop(to, f)
	buf := make([]byte, maxDatagram)
	for {
		_ = f.far.SetReadDeadline(time.Now().Add(flowIdle))
		n, err := f.far.Read(buf)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil || f.silent.Load() {
			continue
		}
		l.pass(buf[:n], func(b []byte) { _, _ = l.conn.WriteToUDPAddrPort(b, to) })
	}
}

func (l *udpLink) drop(from netip.AddrPort, f *flow) {
	_ = f.far.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.flows[from] == f {
		delete(l.flows, from)
	}
}

// reset forgets all flows; datagrams have no connections to reset.
func (l *udpLink) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.flows {
		_ = f.far.Close()
	}
	clear(l.flows)
}

// refuse does nothing: the state drops datagrams already.
func (l *udpLink) refuse(bool) error { return nil }

func (l *udpLink) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.flows {
		f.silent.Store(true)
	}
}

func (l *udpLink) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.conn.Close()
	l.reset()
}
