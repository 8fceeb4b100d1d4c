// Package httpc performs each HTTP exchange over a new connection. The TCP
// handshake proves that the remote end is reachable, so a request never waits on
// a connection that died while it was idle. Requests are never retried: only
// after a failure to connect is a request known not to have run.
package httpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"currantwick"
	"currantwick/heads"

	"github.com/valyala/fasthttp"
)

// Defaults of the fields of Config.
const (
	defaultDial        = 2 * time.Second
	defaultReadTimeout = 5 * time.Second
	defaultMaxReply    = wick.Bytes(8 << 20)
)

// maxInterim bounds the interim replies that are skipped.
const maxInterim = 4

// Config sets the limits of exchanges. Zero fields have defaults.
type Config struct {
	// DialTimeout bounds the time to connect; 2 s by default.
	DialTimeout wick.Duration
	// ReadTimeout bounds the wait for each read and the time to write a request; 5
	// s by default.
	ReadTimeout wick.Duration
	// MaxReply bounds a body that is not streamed; 8 MiB by default.
	MaxReply wick.Bytes
}

// Client performs exchanges. It is safe for concurrent use and keeps no
// connections open.
type Client struct {
	cfg Config
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = wick.Duration(defaultDial)
	}
	if cfg.ReadTimeout <= 0 {
		cfg.ReadTimeout = wick.Duration(defaultReadTimeout)
	}
	if cfg.MaxReply <= 0 {
		cfg.MaxReply = defaultMaxReply
	}
	return &Client{cfg}
}

// Do sends a request and reads the whole reply. A reply that is neither chunked
// nor has a content length is an error, since a truncated one would look complete.
func (c *Client) Do(ctx context.Context, addr wick.Address, req *fasthttp.Request, resp *fasthttp.Response) error {
	x, err := c.open(ctx, addr, req, resp)
	if err != nil {
		return fmt.Errorf("exchange: %w", err)
	}
	defer x.Close()
	if err := x.readWhole(int(c.cfg.MaxReply)); err != nil {
		return x.replyError(err)
	}
	return nil
}

// Open sends a request and reads the header of the reply; the caller reads the
// body and closes the exchange. If the status is not 200, the body has
// already been read. Canceling ctx closes the connection.
func (c *Client) Open(ctx context.Context, addr wick.Address, req *fasthttp.Request, resp *fasthttp.Response) (*Exchange, error) {
	x, err := c.open(ctx, addr, req, resp)
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		err = x.readWhole(int(c.cfg.MaxReply))
	} else {
		resp.StreamBody = true
		err = resp.ReadBody(x.r, 0)
	}
	if err != nil {
		err = x.replyError(err)
		x.Close()
		return nil, err
	}
	return x, nil
}

func (c *Client) open(ctx context.Context, addr wick.Address, req *fasthttp.Request, resp *fasthttp.Response) (*Exchange, error) {
	dialer := net.Dialer{Timeout: c.cfg.DialTimeout.Std()}
	conn, err := dialer.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		return nil, dialError(ctx, err)
	}
	x := &Exchange{ctx: ctx, conn: conn, readTimeout: c.cfg.ReadTimeout.Std(), resp: resp}
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	x.r = bufio.NewReader(x)
	if err := x.send(addr, req); err != nil {
		err = x.replyError(err)
		x.Close()
		return nil, err
	}
	return x, nil
}

func dialError(ctx context.Context, err error) *wick.Error {
	if ctx.Err() != nil {
		return wick.NotRunf(wick.CodeCanceled, "connect: %v", ctx.Err())
	}
	return wick.NotRunf(wick.CodeNoEndpoint, "connect: %v", err)
}

// Exchange is a request in progress. Its Read method sets a new deadline before
// each read.
type Exchange struct {
	ctx         context.Context
	conn        net.Conn
	readTimeout time.Duration
	resp        *fasthttp.Response
	r           *bufio.Reader
	stop        func() bool
}

func (x *Exchange) send(addr wick.Address, req *fasthttp.Request) error {
	req.SetHost(string(addr))
	req.SetConnectionClose()
	if err := x.conn.SetWriteDeadline(time.Now().Add(x.readTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	w := bufio.NewWriter(x.conn)
	if err := req.Write(w); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return x.readHead()
}

// readHead reads the head of the reply and skips interim ones.
func (x *Exchange) readHead() error {
	for range maxInterim + 1 {
		if err := heads.Check(x.r); err != nil {
			return fmt.Errorf("read head: %w", err)
		}
		if err := x.resp.Header.Read(x.r); err != nil {
			return fmt.Errorf("read head: %w", err)
		}
		if x.resp.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("read head: more than %d interim replies", maxInterim)
}

func (x *Exchange) readWhole(limit int) error {
	// The length is -1 for a chunked body and -2 for one that ends with the
	// connection.
	length := x.resp.Header.ContentLength()
	status := x.resp.StatusCode()
	if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	if length < -1 {
		return errors.New("reply has no length, so that it may be cut")
	}
	if err := x.resp.ReadBody(x.r, limit); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	if length == -1 {
		if err := x.resp.Header.ReadTrailer(x.r); err != nil {
			return fmt.Errorf("read trailer: %w", err)
		}
	}
	return nil
}

// Read implements io.Reader by reading from the connection.
func (x *Exchange) Read(p []byte) (int, error) {
	if err := x.conn.SetReadDeadline(time.Now().Add(x.readTimeout)); err != nil {
		return 0, fmt.Errorf("set deadline: %w", err)
	}
	return x.conn.Read(p) // Callers compare the error with io.EOF.
}

// Body returns the body of a reply with status 200 that Open has returned.
func (x *Exchange) Body() io.Reader { return x.resp.BodyStream() }

// ReplyError returns the error for a request whose reply could not be read. Its
// outcome is Unknown, since the request may have run.
func (x *Exchange) ReplyError(err error) *wick.Error { return x.replyError(err) }

func (x *Exchange) replyError(err error) *wick.Error {
	if x.ctx.Err() != nil {
		return wick.Unknownf(wick.CodeCanceled, "%v", x.ctx.Err())
	}
	return wick.Unknownf(wick.CodeBroken, "%v", err)
}

// Close closes the connection, which cancels the request at the remote end.
func (x *Exchange) Close() {
	x.stop()
	_ = x.conn.Close()
}
