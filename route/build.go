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
	// Bound is how many times the pool's mean load an endpoint may have and
	// still be an adapter's home; at least 1.
	Bound float64
	// Slack is the load, in seconds of work for each batch slot, up to which
	// an endpoint that holds the adapter is taken at once, and by which a home
	// may exceed Bound.
	Slack wick.Cost
	// RunningCost is the work assumed to be left of a request that runs.
	RunningCost wick.Cost
	// LoadCost is what loading an adapter is worth: the load by which its
	// holder must exceed another endpoint before the adapter is loaded there.
	LoadCost wick.Cost
	// PrefixGain is what a cached prompt prefix is worth, in load.
	PrefixGain wick.Cost
	// Probes is the part of the requests that may probe which do; 0 to 1.
	Probes float64
}

const (
	defaultBound       = 1.25
	defaultSlack       = wick.Cost(0.5)
	defaultRunningCost = wick.Cost(1)
	defaultLoadCost    = wick.Cost(4)
	defaultPrefixGain  = wick.Cost(0.1)
	defaultProbes      = 0.02
)

// Check reports settings that cannot work.
func (c Config) Check() error {
	switch c.Policy {
	case "", wick.RouteAffinity, wick.RouteLeastLoaded, wick.RouteRoundRobin:
	default:
		return fmt.Errorf("policy: %q is no routing policy", string(c.Policy))
	}
	if c.Bound != 0 && c.Bound < 1 {
		return fmt.Errorf("bound: %v is below 1", c.Bound)
	}
	if min(c.Slack, c.RunningCost, c.LoadCost, c.PrefixGain) < 0 {
		return fmt.Errorf("costs must not be negative")
	}
	if c.Probes < 0 || c.Probes > 1 {
		return fmt.Errorf("probes: %v is not 0 to 1", c.Probes)
	}
	return nil
}

