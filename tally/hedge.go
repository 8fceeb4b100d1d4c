package tally

import (
	"sync"

	"currantwick"
	"currantwick/limit"
)

// maxHedgers bounds the hedgers that are kept. Beyond it they are started anew,
// since routes and pools of former configurations are never removed otherwise.
const maxHedgers = 4096

// Hedgers keeps one hedger for each key. It is safe for concurrent use.
type Hedgers[K comparable] struct {
	// create returns the hedger of a key, or nil if there is none.
	create func(K) wick.Hedger

	mu   sync.Mutex
	list map[K]wick.Hedger
}

var _ wick.Hedgers = (*Hedgers[wick.HedgeKey])(nil)

// NewHedgers returns hedgers that are created when they are first used; create
// returns nil for a key without one.
func NewHedgers[K comparable](create func(K) wick.Hedger) *Hedgers[K] {
	return &Hedgers[K]{create: create, list: make(map[K]wick.Hedger)}
}

// Of returns the hedger of a key, which is safe for concurrent use, or nil if it has
// none.
func (h *Hedgers[K]) Of(k K) wick.Hedger {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept, ok := h.list[k]
	if ok {
		return kept
	}
	if len(h.list) >= maxHedgers {
		clear(h.list)
	}
	if made := h.create(k); made != nil {
		kept = NewLockedHedger(made)
	}
	h.list[k] = kept
	return kept
}

// NewGatewayHedgers returns the hedgers of a gateway; nil if its requests must not be
// hedged.
func NewGatewayHedgers(limits limit.HedgeLimits) (wick.Hedgers, error) {
	if err := limits.Check(); err != nil || !limits.Enabled() {
		return nil, err
	}
	total := NewLockedRetryBudget(limits.NewTotal())
	return NewHedgers(func(k wick.HedgeKey) wick.Hedger {
		// Limits that were checked fail for no key.
		made, err := limits.NewHedger(k, total)
		if err != nil {
			return nil
		}
		return made
	}), nil
}
