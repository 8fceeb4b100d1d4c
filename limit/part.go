package limit

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"currantwick"
)

// membersPerPart is the maximum number of daemons per part of a store's budget.
// It keeps the requests that the owner of a part answers within the bound on
// control traffic per daemon.
const membersPerPart = 40

// NumParts returns the number of parts into which the budget of a store should be
// split for the given number of daemons. Each part has its own owner and its
// own limits. The number in use must not change with the view, since the owners
// of the parts before and after the change would both grant the budget. It is a
// setting, to be changed like the limits themselves.
func NumParts(s wick.Store, members int) int {
	n := (members + membersPerPart - 1) / membersPerPart
	return max(1, min(n, int(s.FullSpeed)))
}

// PartOf returns the part, out of parts, that a daemon sends its requests to.
func PartOf(host wick.HostName, parts int) int {
	return int(xxhash.Sum64String(string(host)) % uint64(parts))
}

// StorePart returns one part of a store as a store of its own. The limits of all
// parts add up to those of the whole. A single part keeps the store's name.
func StorePart(s wick.Store, part, parts int) wick.Store {
	if parts <= 1 {
		return s
	}
	return wick.Store{
		Name:      wick.StoreName(fmt.Sprintf("%s.%d", s.Name, part)),
		Rate:      s.Rate / wick.PerSecond(parts),
		FullSpeed: partSlots(s.FullSpeed, part, parts),
		Knee:      partSlots(s.Knee, part, parts),
	}
}

// partSlots returns the share of one part in a number of slots.
func partSlots(s wick.Slots, part, parts int) wick.Slots {
	n := s / wick.Slots(parts)
	if wick.Slots(part) < s%wick.Slots(parts) {
		n++
	}
	return n
}
