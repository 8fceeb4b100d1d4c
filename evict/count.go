package evict

import (
	"math"

	"currantwick"
)

// halfLifePerSlot times the number of slots is the half-life of a counted use,
// measured in uses of all adapters together. Counting in uses rather than
// seconds suits both busy and quiet hours.
const halfLifePerSlot = 12

// Counter counts the uses of one adapter, with a count that decays as any
// adapter of the engine is used. The zero value is a count of 0.
type Counter struct {
	count     float64 // decayed, as of clockUses
	clockUses float64 // Clock.uses at the last use
	last      wick.Instant
}

// Last returns when the last use was counted; 0 before the first.
func (c *Counter) Last() wick.Instant { return c.last }

// Clock counts the uses of all adapters of one engine.
type Clock struct {
	uses     float64
	halfLife float64
}

// NewClock returns a clock for an engine with the given number of slots.
func NewClock(slots wick.Slots) Clock {
	return Clock{halfLife: halfLifePerSlot * float64(max(1, slots))}
}

// Resize adapts the clock to a changed number of slots.
func (k *Clock) Resize(slots wick.Slots) { *k = Clock{k.uses, NewClock(slots).halfLife} }

// Touch counts a use.
func (k *Clock) Touch(c *Counter, now wick.Instant) {
	k.uses++
	c.count = k.Frequency(c) + 1
	c.clockUses = k.uses
	c.last = now
}

// Frequency returns the decayed count of uses.
func (k *Clock) Frequency(c *Counter) float64 {
	if c.count == 0 {
		return 0
	}
	return c.count * math.Exp2((c.clockUses-k.uses)/k.halfLife)
}
