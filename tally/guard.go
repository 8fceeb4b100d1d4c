package tally

import (
	"sync"
	"time"

	"currantwick"
)

// LockedRetryBudget is a retry budget with a lock, for traffic threads.
type LockedRetryBudget struct {
	mu     sync.Mutex
	budget wick.RetryBudget
}

var _ wick.RetryBudget = (*LockedRetryBudget)(nil)

// NewLockedRetryBudget returns a budget that is safe for concurrent use.
func NewLockedRetryBudget(b wick.RetryBudget) *LockedRetryBudget {
	return &LockedRetryBudget{budget: b}
}

// Earn implements wick.RetryBudget.
func (r *LockedRetryBudget) Earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Earn()
}

// Spend implements wick.RetryBudget.
func (r *LockedRetryBudget) Spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Spend()
}

// LockedSharedBudget is a shared retry budget with a lock, for traffic threads.
type LockedSharedBudget struct {
	mu     sync.Mutex
	budget wick.SharedBudget
}

var _ wick.SharedBudget = (*LockedSharedBudget)(nil)

// NewLockedSharedBudget returns a budget that is safe for concurrent use.
func NewLockedSharedBudget(b wick.SharedBudget) *LockedSharedBudget {
	return &LockedSharedBudget{budget: b}
}

// Earn implements wick.SharedBudget.
func (s *LockedSharedBudget) Earn(daemons int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Earn(daemons)
}

// Spend implements wick.SharedBudget.
func (s *LockedSharedBudget) Spend(daemons int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Spend(daemons)
}

// SpendSpare implements wick.SharedBudget.
func (s *LockedSharedBudget) SpendSpare(daemons int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.SpendSpare(daemons)
}

// LockedHedger is a hedger with a lock, for traffic threads.
type LockedHedger struct {
	mu     sync.Mutex
	hedger wick.Hedger
}

var _ wick.Hedger = (*LockedHedger)(nil)

// NewLockedHedger returns a hedger that is safe for concurrent use.
func NewLockedHedger(h wick.Hedger) *LockedHedger { return &LockedHedger{hedger: h} }

// RequestStarted implements wick.Hedger.
func (h *LockedHedger) RequestStarted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedger.RequestStarted()
}

// ObserveLatency implements wick.Hedger.
func (h *LockedHedger) ObserveLatency(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hedger.ObserveLatency(d)
}

// Delay implements wick.Hedger.
func (h *LockedHedger) Delay() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedger.Delay()
}

// TryHedge implements wick.Hedger.
func (h *LockedHedger) TryHedge() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hedger.TryHedge()
}
