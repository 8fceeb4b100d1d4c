// Package tally counts a daemon's own work at each endpoint, for decisions that
// must not wait for digests.
package tally

import (
	"sync/atomic"

	"currantwick"
)

const (
	chunkSize = 256
	maxChunks = 1024
	// unit is the smallest cost that is told apart, in parts of a second.
	unit = 1e6
)

type chunk [chunkSize]atomic.Int64

// Counts implements wick.InFlight for traffic threads. The zero Counts is ready
// to use. Endpoints beyond the first 262,144 are not counted.
type Counts struct {
	chunks [maxChunks]atomic.Pointer[chunk]
}

var _ wick.InFlight = (*Counts)(nil)

// cell returns the counter of an endpoint; nil if there is none and make is
// false.
func (c *Counts) cell(i wick.EndpointIndex, make bool) *atomic.Int64 {
	if i < 0 || i >= chunkSize*maxChunks {
		return nil
	}
	p := &c.chunks[i/chunkSize]
	ch := p.Load()
	if ch == nil {
		if !make {
			return nil
		}
		p.CompareAndSwap(nil, new(chunk))
		ch = p.Load()
	}
	return &ch[i%chunkSize]
}

// Start counts work that was sent to an endpoint. The caller ends it with Done
// and the same cost, exactly once.
func (c *Counts) Start(i wick.EndpointIndex, cost wick.Cost) {
	if n := c.cell(i, true); n != nil {
		n.Add(int64(cost * unit))
	}
}

// Done ends what Start counted.
func (c *Counts) Done(i wick.EndpointIndex, cost wick.Cost) {
	if n := c.cell(i, false); n != nil {
		n.Add(-int64(cost * unit))
	}
}

// Cost implements wick.InFlight.
func (c *Counts) Cost(i wick.EndpointIndex) wick.Cost {
	n := c.cell(i, false)
	if n == nil {
		return 0
	}
	return wick.Cost(n.Load()) / unit
}
