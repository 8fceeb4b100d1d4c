package sched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantwick"
)

// Item is a request as passed to Submit.
type Item struct {
	// Sub is referred to until the request ends; it must not be modified.
	Sub *wick.Submission
	// Source is the path of the weights of the request's adapter.
	Source string
	// Suspect is set if the request may crash its engine; such a request runs
	// alone.
	Suspect bool
}

// pendingRequest is a request that is queued or in flight.
type pendingRequest struct {
	wick.QueuedRequest
	sub     *wick.Submission
	suspect bool
	// adapter is nil for the base model and for services; its pins count the
	// request while it is in flight.
	adapter *adapter
	// prefix is nil for services.
	prefix *prefix
	key    costKey
	// started is when the request was dispatched, and firstProgress when its
	// first progress was recorded; both are -1 before.
	started       wick.Instant
	firstProgress wick.Instant
	tokens        wick.Tokens
}

// prefix is a prompt prefix that several requests may share.
type prefix struct {
	fingerprint wick.Fingerprint
	// requests counts the queued and running requests with the prefix; the
	// prefix is removed with the last one.
	requests int
	// lastRun is when a request with the prefix was last dispatched; -1
	// before.
	lastRun wick.Instant
}

const (
	// prefixBytes is the length of the prompt prefixes that are compared.
	prefixBytes = 512
	// prefixCacheTTL is how long an engine is assumed to cache a prompt.
	prefixCacheTTL = 30 * time.Second
)

func (e *Endpoint) newPending(now wick.Instant, it Item) *pendingRequest {
	sub := it.Sub
	t := &pendingRequest{
		QueuedRequest: wick.QueuedRequest{
			Request:   sub.Request,
			Level:     sub.Level,
			Sheddable: sub.Sheddable && !resumed(sub),
			Arrived:   now,
			Due:       now.Add(sub.TimeLeft.Std()),
		},
		sub:           sub,
		suspect:       it.Suspect,
		started:       -1,
		firstProgress: -1,
	}
	t.key = keyOf(sub)
	t.Cost = e.costs.estimate(sub, t.key)
	t.Long = e.costs.isLong(t.Cost)
	if sub.Work != nil && !sub.Work.Ref.IsBase() {
		t.Ref = sub.Work.Ref
		t.adapter = e.adapter(t.Ref)
		t.adapter.source = it.Source
	}
	return t
}

// resumed reports whether part of the answer has already been generated.
// Shedding the request would waste that part.
func resumed(sub *wick.Submission) bool { return sub.Work != nil && sub.Work.HaveTokens > 0 }

func (e *Endpoint) enqueue(t *pendingRequest) {
	e.queue = append(e.queue, t)
	if t.adapter != nil {
		t.adapter.queued++
	}
	if t.sub.Work != nil {
		t.prefix = e.addPrefix(t.sub.Work.Prompt)
	}
}

// dequeue removes a request from the queue.
func (e *Endpoint) dequeue(t *pendingRequest) {
	i := slices.Index(e.queue, t)
	e.queue = slices.Delete(e.queue, i, i+1)
	if t.adapter != nil {
		t.adapter.queued--
	}
}

// refuse removes a request from the queue and ends it.
func (e *Endpoint) refuse(out []Action, t *pendingRequest, err *wick.Error) []Action {
	e.dequeue(t)
	e.removePrefix(t)
	return append(out, Refuse{t.Request, err})
}

func (e *Endpoint) find(id wick.RequestID) *pendingRequest {
	for _, t := range e.queue {
		if t.Request == id {
			return t
		}
	}
	return nil
}

func (e *Endpoint) addPrefix(prompt string) *prefix {
	fingerprint := wick.Fingerprint(xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]))
	p := e.prefixes[fingerprint]
	if p == nil {
		p = &prefix{fingerprint: fingerprint, lastRun: -1}
		e.prefixes[fingerprint] = p
	}
	p.requests++
	return p
}

func (e *Endpoint) removePrefix(t *pendingRequest) {
	if t.prefix == nil {
		return
	}
	if t.prefix.requests--; t.prefix.requests == 0 {
		delete(e.prefixes, t.prefix.fingerprint)
	}
}

// warm reports whether the engine recently ran a prompt with t's prefix.
func (t *pendingRequest) warm(now wick.Instant) bool {
	return t.prefix != nil && t.prefix.lastRun >= 0 && now.Sub(t.prefix.lastRun) < prefixCacheTTL
}

// overload returns the refusal of a request that can't be served in time.
func (e *Endpoint) overload(t *pendingRequest) Refuse {
	err := wick.NotRunf(wick.CodeOverload, "endpoint %s is overloaded", e.spec.Name)
	err.RetryAfter = wick.Duration(max(minRetryAfter, e.queueTime()))
	return Refuse{t.Request, err}
}

// minRetryAfter is the minimum time after which a refused caller may retry.
const minRetryAfter = 500 * time.Millisecond

// backlog describes the queue for the admission decision on t, which has not
// been added to it.
func (e *Endpoint) backlog(now wick.Instant, t *pendingRequest) wick.Backlog {
	b := wick.Backlog{Now: now, Waiting: wick.Slots(len(e.queue))}
	var ahead wick.Cost
	for _, q := range e.queue {
		if q.Level > t.Level || q.Level == t.Level && q.Cost <= t.Cost {
			ahead += q.Cost
		}
		if q.Sheddable && (b.ShedCandidate == nil || shedBefore(&q.QueuedRequest, b.ShedCandidate)) {
			b.ShedCandidate = &q.QueuedRequest
		}
	}
	b.EstimatedWait = e.costs.processingTime(ahead, e.spec.BatchSlots)
	if wick.Slots(len(e.inFlight))+e.inheritedSlots >= e.spec.BatchSlots {
		b.EstimatedWait += e.costs.nextFree(e.spec.BatchSlots)
	}
	if a := t.adapter; a != nil && a.state != ready {
		b.EstimatedWait += e.costs.loadWait()
	}
	return b
}

// queueTime estimates the time until the queue is empty.
func (e *Endpoint) queueTime() time.Duration {
	return e.costs.processingTime(e.queuedCost(), e.spec.BatchSlots)
}

// queuedCost returns the total cost of the queued requests.
func (e *Endpoint) queuedCost() wick.Cost {
	var sum wick.Cost
	for _, t := range e.queue {
		sum += t.Cost
	}
	return sum
}

// shedBefore reports whether x is shed before y.
func shedBefore(x, y *wick.QueuedRequest) bool {
	if x.Level != y.Level {
		return x.Level < y.Level
	}
	return x.Cost > y.Cost
}
