package wick

import "time"

// Queued is what the policies of one endpoint know of a request that waits.
type Queued struct {
	Request RequestID
	Ref     Ref
	Level   Level
	// Sheddable tells that the request may be refused under overload.
	Sheddable bool
	// Cost is the estimated time in the batch; positive.
	Cost Cost
	// Long tells that Cost is many times that of the endpoint's usual work.
	Long bool
	// Arrived is when the request came; Due, later, is when its first token or
	// reply is due.
	Arrived Instant
	Due     Instant
	// Warm tells that the engine lately ran a prompt with the same beginning.
	Warm bool
	// Grouped tells that the request's adapter serves in the batch now.
	Grouped bool
}

// Batch is what runs at an endpoint now.
type Batch struct {
	Now Instant
	// Slots bounds Running; Long is how many of Running are long.
	Slots   Slots
	Running Slots
	Long    Slots
	// ShortWaiting counts the short requests in the queue, whether or not
	// their adapter is resident.
	ShortWaiting Slots
	// ShortMean is the recent average number of short requests, waiting and
	// running.
	ShortMean float64
}

// Orderer chooses what an endpoint runs next. Implementations are pure.
type Orderer interface {
	// Next returns the index of the request to dispatch now, or -1 if the
	// free slots of the batch are better kept. Every request of runnable can
	// be dispatched; they stand in order of arrival.
	Next(b Batch, runnable []*Queued) int
}

// Holding is what an Evictor knows of an adapter.
type Holding struct {
	Ref Ref
	// Heat is the number of requests for the adapter, each fading with age.
	Heat float64
	// Used is when the last request for the adapter came.
	Used Instant
	// Urgency is the share of its time to the first token that the most
	// pressed waiting request has used up; 0 where none waits.
	Urgency float64
}

// Evictor chooses which adapter makes room. Implementations are pure.
type Evictor interface {
	// Victim returns the index of the adapter to unload so that wanted can be
	// loaded, or -1 if none should go. Each of idle serves no request and is
	// waited for by none.
	Victim(now Instant, wanted Holding, idle []Holding) int
}

// Backlog is the work before a request that asks for admission.
type Backlog struct {
	Now Instant
	// Waiting counts the requests in the queue.
	Waiting Slots
	// Wait is the estimated time until the request would be dispatched.
	Wait time.Duration
	// Lowest is the queued request that is the first to be shed, or nil.
	Lowest *Queued
}

// Admission is what becomes of a request that asks to be queued.
type Admission uint8

// The answers of an Admitter.
const (
	// Admit lets the request into the queue.
	Admit Admission = iota + 1
	// Shed refuses the request.
	Shed
	// Displace lets the request in and refuses the lowest one for it.
	Displace
)

// Admitter decides who may wait. Implementations are pure.
type Admitter interface {
	// Admit judges a request that has just come.
	Admit(b Backlog, q *Queued) Admission
}
