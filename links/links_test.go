package links_test

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"currantwick"
	"currantwick/links"

	"golang.org/x/sync/errgroup"
)

// events implements wick.LinkHandler with a channel.
type events chan event

// event is one call of wick.LinkHandler.
type event struct {
	kind string
	link wick.Link
	from wick.HostName
	msg  wick.LinkMessage
}

func (e events) LinkUp(l wick.Link, to wick.Instance, _ wick.Address) {
	e <- event{kind: "up", link: l, from: to.Host}
}

func (e events) LinkMessage(l wick.Link, msg wick.LinkMessage) {
	e <- event{kind: "message", link: l, msg: msg}
}
func (e events) LinkDown(l wick.Link, _ error)      { e <- event{kind: "down", link: l} }
func (e events) DialFailed(_ wick.Address, _ error) { e <- event{kind: "failed"} }

func (e events) next(t *testing.T) event {
	t.Helper()
	select {
	case ev := <-e:
		return ev
	case <-time.After(5 * time.Second):
		t.Fatal("no event within 5 s")
		return event{}
	}
}

// startHub starts a listening hub, and returns it with its events and address.
func startHub(t *testing.T, host wick.HostName) (*links.Hub, events, wick.Address) {
	t.Helper()
	var group errgroup.Group
	ctx, cancel := context.WithCancel(context.Background())
	ev := make(events, 64)
	h := links.New(links.Config{
		Self:   wick.Instance{Host: host, Incarnation: 1, PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", Domain: "d"},
		Events: ev, Group: &group,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	group.Go(func() error { return h.Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return h, ev, wick.Address(l.Addr().String())
}

func TestLinkCarriesMessagesBothWays(t *testing.T) {
	a, atA, _ := startHub(t, "a")
	_, atB, addr := startHub(t, "b")
	a.Dial(t.Context(), addr)
	upA, upB := atA.next(t), atB.next(t)
	if upA.kind != "up" || upA.from != "b" || upB.kind != "up" || upB.from != "a" {
		t.Fatalf("got %+v and %+v, want links to b and a", upA, upB)
	}
	upA.link.Post(wick.LinkMessage{Report: &wick.InstanceReport{Ready: true}})
	if ev := atB.next(t); ev.msg.Report == nil || !ev.msg.Report.Ready {
		t.Errorf("b got %+v, want a report", ev)
	}
	upB.link.Post(wick.LinkMessage{Update: &wick.HolderUpdate{Shards: []wick.Shard{3}}})
	if ev := atA.next(t); ev.msg.Update == nil || len(ev.msg.Update.Shards) != 1 {
		t.Errorf("a got %+v, want an update", ev)
	}
	upA.link.Close()
	if evA, evB := atA.next(t), atB.next(t); evA.kind != "down" || evB.kind != "down" {
		t.Errorf("got %s and %s, want both ends down", evA.kind, evB.kind)
	}
}

func TestIdleLinkCloses(t *testing.T) {
	a, atA, _ := startHub(t, "a")
	_, _, addr := startHub(t, "b")
	a.Dial(t.Context(), addr)
	up := atA.next(t)
	began := time.Now()
	if ev := atA.next(t); up.kind != "up" || ev.kind != "down" {
		t.Fatalf("got %s and %s, want a link that ends", up.kind, ev.kind)
	}
	if took := time.Since(began); took < 500*time.Millisecond || took > 3*time.Second {
		t.Errorf("idle link closed after %v", took)
	}
}

// TestMalformedHandshakes checks that malformed first messages open no link and
// that other daemons can still connect.
func TestMalformedHandshakes(t *testing.T) {
	_, atB, addr := startHub(t, "b")
	tests := []struct {
		name string
		data []byte
	}{
		{"nothing", nil},
		{"not a message", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"a huge length", binary.BigEndian.AppendUint32(nil, 1<<31)},
		{"an empty message", binary.BigEndian.AppendUint32(nil, 0)},
	}
	for _, test := range tests {
		c, err := net.Dial("tcp", string(addr))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write(test.data); err != nil {
			t.Errorf("%s: %v", test.name, err)
		}
		c.Close()
	}
	a, _, _ := startHub(t, "a")
	a.Dial(t.Context(), addr)
	if ev := atB.next(t); ev.kind != "up" || ev.from != "a" {
		t.Errorf("got %+v, want a link to a", ev)
	}
}

func TestDialFails(t *testing.T) {
	a, atA, _ := startHub(t, "a")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := wick.Address(l.Addr().String())
	l.Close()
	a.Dial(t.Context(), addr)
	if ev := atA.next(t); ev.kind != "failed" {
		t.Errorf("got %+v, want a failed dial", ev)
	}
}
