package sched

import "currantwick"

// defaultLimit bounds the queue of one endpoint.
const defaultLimit wick.Slots = 1024

// Bounded admits every request up to a length of the queue. It is the baseline.
type Bounded struct {
	// Limit is the length; 0 means 1024.
	Limit wick.Slots
}

// Admit implements wick.Admitter.
func (a Bounded) Admit(b wick.Backlog, _ *wick.Queued) wick.Admission {
	if b.Waiting >= limitOr(a.Limit) {
		return wick.Shed
	}
	return wick.Admit
}

// Deadline admits a request that is likely to be served in time.
//
// A request that may be shed is refused as soon as its estimated wait, behind
// all that goes before it, exceeds its time to the first token. One that must
// not be shed is queued all the same, for an estimate may be wrong, and refused
// only once that time has passed. Where the queue is full, the request of the
// lowest level among those that may be shed is refused, be it a queued one or
// the one that has just come.
type Deadline struct {
	// Limit bounds the queue; 0 means 1024.
	Limit wick.Slots
}

// Admit implements wick.Admitter.
func (a Deadline) Admit(b wick.Backlog, q *wick.Queued) wick.Admission {
	if q.Sheddable && b.Now.Add(b.Wait) > q.Due {
		return wick.Shed
	}
	if b.Waiting < limitOr(a.Limit) {
		return wick.Admit
	}
	if b.Lowest != nil && b.Lowest.Level < q.Level {
		return wick.Displace
	}
	return wick.Shed
}

func limitOr(n wick.Slots) wick.Slots {
	if n > 0 {
		return n
	}
	return defaultLimit
}
