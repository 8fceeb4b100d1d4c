// Package route decides which endpoint gets a request.
//
// The control thread feeds a [Builder] with the configuration, the digests of
// owners and the owners themselves, and publishes an immutable [Table] with a
// router on it. Traffic threads pick from the newest one. A table shares with
// the one before it all that did not change, so that one digest costs the same
// at any number of endpoints.
package route

import (
	"github.com/cespare/xxhash/v2"

	"currantwick"
)

// node is what the configuration and the view say about an endpoint.
type node struct {
	name   wick.EndpointName
	domain wick.Domain
	owner  wick.HostName
	peer   wick.Address
	pool   int32
}

// state is what changes with every digest.
type state struct {
	// work is the cost of what waits and runs, as of the last digest.
	work wick.Cost
	// seen is this daemon's own share of work.
	seen wick.Cost
	// slots is the number of batch slots; positive for a configured endpoint.
	slots float32
	// slow is the time per token relative to the peers; positive.
	slow float32
	// out tells that the endpoint is leaving or gone.
	out bool
	// ejected tells that the owner gives the endpoint no ordinary work.
	ejected bool
}

// holders lists the endpoints that hold one adapter version.
type holders struct {
	// key is the hash of pool, adapter and version. Two that collide share
	// their holders: that costs a load, never a wrong answer, because the
	// owner resolves the name itself.
	key uint64
	// nodes is sorted; it is replaced, never changed.
	nodes []int32
}

// pool is a group of endpoints.
type pool struct {
	name wick.PoolName
	// members are the endpoints that are not leaving, live those of them that
	// are not ejected, and ejected the others. All are sorted, and replaced,
	// never changed.
	members []int32
	live    []int32
	ejected []int32
	ring    ring
	// work and slots are the sums over the members.
	work  wick.Cost
	slots float64
}

// ignoresEjection reports whether so many endpoints are ejected that the rest
// could not carry the load.
func (p *pool) ignoresEjection() bool { return 2*len(p.live) < len(p.members) }

// candidates returns the endpoints that ordinary work goes to.
func (p *pool) candidates() []int32 {
	if p.ignoresEjection() {
		return p.members
	}
	return p.live
}

// Table is an immutable picture of all endpoints.
type Table struct {
	byName  map[wick.PoolName]int32
	pools   []pool
	nodes   pages[node]
	states  pages[state]
	holders pages[[]holders]
	// mask is the number of buckets of holders, a power of two, less one.
	mask uint64
}

// refKey returns the hash by which holders and homes of an adapter are found.
func refKey(pool int32, ref wick.Ref) uint64 {
	h := xxhash.Sum64String(string(ref.Adapter))
	h = mix(h ^ uint64(pool))
	return mix(h ^ xxhash.Sum64String(string(ref.Version)))
}

// holdersOf returns the endpoints that hold what key stands for.
func (t *Table) holdersOf(key uint64) []int32 {
	for _, h := range *t.holders.at(int(key & t.mask)) {
		if h.key == key {
			return h.nodes
		}
	}
	return nil
}

// target describes endpoint i.
func (t *Table) target(i int32, ready bool) wick.Target {
	n := t.nodes.at(int(i))
	return wick.Target{
		Index:    wick.EndpointIndex(i),
		Endpoint: n.name,
		Owner:    n.owner,
		Peer:     n.peer,
		Ready:    ready,
	}
}

var _ wick.Places = (*Table)(nil)

// Homes implements wick.Places.
func (t *Table) Homes(name wick.PoolName, ref wick.Ref, yield func(wick.EndpointName, wick.Domain) bool) {
	pi, ok := t.byName[name]
	if !ok {
		return
	}
	w := t.pools[pi].ring.from(refKey(pi, ref))
	for i, ok := w.next(); ok; i, ok = w.next() {
		n := t.nodes.at(int(i))
		if !yield(n.name, n.domain) {
			return
		}
	}
}

// Holders implements wick.Places.
func (t *Table) Holders(name wick.PoolName, ref wick.Ref) int {
	pi, ok := t.byName[name]
	if !ok {
		return 0
	}
	n := 0
	for _, i := range t.holdersOf(refKey(pi, ref)) {
		if !t.states.at(int(i)).out {
			n++
		}
	}
	return n
}

// Size implements wick.Places.
func (t *Table) Size(name wick.PoolName) int {
	pi, ok := t.byName[name]
	if !ok {
		return 0
	}
	return len(t.pools[pi].members)
}
