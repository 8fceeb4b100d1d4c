package abuse

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"currantwick/pause"

	"golang.org/x/sys/unix"
)

// socketError returns an error if the other end has closed or reset the connection.
func socketError(c net.Conn) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var info *unix.TCPInfo
	var failed error
	if err := raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return err
	}
	if failed == nil && info.State != unix.BPF_TCP_ESTABLISHED {
		failed = syscall.ECONNRESET
	}
	return failed
}

const (
	postHead  = "POST /safe/x HTTP/1.1\r\nHost: abuse.example\r\nCurrantwick-Attempt-Identifier: q\r\n"
	openHead  = "GET /safe/x HTTP/1.1\r\nHost: abuse.example\r\n"
	streaming = "GET /stream/x HTTP/1.1\r\nHost: abuse.example\r\nCurrantwick-Attempt-Identifier: q\r\nCurrantwick-Time-Remaining: 60000\r\n\r\n"
)

// shortLines returns about size bytes of header lines with different names.
func shortLines(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

// Heads that never ended, or were over the limit, took the memory of a process.
func TestHeads(t *testing.T) {
	empty, long, short := strings.Repeat("\r\n", 8<<10), strings.Repeat("x", 60<<10), shortLines(60<<10)
	within := shortLines(15 << 10)
	repeat := func(s string) func(int) string { return func(int) string { return s } }
	tests := []abuse{
		{"empty lines", callers, 300, oneAddress, send("", repeat(empty)), 1000},
		{"empty lines after a request", callers, 300, oneAddress, send(postHead+"Content-Length: 0\r\n\r\n", repeat(empty)), 1000},
		{"one endless line", callers, 400, oneAddress, send(openHead+"A: ", repeat(long)), 1000},
		{"one long line without an end", callers, 400, oneAddress, send(openHead+"A: "+long, nil), 1000},
		{"many short lines without an end", callers, 400, oneAddress, send(openHead+short, nil), 1000},
		{"many short lines without an end, from many addresses", callers, 400, manyAddresses, send(openHead+short, nil), 1000},
		{"many short lines within the limit, with a body that stays away", callers, 400, manyAddresses, send(postHead+"Content-Length: 10\r\n"+within+"\r\n", nil), 1000},
		{"short lines to the directory", directory, 400, oneAddress, send(openHead+short, nil), 1000},
		{"short lines to readiness", readiness, 400, oneAddress, send(openHead+short, nil), 1000},
		{"short lines to the metrics", metrics, 400, oneAddress, send(openHead+short, nil), 1000},
		{"one byte at a time", callers, 600, oneAddress, func(ctx context.Context, c net.Conn) error {
			for _, b := range []byte(openHead) {
				if _, err := c.Write([]byte{b}); err != nil {
					return err
				}
				pause.For(ctx, 500*time.Millisecond)
			}
			return hold(ctx, c)
		}, 1000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { run(t, test) })
	}
}

// Connections that carried nothing took all descriptors of a process, which then could
// accept no links and exited.
func TestIdle(t *testing.T) {
	nothing := send("", nil)
	tests := []abuse{
		{"connections of callers", callers, 700, oneAddress, nothing, 1000},
		{"connections of callers, from many addresses", callers, 700, manyAddresses, nothing, 1000},
		{"connections that carried a request", callers, 700, manyAddresses, send(postHead+"Content-Length: 0\r\n\r\n", nil), 1000},
		{"connections to the directory", directory, 700, oneAddress, nothing, 1000},
		{"connections to readiness", readiness, 700, oneAddress, nothing, 1000},
		{"connections to the metrics", metrics, 700, oneAddress, nothing, 1000},
		{"connections of daemons", peers, 700, oneAddress, nothing, 1000},
		{"upgrades", callers, 700, oneAddress, send(openHead+"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n", nil), 1000},
		{"upgrades to HTTP/2", callers, 700, oneAddress, send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", nil), 1000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { run(t, test) })
	}
}

// Bodies that never came kept their share of the memory for ever, so that ordinary bodies
// were refused.
func TestBodies(t *testing.T) {
	const ordinary = 3_000_000
	announced := postHead + "Content-Length: 4194304\r\n\r\n"
	chunked := postHead + "Transfer-Encoding: chunked\r\n\r\n"
	repeat := func(s string) func(int) string { return func(int) string { return s } }
	tests := []abuse{
		{"announced and never sent", callers, 100, oneAddress, send(announced, nil), ordinary},
		{"announced and never sent, from many addresses", callers, 100, manyAddresses, send(announced, nil), ordinary},
		{"a part of it sent", callers, 100, manyAddresses, send(announced+strings.Repeat("x", 100_000), nil), ordinary},
		{"small ones announced and never sent", callers, 600, manyAddresses, send(postHead+"Content-Length: 16384\r\n\r\n", nil), ordinary},
		{"sent at one byte in a while", callers, 100, manyAddresses, func(ctx context.Context, c net.Conn) error {
			if _, err := io.WriteString(c, announced); err != nil {
				return err
			}
			for pause.For(ctx, 300*time.Millisecond) {
				if _, err := c.Write([]byte("x")); err != nil {
					return err
				}
			}
			return nil
		}, ordinary},
		{"endless chunks", callers, 100, oneAddress, send(chunked, repeat("1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n")), ordinary},
		{"endless chunk extensions", callers, 100, oneAddress, send(chunked, repeat("1;a="+strings.Repeat("x", 2000)+"\r\nx\r\n")), ordinary},
		{"an endless chunk extension", callers, 100, oneAddress, send(chunked+"1;a=", repeat(strings.Repeat("x", 60<<10))), ordinary},
		{"endless trailers", callers, 100, oneAddress, send(chunked+"1\r\nx\r\n0\r\n", func(n int) string { return fmt.Sprintf("A%d: x\r\n", n) }), ordinary},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { run(t, test) })
	}
}

// Answers that nobody read took the memory of a process.
func TestAnswers(t *testing.T) {
	request := postHead + "Content-Length: 0\r\n\r\n"
	tests := []abuse{
		{"one stream never read", callers, 1, oneAddress, send(streaming, nil), 1000},
		{"many streams never read", callers, 400, oneAddress, send(streaming, nil), 1000},
		{"many streams never read, from many addresses", callers, 400, manyAddresses, send(streaming, nil), 1000},
		{"many streams read slowly", callers, 200, manyAddresses, func(ctx context.Context, c net.Conn) error {
			if _, err := io.WriteString(c, streaming); err != nil {
				return err
			}
			buf := make([]byte, 64<<10)
			for pause.For(ctx, 500*time.Millisecond) {
				if _, err := c.Read(buf); err != nil {
					return err
				}
			}
			return nil
		}, 1000},
		{"pipelined requests whose answers are never read", callers, 100, oneAddress, send("", func(int) string { return request }), 1000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { run(t, test) })
	}
}

// Whatever connects to the address for daemons could make a process take 32 MB for each
// connection.
func TestLinks(t *testing.T) {
	frame := string(binary.BigEndian.AppendUint32(nil, 32<<20))
	tests := []abuse{
		{"large first messages", peers, 100, oneAddress, send(frame, func(int) string { return strings.Repeat("x", 1<<20) }), 1000},
		{"requests of HTTP", peers, 100, oneAddress, send(openHead, func(int) string { return "A: x\r\n" }), 1000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { run(t, test) })
	}
}
