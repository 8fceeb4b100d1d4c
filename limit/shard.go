package limit

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"currantwick"
)

// shardMembers is how many daemons share one part of a store's budget. The owner
// of a part answers all their questions within its share of control traffic.
const shardMembers = 40

// Shards returns into how many parts the budget of a store should be split for
// so many daemons. Each part has its own owner, and limits of its own. The
// number in use must not follow the view: the owners of the parts before and
// after a change would give the budget twice. It is a setting, to be changed
// like the limits themselves.
func Shards(s wick.Store, members int) int {
	n := (members + shardMembers - 1) / shardMembers
	return max(1, min(n, int(s.FullSpeed)))
}

// ShardOf returns the part that a daemon asks, of so many.
func ShardOf(host wick.HostName, shards int) int {
	return int(xxhash.Sum64String(string(host)) % uint64(shards))
}

// Shard returns a part of a store as a store of its own. The limits of all
// parts add up to those of the whole. The name of the only part is that of the
// store.
func Shard(s wick.Store, shard, shards int) wick.Store {
	if shards <= 1 {
		return s
	}
	return wick.Store{
		Name:      wick.StoreName(fmt.Sprintf("%s.%d", s.Name, shard)),
		Rate:      s.Rate / wick.PerSecond(shards),
		FullSpeed: part(s.FullSpeed, shard, shards),
		Knee:      part(s.Knee, shard, shards),
	}
}

// part returns what one of so many gets of whole slots.
func part(s wick.Slots, shard, shards int) wick.Slots {
	n := s / wick.Slots(shards)
	if wick.Slots(shard) < s%wick.Slots(shards) {
		n++
	}
	return n
}
