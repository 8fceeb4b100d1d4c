package boot

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// A request on a connection that was idle when the stop began is answered, also
// if its head has arrived only in part by then.
func TestIdleConnectionsDuringStop(t *testing.T) {
	const first, rest = "GET / HTTP/1.1\r\nHost: h\r\n", "\r\n"
	tests := []struct {
		name string
		// before is written ahead of the stop, and after behind it.
		before, after string
	}{
		{"idle", "", first + rest},
		{"half a head", first, rest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := &stopHandler{next: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "hi") })}
			srv := httptest.NewServer(h)
			defer srv.Close()
			c, err := net.Dial("tcp", srv.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			r := bufio.NewReader(c)
			io.WriteString(c, first+rest)
			answered(t, r)
			io.WriteString(c, test.before)
			time.Sleep(20 * time.Millisecond) // The server is to read what was written so far.
			h.stopping.Store(true)
			io.WriteString(c, test.after)
			if !answered(t, r) {
				t.Error("the connection stays open after the answer")
			}
		})
	}
}

// answered reads an answer and reports whether it closes the connection.
func answered(t *testing.T, r *bufio.Reader) bool {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != "hi" {
		t.Errorf("got %q, %v; want hi", body, err)
	}
	return resp.Close
}
