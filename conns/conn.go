package conns

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"currantwick"
	"currantwick/heads"
)

// readBuffer is sized for a response header and a few stream events.
const readBuffer = 4 << 10

// conn is a pooled connection.
type conn struct {
	pool  *Pool
	addr  wick.Address
	net   net.Conn
	raw   syscall.RawConn
	input limitedReader
	// read buffers input.
	read *bufio.Reader
	// lastUsed is when the last exchange ended, and expiresAt when the connection
	// may no longer be reused.
	lastUsed, expiresAt time.Time
	// reused is set once the connection has carried an exchange.
	reused bool
	// maxOpen is the MaxOpen of the last request.
	maxOpen int
	// closed is set once the connection was closed.
	closed atomic.Bool
	// echoed is set once a response had the echoed field.
	echoed bool
	// carried has the identifiers of all exchanges that the connection has carried.
	// No identifier is carried twice.
	carried carried
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
	c := &conn{pool: p, addr: addr, net: nc, raw: raw, input: limitedReader{from: nc, left: unlimited}}
	c.read = bufio.NewReaderSize(&c.input, readBuffer)
	return c, nil
}

// unlimited is the limit of a limitedReader that has none.
const unlimited = math.MaxInt64

// errTooLong is the error of a limitedReader whose limit was reached.
var errTooLong = fmt.Errorf("header of the answer, with what precedes it, exceeds %d bytes", maxHeader)

// limitedReader reads from a connection. Unlike io.LimitedReader, it fails at its
// limit, so that a cut answer does not look complete.
type limitedReader struct {
	from io.Reader
	left int64
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLong
	}
	n, err := r.from.Read(p[:min(int64(len(p)), r.left)])
	if r.left != unlimited {
		r.left -= int64(n)
	}
	return n, err
}

// checkHead reads the next head into the buffer, which grows for a long one, and returns an
// error if it is malformed.
func (c *conn) checkHead() error {
	for {
		err := heads.Check(c.read)
		if !errors.Is(err, bufio.ErrBufferFull) || c.read.Size() >= maxHeader {
			return err
		}
		c.resizeBuffer(2 * c.read.Size())
	}
}

// resizeBuffer replaces the buffer by one of another size that has room for its contents.
func (c *conn) resizeBuffer(size int) {
	buffered, _ := c.read.Peek(c.read.Buffered()) // What is buffered can be peeked.
	c.read = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), &c.input), size)
}

// isIdle reports whether a connection is open and has no unread bytes.
func (c *conn) isIdle() bool {
	isIdle := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isIdle = err == syscall.EAGAIN
		return true
	})
	return err == nil && isIdle
}

// close closes the connection. A failure to close is ignored, since nothing can
// be done about it.
func (c *conn) close() {
	c.net.Close()
	if !c.closed.Swap(true) {
		c.pool.bounds.closed(c.addr)
	}
}

// release returns a connection to the pool after a complete response, or closes it if
// it can't remember more identifiers.
func (c *conn) release(idle time.Duration) {
	if c.carried.full() {
		c.close()
		return
	}
	if c.read.Size() > readBuffer {
		c.resizeBuffer(readBuffer)
	}
	now := time.Now()
	c.lastUsed, c.expiresAt, c.reused = now, now.Add(idle), true
	c.pool.put(c)
}
