package limit

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"currantwick"
)

// shardMembers is the maximum number of daemons per part of a store's budget.
// The owner of a part answers all their requests within its share of control
// traffic.
const shardMembers = 40

// Shards returns the number of parts into which the budget of a store should be
// split for the given number of daemons. Each part has its own owner and its
// own limits. The number in use must not follow the view: the owners of the
// parts before and after a change would grant the budget twice. It is a
// setting, to be changed like the limits themselves.
func Shards(s wick.Store, members int) int {
	n := (members + shardMembers - 1) / shardMembers
	return max(1, min(n, int(s.FullSpeed)))
}

// ShardOf returns the part, out of shards, that a daemon sends its requests to.
func ShardOf(host wick.HostName, shards int) int {
	return int(xxhash.Sum64String(string(host)) % uint64(shards))
}

// Shard returns one part of a store as a store of its own. The limits of all
// parts add up to those of the whole. A single part keeps the store's name.
func Shard(s wick.Store, shard, shards int) wick.Store {
	if shards <= 1 {
		return s
	}
	return wick.Store{
		Name:      wick.StoreName(fmt.Sprintf("%s.%d", s.Name, shard)),
		Rate:      s.Rate / wick.PerSecond(shards),
		FullSpeed: shardSlots(s.FullSpeed, shard, shards),
		Knee:      shardSlots(s.Knee, shard, shards),
	}
}

// shardSlots returns one shard's part of a number of slots.
func shardSlots(s wick.Slots, shard, shards int) wick.Slots {
	n := s / wick.Slots(shards)
	if wick.Slots(shard) < s%wick.Slots(shards) {
		n++
	}
	return n
}
