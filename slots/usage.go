package slots

import (
	"time"

	"currantwick"
)

// Usage counts the slots of an endpoint by their use, and the adapters that
// requests wait for.
type Usage struct {
	Slots, InUse, Incoming, Unloading, Unsure, Replaced, Requested int
	// Memory is what the endpoint holds of weights at most, 0 if only slots limit it;
	// Taken is what it may hold now.
	Memory, Taken wick.Megabytes
	// Oldest is how long the longest-waiting of these adapters has been
	// requested.
	Oldest time.Duration
	// Synced is set while the endpoint's state is known, Busy while an order
	// or a report request is pending.
	Synced, Busy bool
}

// Usage returns the current counts.
func (l *Ledger) Usage(now wick.Instant) Usage {
	c := Usage{
		Slots: int(l.engine.AdapterSlots), Requested: len(l.requested), Memory: l.engine.WeightMemory, Taken: l.taken().memory,
		Synced: l.synced, Busy: l.busy,
	}
	for _, p := range l.placements {
		c.add(p)
	}
	for _, v := range l.requested {
		c.Oldest = max(c.Oldest, now.Sub(v.since))
	}
	return c
}

func (c *Usage) add(p *Placement) {
	if p.InUse > 0 {
		c.InUse++
	}
	if p.incoming {
		c.Incoming++
	}
	if p.unloading {
		c.Unloading++
	}
	if p.unsure {
		c.Unsure++
	}
	if p.replaced {
		c.Replaced++
	}
}
