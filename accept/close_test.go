package accept

import (
	"context"
	"errors"
	"io"
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

// An answer whose remote end reads slowly but steadily counted as unread when it was
// written at once, or copied from a reader; one that was copied had no deadline.
func TestLargeWrites(t *testing.T) {
	const size = 4 << 20
	tests := []struct {
		name  string
		reads bool
		write func(c *Conn) error
	}{
		{"written to a slow reader", true, func(c *Conn) error {
			_, err := c.Write(make([]byte, size))
			return err
		}},
		{"copied to a slow reader", true, func(c *Conn) error {
			_, err := io.Copy(c, io.LimitReader(zeros{}, size))
			return err
		}},
		{"written to nobody", false, func(c *Conn) error {
			_, err := c.Write(make([]byte, size))
			return err
		}},
		{"copied to nobody", false, func(c *Conn) error {
			_, err := io.Copy(c, io.LimitReader(zeros{}, size))
			return err
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, remote := accepted(t, tally.NewMemory(1<<20))
			if err := errors.Join(c.SetWriteBuffer(32<<10), remote.(*net.TCPConn).SetReadBuffer(32<<10)); err != nil {
				t.Fatal(err)
			}
			c.enter(serving)
			var group errgroup.Group
			ended := make(chan struct{})
			group.Go(func() error {
				defer close(ended)
				return test.write(c)
			})
			seen := make(map[int64]bool)
			for n := 0; test.reads && n < size; {
				k, err := remote.Read(make([]byte, 64<<10))
				if err != nil {
					t.Fatal(err)
				}
				n += k
				seen[c.blocked.Load()] = true
			}
			if !test.reads {
				for end := time.Now().Add(5 * time.Second); c.blocked.Load() == 0 && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				if c.blocked.Load() == 0 {
					t.Error("the write does not count as blocked")
				}
				remote.Close()
			}
			<-ended
			if err := group.Wait(); (err == nil) != test.reads {
				t.Errorf("the write ended with %v", err)
			}
			// The write begins anew with each step.
			if test.reads && len(seen) < 8 {
				t.Errorf("the time since which the write is blocked took %d values", len(seen))
			}
		})
	}
}

// zeros is an endless io.Reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
