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

// script is what a server does on each of its connections, one after the other.
type script func(c net.Conn, r *bufio.Reader)

// serve runs scripts on successive connections and returns the address.
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
	return wick.Address(l.Addr().String())
}

// answer reads a request and writes text for each of list.
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

const ok = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi"

func request(id string) *conns.Request {
	return &conns.Request{Method: "GET", Target: "/x", Host: "h", Echo: wick.Field{Name: "Id", Value: id}, Fresh: time.Hour}
}

func TestFetch(t *testing.T) {
	tests := []struct {
		name    string
		scripts []script
		// body is the expected body; empty means an error, and written whether
		// bytes may have arrived.
		body    string
		written bool
	}{
		{"with a length", []script{answer(ok)}, "hi", false},
		{"in chunks", []script{answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")}, "hi", false},
		{"up to the end of the connection", []script{answer("HTTP/1.1 200 OK\r\n\r\nhi")}, "hi", false},
		{"after an interim answer", []script{answer("HTTP/1.1 100 Continue\r\n\r\n" + ok)}, "hi", false},
		{"after an answer to an earlier request", []script{answer(strings.Replace(ok, "Id: 1", "Id: 0", 1) + ok)}, "hi", false},
		{"cut short", []script{answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")}, "", true},
		{"cut in a chunk", []script{answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhi")}, "", true},
		{"no answer", []script{answer("")}, "", true},
		{"no HTTP", []script{answer("what?\r\n\r\n")}, "", true},
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
				t.Errorf("got %d %q, %v; want an error with written %v", status, body, err, test.written)
			}
		})
	}
}

// A connection is used again only if nothing is wrong with it.
func TestReuse(t *testing.T) {
	const close = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"
	tests := []struct {
		name string
		// first is the answer on the first connection, after which it stays
		// open; reused tells that the second request comes on it too.
		first  string
		fresh  time.Duration
		reused bool
	}{
		{"whole answer", ok, time.Hour, true},
		{"idle for too long", ok, time.Nanosecond, false},
		{"other end leaves", close, time.Hour, false},
		{"bytes after the answer", ok + "more", time.Hour, false},
		{"a second answer", ok + ok, time.Hour, false},
		{"an idle timeout of a second", strings.Replace(ok, "Id: 1", "Keep-Alive: timeout=1", 1), time.Hour, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			opened := 0
			p := conns.New(conns.Config{Opened: func() { opened++ }})
			addr := serve(t, answer(test.first, ok), answer(ok))
			for range 2 {
				req := request("1")
				req.Fresh = test.fresh
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

// A server may answer before it has read a long body. The rest of the body must
// not be taken for another request.
func TestEarlyAnswerToLongBody(t *testing.T) {
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

// Ending the context closes the connection, also while the body is read.
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
		t.Error("the body was read whole")
	}
	if err := <-closed; err == nil {
		t.Error("the connection stayed open")
	}
}
