package httpc_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/httpc"

	"github.com/valyala/fasthttp"
)

// serve starts a server that answers the request on each connection, closes it, and returns
// its address.
func serve(t *testing.T, answer func(c net.Conn, req *http.Request)) wick.Address {
	t.Helper()
	s, err := fakes.StartConnServer(func(c net.Conn) {
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			answer(c, req)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s.Address()
}

// An answer with a head that HTTP does not allow is an error after which the request may have
// run, both for a whole answer and for a stream.
func TestHeads(t *testing.T) {
	const (
		rest    = "Content-Length: 2\r\n\r\nhi"
		interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	)
	tests := []struct {
		name, answer string
		sound        bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\n" + rest, true},
		{"after an interim answer", interim + "HTTP/1.1 200 OK\r\n" + rest, true},
		{"interim answers only", interim + interim, false},
		{"interim answers without end", strings.Repeat(interim, 1000), false},
		{"malformed after an interim answer", interim + "HTTP/1.1 200 OK\r\nX Y: 1\r\n" + rest, false},
		{"status 000", "HTTP/1.1 000 Trouble\r\n" + rest, false},
		{"status 099", "HTTP/1.1 099 Trouble\r\n" + rest, false},
		{"status 600", "HTTP/1.1 600 Trouble\r\n" + rest, false},
		{"control byte after the status", "HTTP/1.1 200 O\x01K\r\n" + rest, false},
		{"other protocol", "HTTP/2.0 200 OK\r\n" + rest, false},
		{"space in a name", "HTTP/1.1 200 OK\r\nX Y: 1\r\n" + rest, false},
		{"space after a name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nhi", false},
		{"space before a name", "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 2\r\n" + rest, false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\n" + rest, false},
		{"no name", "HTTP/1.1 200 OK\r\n: 1\r\n" + rest, false},
		{"empty line before the head", "\r\nHTTP/1.1 200 OK\r\n" + rest, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			addr := serve(t, func(c net.Conn, _ *http.Request) { io.WriteString(c, test.answer) })
			c := httpc.New(httpc.Config{ReadTimeout: wick.Duration(time.Second)})
			var req fasthttp.Request
			var resp fasthttp.Response
			err := c.Do(t.Context(), addr, &req, &resp)
			check(t, resp.StatusCode(), string(resp.Body()), err, test.sound)

			var streamed fasthttp.Response
			x, err := c.Open(t.Context(), addr, &req, &streamed)
			if err != nil {
				check(t, 0, "", err, test.sound)
				return
			}
			defer x.Close()
			if streamed.StatusCode() != fasthttp.StatusOK {
				check(t, streamed.StatusCode(), string(streamed.Body()), nil, test.sound)
				return
			}
			body, err := io.ReadAll(x.Body())
			check(t, fasthttp.StatusOK, string(body), err, test.sound)
		})
	}
}

func check(t *testing.T, status int, body string, err error, sound bool) {
	t.Helper()
	if sound && (err != nil || status != fasthttp.StatusOK || body != "hi") {
		t.Errorf("got %d %q, %v; want 200 hi", status, body, err)
	}
	if !sound && (err == nil || wick.AsError(err).Outcome != wick.Unknown) {
		t.Errorf("got %d %q, %v; want an error with the outcome Unknown", status, body, err)
	}
}

// A chunked reply is complete only with the empty line that ends its trailers.
func TestEndOfChunks(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"
	tests := []struct {
		name, end string
		sound     bool
	}{
		{"no trailers", "0\r\n\r\n", true},
		{"a trailer", "0\r\nX: y\r\n\r\n", true},
		{"cut before the last chunk", "", false},
		{"cut in the last chunk", "0", false},
		{"cut before the trailers", "0\r\n", false},
		{"cut in a trailer", "0\r\nX: y", false},
		{"cut after a trailer", "0\r\nX: y\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			addr := serve(t, func(c net.Conn, _ *http.Request) { io.WriteString(c, head+test.end) })
			var req fasthttp.Request
			var resp fasthttp.Response
			err := httpc.New(httpc.Config{}).Do(t.Context(), addr, &req, &resp)
			check(t, resp.StatusCode(), string(resp.Body()), err, test.sound)
		})
	}
}

// The end of a streamed answer without a length shows that it is complete only if the server
// closed the connection, also if the answer came before the request was read.
func TestEndOfStream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	tests := []struct {
		name  string
		bytes int // Of the request's body.
		reset bool
	}{
		{"short request", 100, false},
		{"short request, reset", 100, true},
		{"long request", 32 << 20, false},
		{"long request, reset", 32 << 20, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			half := make(chan struct{})
			addr := serve(t, func(c net.Conn, req *http.Request) {
				io.WriteString(c, head+"hi")
				if test.reset {
					if test.bytes < 1<<20 {
						<-half // A reset drops what was not read.
					}
					c.(*net.TCPConn).SetLinger(0)
					return
				}
				io.Copy(io.Discard, req.Body)
			})
			var req fasthttp.Request
			var resp fasthttp.Response
			req.Header.SetMethod(fasthttp.MethodPost)
			req.SetBodyRaw(make([]byte, test.bytes))
			x, err := httpc.New(httpc.Config{}).Open(t.Context(), addr, &req, &resp)
			close(half)
			if err != nil {
				check(t, 0, "", err, !test.reset)
				return
			}
			defer x.Close()
			body, err := io.ReadAll(x.Body())
			if err != nil {
				err = x.ReplyError(err)
			}
			check(t, fasthttp.StatusOK, string(body), err, !test.reset)
		})
	}
}
