// Package heads checks the heads of HTTP/1.1 responses before a library parses them. The
// libraries accept more than RFC 9110 and RFC 9112 allow, and differ in what they make of it.
package heads

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus bound the valid status codes. The protocol gives no meaning to
	// others, although three digits have room for them.
	minStatus = http.StatusContinue
	maxStatus = 599
	// maxQuoted bounds what an error quotes of a line, in bytes.
	maxQuoted = 80
)

// Check reads the next head into the buffer of r, and returns an error as soon as a line is
// malformed. It consumes nothing. The error is bufio.ErrBufferFull if the head exceeds the buffer, and
// io.ErrUnexpectedEOF if the input ends before the head does.
func Check(r *bufio.Reader) error {
	var h head
	checked := 0 // Bytes of the lines that were checked.
	for {
		buf, _ := r.Peek(r.Buffered()) // What is buffered can be peeked.
		for {
			n := bytes.IndexByte(buf[checked:], '\n')
			if n < 0 {
				break
			}
			line := bytes.TrimSuffix(buf[checked:checked+n], []byte("\r"))
			checked += n + 1
			if isEnd, err := h.add(line); isEnd || err != nil {
				return err
			}
		}
		if _, err := r.Peek(len(buf) + 1); errors.Is(err, io.EOF) {
			return fmt.Errorf("read: %w", io.ErrUnexpectedEOF)
		} else if err != nil {
			return fmt.Errorf("read: %w", err)
		}
	}
}

// head is what the lines of a head that were checked say of those that follow.
type head struct {
	// hasStatus is set after the status line, and isHTTP10 if that is one of HTTP/1.0.
	hasStatus, isHTTP10 bool
}

// add checks the next line and reports whether it ends the head.
func (h *head) add(line []byte) (isEnd bool, err error) {
	switch {
	case !h.hasStatus:
		h.hasStatus = true
		h.isHTTP10 = bytes.HasPrefix(line, []byte("HTTP/1.0"))
		return false, checkStatusLine(line)
	case len(line) == 0:
		return true, nil
	default:
		return false, h.checkField(line)
	}
}

// checkStatusLine checks a status line against RFC 9112, section 4. The space before an empty
// reason phrase may be missing, as many servers omit it.
func checkStatusLine(line []byte) error {
	const protoEnd, codeEnd = len("HTTP/1.1"), len("HTTP/1.1 200")
	malformed := func() error { return fmt.Errorf("malformed status line %q", line[:min(len(line), maxQuoted)]) }
	if len(line) < codeEnd || !bytes.HasPrefix(line, []byte("HTTP/1.")) || !isDigit(line[protoEnd-1]) || line[protoEnd] != ' ' {
		return malformed()
	}
	code, reason := 0, line[codeEnd:]
	for _, c := range line[protoEnd+1 : codeEnd] {
		if !isDigit(c) {
			return malformed()
		}
		code = 10*code + int(c-'0')
	}
	if len(reason) > 0 && reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return malformed()
	}
	// No request asks for an upgrade.
	if code < minStatus || code > maxStatus || code == http.StatusSwitchingProtocols {
		return fmt.Errorf("invalid status code %03d", code)
	}
	return nil
}

// checkField checks a field line against RFC 9110, sections 5.1 and 5.5. Line folding is
// rejected, as RFC 9112, section 5.2 allows for proxies.
func (h *head) checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
		return fmt.Errorf("malformed field line %q", line[:min(len(line), maxQuoted)])
	}
	// Faulty by RFC 9112, section 6.1. Parsers ignore the field and return the chunks as the
	// body.
	if h.isHTTP10 && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return errors.New("Transfer-Encoding in an HTTP/1.0 response")
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
