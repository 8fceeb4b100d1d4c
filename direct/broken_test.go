package direct_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"currantwick"
	"currantwick/conns"
	"currantwick/fakes"
	"currantwick/platform"
)

// scripted starts an endpoint that answers the first request with broken and others with
// sound, and closes each connection. It returns the endpoint's address and counts requests.
func scripted(t *testing.T, broken, sound string) (wick.Address, *atomic.Int32) {
	t.Helper()
	requests := new(atomic.Int32)
	s, err := fakes.StartConnServer(func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		answer := sound
		if requests.Add(1) == 1 {
			answer = broken
		}
		io.WriteString(c, answer)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	return s.Address(), requests
}

// An answer with a head that HTTP does not allow is passed on in no part, whatever it says of
// the request: one that may run twice is sent again, of others it is unknown whether they ran.
func TestMalformedHeads(t *testing.T) {
	const (
		own       = "data: own\n\n"
		sound     = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n" + own
		length    = "Content-Length: 11\r\n"
		otherBody = "\r\ndata: not\n\n"
	)
	heads := []struct {
		name, head string
	}{
		{"status 000", "HTTP/1.1 000 Trouble\r\n" + length},
		{"status 000 before another head", "HTTP/1.1 000 Trouble\r\nContent-Length: 58\r\n\r\nHTTP/1.1 200 OK\r\n" + length},
		{"status 099", "HTTP/1.1 099 Trouble\r\n" + length},
		{"status with a sign", "HTTP/1.1 +20 Trouble\r\n" + length},
		{"status 600", "HTTP/1.1 600 Trouble\r\n" + length},
		{"status 999, not run", "HTTP/1.1 999 Trouble\r\nCurrantwick-Not-Executed: 1\r\n" + length},
		{"control byte after the status", "HTTP/1.1 503 Bu\x00sy\r\nCurrantwick-Not-Executed: 1\r\n" + length},
		{"other protocol", "HTTP/2.0 200 OK\r\n" + length},
		{"space in a name", "HTTP/1.1 200 OK\r\nX Y: 1\r\n" + length},
		{"space in the name of the length", "HTTP/1.1 200 OK\r\nContent Length: 1\r\n"},
		{"space after a name", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n"},
		{"space before a name", "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 2\r\n" + length},
		{"tab in a name", "HTTP/1.1 200 OK\r\nX\tY: 1\r\n" + length},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\n" + length},
		{"no name", "HTTP/1.1 200 OK\r\n: 1\r\n" + length},
		{"no colon", "HTTP/1.1 200 OK\r\nX\r\n" + length},
		{"chunks before HTTP/1.1", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\ndata: not\n\n\r\n0\r\n"},
		{"space in a name, not run", "HTTP/1.1 503 Busy\r\nCurrantwick-Not-Executed: 1\r\nX Y: 1\r\n" + length},
	}
	kinds := []struct {
		name string
		kind wick.Kind
		pool wick.PoolName
		// isSafe is set if the request is sent again.
		isSafe bool
	}{
		{"safe", wick.KindSafe, "plain", true},
		{"unsafe", wick.KindUnsafe, "plain", false},
		{"stream", wick.KindStream, "llm", false},
	}
	for _, head := range heads {
		for _, kind := range kinds {
			t.Run(head.name+"/"+kind.name, func(t *testing.T) {
				addr, requests := scripted(t, head.head+otherBody, sound)
				v := view(route(kind.kind, kind.pool, 2, false))
				for _, r := range v.Pools[kind.pool] {
					r.Runner.Address = addr
				}
				x := &wick.Exchange{Request: "q", Host: "h", Path: "/x", Method: "POST", Target: "/x"}
				if kind.kind == wick.KindStream {
					x.Model, x.Adapter = "m", "a"
				}
				to := &writer{}
				runners := platform.NewRunners(conns.New(conns.Config{}), conns.New(conns.Config{}))
				err := server(t, &control{view: v}, runners, budget(t, 1000)).Forward(t.Context(), x, to)
				if strings.Contains(to.body.String(), "not") {
					t.Errorf("the caller got %d %q of the broken answer", to.status, to.body.String())
				}
				if kind.isSafe && (err != nil || to.status != 200 || to.body.String() != own || requests.Load() != 2) {
					t.Errorf("got %d %q, %v after %d requests; want the second answer", to.status, to.body.String(), err, requests.Load())
				}
				if !kind.isSafe && (err == nil || wick.AsError(err).Outcome != wick.Unknown || to.status != 0 || requests.Load() != 1) {
					t.Errorf("got %d %q, %v after %d requests; want an unknown outcome after one", to.status, to.body.String(), err, requests.Load())
				}
			})
		}
	}
}
