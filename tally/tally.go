// Package tally tracks this daemon's own requests at each endpoint, for
// decisions that can't wait for digests, sums up the outcomes that all daemons
// report, and adds locks to budgets and hedgers that traffic threads share.
package tally

import (
	"sync/atomic"

	"currantwick"
)

const (
	chunkSize = 256
	maxChunks = 1024
	// unitsPerSecond is the number of counter units per second of cost.
	unitsPerSecond = 1e6
)

type chunk [chunkSize]atomic.Int64

// Counts implements wick.InFlight for traffic threads. The zero value is ready
// to use. Endpoints beyond the first 262,144 are not counted.
type Counts struct {
	chunks [maxChunks]atomic.Pointer[chunk]
}

var _ wick.InFlight = (*Counts)(nil)

// counter returns the counter of an endpoint; nil if there is none and create is
// false, or if the index is out of range.
func (c *Counts) counter(i wick.EndpointIndex, create bool) *atomic.Int64 {
	if i < 0 || i >= chunkSize*maxChunks {
		return nil
	}
	p := &c.chunks[i/chunkSize]
	ch := p.Load()
	if ch == nil {
		if !create {
			return nil
		}
		p.CompareAndSwap(nil, new(chunk))
		ch = p.Load()
	}
	return &ch[i%chunkSize]
}

// Start adds the cost of work that was sent to an endpoint. The caller ends it
// with Done and the same cost, exactly once.
func (c *Counts) Start(i wick.EndpointIndex, cost wick.Cost) {
	if n := c.counter(i, true); n != nil {
		n.Add(int64(cost * unitsPerSecond))
	}
}

// Done subtracts what Start added.
func (c *Counts) Done(i wick.EndpointIndex, cost wick.Cost) {
	if n := c.counter(i, false); n != nil {
		n.Add(-int64(cost * unitsPerSecond))
	}
}

// Cost implements wick.InFlight.
func (c *Counts) Cost(i wick.EndpointIndex) wick.Cost {
	n := c.counter(i, false)
	if n == nil {
		return 0
	}
	return wick.Cost(n.Load()) / unitsPerSecond
}
