package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"currantwick"
)

// Key is what has exactly one owner: an endpoint or a weight store.
type Key string

// EndpointKey returns the key of an endpoint.
func EndpointKey(name wick.EndpointName) Key { return Key("Endpoint/" + string(name)) }

// StoreKey returns the key of a weight store's budget.
func StoreKey(name wick.StoreName) Key { return Key("Store/" + string(name)) }

// score is the weight of a host for a key by rendezvous hashing. Hosts, not
// incarnations, are scored, so that a restart moves nothing.
func score(key uint64, host wick.HostName) uint64 {
	x := key ^ xxhash.Sum64String(string(host))
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Owner returns the owner of key in a view. Between two views, a key moves
// only away from a member that left or to one that came.
func Owner(v wick.View, key Key) (wick.Member, bool) {
	if len(v.Members) == 0 {
		return wick.Member{}, false
	}
	sum := xxhash.Sum64String(string(key))
	best, top := v.Members[0], uint64(0)
	for _, m := range v.Members {
		if s := score(sum, m.Host); s > top {
			best, top = m, s
		}
	}
	return best, true
}

// Ranked returns up to limit members for key: the owner first, then one of
// each other failure domain, by score, then the rest.
func Ranked(v wick.View, key Key, limit int) []wick.Member {
	return spread(v.Members, xxhash.Sum64String(string(key)), "", limit)
}

// Witnesses returns who vouches for a member of a view: other members, of
// different failure domains first, with the member's own domain last.
func Witnesses(v wick.View, m wick.Member) []wick.Member {
	others := slices.DeleteFunc(slices.Clone(v.Members), func(o wick.Member) bool {
		return o.Host == m.Host
	})
	return spread(others, xxhash.Sum64String("Witness/"+string(m.Host)), m.Domain, v.Terms.Witnesses)
}

// spread orders members by score, dealt out over failure domains in rounds; in
// each round the domain last comes last.
func spread(members []wick.Member, key uint64, last wick.Domain, limit int) []wick.Member {
	type ranked struct {
		member wick.Member
		score  uint64
		round  int
	}
	all := make([]ranked, 0, len(members))
	for _, m := range members {
		all = append(all, ranked{member: m, score: score(key, m.Host)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	rounds := make(map[wick.Domain]int)
	for i := range all {
		d := all[i].member.Domain
		all[i].round = rounds[d]
		rounds[d]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		if a.round != b.round {
			return cmp.Compare(a.round, b.round)
		}
		return compareLast(a.member.Domain, b.member.Domain, last)
	})
	out := make([]wick.Member, 0, min(limit, len(all)))
	for _, r := range all[:min(limit, len(all))] {
		out = append(out, r.member)
	}
	return out
}

func compareLast(a, b, last wick.Domain) int {
	switch {
	case last == "" || (a == last) == (b == last):
		return 0
	case a == last:
		return 1
	}
	return -1
}

// leaseQuorum is how many of n witnesses must vouch for a lease. Together with
// a leaveQuorum they are more than n, so the two always share a witness. The
// member itself is no witness; so a pair survives the loss of one.
func leaseQuorum(n int) int { return (n + 1) / 2 }

// leaveQuorum is how many of n witnesses must have left a view for its lease
// to end.
func leaveQuorum(n int) int { return n + 1 - leaseQuorum(n) }

// nthLatest returns the nth latest of the instants, counted from 1.
func nthLatest(at []wick.Instant, n int) (wick.Instant, bool) {
	if len(at) < n {
		return 0, false
	}
	slices.SortFunc(at, func(a, b wick.Instant) int { return cmp.Compare(b, a) })
	return at[n-1], true
}
