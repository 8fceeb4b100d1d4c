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
	// TLS returns the client's side of mutual TLS. It is called at each dial,
	// so that reloaded keys take effect.
	TLS func() *tls.Config
	// IdleTimeout is the time after which a connection on which nothing arrives is
	// closed.
	IdleTimeout time.Duration
	// Observer receives the sizes of calls.
	Observer wick.PeerObserver
}

// Client implements wick.Peers. It keeps one connection to each daemon it
// calls. Every dial uses its own socket, so that a new connection is a new flow
// to any middlebox between the two ends.
type Client struct {
	cfg ClientConfig

	mu    sync.Mutex
	conns map[wick.Address]*peerConn
}

// peerConn is the connection to one address. Its lock is held while dialing, so
// that concurrent callers share one handshake.
type peerConn struct {
	mu   sync.Mutex
	conn *quic.Conn // nil before the first dial and after a drop
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, conns: make(map[wick.Address]*peerConn)}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.conns {
		p.drop(nil)
	}
}

func (c *Client) peerConn(to wick.Address) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.conns[to]
	if p == nil {
		p = &peerConn{}
		c.conns[to] = p
	}
	return p
}

// open returns a new stream to an address, dialing first if there is no live
// connection.
func (c *Client) open(ctx context.Context, to wick.Address) (*quic.Stream, error) {
	p := c.peerConn(to)
	conn, err := p.dialIfNeeded(ctx, c.cfg, to)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", to, err)
	}
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		p.drop(conn)
		return nil, fmt.Errorf("open stream to %s: %w", to, err)
	}
	return s, nil
}

func (p *peerConn) dialIfNeeded(ctx context.Context, cfg ClientConfig, to wick.Address) (*quic.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p.conn, nil
	}
	conn, err := quic.DialAddr(ctx, string(to), cfg.TLS(), quicConfig(cfg.IdleTimeout))
	if err != nil {
		return nil, fmt.Errorf("handshake: %w", err)
	}
	p.conn = conn
	return conn, nil
}

// drop closes conn, or the current connection if conn is nil.
func (p *peerConn) drop(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || conn != nil && p.conn != conn {
		return
	}
	_ = p.conn.CloseWithError(0, "dropped")
	p.conn = nil
}

// Call implements wick.Peers. A call that times out leaves the connection open;
// QUIC's idle timeout closes it if nothing else arrives on it either, and the
// next call then dials again.
func (c *Client) Call(ctx context.Context, to wick.Address, msg wick.PeerMessage) (wick.PeerMessage, error) {
	s, err := c.open(ctx, to)
	if err != nil {
		return wick.PeerMessage{}, fmt.Errorf("call: %w", err)
	}
	defer s.CancelRead(0)
	stop := context.AfterFunc(ctx, func() { cancelStream(s) })
	defer stop()
	sent, err := writeValue(s, streamHeader{Call: &msg})
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
	c.cfg.Observer.CallFinished(sent, received)
	if answer.Error != nil {
		return wick.PeerMessage{}, answer.Error
	}
	return answer, nil
}

// Submit implements wick.Peers.
func (c *Client) Submit(ctx context.Context, to wick.Address, sub wick.Submission) (wick.FrameStream, error) {
	s, err := c.open(ctx, to)
	if err != nil {
		return nil, wick.NotRunf(wick.CodeNoEndpoint, "owner unreachable: %v", err)
	}
	if _, err := writeValue(s, streamHeader{Submit: &sub}); err != nil {
		cancelStream(s)
		return nil, wick.Unknownf(wick.CodeBroken, "submit: %v", err)
	}
	return &stream{s: s, request: sub.Request}, nil
}

func cancelStream(s *quic.Stream) {
	s.CancelRead(0)
	s.CancelWrite(0)
}

// stream implements wick.FrameStream. The write side stays open while the answer is
// read; closing it notifies the owner that the reader is gone.
type stream struct {
	s       *quic.Stream
	request wick.RequestID
}

// Next implements wick.FrameStream.
func (st *stream) Next(ctx context.Context) (wick.Frame, error) {
	stop := context.AfterFunc(ctx, func() { cancelStream(st.s) })
	defer stop()
	var f wick.Frame
	if _, err := readValue(st.s, &f); err != nil {
		return wick.Frame{}, wick.Unknownf(wick.CodeBroken, "answer from owner: %v", err)
	}
	if f.Request != st.request {
		return wick.Frame{}, wick.Unknownf(wick.CodeMismatch, "frame of request %s", f.Request)
	}
	return f, nil
}

// Close implements wick.FrameStream.
func (st *stream) Close() error {
	cancelStream(st.s)
	return nil
}
