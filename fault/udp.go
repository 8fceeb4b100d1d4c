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

// Times and sizes of a UDP link.
const (
	maxDatagram       = 64 << 10
	flowIdleTimeout   = 60 * time.Second
	socketBufferBytes = 1 << 20
)

// udpLink forwards datagrams, with one flow for each source address.
type udpLink struct {
	faults *faults
	conn   *net.UDPConn
	group  *errgroup.Group

	mu     sync.Mutex
	closed bool
	flows  map[netip.AddrPort]*flow
}

// flow is the socket that forwards one sender's datagrams to the target.
type flow struct {
	target *net.UDPConn
	silent atomic.Bool
}

func openUDP(addr wick.Address, s *faults, group *errgroup.Group) (activeLink, error) {
	at, err := netip.ParseAddrPort(string(addr))
	if err != nil {
		return nil, fmt.Errorf("address: %w", err)
	}
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	_ = c.SetReadBuffer(socketBufferBytes)
	l := &udpLink{faults: s, conn: c, group: group, flows: map[netip.AddrPort]*flow{}}
	group.Go(l.forwardRequests)
	return l, nil
}

func (l *udpLink) address() wick.Address { return wick.Address(l.conn.LocalAddr().String()) }

// forwardRequests forwards datagrams from senders to the target.
func (l *udpLink) forwardRequests() error {
	buf := make([]byte, maxDatagram)
	for {
		n, sender, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // An ICMP error for a datagram sent earlier, whose receiver is down.
		}
		f := l.flow(sender)
		if f == nil || f.silent.Load() {
			continue
		}
		l.forward(buf[:n], func(b []byte) { _, _ = f.target.Write(b) })
	}
}

// forward sends a datagram with the copies and the delay that the faults demand.
func (l *udpLink) forward(data []byte, send func([]byte)) {
	_, delay, _ := l.faults.current()
	for range l.faults.drawCopies() {
		if delay <= 0 {
			send(data)
			continue
		}
		delayed := append([]byte(nil), data...)
		time.AfterFunc(delay, func() { send(delayed) })
	}
}

// flow returns the flow of a sender and creates it if needed. It returns nil if
// the link is closed or can't reach the target.
func (l *udpLink) flow(sender netip.AddrPort) *flow {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f, ok := l.flows[sender]; ok {
		return f
	}
	if l.closed {
		return nil
	}
	targetAddr, err := netip.ParseAddrPort(l.faults.targetAddr())
	if err != nil {
		return nil
	}
	target, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(targetAddr))
	if err != nil {
		return nil
	}
	_ = target.SetReadBuffer(socketBufferBytes)
	f := &flow{target: target}
	l.flows[sender] = f
	l.group.Go(func() error {
		l.forwardReplies(sender, f)
		return nil
	})
	return f
}

// forwardReplies forwards datagrams from the target back to a sender until the
// flow is idle.
func (l *udpLink) forwardReplies(sender netip.AddrPort, f *flow) {
	defer l.closeFlow(sender, f)
	buf := make([]byte, maxDatagram)
	for {
		_ = f.target.SetReadDeadline(time.Now().Add(flowIdleTimeout))
		n, err := f.target.Read(buf)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil || f.silent.Load() {
			continue
		}
		l.forward(buf[:n], func(b []byte) { _, _ = l.conn.WriteToUDPAddrPort(b, sender) })
	}
}

func (l *udpLink) closeFlow(sender netip.AddrPort, f *flow) {
	_ = f.target.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.flows[sender] == f {
		delete(l.flows, sender)
	}
}

// reset closes all flows; UDP has no connections to reset.
func (l *udpLink) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.flows {
		_ = f.target.Close()
	}
	clear(l.flows)
}

// setRefusing does nothing: drawCopies already drops the datagrams of a cut
// link.
func (l *udpLink) setRefusing(bool) error { return nil }

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
