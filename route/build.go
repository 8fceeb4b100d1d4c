package route

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"currantwick"
)

// Config holds the settings of a router. Zero fields take their defaults.
type Config struct {
	Policy wick.RoutePolicy
	// HomeLoadFactor is the multiple of the pool's mean load up to which an
	// endpoint is accepted as an adapter's home; at least 1. Slack is added to
	// this limit.
	HomeLoadFactor float64
	// Slack is the load, in seconds of work per batch slot, up to which an
	// endpoint that has the adapter loaded is chosen without comparison. It is
	// also added to the load limit of a home.
	Slack wick.Cost
	// RunningCost is the assumed remaining work of a running request.
	RunningCost wick.Cost
	// LoadCost is the cost of loading an adapter, expressed as load: the load
	// of an endpoint that has the adapter must exceed that of another endpoint
	// by more than this before the adapter is loaded there.
	LoadCost wick.Cost
	// PrefixGain is the benefit of a cached prompt prefix, expressed as load.
	PrefixGain wick.Cost
	// ProbeShare is the share of the requests with RouteInput.Probe set that are
	// sent to ejected endpoints; 0 to 1.
	ProbeShare float64
}

const (
	defaultHomeLoadFactor = 1.25
	defaultSlack          = wick.Cost(0.5)
	defaultRunningCost    = wick.Cost(1)
	defaultLoadCost       = wick.Cost(4)
	defaultPrefixGain     = wick.Cost(0.1)
	defaultProbeShare     = 0.02
)

// Check reports settings that cannot work.
func (c Config) Check() error {
	switch c.Policy {
	case "", wick.RouteAffinity, wick.RouteLeastLoaded, wick.RouteRoundRobin:
	default:
		return fmt.Errorf("policy: %q is not a routing policy", string(c.Policy))
	}
	if c.HomeLoadFactor != 0 && c.HomeLoadFactor < 1 {
		return fmt.Errorf("home load factor: %v is below 1", c.HomeLoadFactor)
	}
	if min(c.Slack, c.RunningCost, c.LoadCost, c.PrefixGain) < 0 {
		return fmt.Errorf("the costs Slack, RunningCost, LoadCost and PrefixGain must not be negative")
	}
	if c.ProbeShare < 0 || c.ProbeShare > 1 {
		return fmt.Errorf("probe share: %v is outside the range 0 to 1", c.ProbeShare)
	}
	return nil
}

func (c Config) withDefaults() Config {
	if c.Policy == "" {
		c.Policy = wick.RouteAffinity
	}
	if c.HomeLoadFactor == 0 {
		c.HomeLoadFactor = defaultHomeLoadFactor
	}
	if c.Slack == 0 {
		c.Slack = defaultSlack
	}
	if c.RunningCost == 0 {
		c.RunningCost = defaultRunningCost
	}
	if c.LoadCost == 0 {
		c.LoadCost = defaultLoadCost
	}
	if c.PrefixGain == 0 {
		c.PrefixGain = defaultPrefixGain
	}
	if c.ProbeShare == 0 {
		c.ProbeShare = defaultProbeShare
	}
	return c
}

// endpointEntry is the builder's own state of an endpoint, which the published
// table does not need.
type endpointEntry struct {
	// configLeaving is set while the configuration admits no new work to the
	// endpoint, hostLeaving while the platform drains its host.
	configLeaving, hostLeaving bool
	// readyKeys holds the sorted keys of the adapters in the last full digest.
	readyKeys []uint64
}

// Builder maintains the routing table. It belongs to the control thread and is
// not safe for concurrent use.
type Builder struct {
	config Config
	table  Table
	// epoch is incremented by each Publish, so that published pages are never
	// modified.
	epoch   uint64
	index   map[wick.EndpointName]int32
	entries []endpointEntry
	// freeIndexes holds the indexes of removed endpoints, oldest first.
	freeIndexes []int32
	keyCount    int
	// staleLists reports for each pool whether its lists must be rebuilt.
	staleLists []bool
	// inFlight reports the work of this daemon; nil if it is not counted.
	inFlight wick.InFlight
	// lastView is the argument of the last call of View.
	lastView wick.View
	// lastTable is the table published last.
	lastTable *Table
}

