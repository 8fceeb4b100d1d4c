package tally

import (
	"sync"
	"time"

	"currantwick"
)

// Retries is a retry budget with a lock, for traffic threads.
type Retries struct {
	mu     sync.Mutex
	budget wick.RetryBudget
}

var _ wick.RetryBudget = (*Retries)(nil)

// NewRetries returns a budget that is safe for concurrent use.
func NewRetries(b wick.RetryBudget) *Retries { return &Retries{budget: b} }

// Earn implements wick.RetryBudget.
func (r *Retries) Earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Earn()
}

// Spend implements wick.RetryBudget.
func (r *Retries) Spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Spend()
}

// Shared is a shared retry budget with a lock, for traffic threads.
type Shared struct {
	mu     sync.Mutex
	budget wick.SharedBudget
}

var _ wick.SharedBudget = (*Shared)(nil)

// NewShared returns a budget that is safe for concurrent use.
func NewShared(b wick.SharedBudget) *Shared { return &Shared{budget: b} }

// Earn implements wick.SharedBudget.
func (s *Shared) Earn(daemons int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Earn(daemons)
}

// Spend implements wick.SharedBudget.
func (s *Shared) Spend(daemons int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Spend(daemons)
}

// Hedges is a hedger with a lock, for traffic threads.
type Hedges struct {
	mu     sync.Mutex
	hedger wick.Hedger
}

var _ wick.Hedger = (*Hedges)(nil)

// NewHedges returns a hedger that is safe for concurrent use.
func NewHedges(h wick.Hedger) *Hedges { return &Hedges{hedger: h} }

// RequestStarted implements wick.Hedger.
func (h *Hedges) RequestStarted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedger.RequestStarted()
}

// ObserveLatency implements wick.Hedger.
func (h *Hedges) ObserveLatency(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedger.ObserveLatency(d)
}

// Delay implements wick.Hedger.
func (h *Hedges) Delay() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedger.Delay()
}

// TryHedge implements wick.Hedger.
func (h *Hedges) TryHedge() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedger.TryHedge()
}
