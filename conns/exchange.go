package conns

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"currantwick"
)

const (
	// longRequest is the size from which a request is written concurrently with
	// the reading of its response. It may not fit into the TCP windows of the
	// connection, and the write would block if the server responds before it
	// reads the body.
	longRequest = 16 << 10
	// maxSkipped bounds the interim responses and the responses to earlier
	// requests that are skipped.
	maxSkipped = 2
	// maxHeader bounds the bytes up to the end of a response's header, including
	// skipped responses before it.
	maxHeader = 64 << 10
	// defaultMaxBody bounds the body that Fetch reads.
	defaultMaxBody = 1 << 20
	// maxRest and restTimeout bound what Close reads of a body so that the
	// connection can be reused.
	maxRest     = 64 << 10
	restTimeout = 20 * time.Millisecond
)

// Request is an HTTP request.
type Request struct {
	Method, Target, Host string
	Header               []wick.HeaderField
	Body                 []byte
	// Echo is a header field that the response echoes, which identifies late
	// responses to earlier requests; empty if there is none. A connection that has
	// carried a request with the same value is not reused for this one.
	Echo wick.HeaderField
	// MayLackEcho is set if the remote end may leave the echoed field out, of all
	// responses on a connection.
	MayLackEcho bool
	// MaxIdle is the maximum time for which a reused connection may have been
	// idle.
	MaxIdle time.Duration
	// MaxOpen is the number of connections to the address that the pool may have open;
	// 0 for no limit. A request waits for a free one for a short time, and then exceeds
	// it.
	MaxOpen int
	// MaxBody bounds the body that Fetch reads, in bytes; 1 MiB by default.
	MaxBody int64
	// OnHeader, if set, is called with the header of the response to Fetch.
	OnHeader func(http.Header)
}

// Error is the error of a failed exchange.
type Error struct {
	// Written is set when bytes of the request may have reached the remote end.
	Written bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Reply is the status and header of a response, and a reader of its body.
type Reply struct {
	Status int
	Header http.Header
	// Unframed is set if the body has neither a length nor chunks and ends with its
	// connection, so that its end does not show that it is complete.
	Unframed bool

	conn *conn
	body io.ReadCloser
	// writing is the write of a long request; nil for a short one.
	writing *requestWrite
	// stop cancels the close of the connection at the end of the request's context;
	// it returns false if that close has already started.
	stop func() bool
	// closing is set when the remote end closes the connection, and done when
	// the connection was returned to the pool or closed.
	closing, done bool
}

// requestWrite is the write of a request concurrently with the reading of its response.
type requestWrite struct {
	// ended is closed at the end of the write; err is valid from then on.
	ended chan struct{}
	err   error
}

// Do sends a request and reads the header of the response. Canceling ctx closes
// the connection, also while the body is read. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, addr wick.Address, req *Request) (*Reply, error) {
	c, err := p.connect(ctx, addr, req)
	if err != nil {
		return nil, &Error{Err: err}
	}
	c.maxOpen = req.MaxOpen
	if req.Echo.Name != "" {
		c.carried.add(req.Echo.Value)
	}
	r := &Reply{conn: c, stop: context.AfterFunc(ctx, c.close)}
	wrote, err := r.write(req)
	if err == nil {
		err = r.readHeader(req)
	}
	if err != nil {
		r.drop()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, &Error{Written: wrote, Err: err}
	}
	return r, nil
}

// Fetch sends a request and reads the response. A body that exceeds the request's
// MaxBody is an error.
func (p *Pool) Fetch(ctx context.Context, addr wick.Address, req *Request) (int, []byte, error) {
	r, err := p.Do(ctx, addr, req)
	if err != nil {
		return 0, nil, err
	}
	if req.OnHeader != nil {
		req.OnHeader(r.Header)
	}
	most := req.MaxBody
	if most <= 0 {
		most = defaultMaxBody
	}
	body, err := io.ReadAll(io.LimitReader(r, most+1))
	if err == nil && int64(len(body)) > most {
		err = fmt.Errorf("over the limit of %d bytes", most)
	}
	if err != nil {
		r.drop()
		return 0, nil, &Error{Written: true, Err: fmt.Errorf("read body: %w", err)}
	}
	return r.Status, body, r.Close()
}

// write sends the request and reports whether a byte may have been sent.
func (r *Reply) write(req *Request) (bool, error) {
	head := encodeHead(req)
	if len(head)+len(req.Body) < longRequest {
		n, err := r.conn.net.Write(append(head, req.Body...))
		if err != nil {
			return n > 0, fmt.Errorf("write request: %w", err)
		}
		return true, nil
	}
	r.writing = &requestWrite{ended: make(chan struct{})}
	w, nc := r.writing, r.conn.net
	r.conn.pool.group.Go(func() error {
		defer close(w.ended)
		// Two writes, as a copy of a long body would take its memory twice.
		if _, w.err = nc.Write(head); w.err == nil {
			_, w.err = nc.Write(req.Body)
		}
		return nil // A failed write shows as a missing response, or in checkEnd.
	})
	return true, nil
}

