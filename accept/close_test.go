package accept

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/tally"

	"golang.org/x/sync/errgroup"
)

// accepted returns an accepted connection of a listener with the given budget, and its
// remote end.
func accepted(t *testing.T, budget wick.MemoryBudget) (*Conn, net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(inner, Config{
		Name: "test", Connections: 10, Forwards: true, Memory: budget, Heads: budget,
		Times:    func() Times { return Times{Head: time.Minute, Idle: time.Minute} },
		Observer: fakes.ConnObserver{}, Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(func() { l.Close() })
	remote, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { remote.Close() })
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc.(*Conn), remote
}

// A request was run although its connection had been closed for another one, or was cut
// because its head was completed while its connection was being chosen.
func TestCloseWhileHeadCompletes(t *testing.T) {
	for range 200 {
		budget := tally.NewMemory(1 << 20)
		c, _ := accepted(t, budget)
		c.enter(inHead)
		var closed bool
		var group errgroup.Group
		group.Go(func() error {
			c.serve()
			return nil
		})
		group.Go(func() error {
			closed = c.listener.closeOne(wick.CloseFull)
			return nil
		})
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		if refused := IsRefused(Context(context.Background(), c)); refused != closed {
			t.Fatalf("refused is %v and closed is %v", refused, closed)
		}
		c.Close()
		if n := budget.Taken(); n != 0 {
			t.Fatalf("%d bytes were not given back", n)
		}
	}
}
