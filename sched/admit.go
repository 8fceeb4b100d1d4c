package sched

import "currantwick"

// defaultLimit is the default bound on the queue of one endpoint.
const defaultLimit wick.Slots = 1024

// Bounded admits every request while the queue is below a fixed length. It is
// the baseline policy.
type Bounded struct {
	// Limit is the length; 0 means 1024.
	Limit wick.Slots
}

// Admit implements wick.Admitter.
func (a Bounded) Admit(b wick.Backlog, _ *wick.QueuedRequest) wick.Admission {
	if b.Waiting >= limitOr(a.Limit) {
		return wick.Shed
	}
	return wick.Admit
}

// Deadline admits a request that is likely to be served in time.
//
// A sheddable request is refused if its estimated wait, behind all requests
// that run before it, exceeds its time to the first token. A request that is
// not sheddable is queued even then, because the estimate may be wrong, and is
// refused once that time has passed. When the queue is full, an arriving
// request displaces the queued sheddable request of the lowest level if that
// level is lower than its own; otherwise it is refused, sheddable or not.
type Deadline struct {
	// Limit bounds the queue; 0 means 1024.
	Limit wick.Slots
}

// Admit implements wick.Admitter.
func (a Deadline) Admit(b wick.Backlog, q *wick.QueuedRequest) wick.Admission {
	if q.Sheddable && b.Now.Add(b.EstimatedWait) > q.Due {
		return wick.Shed
	}
	if b.Waiting < limitOr(a.Limit) {
		return wick.Admit
	}
	if b.ShedCandidate != nil && b.ShedCandidate.Level < q.Level {
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
