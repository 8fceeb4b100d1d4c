package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// untrusted are what untrusted callers send on a connection before they stop.
var untrusted = []string{
	"",
	strings.Repeat("\r\n", 1000),
	"GET /safe/x HTTP/1.1\r\nHost: soak.example\r\n",
	"GET /safe/x HTTP/1.1\r\nHost: soak.example\r\nA: " + strings.Repeat("x", 200_000),
	"GET /safe/x HTTP/1.1\r\nHost: soak.example\r\n" + strings.Repeat("a: b\r\n", 20_000),
	"POST /safe/x HTTP/1.1\r\nHost: soak.example\r\nContent-Length: 90000\r\n\r\n",
	"POST /safe/x HTTP/1.1\r\nHost: soak.example\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 10_000),
	strings.Repeat("GET /none HTTP/1.1\r\nHost: soak.example\r\n\r\n", 5000),
}

// TestSoakBesideAbuse is TestSoak beside untrusted callers at all daemons. It guards
// against bounds that break what other callers are promised.
func TestSoakBesideAbuse(t *testing.T) {
	tests := []struct {
		name string
		seed uint64
	}{
		{"runners ignore fencing tokens", 21},
		{"runners check fencing tokens", 22},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%s, seed %d", test.name, test.seed), func(t *testing.T) {
			s := startSystem(t, test.seed)
			runSystem(t, s, test.seed, func() { s.abuse(test.seed, *forFlag) })
		})
	}
}

// abuse sends what untrusted callers send for d, on many connections at once, which it
// leaves open.
func (s *system) abuse(seed uint64, d time.Duration) {
	const atOnce = 100
	end := time.Now().Add(d)
	var group errgroup.Group
	for i := range atOnce {
		r := rand.New(rand.NewPCG(seed, uint64(i)+1000))
		group.Go(func() error {
			for time.Now().Before(end) {
				d := pick(r, s.daemons).Settings
				to := pick(r, []string{string(d.CallerAddress), string(d.DirectoryAddress), string(d.ReadyAddress), string(d.PeerAddress)})
				c, err := net.DialTimeout("tcp", to, time.Second)
				if err != nil {
					sleep(50 * time.Millisecond)
					continue
				}
				_ = c.SetDeadline(time.Now().Add(between(r, time.Second, 3*time.Second))) // It bounds the write and the read.
				if _, err := io.WriteString(c, pick(r, untrusted)); err == nil {
					_, _ = io.CopyN(io.Discard, c, 1) // The daemon may close the connection.
				}
				c.Close()
			}
			return nil
		})
	}
	_ = group.Wait() // Returns no error.
}
