// Package route decides which endpoint gets a request.
//
// The control thread updates a [Builder] with the configuration, the endpoints'
// owners and the digests that owners send, and publishes an immutable [Table]
// with a router on it. Traffic threads use the newest router. A table shares
// unchanged pages with its predecessor, so that the cost of one digest does not
// depend on the number of endpoints.
package route

import (
	"github.com/cespare/xxhash/v2"

	"currantwick"
)

// endpointInfo is the part of an endpoint that is set by the configuration and
// the view.
type endpointInfo struct {
	name   wick.EndpointName
	domain wick.Domain
	owner  wick.HostName
	peer   wick.Address
	pool   int32
}

// endpointState is the part of an endpoint that decides its load and whether it
// may be chosen.
type endpointState struct {
	// work is the cost of queued and running requests as of the last digest.
	work wick.Cost
	// localWork is the part of work that this daemon had sent at that time.
	localWork wick.Cost
	// slots is the number of batch slots; positive for a configured endpoint.
	slots float32
	// slowdown is the time per token relative to the other endpoints of the
	// pool; positive.
	slowdown float32
	// unavailable is set when the endpoint is leaving or was removed.
	unavailable bool
	// ejected is set while the endpoint's owner reports it as ejected; a
	// search then skips it unless search.ejected is set, as it is for a probe.
	ejected bool
}

// loadedOn lists the endpoints that have one adapter version loaded.
type loadedOn struct {
	// key is the hash of pool, adapter and version. Colliding versions share
	// their endpoints: this can cost an extra load but never a wrong answer,
	// because the request carries the adapter's name, which the owner looks up
	// itself.
	key uint64
	// endpoints is sorted; it is replaced, never modified.
	endpoints []int32
}

// pool is the routing state of one pool of endpoints.
type pool struct {
	name wick.PoolName
	// members are the available endpoints, healthy those of them that are not
	// ejected, and ejected the others. All are sorted, and replaced, never
	// modified.
	members []int32
	healthy []int32
	ejected []int32
	ring    ring
	// work and slots are sums over the members.
	work  wick.Cost
	slots float64
}

// ignoresEjection reports whether more than half of the members are ejected, so
// that the others could not carry the load.
func (p *pool) ignoresEjection() bool { return 2*len(p.healthy) < len(p.members) }

// candidates returns the endpoints for ordinary work, as opposed to probes.
func (p *pool) candidates() []int32 {
	if p.ignoresEjection() {
		return p.members
	}
	return p.healthy
}

// Table is an immutable snapshot of all endpoints.
type Table struct {
	byName    map[wick.PoolName]int32
	pools     []pool
	endpoints pages[endpointInfo]
	states    pages[endpointState]
	loadedOn  pages[[]loadedOn]
	// mask is the number of buckets of loadedOn, a power of two, less one.
	mask uint64
}

// refKey returns the hash that identifies an adapter version of a pool in
// Table.loadedOn and on the ring.
func refKey(pool int32, ref wick.Ref) uint64 {
	h := xxhash.Sum64String(string(ref.Adapter))
	h = mix(h ^ uint64(pool))
	return mix(h ^ xxhash.Sum64String(string(ref.Version)))
}

// endpointsWith returns the endpoints that have the adapter version of key
// loaded.
func (t *Table) endpointsWith(key uint64) []int32 {
	for _, h := range *t.loadedOn.at(int(key & t.mask)) {
		if h.key == key {
			return h.endpoints
		}
	}
	return nil
}

// target returns endpoint i as a routing target.
func (t *Table) target(i int32, ready bool) wick.Target {
	n := t.endpoints.at(int(i))
	return wick.Target{
		Index:    wick.EndpointIndex(i),
		Endpoint: n.name,
		Owner:    n.owner,
		Peer:     n.peer,
		Ready:    ready,
	}
}

var _ wick.PlacementTable = (*Table)(nil)

// PreferredEndpoints implements wick.PlacementTable.
func (t *Table) PreferredEndpoints(name wick.PoolName, ref wick.Ref, yield func(wick.EndpointName, wick.Domain) bool) {
	pi, ok := t.byName[name]
	if !ok {
		return
	}
	w := t.pools[pi].ring.from(refKey(pi, ref))
	for i, ok := w.next(); ok; i, ok = w.next() {
		n := t.endpoints.at(int(i))
		if !yield(n.name, n.domain) {
			return
		}
	}
}

// ResidentCount implements wick.PlacementTable.
func (t *Table) ResidentCount(name wick.PoolName, ref wick.Ref) int {
	pi, ok := t.byName[name]
	if !ok {
		return 0
	}
	n := 0
	for _, i := range t.endpointsWith(refKey(pi, ref)) {
		if !t.states.at(int(i)).unavailable {
			n++
		}
	}
	return n
}

// PoolSize implements wick.PlacementTable.
func (t *Table) PoolSize(name wick.PoolName) int {
	pi, ok := t.byName[name]
	if !ok {
		return 0
	}
	return len(t.pools[pi].members)
}
