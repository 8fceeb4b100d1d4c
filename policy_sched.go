package wick

import "time"

// QueuedRequest describes a queued request to the policies of an endpoint.
type QueuedRequest struct {
	Request RequestID
	Ref     Ref
	Level   Level
	// Sheddable is set if the request may be refused under overload.
	Sheddable bool
	// Cost is the estimated time in a batch slot; positive.
	Cost Cost
	// Long is set if Cost is many times the usual cost at the endpoint.
	Long bool
	// Arrived is when the request arrived. Due, which is later, is the deadline
	// for its first token or reply.
	Arrived Instant
	Due     Instant
	// PrefixCached is set if the engine recently ran a prompt with the same prefix.
	PrefixCached bool
	// AdapterInBatch is set if requests in the batch use the same adapter now.
	AdapterInBatch bool
}

// Batch is the state of the batch of an endpoint.
type Batch struct {
	Now Instant
	// Slots is the maximum of Running; Long counts the long requests in Running.
	Slots   Slots
	Running Slots
	Long    Slots
	// ShortWaiting counts the short requests in the queue, whether or not
	// their adapter is resident.
	ShortWaiting Slots
	// ShortMean is the recent average number of short requests that are waiting
	// or running.
	ShortMean float64
}

// Orderer selects the request that an endpoint runs next. Implementations are
// pure.
type Orderer interface {
	// Next returns the index of the request to dispatch now, or -1 if it is
	// better to leave the free slots of the batch unused for now. All requests of
	// runnable can be dispatched; they are in order of arrival.
	Next(b Batch, runnable []*QueuedRequest) int
}

// AdapterUsage describes an adapter to an Evictor.
type AdapterUsage struct {
	Ref Ref
	// Frequency is the number of requests for the adapter, decayed by age.
	Frequency float64
	// LastUsed is when the last request for the adapter arrived.
	LastUsed Instant
	// DeadlineUsed is the largest fraction of the time to its first-token deadline
	// that any waiting request has used up; 0 if none waits.
	DeadlineUsed float64
}

// Evictor selects the adapter to unload. Implementations are pure.
type Evictor interface {
	// Victim returns the index of the adapter to unload so that wanted can be
	// loaded, or -1 if none should be unloaded. No running or waiting request
	// uses any adapter of idle.
	Victim(now Instant, wanted AdapterUsage, idle []AdapterUsage) int
}

// Backlog is the queue ahead of a request that is considered for admission.
type Backlog struct {
	Now Instant
	// Waiting counts the requests in the queue.
	Waiting Slots
	// EstimatedWait is the estimated time until the request would be dispatched.
	EstimatedWait time.Duration
	// ShedCandidate is the queued request that would be shed first, or nil.
	ShedCandidate *QueuedRequest
}

// Admission is the decision of an Admitter on a request.
type Admission uint8

// The decisions of an Admitter.
const (
	// Admit adds the request to the queue.
	Admit Admission = iota + 1
	// Shed refuses the request.
	Shed
	// Displace adds the request to the queue and refuses Backlog.ShedCandidate
	// instead.
	Displace
)

// Admitter decides which requests may be queued. Implementations are pure.
type Admitter interface {
	// Admit decides on a request that has just arrived.
	Admit(b Backlog, q *QueuedRequest) Admission
}
