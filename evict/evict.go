// Package evict decides which adapter an engine unloads to free a slot for
// another one.
package evict

import "currantwick"

// LRU evicts the least recently used adapter. It is the baseline policy.
type LRU struct{}

// Victim implements wick.Evictor.
func (LRU) Victim(_ wick.Instant, _ wick.AdapterUsage, idle []wick.AdapterUsage) int {
	best := -1
	for i, h := range idle {
		if best < 0 || h.LastUsed < idle[best].LastUsed {
			best = i
		}
	}
	return best
}

// Frequency evicts the least frequently used adapter, by counts that decay, and
// only for one that is used at least as often. Once a request has waited for
// the share MaxWaitShare of its time to the first token, the least frequently
// used adapter is evicted for it regardless of frequency, so that a rarely used
// adapter is served late rather than never.
type Frequency struct {
	// MaxWaitShare is the share of its time to the first token after which a
	// waiting request evicts regardless of frequency, 0 to 1; 0 means 0.2.
	MaxWaitShare float64
}

// defaultMaxWaitShare is the MaxWaitShare of the zero Frequency.
const defaultMaxWaitShare = 0.2

// Victim implements wick.Evictor.
func (e Frequency) Victim(_ wick.Instant, wanted wick.AdapterUsage, idle []wick.AdapterUsage) int {
	best := -1
	for i, h := range idle {
		if best < 0 || lessFrequent(h, idle[best]) {
			best = i
		}
	}
	if best < 0 || wanted.DeadlineUsed >= e.maxWaitShare() {
		return best
	}
	if idle[best].Frequency > wanted.Frequency {
		return -1
	}
	return best
}

func (e Frequency) maxWaitShare() float64 {
	if e.MaxWaitShare > 0 {
		return e.MaxWaitShare
	}
	return defaultMaxWaitShare
}

// lessFrequent orders adapters by frequency. Ties are broken by the last use,
// so that the choice does not depend on the order of the adapters.
func lessFrequent(a, b wick.AdapterUsage) bool {
	if a.Frequency != b.Frequency {
		return a.Frequency < b.Frequency
	}
	return a.LastUsed < b.LastUsed
}
