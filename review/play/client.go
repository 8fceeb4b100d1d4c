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

// channel is a caller's connection to a daemon.
type channel struct {
	conn net.Conn
	read *bufio.Reader
}

// connect opens a connection. A receive buffer of 0 is that of the kernel.
func connect(at string, receive int) (*channel, error) {
	d := net.Dialer{Timeout: time.Second}
	if receive > 0 {
		// The window that a connection announces first follows from its buffer.
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive)
			})
			return errors.Join(err, failed)
		}
	}
	c, err := d.Dial("tcp", at)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return &channel{conn: c, read: bufio.NewReaderSize(c, 256)}, nil
}

// request is what a caller sends.
type request struct {
	method, path, id, body string
	timeLeft               time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request.
func (c *channel) send(r request) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: phases.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n",
		r.method, r.path, names.Request, r.id, names.TimeLeft, r.timeLeft.Milliseconds(), len(r.body))
	if _, err := io.WriteString(c.conn, head+"\r\n"+r.body); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

// answer reads an answer. pause is called once its head has arrived.
func (c *channel) answer(pause func()) (*http.Response, []byte, error) {
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return nil, nil, fmt.Errorf("read answer: %w", err)
	}
	defer resp.Body.Close()
	if pause != nil {
		pause()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp, body, fmt.Errorf("read body after %d bytes: %w", len(body), err)
	}
	return resp, body, nil
}