// New returns a builder with an empty table. inFlight is the value that
// requests carry as RouteInput.InFlight; it may be nil.
func New(cfg Config, inFlight wick.InFlight) (*Builder, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	b := &Builder{
		config:   cfg.withDefaults(),
		epoch:    1,
		index:    make(map[wick.EndpointName]int32),
		inFlight: inFlight,
	}
	b.table.byName = make(map[wick.PoolName]int32)
	b.table.loadedOn = newPages[[]loadedOn](1, b.epoch)
	return b, nil
}

// Put adds or updates an endpoint.
func (b *Builder) Put(e wick.Endpoint) {
	i, ok := b.index[e.Name]
	if ok && b.table.pools[b.table.endpoints.at(int(i)).pool].name != e.Pool {
		b.Remove(e.Name)
		ok = false
	}
	if !ok {
		i = b.addEndpoint(e)
	}
	n := b.table.endpoints.edit(int(i), b.epoch)
	n.domain = e.Domain
	st := b.table.states.edit(int(i), b.epoch)
	p := &b.table.pools[n.pool]
	if !st.unavailable {
		p.slots += float64(e.BatchSlots) - float64(st.slots)
	}
	st.slots = float32(e.BatchSlots)
	b.entries[i].configLeaving = e.Leaving
	b.updateMembership(i)
}

// addEndpoint allocates an index for an endpoint and adds it as unavailable.
func (b *Builder) addEndpoint(e wick.Endpoint) int32 {
	var i int32
	if len(b.freeIndexes) > 0 {
		i, b.freeIndexes = b.freeIndexes[0], b.freeIndexes[1:]
	} else {
		i = int32(len(b.entries))
		b.entries = append(b.entries, endpointEntry{})
	}
	b.table.endpoints.grow(len(b.entries), b.epoch)
	b.table.states.grow(len(b.entries), b.epoch)
	b.index[e.Name] = i
	*b.table.endpoints.edit(int(i), b.epoch) = endpointInfo{name: e.Name, pool: b.pool(e.Pool)}
	*b.table.states.edit(int(i), b.epoch) = endpointState{slowdown: 1, slots: 1, unavailable: true}
	b.entries[i] = endpointEntry{}
	return i
}

// pool returns the index of a pool and creates the pool if needed.
func (b *Builder) pool(name wick.PoolName) int32 {
	i, ok := b.table.byName[name]
	if ok {
		return i
	}
	i = int32(len(b.table.pools))
	b.table.byName = maps.Clone(b.table.byName)
	b.table.byName[name] = i
	b.table.pools = append(b.table.pools, pool{name: name, ring: newRing(b.epoch)})
	b.staleLists = append(b.staleLists, true)
	return i
}

// Remove removes an endpoint from the table.
func (b *Builder) Remove(name wick.EndpointName) {
	i, ok := b.index[name]
	if !ok {
		return
	}
	b.entries[i].configLeaving = true
	b.updateMembership(i)
	b.setReadyKeys(i, nil)
	delete(b.index, name)
	b.freeIndexes = append(b.freeIndexes, i)
}

// SetLeaving sets whether the host of an endpoint is leaving. While it is, the
// endpoint gets no new work, starting with the next published table.
func (b *Builder) SetLeaving(name wick.EndpointName, hostLeaving bool) {
	if i, ok := b.index[name]; ok {
		b.entries[i].hostLeaving = hostLeaving
		b.updateMembership(i)
	}
}

