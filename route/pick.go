package route

import "currantwick"

const (
	// maxSteps bounds how many points of the ring one decision looks at.
	maxSteps = 16
	// maxCopies bounds how many holders one decision looks at.
	maxCopies = 8
)

// search is one decision under way. It lives on the stack.
type search struct {
	table *Table
	pool  *pool
	in    *wick.RouteInput
	// ejected tells that ejected endpoints may be chosen too.
	ejected bool
}

// choice is an endpoint with its load, in seconds of work for each batch slot.
type choice struct {
	node int32
	load float64
	ok   bool
}

// better returns the one of a and b with the lower load.
func better(a, b choice) choice {
	if !a.ok || b.ok && b.load < a.load {
		return b
	}
	return a
}

// begin looks the pool up.
func begin(t *Table, in *wick.RouteInput) (search, bool) {
	pi, ok := t.byName[in.Pool]
	if !ok || len(t.pools[pi].members) == 0 {
		return search{}, false
	}
	p := &t.pools[pi]
	return search{table: t, pool: p, in: in, ejected: p.ignoresEjection()}, true
}

// choose weighs endpoint i. It is not ok if the request must not go there.
func (s *search) choose(i int32) choice {
	st := s.table.states.at(int(i))
	if st.out || st.ejected && !s.ejected {
		return choice{}
	}
	if s.avoids(i) {
		return choice{}
	}
	return choice{node: i, load: s.load(i, st), ok: true}
}

// load is the time the request's slot would be busy with what is there and the
// request itself. This daemon's own work is counted as of now, that of others
// as of the last digest.
func (s *search) load(i int32, st *state) float64 {
	work := st.work
	if s.in.InFlight != nil {
		own := s.in.InFlight.Cost(wick.EndpointIndex(i))
		work = max(own, work+own-st.seen)
	}
	return float64(work+s.in.Cost) * float64(st.slow) / float64(st.slots)
}

func (s *search) avoids(i int32) bool {
	if len(s.in.Avoid) == 0 {
		return false
	}
	name := s.table.nodes.at(int(i)).name
	for _, a := range s.in.Avoid {
		if a == name {
			return true
		}
	}
	return false
}

// any returns the first endpoint at or after a random place that may take the
// request. Only avoided endpoints are passed over, so it looks at few.
func (s *search) any(list []int32, random uint64) choice {
	if len(list) == 0 {
		return choice{}
	}
	at := int(random % uint64(len(list)))
	for range list {
		if c := s.choose(list[at]); c.ok {
			return c
		}
		at = (at + 1) % len(list)
	}
	return choice{}
}

// two returns the less loaded of two endpoints at random.
func (s *search) two() choice {
	list := s.pool.candidates()
	return better(s.any(list, mix(s.in.Random)), s.any(list, mix(s.in.Random+1)))
}

// Affinity prefers the endpoints that hold the request's adapter, unless their
// load exceeds that of the adapter's home by more than a load is worth. The home
// is the first endpoint on the ring whose load is within bounds.
type Affinity struct {
	Table  *Table
	Config Config
}

var _ wick.Router = (*Affinity)(nil)

// Pick implements wick.Router.
func (a *Affinity) Pick(in *wick.RouteInput) (wick.Target, bool) {
	s, ok := begin(a.Table, in)
	if !ok {
		return wick.Target{}, false
	}
	c, ready := a.probe(&s), false
	if c.ok {
		return a.Table.found(&s, c)
	}
	if in.Ref.IsBase() {
		c = a.base(&s)
	} else {
		c, ready = a.adapted(&s)
	}
	if !c.ok {
		return wick.Target{}, false
	}
	return a.Table.target(c.node, ready), true
}

// probe sends a few short idempotent requests to ejected endpoints, so that
// their owners see when they are ordinary again.
func (a *Affinity) probe(s *search) choice {
	const parts = 1 << 20
	n := uint64(len(s.pool.ejected))
	if !s.in.Probe || n == 0 || s.ejected {
		return choice{}
	}
	random := mix(s.in.Random + 2)
	if random%parts >= uint64(a.Config.Probes*parts) {
		return choice{}
	}
	s.ejected = true
	c := s.choose(s.pool.ejected[random/parts%n])
	s.ejected = false
	return c
}

