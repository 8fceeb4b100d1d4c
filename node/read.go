package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"time"

	"currantwick"
	"currantwick/ctrl"
	"currantwick/pause"
)

const (
	// readLimit is the number of records read at once.
	readLimit = 512
	// readTimeout bounds one read, which waits for the first new record.
	readTimeout = 10 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed read.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// followStream reads one stream of the platform's log until ctx ends.
func (n *Node) followStream(ctx context.Context, stream wick.StreamName) error {
	next := wick.Offset(1)
	backoff := pause.Backoff{Least: minBackoff, Most: maxBackoff}
	for ctx.Err() == nil {
		sent := n.clock.Now()
		list, err := n.readBatch(ctx, stream, next)
		if err != nil {
			n.thread.Post(ctrl.LogFailed{Stream: stream})
			pause.For(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		if len(list) > 0 {
			next = list[len(list)-1].Offset + 1
		}
		n.thread.Post(ctrl.EntriesRead{Stream: stream, List: list, Sent: sent, More: len(list) >= readLimit})
	}
	return nil
}

func (n *Node) readBatch(ctx context.Context, stream wick.StreamName, from wick.Offset) ([]wick.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := n.cfg.Log.Read(ctx, stream, from, readLimit)
	if err != nil {
		return nil, fmt.Errorf("read %s from %d: %w", stream, from, err)
	}
	return list, nil
}

// followHosts polls the platform's list of hosts until ctx ends.
func (n *Node) followHosts(ctx context.Context) error {
	if n.cfg.Hosts == nil {
		return nil
	}
	for ctx.Err() == nil {
		n.listHosts(ctx)
		pause.For(ctx, n.cfg.Timeouts.HostsInterval)
	}
	return nil
}

func (n *Node) listHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosts, err := n.cfg.Hosts.List(ctx)
	if err != nil {
		n.cfg.Control.InputRefused("list of hosts", err)
		return
	}
	n.thread.Post(ctrl.HostsListed{Hosts: hosts})
}

// NewIncarnation returns a random incarnation, so that no two runs of a daemon
// share one. It is never 0, which is invalid.
func NewIncarnation() (wick.Incarnation, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("generate incarnation: %w", err)
	}
	return wick.Incarnation(binary.BigEndian.Uint64(b[:]) | 1), nil
}
