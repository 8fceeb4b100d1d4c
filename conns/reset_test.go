package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"currantwick/conns"
)

// reset makes the close of a connection reset it.
func reset(c net.Conn) { c.(*net.TCPConn).SetLinger(0) }

// awaitUnread waits for bytes that nothing has read.
func awaitUnread(c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK)
		return err != syscall.EAGAIN
	})
}

// The end of an answer without a length shows that it is complete only if the remote end
// closed the connection. A reset is reported to one call only, which may be the write of the
// request's body: the test ends that write before it reads the end of the answer.
func TestEndOfUnframedAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"
	tests := []struct {
		name string
		// finish ends an answer of which "half" was read; its connection is closed
		// afterwards.
		finish func(c net.Conn, r *bufio.Reader)
		// body is the complete body; empty if the answer is cut.
		body string
	}{
		{"reset", func(c net.Conn, _ *bufio.Reader) { reset(c) }, ""},
		{"closed with unread bytes, which resets it", func(c net.Conn, _ *bufio.Reader) { awaitUnread(c) }, ""},
		{"reset while the request is read", func(c net.Conn, r *bufio.Reader) {
			io.CopyN(io.Discard, r, 1<<20)
			reset(c)
		}, ""},
		{"closed after the request was read", func(c net.Conn, r *bufio.Reader) {
			io.CopyN(io.Discard, r, longBody)
			io.WriteString(c, " whole")
		}, "half whole"},
		{"half closed, then reset", func(c net.Conn, _ *bufio.Reader) {
			io.WriteString(c, " whole")
			c.(*net.TCPConn).CloseWrite()
			reset(c)
		}, "half whole"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			half := make(chan struct{})
			p := conns.New(conns.Config{})
			addr := serve(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				io.WriteString(c, head+"half")
				<-half
				test.finish(c, r)
			})
			reply, err := p.Do(t.Context(), addr, longRequest("1"))
			if err != nil {
				t.Fatal(err)
			}
			read := make([]byte, len("half"))
			if _, err := io.ReadFull(reply, read); err != nil {
				t.Fatal(err)
			}
			close(half)
			p.WaitForWrites()
			rest, err := io.ReadAll(reply)
			if got := string(read) + string(rest); (err == nil) != (test.body != "") || err == nil && got != test.body {
				t.Errorf("got %q, %v; want %q", got, err, test.body)
			}
		})
	}
}

// The end of an answer that is complete before the request was written neither waits for the
// write nor counts as a failure.
func TestUnframedAnswerBeforeEndOfRequest(t *testing.T) {
	ended := make(chan struct{})
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhi")
		c.(*net.TCPConn).CloseWrite()
		<-ended // The body stays unread.
	})
	defer close(ended)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, body, err := conns.New(conns.Config{}).Fetch(ctx, addr, longRequest("1"))
	if err != nil || string(body) != "hi" {
		t.Errorf("got %q, %v; want hi", body, err)
	}
}

const longBody = 32 << 20

// longRequest returns a request whose body does not fit into the buffers of its connection.
func longRequest(id string) *conns.Request {
	req := request(id)
	req.Method, req.Body = "POST", make([]byte, longBody)
	return req
}
