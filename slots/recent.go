package slots

import (
	"currantwick"
)

// copiesPerSlot is how many adapters per slot an endpoint is assumed to keep a
// copy of in its memory, since its own list does not say.
const copiesPerSlot = 6

// Recent holds the adapters that an endpoint held most recently, of which it
// still has copies that load fast. It is not safe for concurrent use.
type Recent struct {
	lastHeld map[wick.Weights]wick.Instant
	// snapshot is a copy of the keys of lastHeld that is never modified; nil
	// if it must be built again.
	snapshot map[wick.Weights]bool
}

// NewRecent returns an empty Recent.
func NewRecent() *Recent { return &Recent{lastHeld: make(map[wick.Weights]wick.Instant)} }

// Add records that an adapter was held until now at an endpoint with the given
// number of slots.
func (r *Recent) Add(now wick.Instant, w wick.Weights, slots wick.Slots) {
	if _, known := r.lastHeld[w]; !known {
		r.snapshot = nil
	}
	r.lastHeld[w] = now
	for len(r.lastHeld) > copiesPerSlot*max(int(slots), 1) {
		r.forgetOldest()
	}
}

func (r *Recent) forgetOldest() {
	var oldest wick.Weights
	first := true
	for w, at := range r.lastHeld {
		if first || at < r.lastHeld[oldest] {
			oldest, first = w, false
		}
	}
	delete(r.lastHeld, oldest)
	r.snapshot = nil
}

// Has reports whether an adapter is in the set.
func (r *Recent) Has(w wick.Weights) bool {
	_, ok := r.lastHeld[w]
	return ok
}

// Set returns all adapters in the set. The map must not be modified.
func (r *Recent) Set() map[wick.Weights]bool {
	if r.snapshot == nil {
		r.snapshot = make(map[wick.Weights]bool, len(r.lastHeld))
		for w := range r.lastHeld {
			r.snapshot[w] = true
		}
	}
	return r.snapshot
}
