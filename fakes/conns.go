package fakes

import (
	"fmt"
	"net"

	"currantwick"

	"golang.org/x/sync/errgroup"
)

// ConnObserver is a wick.ConnObserver that discards all events.
type ConnObserver struct{}

var _ wick.ConnObserver = ConnObserver{}

// ConnectionClosed implements wick.ConnObserver.
func (ConnObserver) ConnectionClosed(string, wick.CloseCause) {}

// ConnServer is a TCP server whose connections are handled by a function, for answers that
// no HTTP library sends.
type ConnServer struct {
	listener net.Listener
	group    errgroup.Group
}

// StartConnServer starts a server on a free port of the loopback interface. Each connection
// is handled in a goroutine of its own and closed afterwards.
func StartConnServer(handle func(net.Conn)) (*ConnServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &ConnServer{listener: l}
	s.group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil // The server was closed.
			}
			s.group.Go(func() error {
				defer c.Close()
				handle(c)
				return nil
			})
		}
	})
	return s, nil
}

// Address returns the address that the server listens on.
func (s *ConnServer) Address() wick.Address { return wick.Address(s.listener.Addr().String()) }

// Close accepts no more connections and waits until all were handled.
func (s *ConnServer) Close() error {
	err := s.listener.Close()
	_ = s.group.Wait() // Its functions return no errors.
	if err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}
