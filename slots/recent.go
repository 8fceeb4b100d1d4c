package slots

import (
	"currantwick"
)

// copiesPerSlot is how many adapters an endpoint keeps a copy of in its memory
// for each slot, as far as its own list does not tell.
const copiesPerSlot = 6

// Recent remembers the adapters that an endpoint held last, of which it still
// has copies that load fast. It is not safe for concurrent use.
type Recent struct {
	held map[wick.Weights]wick.Instant
	// set is a copy of the keys of held that is never changed; nil if a newer
	// one is needed.
	set map[wick.Weights]bool
}

// NewRecent returns an empty memory.
func NewRecent() *Recent { return &Recent{held: make(map[wick.Weights]wick.Instant)} }

// Add notes that an adapter was held until now at an endpoint with so many
// slots.
func (r *Recent) Add(now wick.Instant, w wick.Weights, slots wick.Slots) {
	if _, known := r.held[w]; !known {
		r.set = nil
	}
	r.held[w] = now
	for len(r.held) > copiesPerSlot*max(int(slots), 1) {
		r.forgetOldest()
	}
}

func (r *Recent) forgetOldest() {
	var oldest wick.Weights
	first := true
	for w, at := range r.held {
		if first || at < r.held[oldest] {
			oldest, first = w, false
		}
	}
	delete(r.held, oldest)
	r.set = nil
}

// Has reports whether an adapter is remembered.
func (r *Recent) Has(w wick.Weights) bool {
	_, ok := r.held[w]
	return ok
}

// Set returns all that are remembered. The map must not be changed.
func (r *Recent) Set() map[wick.Weights]bool {
	if r.set == nil {
		r.set = make(map[wick.Weights]bool, len(r.held))
		for w := range r.held {
			r.set[w] = true
		}
	}
	return r.set
}