// updateMembership adds endpoint i to its pool or removes it, according to its
// entry.
func (b *Builder) updateMembership(i int32) {
	unavailable := b.entries[i].configLeaving || b.entries[i].hostLeaving
	if b.table.states.at(int(i)).unavailable == unavailable {
		return
	}
	st := b.table.states.edit(int(i), b.epoch)
	st.unavailable = unavailable
	n := b.table.endpoints.at(int(i))
	p := &b.table.pools[n.pool]
	seed := xxhash.Sum64String(string(n.name))
	if unavailable {
		p.ring.remove(i, seed, b.epoch)
		p.members = removeSorted(p.members, i)
		p.work -= st.work
		p.slots -= float64(st.slots)
	} else {
		p.ring.add(i, seed, b.epoch)
		p.members = insertSorted(p.members, i)
		p.work += st.work
		p.slots += float64(st.slots)
	}
	b.staleLists[n.pool] = true
}

// Digest applies the digest that an endpoint's owner sent, and reports whether
// the endpoint is known.
func (b *Builder) Digest(d wick.Digest) bool {
	i, ok := b.index[d.Endpoint]
	if !ok {
		return false
	}
	st := b.table.states.edit(int(i), b.epoch)
	pi := b.table.endpoints.at(int(i)).pool
	work := d.Queued + wick.Cost(d.Running)*b.config.RunningCost
	if !st.unavailable {
		b.table.pools[pi].work += work - st.work
	}
	st.work = work
	st.localWork = 0
	if b.inFlight != nil {
		st.localWork = b.inFlight.Cost(wick.EndpointIndex(i))
	}
	st.slowdown = 1
	if d.Slowdown > 0 {
		st.slowdown = float32(d.Slowdown)
	}
	if st.ejected != d.Ejected {
		st.ejected = d.Ejected
		b.staleLists[pi] = true
	}
	if d.Brief {
		return true
	}
	keys := make([]uint64, len(d.Ready))
	for k, ref := range d.Ready {
		keys[k] = refKey(pi, ref)
	}
	slices.Sort(keys)
	b.setReadyKeys(i, slices.Compact(keys))
	return true
}

// Publish returns a router on an immutable snapshot of the current table.
func (b *Builder) Publish() wick.Router {
	for i := range b.table.pools {
		if b.staleLists[i] {
			b.staleLists[i] = false
			b.rebuildLists(&b.table.pools[i])
		}
	}
	t := b.table
	t.pools = slices.Clone(t.pools)
	b.lastTable = &t
	b.epoch++
	switch b.config.Policy {
	case wick.RouteLeastLoaded:
		return &LeastLoaded{Table: &t}
	case wick.RouteRoundRobin:
		return &RoundRobin{Table: &t}
	}
	return &Affinity{Table: &t, Config: b.config}
}

// Table returns the table published last, or nil before the first Publish. A
// placer looks up adapter homes in it.
func (b *Builder) Table() *Table { return b.lastTable }

// rebuildLists splits the members of a pool into healthy and ejected ones.
func (b *Builder) rebuildLists(p *pool) {
	healthy := make([]int32, 0, len(p.members))
	var ejected []int32
	for _, i := range p.members {
		if b.table.states.at(int(i)).ejected {
			ejected = append(ejected, i)
		} else {
			healthy = append(healthy, i)
		}
	}
	p.healthy, p.ejected = healthy, ejected
}

// insertSorted returns a copy of the sorted list that contains i.
func insertSorted(list []int32, i int32) []int32 {
	at, ok := slices.BinarySearch(list, i)
	if ok {
		return list
	}
	next := make([]int32, 0, len(list)+1)
	next = append(next, list[:at]...)
	next = append(next, i)
	return append(next, list[at:]...)
}

// removeSorted returns a copy of the sorted list that does not contain i.
func removeSorted(list []int32, i int32) []int32 {
	at, ok := slices.BinarySearch(list, i)
	if !ok {
		return list
	}
	next := make([]int32, 0, len(list)-1)
	next = append(next, list[:at]...)
	return append(next, list[at+1:]...)
}
