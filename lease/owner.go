package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"currantwick"
)

// Key names something that has one owner in each view, and on which at most one
// daemon acts at a time: an endpoint, the budget of a weight store, or the duty
// to write checkpoints of the claims.
type Key string

// EndpointKey returns the key of an endpoint.
func EndpointKey(name wick.EndpointName) Key { return Key("Endpoint/" + string(name)) }

// StoreKey returns the key of a weight store's budget.
func StoreKey(name wick.StoreName) Key { return Key("Store/" + string(name)) }

// ClaimsKey is owned by the daemon that writes checkpoints of the claims.
const ClaimsKey Key = "Claims"

func (k Key) hash() uint64 { return xxhash.Sum64String(string(k)) }

// score returns the rendezvous hashing score of a host for a key, given their
// hashes. Hosts are scored and not incarnations, so a restart moves no key.
func score(key, host uint64) uint64 {
	x := key ^ host
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// indexedView is a view with the values that are computed from it once. Members
// are referred to by their index in the view.
type indexedView struct {
	view wick.View
	// hosts and domains hold, for each member, the hash of its host and the
	// number of its failure domain.
	hosts         []uint64
	domains       []int
	domainNumbers map[wick.Domain]int
	// witnesses and vouchesFor hold, for each member, who vouches for it and
	// for whom it vouches.
	witnesses, vouchesFor [][]int
}

func newIndexedView(v wick.View) *indexedView {
	n := len(v.Members)
	r := &indexedView{
		view: v, hosts: make([]uint64, n), domains: make([]int, n),
		domainNumbers: make(map[wick.Domain]int), witnesses: make([][]int, n), vouchesFor: make([][]int, n),
	}
	for i, m := range v.Members {
		d, ok := r.domainNumbers[m.Domain]
		if !ok {
			d = len(r.domainNumbers)
			r.domainNumbers[m.Domain] = d
		}
		r.domains[i] = d
		r.hosts[i] = xxhash.Sum64String(string(m.Host))
	}
	return r
}

// assignWitnesses computes witnesses and vouchesFor.
func (r *indexedView) assignWitnesses() *indexedView {
	for i, m := range r.view.Members {
		r.witnesses[i] = r.witnessesOf(m)
		for _, w := range r.witnesses[i] {
			r.vouchesFor[w] = append(r.vouchesFor[w], i)
		}
	}
	return r
}

// Owner returns the owner of key in a view. From one view to the next, a key
// moves only away from a member that left or to one that joined.
func Owner(v wick.View, key Key) (wick.Member, bool) {
	i := newIndexedView(v).owner(key)
	if i < 0 {
		return wick.Member{}, false
	}
	return v.Members[i], true
}

// Witnesses returns who vouches for a member of a view: other members, of
// different failure domains first, with the member's own domain last.
func Witnesses(v wick.View, m wick.Member) []wick.Member {
	r := newIndexedView(v)
	return r.members(r.witnessesOf(m))
}

// index returns the index of the member that is the given run, or -1.
func (r *indexedView) index(n runID) int {
	if i := r.memberOn(n.host); i >= 0 && r.view.Members[i].Incarnation == n.incarnation {
		return i
	}
	return -1
}

// memberOn returns the index of the member on a host, or -1.
func (r *indexedView) memberOn(host wick.HostName) int {
	i, ok := slices.BinarySearchFunc(r.view.Members, host, func(o wick.Member, h wick.HostName) int {
		return cmp.Compare(o.Host, h)
	})
	if !ok {
		return -1
	}
	return i
}

func (r *indexedView) members(indices []int) []wick.Member {
	out := make([]wick.Member, 0, len(indices))
	for _, i := range indices {
		out = append(out, r.view.Members[i])
	}
	return out
}

// owner returns the index of the owner of a key, or -1.
func (r *indexedView) owner(key Key) int {
	hash := key.hash()
	best, top := -1, uint64(0)
	for i, h := range r.hosts {
		if s := score(hash, h); s > top || best < 0 {
			best, top = i, s
		}
	}
	return best
}

// ranked returns up to limit members for a key: the one with the highest score
// first, then one of each other failure domain by score, then the rest.
func (r *indexedView) ranked(key Key, limit int) []int {
	return r.spreadOverDomains(key.hash(), "", "", limit)
}

// witnessesOf returns who vouches for m, or would if m were a member: others, of
// different failure domains first, with m's own domain last.
func (r *indexedView) witnessesOf(m wick.Member) []int {
	return r.spreadOverDomains(Key("Witness/"+string(m.Host)).hash(), m.Host, m.Domain, r.view.Terms.Witnesses)
}

// candidate is a member with its score for some key.
type candidate struct {
	index int
	score uint64
}

func byScore(a, b candidate) int { return cmp.Compare(b.score, a.score) }

// spreadOverDomains returns up to limit members with the highest scores, taken
// from the failure domains in rounds. It leaves out skipHost; in each round
// lastDomain comes last.
func (r *indexedView) spreadOverDomains(key uint64, skipHost wick.HostName, lastDomain wick.Domain, limit int) []int {
	if len(r.hosts) == 0 {
		return nil
	}
	lastNumber, ok := r.domainNumbers[lastDomain]
	if !ok {
		lastNumber = -1
	}
	// A few rounds are enough unless a domain has few members.
	rounds := limit/len(r.domainNumbers) + 1
	out := takeInRounds(r.best(key, skipHost, rounds), lastNumber, limit)
	if len(out) < limit && rounds < limit {
		out = takeInRounds(r.best(key, skipHost, limit), lastNumber, limit)
	}
	return out
}

// best returns, for each failure domain, up to rounds members with the highest
// scores.
func (r *indexedView) best(key uint64, skipHost wick.HostName, rounds int) [][]candidate {
	best := make([][]candidate, len(r.domainNumbers))
	for i, h := range r.hosts {
		s := candidate{i, score(key, h)}
		top := best[r.domains[i]]
		if len(top) == rounds && s.score <= top[rounds-1].score || r.view.Members[i].Host == skipHost {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, s, byScore)
		top = slices.Insert(top, at, s)
		best[r.domains[i]] = top[:min(len(top), rounds)]
	}
	return best
}

// takeInRounds takes one member of each domain in a round, until limit members
// are taken.
func takeInRounds(best [][]candidate, last, limit int) []int {
	out := make([]int, 0, limit)
	for round := 0; ; round++ {
		var taken []candidate
		for d, top := range best {
			if d != last && round < len(top) {
				taken = append(taken, top[round])
			}
		}
		slices.SortFunc(taken, byScore)
		if last >= 0 && round < len(best[last]) {
			taken = append(taken, best[last][round])
		}
		for _, s := range taken {
			if len(out) == limit {
				return out
			}
			out = append(out, s.index)
		}
		if len(taken) == 0 {
			return out
		}
	}
}

// leaseQuorum returns how many of n witnesses must vouch for a lease. Together
// with a leaveQuorum they are more than n, so the two always share a witness. A
// member is not its own witness, so in a view of two members the one that
// remains is a leaveQuorum of the other's witnesses and can take over.
func leaseQuorum(n int) int { return (n + 1) / 2 }

// leaveQuorum returns how many of n witnesses must have left a view for the lease
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
