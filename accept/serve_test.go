package accept_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantwick"
	"currantwick/accept"
	"currantwick/fakes"
	"currantwick/tally"

	"golang.org/x/sync/errgroup"
)

// serve starts a server whose listener has the given bounds, and returns its address and
// its budget.
func serve(t testing.TB, connections int, memory wick.Bytes, times accept.Times) (string, *tally.Memory) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	budget := tally.NewMemory(memory)
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if accept.IsRefused(r.Context()) {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = io.Copy(w, r.Body) // A failure shows to the client.
		}),
		ConnState: accept.State, ConnContext: accept.Context, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	bounded := accept.New(l, accept.Config{
		Name: "test", Connections: connections, Forwards: true, Memory: budget, Heads: budget,
		Times: func() accept.Times { return times }, Observer: fakes.ConnObserver{}, Log: slog.New(slog.DiscardHandler),
	})
	var group errgroup.Group
	group.Go(func() error { return srv.Serve(bounded) })
	t.Cleanup(func() {
		srv.Close()
		if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return l.Addr().String(), budget
}

const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"

// TestServes guards against bounds that cut what ordinary callers send.
func TestServes(t *testing.T) {
	slow := accept.Times{Head: 5 * time.Second, Idle: 5 * time.Second}
	large := strings.Replace(request, "\r\n\r\n", "\r\nA: "+strings.Repeat("x", 16000)+"\r\n\r\n", 1)
	lines := strings.Replace(request, "\r\n\r\n", "\r\n"+strings.Repeat("a: b\r\n", 2600)+"\r\n", 1)
	tests := []struct {
		name, data string
		times      accept.Times
		// answers is the number of answers before the connection is closed or left open.
		answers int
	}{
		{"one request", request, slow, 1},
		{"requests one after another", strings.Repeat(request, 50), slow, 50},
		{"large heads one after another", strings.Repeat(large, 5), slow, 5},
		{"heads of many lines one after another", strings.Repeat(lines, 3), slow, 3},
		{"a head that does not end", request[:20], accept.Times{Head: 50 * time.Millisecond, Idle: 5 * time.Second}, 0},
		{"no byte", "", accept.Times{Head: 5 * time.Second, Idle: 50 * time.Millisecond}, 0},
		{"idle after a request", request, accept.Times{Head: 5 * time.Second, Idle: 50 * time.Millisecond}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			addr, budget := serve(t, 10, 4<<20, test.times)
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			var group errgroup.Group
			group.Go(func() error {
				_, err := io.WriteString(c, test.data)
				return err
			})
			from := bufio.NewReader(c)
			for n := range test.answers {
				resp, err := http.ReadResponse(from, nil)
				if err != nil {
					t.Fatalf("answer %d: %v", n, err)
				}
				body, err := io.ReadAll(resp.Body)
				if err != nil || string(body) != "ok" {
					t.Fatalf("answer %d: %q, %v", n, body, err)
				}
			}
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
			if test.times != slow {
				if rest, err := io.ReadAll(from); err != nil || len(rest) > 0 && !strings.HasPrefix(string(rest), "HTTP/1.1 400 ") {
					t.Errorf("got %q and %v, want the connection closed", rest, err)
				}
			}
			c.Close()
			for end := time.Now().Add(5 * time.Second); budget.Taken() > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if n := budget.Taken(); n != 0 {
				t.Errorf("%d bytes were not given back", n)
			}
		})
	}
}

// Connections without a request took all places of a listener.
func TestMakesRoom(t *testing.T) {
	addr, _ := serve(t, 8, 4<<20, accept.Times{Head: time.Minute, Idle: time.Minute})
	for range 20 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	resp, err := http.Post("http://"+addr, "text/plain", strings.NewReader("ok"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// Requests beyond the bounds were closed without an answer.
func TestRefuses(t *testing.T) {
	const places = 5
	addr, _ := serve(t, places, 4<<20, accept.Times{Head: time.Minute, Idle: time.Minute})
	for range places / 2 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, strings.Replace(request, "\r\nok", "\r\no", 1)); err != nil {
			t.Fatal(err)
		}
	}
	// A request counts twice, so these leave a place for a connection and none for its
	// request, once their heads have arrived.
	time.Sleep(200 * time.Millisecond)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, request) // A failure shows in the read.
	if answer, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 503 ") {
		t.Errorf("got %q and %v, want 503", answer, err)
	}
}

// BenchmarkConnections measures a connection with one request, and BenchmarkRequests one
// request on a connection, with bounds and without.
func BenchmarkConnections(b *testing.B) { bench(b, true) }

func BenchmarkRequests(b *testing.B) { bench(b, false) }

func bench(b *testing.B, isNew bool) {
	for _, bounded := range []bool{false, true} {
		b.Run(fmt.Sprintf("bounded=%v", bounded), func(b *testing.B) {
			var addr string
			if bounded {
				addr, _ = serve(b, 2000, 64<<20, accept.Times{Head: 3 * time.Second, Idle: 15 * time.Second})
			} else {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				srv := &http.Server{ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(w, r.Body) // A failure shows to the client.
				})}
				var group errgroup.Group
				group.Go(func() error { return srv.Serve(l) })
				defer srv.Close()
				addr = l.Addr().String()
			}
			var c net.Conn
			buf := make([]byte, 4096)
			for b.Loop() {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", addr); err != nil {
						b.Fatal(err)
					}
				}
				if _, err := io.WriteString(c, request); err != nil {
					b.Fatal(err)
				}
				if _, err := c.Read(buf); err != nil {
					b.Fatal(err)
				}
				if isNew {
					_ = c.(*net.TCPConn).SetLinger(0) // Without TIME_WAIT, ports suffice.
					c.Close()
					c = nil
				}
			}
			if c != nil {
				c.Close()
			}
		})
	}
}
