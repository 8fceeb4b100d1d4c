package slots

import (
	"time"

	"currantwick"
)

// Census counts the slots of an endpoint by what they are used for, and the
// adapters that are waited for.
type Census struct {
	Slots, InUse, Incoming, Leaving, Unsure, Replaced, Wants int
	// Oldest is how long the first of the adapters is waited for.
	Oldest time.Duration
	// Synced tells that the endpoint's state is known, Busy that an order is
	// under way.
	Synced, Busy bool
}

// Census returns the census.
func (l *Ledger) Census(now wick.Instant) Census {
	c := Census{Slots: int(l.capacity), Wants: len(l.wants), Synced: l.synced, Busy: l.busy}
	for _, p := range l.places {
		c.count(p)
	}
	for _, v := range l.wants {
		c.Oldest = max(c.Oldest, now.Sub(v.since))
	}
	return c
}

func (c *Census) count(p *Place) {
	if p.InUse > 0 {
		c.InUse++
	}
	if p.incoming {
		c.Incoming++
	}
	if p.leaving {
		c.Leaving++
	}
	if p.unsure {
		c.Unsure++
	}
	if p.replaced {
		c.Replaced++
	}
}
