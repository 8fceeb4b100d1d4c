package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"currantwick"
	"currantwick/conns"
	"currantwick/fakes"

	"pgregory.net/rapid"
)

// doubler is a server whose answers have the body "own". If copies is set, a copy of
// each answer with the body "old" follows late: before the next answer on its connection.
type doubler struct {
	copies bool

	mu sync.Mutex
	// carried has the ids of the requests of each connection.
	carried [][]string
}

// serve accepts connections until the returned function is called, which waits for the
// connections to end.
func (s *doubler) serve(t testing.TB) (wick.Address, func()) {
	srv, err := fakes.StartConnServer(s.answer)
	if err != nil {
		t.Fatal(err)
	}
	return srv.Address(), func() {
		if err := srv.Close(); err != nil {
			t.Error(err)
		}
	}
}

// answer answers the requests on a connection.
func (s *doubler) answer(c net.Conn) {
	s.mu.Lock()
	n := len(s.carried)
	s.carried = append(s.carried, nil)
	s.mu.Unlock()
	r := bufio.NewReader(c)
	late := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		s.mu.Lock()
		s.carried[n] = append(s.carried[n], id)
		s.mu.Unlock()
		own := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 3\r\n\r\nown"
		if _, err := io.WriteString(c, late+own); err != nil {
			return
		}
		late = ""
		if s.copies {
			late = strings.Replace(own, "own", "old", 1)
		}
	}
}

func (s *doubler) connections() [][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.carried
}

// tester is a test, or a check of a property.
type tester interface {
	Context() context.Context
	Fatalf(format string, args ...any)
}

// send sends requests with the given ids, one after the other.
func send(t tester, p *conns.Pool, addr wick.Address, ids []string) {
	for i, id := range ids {
		req := request(id)
		req.Header = []wick.HeaderField{req.Echo}
		if _, body, err := p.Fetch(t.Context(), addr, req); err != nil || string(body) != "own" {
			t.Fatalf("request %d, %s of %v: got %q, %v; want its own answer", i, id, ids, body, err)
		}
	}
}

// A late copy of a refusal passed for the answer to the same request sent again, which
// then ran twice.
func TestLateCopyOfSameRequest(t *testing.T) {
	tests := []struct {
		name string
		ids  []string
		// connections has the requests that each connection carries.
		connections []string
	}{
		{"once", []string{"1"}, []string{"1"}},
		{"twice in a row", []string{"1", "1"}, []string{"1", "1"}},
		{"three times", []string{"1", "1", "1"}, []string{"1", "1", "1"}},
		{"others only", []string{"1", "2", "3"}, []string{"123"}},
		{"others in between", []string{"1", "2", "3", "1"}, []string{"123", "1"}},
		{"others after it", []string{"1", "1", "2", "3"}, []string{"1", "123"}},
		{"two that take turns", []string{"1", "2", "1", "2"}, []string{"12", "12"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &doubler{copies: true}
			addr, end := s.serve(t)
			p := conns.New(conns.Config{})
			send(t, p, addr, test.ids)
			p.CloseIdle(addr)
			end()
			var got []string
			for _, ids := range s.connections() {
				got = append(got, strings.Join(ids, ""))
			}
			if strings.Join(got, " ") != strings.Join(test.connections, " ") {
				t.Errorf("the connections carried %v, want %v", got, test.connections)
			}
		})
	}
}

// No connection carries a request twice, whichever requests come in between and
// however many.
func TestConnectionCarriesRequestOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ids := rapid.SliceOfN(rapid.StringMatching("[a-d]"), 1, 30).Draw(rt, "ids")
		// many requests with ids of their own fill the memory of a connection.
		for i := range rapid.SampledFrom([]int{0, 0, 0, 600}).Draw(rt, "many") {
			ids = append(ids, strings.Repeat("z", i+1))
		}
		ids = append(ids, rapid.SliceOfN(rapid.StringMatching("[a-d]"), 0, 30).Draw(rt, "last")...)
		s := &doubler{copies: rapid.Bool().Draw(rt, "copies")}
		addr, end := s.serve(t)
		p := conns.New(conns.Config{})
		send(rt, p, addr, ids)
		p.CloseIdle(addr)
		end()
		for _, list := range s.connections() {
			seen := make(map[string]bool)
			for _, id := range list {
				if seen[id] {
					rt.Fatalf("a connection carried %s twice: %v", id, list)
				}
				seen[id] = true
			}
		}
	})
}
