package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// readBuffer is the most that a caller takes with one read, in bytes.
const readBuffer = 32 << 10

// caller is a client with one channel that it keeps. It writes heads as they are, where an
// http.Client would change some, and paces what it reads.
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

// shortBody is the body of a request whose length doesn't matter.
var shortBody = []byte("body")

// callInterval is the time between two callers of playKept.
const callInterval = 50 * time.Millisecond

// keptPlay describes callers that send two requests each on a channel.
type keptPlay struct {
	callers, daemons int
	path             string
	left             time.Duration
	// body is that of the second request.
	body []byte
	// window is the receive buffer of a caller's socket; 0 for that of the system.
	window int
	// pause is the time between two reads of the second answer.
	pause time.Duration
	// ran has the requests that count as run.
	ran *ledger
}

// playKept plays the callers and returns by how many the lost second requests exceed
// maxLost.
func (w *world) playKept(p keptPlay) (int, error) {
	var kept, whole, refused, late, lost atomic.Int32
	var callers errgroup.Group
	for n := range p.callers {
		callers.Go(func() error {
			time.Sleep(time.Duration(n) * callInterval)
			c, err := w.dial(w.net.at(firstDaemon+n%p.daemons, portFront), p.window)
			if err != nil {
				return err
			}
			defer c.conn.Close()
			if r := c.send(request{path: p.path, left: p.left, body: shortBody}); r.status != http.StatusOK {
				w.record.add("%s: the first request on the channel failed", r.id)
				return nil
			}
			kept.Add(1)
			c.source.pause = p.pause
			switch r := c.send(request{path: p.path, left: p.left, body: p.body}); {
			case r.status == http.StatusOK:
				whole.Add(1)
			case r.status != 0:
				refused.Add(1)
			case errors.Is(r.err, os.ErrDeadlineExceeded):
				late.Add(1)
			case p.ran.has(r.id):
				lost.Add(1)
				w.record.say("LOST: %s ran; its channel was closed after %d bytes of the answer: %v", r.id, len(r.body), r.err)
			}
			return nil
		})
	}
	if err := callers.Wait(); err != nil {
		return 0, err
	}
	w.record.say("%d channels carried a first request; of the second ones %d were answered, %d refused or failed, %d passed their deadline, %d were lost, %d are allowed",
		kept.Load(), whole.Load(), refused.Load(), late.Load(), lost.Load(), maxLost)
	return max(int(lost.Load())-maxLost, 0), nil
}
