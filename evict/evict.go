// Package evict decides which adapter an engine gives up so that another can
// be loaded.
package evict

import "currantwick"

// LRU gives up the least recently used adapter. It is the baseline.
type LRU struct{}

// Victim implements wick.Evictor.
func (LRU) Victim(_ wick.Instant, _ wick.Holding, idle []wick.Holding) int {
	best := -1
	for i, h := range idle {
		if best < 0 || h.Used < idle[best].Used {
			best = i
		}
	}
	return best
}

// Heat gives up the coldest adapter, and only for a warmer one. A request that
// has used up Patience of its time takes the coldest adapter's place whatever
// the heat, so that a cold adapter is served late rather than never.
type Heat struct {
	// Patience is a share of the time to the first token, 0 to 1.
	Patience float64
}

// defaultPatience is the Patience of the zero Heat.
const defaultPatience = 0.2

// Victim implements wick.Evictor.
func (e Heat) Victim(_ wick.Instant, wanted wick.Holding, idle []wick.Holding) int {
	best := -1
	for i, h := range idle {
		if best < 0 || colder(h, idle[best]) {
			best = i
		}
	}
	if best < 0 || wanted.Urgency >= e.patience() {
		return best
	}
	if idle[best].Heat > wanted.Heat {
		return -1
	}
	return best
}

func (e Heat) patience() float64 {
	if e.Patience > 0 {
		return e.Patience
	}
	return defaultPatience
}

// colder breaks ties of heat by the last use, so that the choice is the same
// whatever the order of the adapters.
func colder(a, b wick.Holding) bool {
	if a.Heat != b.Heat {
		return a.Heat < b.Heat
	}
	return a.Used < b.Used
}
