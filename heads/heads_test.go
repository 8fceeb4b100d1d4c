package heads_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"currantwick/heads"
)

func TestStatusLine(t *testing.T) {
	tests := []struct {
		line  string
		valid bool
	}{
		{"HTTP/1.1 200 OK", true},
		{"HTTP/1.1 200 ", true},
		{"HTTP/1.1 200", true},
		{"HTTP/1.0 404 Not Found", true},
		{"HTTP/1.2 200 OK", true},
		{"HTTP/1.1 100 Continue", true},
		{"HTTP/1.1 599 Last", true},
		{"HTTP/1.1 418 with\ttab, \"quotes\" and \xfcmlaut", true},
		{"", false},
		{"HTTP/1.1", false},
		{"HTTP/1.1 ", false},
		{"HTTP/1.1 000 Trouble", false},
		{"HTTP/1.1 099 Trouble", false},
		{"HTTP/1.1 101 Switching Protocols", false},
		{"HTTP/1.1 600 Trouble", false},
		{"HTTP/1.1 999 Trouble", false},
		{"HTTP/1.1 20 Trouble", false},
		{"HTTP/1.1 2000 Trouble", false},
		{"HTTP/1.1 +20 Trouble", false},
		{"HTTP/1.1 -20 Trouble", false},
		{"HTTP/1.1 2x0 Trouble", false},
		{"HTTP/1.1 200OK", false},
		{"HTTP/1.1 200\tOK", false},
		{"HTTP/1.1  200 OK", false},
		{" HTTP/1.1 200 OK", false},
		{"HTTP/1.1 200 O\x00K", false},
		{"HTTP/1.1 200 O\rK", false},
		{"HTTP/1.1 200 O\x7fK", false},
		{"HTTP/2.0 200 OK", false},
		{"HTTP/1.x 200 OK", false},
		{"http/1.1 200 OK", false},
		{"ICY 200 OK", false},
	}
	for _, test := range tests {
		t.Run(test.line, func(t *testing.T) {
			err := heads.Check(bufio.NewReader(strings.NewReader(test.line + "\r\n\r\n")))
			if (err == nil) != test.valid {
				t.Errorf("got %v, want an error: %v", err, !test.valid)
			}
		})
	}
}

// Parsers ignore a transfer coding before HTTP/1.1 and return its chunks as the body.
func TestTransferCoding(t *testing.T) {
	tests := []struct {
		head  string
		valid bool
	}{
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", true},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", false},
		{"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\nContent-Length: 2\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.head, func(t *testing.T) {
			err := heads.Check(bufio.NewReader(strings.NewReader(test.head + "\r\n")))
			if (err == nil) != test.valid {
				t.Errorf("got %v, want an error: %v", err, !test.valid)
			}
		})
	}
}

func TestFields(t *testing.T) {
	tests := []struct {
		name, fields string
		valid        bool
	}{
		{"none", "", true},
		{"letters, digits, dashes", "X-Y2: 1\r\n", true},
		{"all characters of tokens", "!#$%&'*+-.^_`|~09azAZ: 1\r\n", true},
		{"no value", "X:\r\nY: \r\n", true},
		{"whitespace around the value", "X: \t a b\t \r\n", true},
		{"colons and bytes over 127 in the value", "X: a:b \xfc\r\n", true},
		{"line feeds only", "X: 1\nY: 2\n", true},
		{"space in the name", "X Y: 1\r\n", false},
		{"space after the name", "X : 1\r\n", false},
		{"space before the first name", " X: 1\r\n", false},
		{"space before another name", "X: 1\r\n Y: 1\r\n", false},
		{"tab before another name", "X: 1\r\n\tY: 1\r\n", false},
		{"tab in the name", "X\tY: 1\r\n", false},
		{"zero byte in the name", "X\x00Y: 1\r\n", false},
		{"control byte in the name", "X\x1fY: 1\r\n", false},
		{"delete in the name", "X\x7fY: 1\r\n", false},
		{"carriage return in the name", "X\rY: 1\r\n", false},
		{"separator in the name", "X(Y): 1\r\n", false},
		{"byte over 127 in the name", "X\xfcY: 1\r\n", false},
		{"no name", ": 1\r\n", false},
		{"no colon", "X\r\n", false},
		{"line of a space", "X: 1\r\n \r\n", false},
		{"zero byte in the value", "X: a\x00b\r\n", false},
		{"carriage return in the value", "X: a\rY: b\r\n", false},
		{"two carriage returns", "X: a\r\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := heads.Check(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + test.fields + "\r\n")))
			if (err == nil) != test.valid {
				t.Errorf("got %v, want an error: %v", err, !test.valid)
			}
		})
	}
}

// Check consumes nothing, however the head arrives, and does not read beyond it.
func TestCheckConsumesNothing(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX: y\nZ: \r\n\r\n"
	tests := []struct {
		name string
		in   io.Reader
		// whole is set if the head is complete, and err the expected error of another.
		whole bool
		err   error
	}{
		{"at once", strings.NewReader(head + "body"), true, nil},
		{"by bytes", iotest.OneByteReader(strings.NewReader(head + "body")), true, nil},
		{"without a body", iotest.DataErrReader(strings.NewReader(head)), true, nil},
		{"cut", strings.NewReader(head[:len(head)-2]), false, io.ErrUnexpectedEOF},
		{"empty", strings.NewReader(""), false, io.ErrUnexpectedEOF},
		{"failed", iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader(head))), false, iotest.ErrTimeout},
		{"too long", strings.NewReader(head[:len(head)-2] + strings.Repeat("X: y\r\n", 1000) + "\r\n"), false, bufio.ErrBufferFull},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := bufio.NewReader(test.in)
			if err := heads.Check(r); !errors.Is(err, test.err) {
				t.Fatalf("got %v, want %v", err, test.err)
			}
			if !test.whole {
				return
			}
			if got, err := io.ReadAll(io.LimitReader(r, int64(len(head)))); string(got) != head {
				t.Errorf("left %q, %v of the head", got, err)
			}
		})
	}
}
