package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"time"

	"currantwick"

	"github.com/quic-go/quic-go"
)

// ClientConfig sets up a Client.
type ClientConfig struct {
	// TLS returns the client's side of mutual TLS; called at each dial, so
	// that reloaded keys take effect.
	TLS func() *tls.Config
	// Quiet bounds the silence on a connection before it is given up.
	Quiet time.Duration
	// Note counts calls.
	Note wick.PeerNote
}

// Client implements wick.Peers. It keeps one connection to each daemon it
// talks to. Every dial uses a socket of its own, so that a new connection is a
// new flow to whatever stands between the two ends.
type Client struct {
	cfg ClientConfig

	mu    sync.Mutex
	links map[wick.Address]*link
}

// link is the connection to one address. Its lock is held while dialling, so
// that callers share one handshake.
type link struct {
	mu   sync.Mutex
	conn *quic.Conn // nil until dialled and after it was dropped
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, links: make(map[wick.Address]*link)}
}

// Close drops all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.drop(nil)
	}
}

func (c *Client) link(to wick.Address) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[to]
	if l == nil {
		l = &link{}
		c.links[to] = l
	}
	return l
}

// open returns a new stream to an address, dialling first if there is no live
// connection.
func (c *Client) open(ctx context.Context, to wick.Address) (*quic.Stream, error) {
	l := c.link(to)
	conn, err := l.dial(ctx, c.cfg, to)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", to, err)
	}
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		l.drop(conn)
		return nil, fmt.Errorf("open stream to %s: %w", to, err)
	}
	return s, nil
}

func (l *link) dial(ctx context.Context, cfg ClientConfig, to wick.Address) (*quic.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.Context().Err() == nil {
		return l.conn, nil
	}
	conn, err := quic.DialAddr(ctx, string(to), cfg.TLS(), quicConfig(cfg.Quiet))
	if err != nil {
		return nil, fmt.Errorf("handshake: %w", err)
	}
	l.conn = conn
	return conn, nil
}

// drop closes conn, or whatever connection there is if conn is nil.
func (l *link) drop(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || conn != nil && l.conn != conn {
		return
	}
	_ = l.conn.CloseWithError(0, "dropped")
	l.conn = nil
}

// Call implements wick.Peers. A call that gets no answer in time drops the
// connection only if nothing else arrived on it, which QUIC's own idle bound
// decides; the next call then dials anew.
func (c *Client) Call(ctx context.Context, to wick.Address, msg wick.PeerMessage) (wick.PeerMessage, error) {
	s, err := c.open(ctx, to)
	if err != nil {
		return wick.PeerMessage{}, fmt.Errorf("call: %w", err)
	}
	defer s.CancelRead(0)
	stop := context.AfterFunc(ctx, func() { cancelStream(s) })
	defer stop()
	sent, err := writeValue(s, opening{Call: &msg})
	if err != nil {
		return wick.PeerMessage{}, fmt.Errorf("send call: %w", err)
	}
	if err := s.Close(); err != nil {
		return wick.PeerMessage{}, fmt.Errorf("finish call: %w", err)
	}
	var answer wick.PeerMessage
	received, err := readValue(s, &answer)
	if err != nil {
		return wick.PeerMessage{}, fmt.Errorf("read answer: %w", err)
	}
	c.cfg.Note.Call(sent, received)
	if answer.Error != nil {
		return wick.PeerMessage{}, answer.Error
	}
	return answer, nil
}

// Submit implements wick.Peers.
func (c *Client) Submit(ctx context.Context, to wick.Address, sub wick.Submission) (wick.Stream, error) {
	s, err := c.open(ctx, to)
	if err != nil {
		return nil, wick.NotRunf(wick.CodeNoEndpoint, "owner unreachable: %v", err)
	}
	if _, err := writeValue(s, opening{Submit: &sub}); err != nil {
		cancelStream(s)
		return nil, wick.Unknownf(wick.CodeBroken, "submit: %v", err)
	}
	return &stream{s: s, request: sub.Request}, nil
}

func cancelStream(s *quic.Stream) {
	s.CancelRead(0)
	s.CancelWrite(0)
}

// stream implements wick.Stream. The write side stays open while the answer
// is read, so that its end tells the owner that the reader has gone.
type stream struct {
	s       *quic.Stream
	request wick.RequestID
}

// Next implements wick.Stream.
func (a *stream) Next(ctx context.Context) (wick.Frame, error) {
	stop := context.AfterFunc(ctx, func() { cancelStream(a.s) })
	defer stop()
	var f wick.Frame
	if _, err := readValue(a.s, &f); err != nil {
		return wick.Frame{}, wick.Unknownf(wick.CodeBroken, "answer from owner: %v", err)
	}
	if f.Request != a.request {
		return wick.Frame{}, wick.Unknownf(wick.CodeMismatch, "frame of request %s", f.Request)
	}
	return f, nil
}

// Close implements wick.Stream.
func (a *stream) Close() error {
	cancelStream(a.s)
	return nil
}
