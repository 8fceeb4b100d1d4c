package slots

import (
	"currantwick"
)

// copiesPerSlot is how many adapters per slot an endpoint is assumed to keep a
// copy of in its memory, since its own list does not say.
const copiesPerSlot = 6

// RecentAdapters holds the adapters that an endpoint had loaded most recently,
// of which it still has copies that load fast. It is not safe for concurrent
// use.
type RecentAdapters struct {
	lastLoaded map[wick.Weights]wick.Instant
	// snapshot is a copy of the keys of lastLoaded that is never modified; nil
	// if it must be built again.
	snapshot map[wick.Weights]bool
}

// NewRecentAdapters returns an empty RecentAdapters.
func NewRecentAdapters() *RecentAdapters {
	return &RecentAdapters{lastLoaded: make(map[wick.Weights]wick.Instant)}
}

// Add records that an endpoint with the given number of slots has an adapter
// loaded or a copy of it, as of now.
func (r *RecentAdapters) Add(now wick.Instant, w wick.Weights, slots wick.Slots) {
	if _, known := r.lastLoaded[w]; !known {
		r.snapshot = nil
	}
	r.lastLoaded[w] = now
	for len(r.lastLoaded) > copiesPerSlot*max(int(slots), 1) {
		r.forgetOldest()
	}
}

func (r *RecentAdapters) forgetOldest() {
	var oldest wick.Weights
	first := true
	for w, at := range r.lastLoaded {
		if first || at < r.lastLoaded[oldest] {
			oldest, first = w, false
		}
	}
	delete(r.lastLoaded, oldest)
	r.snapshot = nil
}

// Has reports whether an adapter is in the set.
func (r *RecentAdapters) Has(w wick.Weights) bool {
	_, ok := r.lastLoaded[w]
	return ok
}

// Set returns all adapters in the set. The map must not be modified.
func (r *RecentAdapters) Set() map[wick.Weights]bool {
	if r.snapshot == nil {
		r.snapshot = make(map[wick.Weights]bool, len(r.lastLoaded))
		for w := range r.lastLoaded {
			r.snapshot[w] = true
		}
	}
	return r.snapshot
}
