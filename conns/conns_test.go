package conns_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantwick"
	"currantwick/conns"

	"golang.org/x/sync/errgroup"
)

// script handles one connection of a test server.
type script func(c net.Conn, r *bufio.Reader)

// serve runs a server that handles successive connections with the scripts, and
// returns its address.
func serve(t *testing.T, list ...script) wick.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for _, s := range list {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			s(c, bufio.NewReader(c))
			c.Close()
		}
		return nil
	})
	t.Cleanup(func() {
		l.Close()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return addressOf(l)
}

func addressOf(l net.Listener) wick.Address { return wick.Address(l.Addr().String()) }

// answer returns a script that reads a request for each response in list and
// writes the response.
func answer(list ...string) script {
	return func(c net.Conn, r *bufio.Reader) {
		for _, text := range list {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			io.WriteString(c, text)
		}
	}
}

// longHeader exceeds the buffer of a new connection.
var longHeader = strings.Replace(ok, "Id: 1", "Id: 1\r\nLong: "+strings.Repeat("y", 40<<10), 1)

const ok = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi"

func request(id string) *conns.Request {
	return &conns.Request{Method: "GET", Target: "/x", Host: "h", Echo: wick.HeaderField{Name: "Id", Value: id}, MaxIdle: time.Hour}
}

func TestFetch(t *testing.T) {
	tests := []struct {
		name    string
		scripts []script
		// body is the expected body; if empty, an error with this value of
		// written is expected.
		body    string
		written bool
	}{
		{"content length", []script{answer(ok)}, "hi", false},
		{"chunked", []script{answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")}, "hi", false},
		{"body up to the end of the connection", []script{answer("HTTP/1.1 200 OK\r\n\r\nhi")}, "hi", false},
		{"after an interim response", []script{answer("HTTP/1.1 100 Continue\r\n\r\n" + ok)}, "hi", false},
		{"long header", []script{answer(longHeader)}, "hi", false},
		{"long header after a response to an earlier request", []script{answer(strings.Replace(longHeader, "Id: 1", "Id: 0", 1) + ok)}, "hi", false},
		{"after a response to an earlier request", []script{answer(strings.Replace(ok, "Id: 1", "Id: 0", 1) + ok)}, "hi", false},
		{"truncated body", []script{answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")}, "", true},
		{"truncated chunk", []script{answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhi")}, "", true},
		{"no response", []script{answer("")}, "", true},
		{"not HTTP", []script{answer("what?\r\n\r\n")}, "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := conns.New(conns.Config{})
			status, body, err := p.Fetch(t.Context(), serve(t, test.scripts...), request("1"))
			if test.body != "" {
				if err != nil || status != 200 || string(body) != test.body {
					t.Errorf("got %d %q, %v; want %q", status, body, err, test.body)
				}
				return
			}
			var e *conns.Error
			if !errors.As(err, &e) || e.Written != test.written {
				t.Errorf("got %d %q, %v; want an error with Written %v", status, body, err, test.written)
			}
		})
	}
}

// TestReuse checks that a connection is reused only if it is open, has no
// unread bytes and was not idle for too long.
func TestReuse(t *testing.T) {
	const close = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"
	tests := []struct {
		name string
		// first is the response on the first connection, which then stays open;
		// reused is set when the second request must use it too.
		first   string
		maxIdle time.Duration
		reused  bool
	}{
		{"complete response", ok, time.Hour, true},
		{"complete response with a long header", longHeader, time.Hour, true},
		{"bytes after a response with a long header", longHeader + "more", time.Hour, false},
		{"idle for too long", ok, time.Nanosecond, false},
		{"remote end closes", close, time.Hour, false},
		{"bytes after the response", ok + "more", time.Hour, false},
		{"second response", ok + ok, time.Hour, false},
		{"idle timeout of one second", strings.Replace(ok, "Id: 1", "Keep-Alive: timeout=1", 1), time.Hour, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			opened := 0
			p := conns.New(conns.Config{OnOpen: func() { opened++ }})
			second := strings.Replace(ok, "Id: 1", "Id: 2", 1)
			addr := serve(t, answer(test.first, second), answer(second))
			for _, id := range []string{"1", "2"} {
				req := request(id)
				req.MaxIdle = test.maxIdle
				if _, _, err := p.Fetch(t.Context(), addr, req); err != nil {
					t.Fatal(err)
				}
			}
			if got := opened == 1; got != test.reused {
				t.Errorf("reused %v, want %v", got, test.reused)
			}
		})
	}
}

// TestEarlyResponseToLongBody checks that the rest of a long body is not taken for
// the next request if the server responds before it has read the body.
func TestEarlyResponseToLongBody(t *testing.T) {
	early := func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, ok)
		io.Copy(io.Discard, r)
	}
	p := conns.New(conns.Config{})
	addr := serve(t, early, answer(ok))
	req := request("1")
	req.Method, req.Body = "POST", make([]byte, 64<<20)
	for range 2 {
		if _, body, err := p.Fetch(t.Context(), addr, req); err != nil || string(body) != "hi" {
			t.Fatalf("got %q, %v", body, err)
		}
		req.Body = nil
	}
}

func TestRefusedConnectionWritesNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := wick.Address(l.Addr().String())
	l.Close()
	_, _, err = conns.New(conns.Config{}).Fetch(t.Context(), addr, request("1"))
	var e *conns.Error
	if !errors.As(err, &e) || e.Written {
		t.Errorf("got %v, want an error without written bytes", err)
	}
}

// TestCancelWhileReading checks that canceling the context closes the connection
// while the body is read.
func TestCancelWhileReading(t *testing.T) {
	closed := make(chan error, 1)
	slow := func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")
		_, err := r.ReadByte()
		closed <- err
	}
	ctx, cancel := context.WithCancel(t.Context())
	reply, err := conns.New(conns.Config{}).Do(ctx, serve(t, slow), request("1"))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := io.ReadAll(reply); err == nil {
		t.Error("the body was read without an error")
	}
	if err := <-closed; err == nil {
		t.Error("the connection stayed open")
	}
}

func TestUnframed(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		want   bool
	}{
		{"a length", ok, false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", false},
		{"neither", "HTTP/1.1 200 OK\r\n\r\nhi", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, err := conns.New(conns.Config{}).Do(t.Context(), serve(t, answer(test.answer)), request("1"))
			if err != nil {
				t.Fatal(err)
			}
			if r.Unframed != test.want {
				t.Errorf("unframed: %v, want %v", r.Unframed, test.want)
			}
			if err := r.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}
