// Package links connects daemons to the holders of shards. A link is one TCP
// connection that carries length-prefixed CBOR messages in both directions.
// Links connect only machines of one deployment and carry no request
// content, so they are not encrypted.
package links

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"currantwick"
	"currantwick/conns"

	"golang.org/x/sync/errgroup"
)

const (
	// idleTimeout closes a link on which no byte arrives: four heartbeats. A
	// message may take longer.
	idleTimeout = time.Second
	// dialTimeout bounds connecting and, separately, the handshake.
	dialTimeout = 500 * time.Millisecond
	// outboxSize is the number of messages queued for a slow remote end, a few
	// seconds' worth.
	outboxSize = 128
	// messageTimeout closes a link on which one message takes longer, even if its
	// bytes keep arriving.
	messageTimeout = 15 * time.Second
	// maxMessage bounds one message, also once it is unpacked; the full state of a
	// large deployment takes a few MiB.
	maxMessage = 32 << 20
	// maxHello bounds the first message of whatever has connected.
	maxHello = 16 << 10
	// smallMessage is the size up to which a message takes nothing of the memory.
	smallMessage = 64 << 10
	// minPacked is the size from which messages are sent compressed.
	minPacked = 1 << 10
)

// Config sets up a Hub.
type Config struct {
	Self   wick.Instance
	Events wick.LinkHandler
	// Memory is the budget for large messages; nil if they are not bounded together.
	Memory wick.MemoryBudget
	// Group runs the goroutines of the hub and its links.
	Group *errgroup.Group
}

// Hub opens and accepts links.
type Hub struct {
	cfg     Config
	dialer  net.Dialer
	encoder encoder
}

// New returns a hub.
func New(cfg Config) *Hub {
	return &Hub{cfg: cfg, dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: conns.KeepAlive(), Control: conns.SetSocketOptions}}
}

// Serve accepts links until ctx ends.
func (h *Hub) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		nc, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept link: %w", err)
		}
		h.cfg.Group.Go(func() error {
			h.serveLink(ctx, nc, "")
			return nil
		})
	}
}

// Dial opens a link to an address.
func (h *Hub) Dial(ctx context.Context, to wick.Address) {
	h.cfg.Group.Go(func() error {
		nc, err := h.dialer.DialContext(ctx, "tcp", string(to))
		if err != nil {
			h.cfg.Events.DialFailed(to, fmt.Errorf("dial daemon: %w", err))
			return nil
		}
		h.serveLink(ctx, nc, to)
		return nil
	})
}

// serveLink runs a link until it ends.
func (h *Hub) serveLink(ctx context.Context, nc net.Conn, dialed wick.Address) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	l := &link{net: nc, input: idleReader{net: nc}, encoder: &h.encoder, outbox: make(chan []byte, outboxSize), cancel: cancel}
	l.memory = h.cfg.Memory
	l.reader = bufio.NewReader(&l.input)
	remote, err := l.handshake(h.cfg.Self)
	if err != nil {
		nc.Close()
		if dialed != "" {
			h.cfg.Events.DialFailed(dialed, err)
		}
		return
	}
	if c, ok := nc.(interface{ Established() }); ok {
		c.Established()
	}
	h.cfg.Events.LinkUp(l, remote, dialed)
	h.cfg.Group.Go(func() error {
		l.writeLoop(ctx)
		return nil
	})
	err = l.readLoop(h.cfg.Events)
	if failure := l.failure.Load(); failure != nil {
		err = *failure
	}
	h.cfg.Events.LinkDown(l, err)
}
