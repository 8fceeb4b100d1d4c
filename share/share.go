// Package share decides how many units of the allotments of teams each daemon may use.
// The holder of a team's shard has a token bucket for it (Holder) and grants units to the
// daemons, which spend them on requests (Client). A daemon asks ahead for what it expects
// to use, and at once for a request that finds too little. See docs/design/allotments.md.
package share

import (
	"time"

	"currantwick"
	"currantwick/terms"
)

const (
	// unitsTTL is how long a daemon may use granted units, from when it sent the
	// report that asked for them. It covers two reports and a slow answer.
	unitsTTL = time.Second
	// memberTimeout is how long a daemon counts as linked after its last report: four
	// heartbeats, as for links.
	memberTimeout = time.Second
	// pauseThreshold is the time between two events above which a holder assumes that
	// its process was paused, and starts again. Reports that waited meanwhile say
	// nothing about who takes units from it now.
	pauseThreshold = time.Second

	// The overshoot and the slack that the platform tolerates are divided among what
	// can't be exact. In a window of 8 s with a burst of one second's worth they are
	// 0.9 s of the rate and 72,000 tokens.

	// reserveOvershoot and reserveSlack are the parts by which a bucket may go below
	// zero. They stand for units that other daemons hold and do not use: with less than
	// that, a request is refused that fits into one bucket for all daemons.
	reserveOvershoot = 0.15
	reserveSlack     = 0.4
	// stockBurst and stockSlack are the parts of the burst and of the slack that all
	// daemons together may hold ahead of requests. With a burst of one second's worth
	// and a window of 8 s that is about the reserve.
	stockBurst = 0.14
	stockSlack = 0.35
	// missingOvershoot is the part of the overshoot by which daemons may be missing
	// before the others get less.
	missingOvershoot = 0.5
	// largeSlack is the part of the slack by which one request may exceed the burst.
	largeSlack = 0.5
	// aloneSlack is the part of the slack that daemons without a holder may use, all of
	// them together.
	aloneSlack = 0.25
)

// ShardOf returns the shard whose holder has the bucket of a team.
func ShardOf(team wick.TeamName) wick.Shard { return terms.ShardOf(wick.EndpointName(team)) }

// Config is how far the units of a team may exceed its allotment in a window of time: by
// Overshoot times the allotment, plus Slack tokens.
type Config struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// slack returns the tolerated units beyond the overshoot. They are given in tokens, so
// there are none for allotments that count requests.
func (c Config) slack(a wick.Allotment) float64 {
	if a.Unit != wick.UnitTokens {
		return 0
	}
	return c.Slack
}

// reserve returns how far the bucket of an allotment may go below zero.
func (c Config) reserve(a wick.Allotment) float64 {
	allotted := float64(a.Rate)*c.Window.Seconds() + a.Burst
	return reserveOvershoot*c.Overshoot*allotted + reserveSlack*c.slack(a)
}

// fits reports whether a request fits into a bucket with the given level and capacity. A
// request that is larger than the bucket fits if the bucket is full; it would never
// fit otherwise.
func fits(units, level, capacity, reserve, large float64) bool {
	if units <= level+reserve {
		return true
	}
	return units > capacity && level >= capacity && units-capacity <= max(large, 1)
}

// untilRoom returns the time until a bucket with some room has room for a request.
func untilRoom(units, room, rate float64) time.Duration {
	if rate <= 0 {
		return maxUntilRoom
	}
	return min(max(time.Duration((units-room)/rate*float64(time.Second)), 0), maxUntilRoom)
}

// maxUntilRoom bounds the time until there is room. Callers do not wait longer.
const maxUntilRoom = time.Minute