func (c Config) withDefaults() Config {
	if c.Policy == "" {
		c.Policy = wick.RouteAffinity
	}
	if c.Bound == 0 {
		c.Bound = defaultBound
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
	if c.Probes == 0 {
		c.Probes = defaultProbes
	}
	return c
}

// entry is what the builder alone keeps of an endpoint.
type entry struct {
	// closed tells that the configuration lets no new work in, leaving that
	// the platform does not.
	closed, leaving bool
	// ready is sorted and holds the keys of what the last digest listed.
	ready []uint64
}

// Builder keeps the table up to date. It belongs to the control thread and is
// not safe for concurrent use.
type Builder struct {
	config Config
	table  Table
	// epoch rises with each Publish, so that published pages are never edited.
	epoch   uint64
	index   map[wick.EndpointName]int32
	entries []entry
	// free holds indexes of removed endpoints, the oldest first.
	free []int32
	keys int
	// moved tells of each pool whether its lists must be made anew.
	moved []bool
	// own gives this daemon's own work, nil if it is not counted.
	own wick.InFlight
	// view is the one that View was given last.
	view wick.View
	// last is the table that was published last.
	last *Table
}

// New returns a builder of an empty table. own is what requests carry as
// RouteInput.InFlight; it may be nil.
func New(cfg Config, own wick.InFlight) (*Builder, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	b := &Builder{
		config: cfg.withDefaults(),
		epoch:  1,
		index:  make(map[wick.EndpointName]int32),
		own:    own,
	}
	b.table.byName = make(map[wick.PoolName]int32)
	b.table.holders = newPages[[]holders](1, b.epoch)
	return b, nil
}

// Put adds an endpoint or changes one.
func (b *Builder) Put(e wick.Endpoint) {
	i, ok := b.index[e.Name]
	if ok && b.table.pools[b.table.nodes.at(int(i)).pool].name != e.Pool {
		b.Remove(e.Name)
		ok = false
	}
	if !ok {
		i = b.add(e)
	}
	n := b.table.nodes.edit(int(i), b.epoch)
	n.domain = e.Domain
	st := b.table.states.edit(int(i), b.epoch)
	p := &b.table.pools[n.pool]
	if !st.out {
		p.slots += float64(e.BatchSlots) - float64(st.slots)
	}
	st.slots = float32(e.BatchSlots)
	b.entries[i].closed = e.Leaving
	b.refresh(i)
}

// add makes room for an endpoint, as one that is out.
func (b *Builder) add(e wick.Endpoint) int32 {
	var i int32
	if len(b.free) > 0 {
		i, b.free = b.free[0], b.free[1:]
	} else {
		i = int32(len(b.entries))
		b.entries = append(b.entries, entry{})
	}
	b.table.nodes.grow(len(b.entries), b.epoch)
	b.table.states.grow(len(b.entries), b.epoch)
	b.index[e.Name] = i
	*b.table.nodes.edit(int(i), b.epoch) = node{name: e.Name, pool: b.pool(e.Pool)}
	*b.table.states.edit(int(i), b.epoch) = state{slow: 1, slots: 1, out: true}
	b.entries[i] = entry{}
	return i
}

// pool returns the index of a pool, which is made if need be.
func (b *Builder) pool(name wick.PoolName) int32 {
	i, ok := b.table.byName[name]
	if ok {
		return i
	}
	i = int32(len(b.table.pools))
	b.table.byName = maps.Clone(b.table.byName)
	b.table.byName[name] = i
	b.table.pools = append(b.table.pools, pool{name: name, ring: newRing(b.epoch)})
	b.moved = append(b.moved, true)
	return i
}

// Remove takes an endpoint out of the table.
func (b *Builder) Remove(name wick.EndpointName) {
	i, ok := b.index[name]
	if !ok {
		return
	}
	b.entries[i].closed = true
	b.refresh(i)
	b.hold(i, nil)
	delete(b.index, name)
	b.free = append(b.free, i)
}

// Leave says whether the host of an endpoint is leaving. While it is, the
// endpoint gets no new work from the next table on.
func (b *Builder) Leave(name wick.EndpointName, leaving bool) {
	if i, ok := b.index[name]; ok {
		b.entries[i].leaving = leaving
		b.refresh(i)
	}
}

// refresh takes endpoint i in or out of its pool, as its entry says.
func (b *Builder) refresh(i int32) {
	out := b.entries[i].closed || b.entries[i].leaving
	if b.table.states.at(int(i)).out == out {
		return
	}
	st := b.table.states.edit(int(i), b.epoch)
	st.out = out
	n := b.table.nodes.at(int(i))
	p := &b.table.pools[n.pool]
	seed := xxhash.Sum64String(string(n.name))
	if out {
		p.ring.leave(i, seed, b.epoch)
		p.members = without(p.members, i)
		p.work -= st.work
		p.slots -= float64(st.slots)
	} else {
		p.ring.join(i, seed, b.epoch)
		p.members = with(p.members, i)
		p.work += st.work
		p.slots += float64(st.slots)
	}
	b.moved[n.pool] = true
}

// Digest takes in what an owner says about an endpoint, and reports whether the
// endpoint is known.
func (b *Builder) Digest(d wick.Digest) bool {
	i, ok := b.index[d.Endpoint]
	if !ok {
		return false
	}
	st := b.table.states.edit(int(i), b.epoch)
	pi := b.table.nodes.at(int(i)).pool
	work := d.Queued + wick.Cost(d.Running)*b.config.RunningCost
	if !st.out {
		b.table.pools[pi].work += work - st.work
	}
	st.work = work
	st.seen = 0
	if b.own != nil {
		st.seen = b.own.Cost(wick.EndpointIndex(i))
	}
	st.slow = 1
	if d.Slow > 0 {
		st.slow = float32(d.Slow)
	}
	if st.ejected != d.Ejected {
		st.ejected = d.Ejected
		b.moved[pi] = true
	}
	if d.Brief {
		return true
	}
	keys := make([]uint64, len(d.Ready))
	for k, ref := range d.Ready {
		keys[k] = refKey(pi, ref)
	}
	slices.Sort(keys)
	b.hold(i, slices.Compact(keys))
	return true
}

// Publish returns a router on the table as it is now.
func (b *Builder) Publish() wick.Router {
	for i := range b.table.pools {
		if b.moved[i] {
			b.moved[i] = false
			b.sift(&b.table.pools[i])
		}
	}
	t := b.table
	t.pools = slices.Clone(t.pools)
	b.last = &t
	b.epoch++
	switch b.config.Policy {
	case wick.RouteLeastLoaded:
		return &LeastLoaded{Table: &t}
	case wick.RouteRoundRobin:
		return &RoundRobin{Table: &t}
	}
	return &Affinity{Table: &t, Config: b.config}
}

// Table returns the table that was published last, nil before the first. A
// placer finds homes in it.
func (b *Builder) Table() *Table { return b.last }

// sift lists the members that are not ejected.
func (b *Builder) sift(p *pool) {
	live := make([]int32, 0, len(p.members))
	var ejected []int32
	for _, i := range p.members {
		if b.table.states.at(int(i)).ejected {
			ejected = append(ejected, i)
		} else {
			live = append(live, i)
		}
	}
	p.live, p.ejected = live, ejected
}

// with returns a sorted copy of list that holds i.
func with(list []int32, i int32) []int32 {
	at, ok := slices.BinarySearch(list, i)
	if ok {
		return list
	}
	next := make([]int32, 0, len(list)+1)
	next = append(next, list[:at]...)
	next = append(next, i)
	return append(next, list[at:]...)
}

// without returns a copy of list that does not hold i.
func without(list []int32, i int32) []int32 {
	at, ok := slices.BinarySearch(list, i)
	if !ok {
		return list
	}
	next := make([]int32, 0, len(list)-1)
	next = append(next, list[:at]...)
	return append(next, list[at+1:]...)
}