// encodeHead returns the HTTP/1.1 encoding of a request up to its body. A short body may
// be appended without a copy.
func encodeHead(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(req.Body), longRequest))
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	for _, f := range req.Header {
		b.WriteString(f.Name + ": " + f.Value + "\r\n")
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHeader reads the header of the response. It skips interim responses and
// those to earlier requests, and reads at most maxHeader bytes of all of them.
func (r *Reply) readHeader(req *Request) error {
	c := r.conn
	c.input.left = maxHeader
	for range maxSkipped + 1 {
		if err := c.checkHead(); err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		resp, err := http.ReadResponse(c.read, &http.Request{Method: req.Method})
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		own, err := c.answers(resp, req)
		if err != nil {
			return err
		}
		if own {
			c.input.left = unlimited
			r.Status, r.Header, r.closing, r.body = resp.StatusCode, resp.Header, resp.Close, resp.Body
			r.Unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
			return nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return fmt.Errorf("read answer to an earlier request: %w", err)
		}
	}
	return errors.New("read answer: only answers to earlier requests")
}

// answers reports whether a response belongs to a request. One without the echoed
// field can't be told from a late copy of an earlier response once the connection
// has carried one.
func (c *conn) answers(resp *http.Response, req *Request) (bool, error) {
	if req.Echo.Name == "" {
		return true, nil
	}
	echo := resp.Header.Get(req.Echo.Name)
	if echo != "" {
		c.echoed = true
		return echo == req.Echo.Value, nil
	}
	if c.reused && (c.echoed || !req.MayLackEcho) {
		return false, fmt.Errorf("read answer: no %s on a reused connection", req.Echo.Name)
	}
	return true, nil
}

// Read implements io.Reader. It returns io.EOF only after a complete body; one that is
// unframed counts as complete if the remote end closed the connection without a reset.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		if cut := r.checkEnd(); cut != nil {
			r.drop()
			return n, fmt.Errorf("read body: %w", cut)
		}
		r.finish()
	case err != nil:
		r.drop()
		err = fmt.Errorf("read body: %w", err)
	}
	return n, err
}

// checkEnd returns an error if an unframed body did not end with an orderly close of its
// connection. The kernel reports a failed connection to one call only: if that was the write
// of the request, reads return io.EOF as if the remote end had closed the connection.
func (r *Reply) checkEnd() error {
	if !r.Unframed || r.writing == nil {
		return nil
	}
	// The connection can't be reused, so the rest of the request need not be written.
	r.closing = true
	if err := r.conn.net.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return fmt.Errorf("end the request: %w", err)
	}
	<-r.writing.ended
	switch err := r.writing.err; {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		return nil
	case errors.Is(err, syscall.EPIPE):
		return nil // The reset followed an orderly close.
	default:
		return fmt.Errorf("connection failed while the request was written: %w", err)
	}
}

// finish returns the connection to the pool after a complete response, or closes
// it if it can't be reused.
func (r *Reply) finish() {
	if r.done {
		return
	}
	r.done = true
	if !r.stop() || r.closing || r.conn.read.Buffered() > 0 || !r.requestSent() {
		r.conn.close()
		return
	}
	r.conn.release(idleTimeout(r.Header))
}

// requestSent reports whether the whole request was written.
func (r *Reply) requestSent() bool {
	if r.writing == nil {
		return true
	}
	select {
	case <-r.writing.ended:
		return r.writing.err == nil
	default:
		return false
	}
}

// drop closes the connection unless it was returned to the pool.
func (r *Reply) drop() {
	if r.done {
		return
	}
	r.done = true
	r.stop()
	r.conn.close()
}

// Close ends the exchange. If the rest of the body is short and arrives at once,
// it is discarded so that the connection can be reused; otherwise the connection
// is closed.
func (r *Reply) Close() error {
	if r.done {
		return nil
	}
	nc := r.conn.net
	if err := nc.SetReadDeadline(time.Now().Add(restTimeout)); err != nil {
		r.drop()
		return nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r.body, maxRest))
	if err == nil && n < maxRest && nc.SetReadDeadline(time.Time{}) == nil {
		r.finish()
	}
	r.drop() // Without effect after finish.
	return nil
}

// idleTimeout returns how long a connection may stay idle after a response.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return min(defaultIdle, max(time.Duration(n)*time.Second-idleMargin, 0))
	}
	return defaultIdle
}
