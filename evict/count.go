package evict

import (
	"math"

	"currantwick"
)

// usesPerSlot times the slots is the number of uses, of all adapters together,
// after which one use counts half. To count in uses and not in seconds suits
// busy and quiet hours alike.
const usesPerSlot = 12

// Counter counts the uses of one adapter, which fade with the uses of all. The
// zero Counter has counted none.
type Counter struct {
	heat  float64 // as of clock
	clock float64
	last  wick.Instant
}

// Last returns when the last use was counted; 0 before the first.
func (c *Counter) Last() wick.Instant { return c.last }

// Clock counts the uses of all adapters of one engine.
type Clock struct {
	uses     float64
	halfLife float64
}

// NewClock returns a clock for an engine with so many slots.
func NewClock(slots wick.Slots) Clock {
	return Clock{halfLife: usesPerSlot * float64(max(1, slots))}
}

// Resize suits the clock to another number of slots.
func (k *Clock) Resize(slots wick.Slots) { *k = Clock{k.uses, NewClock(slots).halfLife} }

// Touch counts a use.
func (k *Clock) Touch(c *Counter, now wick.Instant) {
	k.uses++
	c.heat = k.Heat(c) + 1
	c.clock = k.uses
	c.last = now
}

// Heat returns the faded count of uses.
func (k *Clock) Heat(c *Counter) float64 {
	if c.heat == 0 {
		return 0
	}
	return c.heat * math.Exp2((c.clock-k.uses)/k.halfLife)
}
