package sched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantwick"
)

// Item is a request as it is handed to Submit.
type Item struct {
	// Sub is kept until the request ends and must not change.
	Sub *wick.Submission
	// Source is the path of the weights of the request's adapter.
	Source string
	// Suspect tells that the request may crash its engine and runs alone.
	Suspect bool
}

// item is a request in the queue or in flight.
type item struct {
	wick.Queued
	sub     *wick.Submission
	suspect bool
	// adapter is nil for the base model and for services; its pins count the
	// request while it is in flight.
	adapter *adapter
	// prefix is nil for services.
	prefix *prefix
	key    costKey
	// started is when the request was dispatched and seen when its first
	// progress was noted; -1 before.
	started wick.Instant
	seen    wick.Instant
	tokens  wick.Tokens
}

// prefix is a beginning that prompts have in common.
type prefix struct {
	print wick.Fingerprint
	// items counts the requests here that begin so; the prefix is forgotten
	// with the last.
	items int
	// used is when one was last dispatched; -1 before.
	used wick.Instant
}

const (
	// prefixBytes is how much of a prompt is compared.
	prefixBytes = 512
	// prefixKeep is how long an engine is thought to cache a prompt.
	prefixKeep = 30 * time.Second
)

func (e *Endpoint) newItem(now wick.Instant, it Item) *item {
	sub := it.Sub
	t := &item{
		Queued: wick.Queued{
			Request:   sub.Request,
			Level:     sub.Level,
			Sheddable: sub.Sheddable && !resumed(sub),
			Arrived:   now,
			Due:       now.Add(sub.Within.Std()),
		},
		sub:     sub,
		suspect: it.Suspect,
		started: -1,
		seen:    -1,
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

// resumed reports whether a part of the answer was generated already. It would
// be lost if the rest were shed.
func resumed(sub *wick.Submission) bool { return sub.Work != nil && sub.Work.HaveTokens > 0 }

func (e *Endpoint) enqueue(t *item) {
	e.queue = append(e.queue, t)
	if t.adapter != nil {
		t.adapter.queued++
	}
	if t.sub.Work != nil {
		t.prefix = e.holdPrefix(t.sub.Work.Prompt)
	}
}

// dequeue takes a request out of the queue.
func (e *Endpoint) dequeue(t *item) {
	i := slices.Index(e.queue, t)
	e.queue = slices.Delete(e.queue, i, i+1)
	if t.adapter != nil {
		t.adapter.queued--
	}
}

// refuse takes a request out of the queue and ends it.
func (e *Endpoint) refuse(out []Action, t *item, err *wick.Error) []Action {
	e.dequeue(t)
	e.dropPrefix(t)
	return append(out, Refuse{t.Request, err})
}

func (e *Endpoint) find(id wick.RequestID) *item {
	for _, t := range e.queue {
		if t.Request == id {
			return t
		}
	}
	return nil
}

func (e *Endpoint) holdPrefix(prompt string) *prefix {
	print := wick.Fingerprint(xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)]))
	p := e.prefixes[print]
	if p == nil {
		p = &prefix{print: print, used: -1}
		e.prefixes[print] = p
	}
	p.items++
	return p
}

func (e *Endpoint) dropPrefix(t *item) {
	if t.prefix == nil {
		return
	}
	if t.prefix.items--; t.prefix.items == 0 {
		delete(e.prefixes, t.prefix.print)
	}
}

// warm reports whether the engine lately ran a prompt that begins like t's.
func (t *item) warm(now wick.Instant) bool {
	return t.prefix != nil && t.prefix.used >= 0 && now.Sub(t.prefix.used) < prefixKeep
}

// overload returns the refusal of a request that can't be served in time.
func (e *Endpoint) overload(t *item) Refuse {
	err := wick.NotRunf(wick.CodeOverload, "endpoint %s is overloaded", e.end.Name)
	err.RetryAfter = wick.Duration(max(minRetryAfter, e.drain()))
	return Refuse{t.Request, err}
}

// minRetryAfter is the shortest time after which a refused caller may return.
const minRetryAfter = 500 * time.Millisecond

// backlog describes the work before t, which is not queued yet.
func (e *Endpoint) backlog(now wick.Instant, t *item) wick.Backlog {
	b := wick.Backlog{Now: now, Waiting: wick.Slots(len(e.queue))}
	var ahead wick.Cost
	for _, q := range e.queue {
		if q.Level > t.Level || q.Level == t.Level && q.Cost <= t.Cost {
			ahead += q.Cost
		}
		if q.Sheddable && (b.Lowest == nil || lower(&q.Queued, b.Lowest)) {
			b.Lowest = &q.Queued
		}
	}
	b.Wait = e.costs.wait(ahead, e.end.BatchSlots)
	if wick.Slots(len(e.flying))+e.foreign >= e.end.BatchSlots {
		b.Wait += e.costs.nextFree(e.end.BatchSlots)
	}
	if a := t.adapter; a != nil && a.state != ready {
		b.Wait += e.costs.loadWait()
	}
	return b
}

// drain estimates the time until the queue is empty.
func (e *Endpoint) drain() time.Duration {
	return e.costs.wait(e.queued(), e.end.BatchSlots)
}

// queued returns the cost of the queue.
func (e *Endpoint) queued() wick.Cost {
	var sum wick.Cost
	for _, t := range e.queue {
		sum += t.Cost
	}
	return sum
}

// lower reports whether x is shed before y.
func lower(x, y *wick.Queued) bool {
	if x.Level != y.Level {
		return x.Level < y.Level
	}
	return x.Cost > y.Cost
}
