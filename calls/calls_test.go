package calls_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"currantwick"
	"currantwick/calls"
	"currantwick/fakes"
	"currantwick/httpc"
)

var command = wick.Call{Path: "/switch", Body: []byte(`{"Lane":3}`), Key: "k1", NonIdempotent: true}

func newClient() *calls.Client {
	return calls.New(calls.Config{HTTP: httpc.Config{ReadTimeout: wick.Duration(300 * time.Millisecond)}})
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestNeverTwice checks that a call runs at most once, however the connection
// fails, also after earlier calls whose connections have been closed since.
func TestNeverTwice(t *testing.T) {
	one := 1
	long := wick.Duration(time.Second)
	tests := []struct {
		name    string
		control fakes.ServiceControl // applied after two successful calls
		outcome wick.Outcome
		runs    int // maximum; -1 means that it must not run
	}{
		{"answered", fakes.ServiceControl{}, wick.Answered, 1},
		{"response lost", fakes.ServiceControl{LoseAnswers: &one}, wick.Unknown, 1},
		{"crash before the response", fakes.ServiceControl{CrashAfter: true, DownFor: wick.Duration(time.Millisecond)}, wick.Unknown, 1},
		{"earlier connections silent", fakes.ServiceControl{Silence: true}, wick.Answered, 1},
		{"too slow", fakes.ServiceControl{Time: &long}, wick.Unknown, 1},
		{"down", fakes.ServiceControl{CrashNow: true, DownFor: wick.Duration(time.Hour)}, wick.NotRun, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, err := fakes.StartService(fakes.ServiceConfig{Address: "127.0.0.1:0"})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			c := newClient()
			for range 2 {
				if _, err := c.Invoke(testContext(t), s.Address(), "q0", wick.Call{Path: "/status"}); err != nil {
					t.Fatal(err)
				}
			}
			s.Control(test.control)
			r, err := c.Invoke(testContext(t), s.Address(), "q1", command)
			got := wick.Answered
			if err != nil {
				got = wick.AsError(err).Outcome
			}
			if got != test.outcome {
				t.Errorf("got %s (%v), want %s", got, err, test.outcome)
			}
			if err == nil && (r.Status != 200 || !strings.Contains(string(r.Body), `"Key":"k1"`)) {
				t.Errorf("reply %d %s", r.Status, r.Body)
			}
			runs := s.Stats().RunsOf["k1"]
			if runs > max(test.runs, 0) {
				t.Errorf("ran %d times", runs)
			}
		})
	}
}

// TestSentOnce counts the connections to a server that breaks off each response
// in a different way. A client with retries would connect again.
func TestSentOnce(t *testing.T) {
	tests := []struct {
		name     string
		answer   string
		complete bool
	}{
		{"closed without a byte", "", false},
		{"truncated header", "HTTP/1.1 200 OK\r\nContent-Le", false},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nA\r\nhalf", false},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false},
		{"no content length", "HTTP/1.1 200 OK\r\n\r\nhalf", false},
		{"not HTTP", "hello\r\n\r\n", false},
		{"complete", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull", true},
		{"complete, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", true},
		{"empty", "HTTP/1.1 204 No Content\r\n\r\n", true},
		{"error status", "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nfull", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			addr, seen := breakingServer(t, test.answer)
			_, err := newClient().Invoke(testContext(t), addr, "q1", command)
			if test.complete != (err == nil) {
				t.Errorf("got %v, want a complete reply: %t", err, test.complete)
			}
			if err != nil && wick.AsError(err).Outcome != wick.Unknown {
				t.Errorf("got %v, want the outcome Unknown", err)
			}
			if n := seen.Load(); n != 1 {
				t.Errorf("sent %d times", n)
			}
		})
	}
}

// breakingServer reads each request, writes the response and closes the
// connection.
func breakingServer(t *testing.T, answer string) (wick.Address, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var seen atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			seen.Add(1)
			readRequest(c)
			fmt.Fprint(c, answer)
			c.Close()
		}
	}()
	return wick.Address(ln.Addr().String()), &seen
}

func readRequest(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil || line == "\r\n" {
			break
		}
	}
	_, _ = r.Discard(len(command.Body))
}
