package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"
)

// readBuffer is the most that a caller takes with one read, in bytes.
const readBuffer = 32 << 10

// caller is a client with one channel that it keeps.
type caller struct {
	world *world
	conn  net.Conn
	in    *bufio.Reader
	// source paces what the caller reads.
	source *pacedReader
}

// pacedReader reads from a channel, and pauses before each read if pause is not 0.
type pacedReader struct {
	from  io.Reader
	pause time.Duration
}

func (r *pacedReader) Read(p []byte) (int, error) {
	time.Sleep(r.pause)
	return r.from.Read(p)
}

// receiveBuffer returns a function that sets the receive buffer of a socket.
func receiveBuffer(size int) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		})
		return errors.Join(err, failed)
	}
}

// dial opens a channel to a daemon. window is the receive buffer of its socket, in bytes; 0
// for that of the system.
func (w *world) dial(to string, window int) (*caller, error) {
	d := net.Dialer{Timeout: time.Second}
	if window > 0 {
		d.Control = receiveBuffer(window)
	}
	c, err := d.Dial("tcp", to)
	if err != nil {
		return nil, fmt.Errorf("open a channel: %w", err)
	}
	source := &pacedReader{from: c}
	return &caller{world: w, conn: c, source: source, in: bufio.NewReaderSize(source, readBuffer)}, nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// result is the end of a request; status is 0 if no answer arrived whole.
type result struct {
	id     string
	status int
	body   []byte
	err    error
}

// request is a request of a caller.
type request struct {
	path string
	// parts are the parts of the prompt; those of a usual one if empty.
	parts string
	left  time.Duration
	body  []byte
}

// send sends a request and reads its answer.
func (c *caller) send(r request) result {
	res := result{id: newID()}
	if r.parts == "" {
		r.parts = fmt.Sprintf("5c1e07a2:93,%08x:398", rand.Uint32())
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n",
		r.path, callersHost, names.Attempt, res.id, names.Left, r.left.Milliseconds(), len(r.body))
	if r.path != confirmPath {
		head += fmt.Sprintf("%s: %s\r\n%s: 491,70\r\n%s: %s\r\n", names.Model, modelName, names.Tokens, names.Parts, r.parts)
	}
	head += "\r\n"
	c.world.record.add("%s: sent to %s, %d bytes of head and %d of body", res.id, c.conn.RemoteAddr(), len(head), len(r.body))
	_ = c.conn.SetDeadline(time.Now().Add(r.left)) // It fails only on a closed channel.
	if _, err := c.conn.Write(append([]byte(head), r.body...)); err != nil {
		res.err = fmt.Errorf("send: %w", err)
	} else {
		c.read(&res)
	}
	if res.err != nil {
		c.world.record.add("%s: no whole answer, %d bytes: %v", res.id, len(res.body), res.err)
	} else {
		c.world.record.add("%s: answer %d, %d bytes", res.id, res.status, len(res.body))
	}
	return res
}

func (c *caller) read(res *result) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		res.err = fmt.Errorf("read answer: %w", err)
		return
	}
	defer resp.Body.Close()
	res.body, err = io.ReadAll(resp.Body)
	if err != nil {
		res.err = fmt.Errorf("read answer %d: %w", resp.StatusCode, err)
		return
	}
	res.status = resp.StatusCode
}