// base spreads requests that any endpoint can take. One that shares the start
// of its prompt with others follows them while that costs little.
func (a *Affinity) base(s *search) choice {
	c := s.two()
	if s.in.Prefix == 0 {
		return c
	}
	w := s.pool.ring.from(mix(uint64(s.in.Prefix)))
	i, ok := w.next()
	if !ok {
		return c
	}
	home := s.choose(i)
	if home.ok && (!c.ok || home.load <= c.load+float64(a.Config.PrefixGain)) {
		return home
	}
	return c
}

// adapted places a request that names an adapter and tells whether the adapter
// is ready there.
func (a *Affinity) adapted(s *search) (choice, bool) {
	key := refKey(a.Table.byName[s.in.Pool], s.in.Ref)
	nodes := a.Table.holdersOf(key)
	warm := a.warm(s, nodes)
	if warm.ok && warm.load <= float64(a.Config.Slack) {
		return warm, true
	}
	cold := a.home(s, key, a.limit(s.pool))
	if !cold.ok {
		cold = s.two()
	}
	if warm.ok && warm.load <= cold.load+float64(a.Config.LoadCost) {
		return warm, true
	}
	return cold, false
}

// limit is the load up to which an endpoint is a home.
func (a *Affinity) limit(p *pool) float64 {
	mean := 0.0
	if p.slots > 0 {
		mean = float64(p.work) / p.slots
	}
	return float64(a.Config.Slack) + a.Config.Bound*mean
}

// warm chooses between two holders, and among a few more if neither will do.
func (a *Affinity) warm(s *search, nodes []int32) choice {
	n := uint64(len(nodes))
	if n == 0 {
		return choice{}
	}
	first := mix(s.in.Random) % n
	if s.in.Prefix != 0 {
		first = mix(uint64(s.in.Prefix)) % n
	}
	c := s.choose(nodes[first])
	if n > 1 {
		step := 1 + mix(s.in.Random+1)%(n-1)
		d := s.choose(nodes[(first+step)%n])
		if s.in.Prefix == 0 || !c.ok || c.load > d.load+float64(a.Config.PrefixGain) {
			c = better(c, d)
		}
	}
	for i := uint64(1); !c.ok && i < min(n, maxCopies); i++ {
		c = s.choose(nodes[(first+i)%n])
	}
	return c
}

// home walks the ring from the adapter's place and returns the first endpoint
// within the limit, or the least loaded of those it saw.
func (a *Affinity) home(s *search, key uint64, limit float64) choice {
	best := choice{}
	w := s.pool.ring.from(key)
	for range maxSteps {
		i, ok := w.next()
		if !ok {
			break
		}
		c := s.choose(i)
		if c.ok && c.load <= limit {
			return c
		}
		best = better(best, c)
	}
	return best
}

// LeastLoaded takes the less loaded of two endpoints at random, wherever the
// adapter is. It is the baseline without affinity.
type LeastLoaded struct {
	Table *Table
}

var _ wick.Router = (*LeastLoaded)(nil)

// Pick implements wick.Router.
func (l *LeastLoaded) Pick(in *wick.RouteInput) (wick.Target, bool) {
	s, ok := begin(l.Table, in)
	if !ok {
		return wick.Target{}, false
	}
	return l.Table.found(&s, s.two())
}

// RoundRobin takes endpoints in turn, whatever their load and speed.
type RoundRobin struct {
	Table *Table
}

var _ wick.Router = (*RoundRobin)(nil)

// Pick implements wick.Router.
func (r *RoundRobin) Pick(in *wick.RouteInput) (wick.Target, bool) {
	s, ok := begin(r.Table, in)
	if !ok {
		return wick.Target{}, false
	}
	s.ejected = true
	return r.Table.found(&s, s.any(s.pool.members, in.Turn))
}

// found turns a choice into a target.
func (t *Table) found(s *search, c choice) (wick.Target, bool) {
	if !c.ok {
		return wick.Target{}, false
	}
	key := refKey(t.byName[s.in.Pool], s.in.Ref)
	for _, i := range t.holdersOf(key) {
		if i == c.node {
			return t.target(c.node, true), true
		}
	}
	return t.target(c.node, false), true
}
