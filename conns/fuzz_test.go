package conns_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"currantwick/conns"

	"golang.org/x/sync/errgroup"
)

// secondID identifies the second request; no first answer is meant to have it.
const secondID = "d1f7a0c35b9e4826"

// FuzzAnswers sends arbitrary bytes as the answer to a request. Whatever they are,
// the exchange ends, and the connection carries the next request only if that
// request gets its own answer.
func FuzzAnswers(f *testing.F) {
	for _, seed := range []string{
		ok, ok + ok, "", "HTTP/1.1 200", "HTTP/1.1 103 Early\r\n\r\n" + ok, "garbage\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nhi" + ok,
		"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nhi",
		"HTTP/1.1 204 None\r\nId: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, first []byte) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var group errgroup.Group
		group.Go(func() error {
			for i := 0; ; i++ {
				c, err := l.Accept()
				if err != nil {
					return nil
				}
				group.Go(func() error {
					defer c.Close()
					answerThenOwn(c, first, i == 0)
					return nil
				})
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		p := conns.New(conns.Config{})
		addr := addressOf(l)
		// The first answer may be anything, and so may the error.
		_, _, _ = p.Fetch(ctx, addr, request("1"))
		_, body, err := p.Fetch(ctx, addr, request(secondID))
		if err == nil && string(body) != "own" {
			t.Errorf("the second request got %q after %q", body, first)
		}
		cancel()
		l.Close()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// answerThenOwn answers the first request on a connection with the given bytes if
// it is the first connection, and each later one properly.
func answerThenOwn(c net.Conn, first []byte, isFirst bool) {
	c.SetDeadline(time.Now().Add(50 * time.Millisecond))
	r := bufio.NewReader(c)
	for i := 0; ; i++ {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		answer := []byte("HTTP/1.1 200 OK\r\nId: " + secondID + "\r\nContent-Length: 3\r\n\r\nown")
		if isFirst && i == 0 {
			answer = first
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}
