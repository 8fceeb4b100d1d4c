package limit

import (
	"time"

	"currantwick"
)

// staticDivisor is the divisor that gives the part of a store's limits
// reserved for static shares. The owner of the budget never grants that part.
const staticDivisor = 8

// Share is a part of a store's limits.
type Share struct {
	// Rate is the number of loads that may start per second.
	Rate wick.PerSecond
	// Slots is the number of loads that may be in flight.
	Slots wick.Slots
}

// staticTotal returns the part of a store's limits reserved for static shares.
func staticTotal(s wick.Store) Share {
	return Share{Rate: s.Rate / staticDivisor, Slots: s.Knee / staticDivisor}
}

// grantable returns the part of a store's limits that the budget's owner
// grants.
func grantable(s wick.Store) Share {
	f := staticTotal(s)
	return Share{Rate: s.Rate - f.Rate, Slots: s.Knee - f.Slots}
}

// StaticShare returns the share of one of n members, which are ranked from 0 in
// an order that all agree on. Slots can't be divided, so in a large view only
// the first members have one; the sum over all members is within the limits. A
// member may always use its share without a grant. No other member can use a
// share that is left unused, since members don't agree on its use.
func StaticShare(s wick.Store, rank, n int) Share {
	f := staticTotal(s)
	if rank < 0 || rank >= n || f.Slots == 0 {
		return Share{}
	}
	holders := min(n, int(f.Slots))
	if rank >= holders {
		return Share{}
	}
	slots := int(f.Slots) / holders
	if rank < int(f.Slots)%holders {
		slots++
	}
	return Share{Rate: f.Rate / wick.PerSecond(holders), Slots: wick.Slots(slots)}
}

// MinShare returns what a member may use while several views may still have
// active members: the least of its shares in each. A member that is not in one
// of the views has no share yet.
func MinShare(shares ...Share) Share {
	if len(shares) == 0 {
		return Share{}
	}
	least := shares[0]
	for _, s := range shares[1:] {
		least.Rate = min(least.Rate, s.Rate)
		least.Slots = min(least.Slots, s.Slots)
	}
	return least
}

// bucket is a token bucket. The zero bucket is empty.
type bucket struct {
	tokens float64
	at     wick.Instant
}

// refill adds the tokens accrued since the last call, up to burst.
func (b *bucket) refill(now wick.Instant, rate wick.PerSecond, burst float64) {
	if now > b.at {
		b.tokens += float64(rate) * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, burst)
}

// take removes one token, if there is one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// StoreConfig holds the settings of a store's budget.
type StoreConfig struct {
	Store wick.Store
	// TTL is how long a grant is valid, counted from its request. Zero means a
	// second.
	TTL time.Duration
	// LoadTime is how long a load may be in flight after it was last reported.
	// Zero means five seconds.
	LoadTime time.Duration
}

const (
	defaultTTL      = time.Second
	defaultLoadTime = 5 * time.Second
)

func (c StoreConfig) withDefaults() StoreConfig {
	if c.TTL == 0 {
		c.TTL = defaultTTL
	}
	if c.LoadTime == 0 {
		c.LoadTime = defaultLoadTime
	}
	return c
}

// holdTime is how long loads may be in flight after the last report of their
// daemon.
func (c StoreConfig) holdTime() time.Duration { return c.TTL + c.LoadTime }
