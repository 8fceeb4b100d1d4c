package abuse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
)

// Bounds that ordinary callers reach would refuse them. On the smallest host, 2,000
// connections come at a restart of other daemons, and about 200 requests are served at
// once.
func TestOrdinary(t *testing.T) {
	const (
		hostMemory      = 144 << 20
		hostDescriptors = 3075
		connections     = 2000
		atOnce          = 100
		rounds          = 3
	)
	d := start(t, hostMemory, hostDescriptors)
	pid, _ := d.PID()
	head := "POST /safe/x HTTP/1.1\r\nHost: abuse.example\r\nCurrantwick-Attempt-Identifier: %d-%d\r\nContent-Length: 1000\r\n" +
		strings.Repeat("X-Ordinary: "+strings.Repeat("v", 60)+"\r\n", 12) + "\r\n" + strings.Repeat("b", 1000)
	conns := make([]net.Conn, connections)
	for i := range conns {
		c, err := dialer("127.0.0.1").Dial("tcp", callers(d))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns[i] = c
	}
	var group errgroup.Group
	group.SetLimit(atOnce)
	for round := range rounds {
		for i, c := range conns {
			group.Go(func() error {
				if _, err := fmt.Fprintf(c, head, round, i); err != nil {
					return fmt.Errorf("connection %d: %w", i, err)
				}
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return fmt.Errorf("connection %d: %w", i, err)
				}
				body, err := io.ReadAll(resp.Body)
				if want := fmt.Sprintf("%d-%d 1000", round, i); err != nil || string(body) != want {
					return fmt.Errorf("connection %d: status %d %q, %v", i, resp.StatusCode, body, err)
				}
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	after := use(pid)
	t.Logf("%d MB resident, %d MB at most, %d descriptors", after.resident>>20, after.peak>>20, after.open)
	if after.peak > hostMemory || after.open > hostDescriptors {
		t.Errorf("the process took %d MB and %d descriptors", after.peak>>20, after.open)
	}
}
