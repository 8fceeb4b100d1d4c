package conns

import (
	"bufio"
	"fmt"
	"net"
	"syscall"
	"time"

	"currantwick"
)

// readBuffer holds the head of an answer and some events of a stream.
const readBuffer = 4 << 10

// conn is one connection.
type conn struct {
	pool *Pool
	addr wick.Address
	net  net.Conn
	raw  syscall.RawConn
	read *bufio.Reader
	// used is when the last exchange ended, and until when the connection may
	// stay idle.
	used, until time.Time
	// reused tells that an exchange was done before.
	reused bool
}

func newConn(p *Pool, addr wick.Address, nc net.Conn) (*conn, error) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("connection to %s is no TCP connection", addr)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("reach socket: %w", err)
	}
	return &conn{pool: p, addr: addr, net: nc, raw: raw, read: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// quiet reports whether an idle connection is open and brought nothing.
func (c *conn) quiet() bool {
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// close ends a connection. Nothing can be done about a failure to close.
func (c *conn) close() { c.net.Close() }

// release gives a connection back after a whole answer.
func (c *conn) release(idle time.Duration) {
	now := time.Now()
	c.used, c.until, c.reused = now, now.Add(idle), true
	c.pool.put(c)
}
