package fault

import (
	"bufio"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"currantwick"
)

const (
	replyTimeout  = 5 * time.Second
	silenceWindow = 150 * time.Millisecond
)

// echoTCP starts a server that echoes lines.
func echoTCP(t *testing.T) wick.Address {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadBytes('\n')
					if err != nil {
						return
					}
					if _, err := c.Write(line); err != nil {
						return
					}
				}
			}()
		}
	}()
	return wick.Address(ln.Addr().String())
}

func echoUDP(t *testing.T) wick.Address {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	go func() {
		buf := make([]byte, 1024)
		for {
			n, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = c.WriteTo(buf[:n], from)
		}
	}()
	return wick.Address(c.LocalAddr().String())
}

func startEchoLink(t *testing.T, network Network) (*Proxy, string) {
	t.Helper()
	target := echoTCP(t)
	if network == UDP {
		target = echoUDP(t)
	}
	p, err := Start(Config{Seed: 1, Links: []Link{
		{Name: "a", Network: network, Listen: "127.0.0.1:0", Target: target},
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	return p, string(p.Address("a"))
}

// exchange sends a line and returns the outcome: "echo", "silent", "broken" or
// "wrong".
func exchange(c net.Conn, wait time.Duration) string {
	if _, err := c.Write([]byte("hello\n")); err != nil {
		return "broken"
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	line := make([]byte, 6)
	n, err := c.Read(line)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "silent"
	case err != nil:
		return "broken"
	case string(line[:n]) != "hello\n":
		return "wrong"
	}
	return "echo"
}

func TestLinks(t *testing.T) {
	delay := wick.Duration(200 * time.Millisecond)
	all := 1.0
	tests := []struct {
		name    string
		network Network
		fault   Control
		// old is the outcome on a connection opened before the fault, and fresh
		// that on one opened after it.
		old, fresh string
	}{
		{"pass", TCP, Control{Mode: Pass}, "echo", "echo"},
		{"silence", TCP, Control{Silence: true}, "silent", "echo"},
		{"reset", TCP, Control{Reset: true}, "broken", "echo"},
		{"cut", TCP, Control{Mode: Cut}, "broken", "refused"},
		{"blackhole", TCP, Control{Mode: Blackhole}, "silent", "silent"},
		{"hold towards the target", TCP, Control{Mode: HoldTo}, "silent", "silent"},
		{"hold from the target", TCP, Control{Mode: HoldFrom}, "silent", "silent"},
		{"delay", TCP, Control{Delay: &delay}, "silent", "silent"},
		{"named link", TCP, Control{Links: []LinkName{"a"}, Silence: true}, "silent", "echo"},
		{"UDP pass", UDP, Control{Mode: Pass}, "echo", "echo"},
		{"UDP silence", UDP, Control{Silence: true}, "silent", "echo"},
		{"UDP cut", UDP, Control{Mode: Cut}, "silent", "silent"},
		{"UDP loss", UDP, Control{Loss: &all}, "silent", "silent"},
		{"UDP delay", UDP, Control{Delay: &delay}, "silent", "silent"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, addr := startEchoLink(t, test.network)
			network := map[Network]string{TCP: "tcp", UDP: "udp"}[test.network]
			old, err := net.Dial(network, addr)
			if err != nil {
				t.Fatal(err)
			}
			defer old.Close()
			if got := exchange(old, replyTimeout); got != "echo" {
				t.Fatalf("before the fault: %s, want echo", got)
			}
			if err := p.Set(test.fault); err != nil {
				t.Fatal(err)
			}
			if got := exchange(old, silenceWindow); got != test.old {
				t.Errorf("old connection: %s, want %s", got, test.old)
			}
			got := "refused"
			if fresh, err := net.Dial(network, addr); err == nil {
				defer fresh.Close()
				got = exchange(fresh, silenceWindow)
			}
			if got != test.fresh {
				t.Errorf("fresh connection: %s, want %s", got, test.fresh)
			}
		})
	}
}

// TestBlackholeKeepsBytes checks that no bytes of a stream are lost in a
// blackhole.
func TestBlackholeKeepsBytes(t *testing.T) {
	p, addr := startEchoLink(t, TCP)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := p.Set(Control{Mode: Blackhole}); err != nil {
		t.Fatal(err)
	}
	if got := exchange(c, silenceWindow); got != "silent" {
		t.Fatalf("in the blackhole: %s, want silent", got)
	}
	if err := p.Set(Control{Mode: Pass}); err != nil {
		t.Fatal(err)
	}
	for i := range 2 { // The first answer belongs to the line sent in the blackhole.
		if got := exchange(c, replyTimeout); got != "echo" {
			t.Errorf("answer %d: %s, want echo", i, got)
		}
	}
}

// TestMirrorsRefusal checks that the link refuses connections while its target
// does, and accepts them again afterwards.
func TestMirrorsRefusal(t *testing.T) {
	p, addr := startEchoLink(t, TCP)
	echoAddr := p.linkFaults["a"].targetAddr()
	if err := p.Set(Control{Target: "127.0.0.1:1"}); err != nil {
		t.Fatal(err)
	}
	dial := func() string {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return "refused"
		}
		defer c.Close()
		return exchange(c, replyTimeout)
	}
	waitFor := func(want string) {
		for deadline := time.Now().Add(replyTimeout); dial() != want; {
			if time.Now().After(deadline) {
				t.Fatalf("timed out waiting for outcome %q", want)
			}
		}
	}
	waitFor("refused")
	if err := p.Set(Control{Target: wick.Address(echoAddr)}); err != nil {
		t.Fatal(err)
	}
	waitFor("echo")
}

func TestDuplicate(t *testing.T) {
	p, addr := startEchoLink(t, UDP)
	c, err := net.Dial("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	all := 1.0
	if err := p.Set(Control{Duplicate: &all}); err != nil {
		t.Fatal(err)
	}
	if got := exchange(c, replyTimeout); got != "echo" {
		t.Fatal(got)
	}
	buf := make([]byte, 16)
	for i := range 3 { // Two copies on the way there, and two replies to each.
		_ = c.SetReadDeadline(time.Now().Add(replyTimeout))
		if _, err := c.Read(buf); err != nil {
			t.Fatalf("copy %d: %v", i+2, err)
		}
	}
}

func TestRefusesSettings(t *testing.T) {
	good := Link{Name: "a", Network: TCP, Listen: "127.0.0.1:0", Target: "127.0.0.1:1"}
	tests := []struct {
		name string
		edit func(*Link)
	}{
		{"network", func(l *Link) { l.Network = "SCTP" }},
		{"listen", func(l *Link) { l.Listen = "localhost" }},
		{"target", func(l *Link) { l.Target = "" }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := good
			test.edit(&l)
			if p, err := Start(Config{Links: []Link{l}}); err == nil {
				t.Errorf("accepted; closed with %v", p.Close())
			}
		})
	}
	if p, err := Start(Config{Links: []Link{good, good}}); err == nil {
		t.Errorf("accepted a duplicate name; closed with %v", p.Close())
	}
}
