package route

import "currantwick"

const (
	// maxRingSteps bounds the ring points that one decision examines.
	maxRingSteps = 16
	// maxExamined bounds the endpoints with the adapter loaded that one
	// decision examines.
	maxExamined = 8
)

// search is the state of one routing decision. It must not escape to the heap.
type search struct {
	table *Table
	pool  *pool
	in    *wick.RouteInput
	// ejected is set when ejected endpoints may be chosen too.
	ejected bool
}

// candidate is an endpoint with its load, in seconds of work per batch slot.
type candidate struct {
	endpoint int32
	load     float64
	ok       bool
}

// better returns the candidate with the lower load.
func better(a, b candidate) candidate {
	if !a.ok || b.ok && b.load < a.load {
		return b
	}
	return a
}

// newSearch starts the search for an endpoint in the request's pool. It returns
// false if the pool is unknown or empty.
func newSearch(t *Table, in *wick.RouteInput) (search, bool) {
	pi, ok := t.byName[in.Pool]
	if !ok || len(t.pools[pi].members) == 0 {
		return search{}, false
	}
	p := &t.pools[pi]
	return search{table: t, pool: p, in: in, ejected: p.ignoresEjection()}, true
}

// evaluate returns endpoint i with its load. The result is not ok if the
// request must not be sent there.
func (s *search) evaluate(i int32) candidate {
	st := s.table.states.at(int(i))
	if st.unavailable || st.ejected && !s.ejected {
		return candidate{}
	}
	if s.isAvoided(i) {
		return candidate{}
	}
	return candidate{endpoint: i, load: s.load(i, st), ok: true}
}

// load returns the time per batch slot that the endpoint needs for its present
// work and this request. The work of this daemon is current, that of other
// daemons is as of the last digest.
func (s *search) load(i int32, st *endpointState) float64 {
	work := st.work
	if s.in.InFlight != nil {
		inFlight := s.in.InFlight.Cost(wick.EndpointIndex(i))
		work = max(inFlight, work+inFlight-st.localWork)
	}
	return float64(work+s.in.Cost) * float64(st.slowdown) / float64(st.slots)
}

func (s *search) isAvoided(i int32) bool {
	if len(s.in.Avoid) == 0 {
		return false
	}
	name := s.table.endpoints.at(int(i)).name
	for _, a := range s.in.Avoid {
		if a == name {
			return true
		}
	}
	return false
}

// firstFrom returns the first endpoint of list that may take the request, from
// index start modulo its length on. The callers' lists hold no endpoints that
// are ejected for this search, so that only avoided ones are skipped and few
// are examined.
func (s *search) firstFrom(list []int32, start uint64) candidate {
	if len(list) == 0 {
		return candidate{}
	}
	at := int(start % uint64(len(list)))
	for range list {
		if c := s.evaluate(list[at]); c.ok {
			return c
		}
		at = (at + 1) % len(list)
	}
	return candidate{}
}

// bestOfTwo returns the less loaded of two random endpoints.
func (s *search) bestOfTwo() candidate {
	list := s.pool.candidates()
	return better(s.firstFrom(list, mix(s.in.Random)), s.firstFrom(list, mix(s.in.Random+1)))
}

// Affinity prefers the endpoints that have the request's adapter loaded, unless
// their load exceeds that of the adapter's home by more than Config.LoadCost.
// The home is the first endpoint on the ring whose load is within the limit set
// by Config.HomeLoadFactor and Config.Slack, or else the least loaded of those
// examined.
type Affinity struct {
	Table  *Table
	Config Config
}

var _ wick.Router = (*Affinity)(nil)

// Pick implements wick.Router.
func (a *Affinity) Pick(in *wick.RouteInput) (wick.Target, bool) {
	s, ok := newSearch(a.Table, in)
	if !ok {
		return wick.Target{}, false
	}
	c, ready := a.pickProbe(&s), false
	if c.ok {
		return a.Table.candidateTarget(&s, c)
	}
	if in.Ref.IsBase() {
		c = a.pickBase(&s)
	} else {
		c, ready = a.pickAdapter(&s)
	}
	if !c.ok {
		return wick.Target{}, false
	}
	return a.Table.target(c.endpoint, ready), true
}

// pickProbe chooses an ejected endpoint for a small share, Config.ProbeShare, of
// the requests with RouteInput.Probe set, which are short and idempotent, so that
// the endpoint's owner notices when it has recovered. Only tests set Probe at
// present.
func (a *Affinity) pickProbe(s *search) candidate {
	const parts = 1 << 20
	n := uint64(len(s.pool.ejected))
	if !s.in.Probe || n == 0 || s.ejected {
		return candidate{}
	}
	random := mix(s.in.Random + 2)
	if random%parts >= uint64(a.Config.ProbeShare*parts) {
		return candidate{}
	}
	s.ejected = true
	c := s.evaluate(s.pool.ejected[random/parts%n])
	s.ejected = false
	return c
}

// pickBase spreads requests for the base model, which any endpoint can take.
// Requests with a common prompt prefix go to the same endpoint while its load
// is within Config.PrefixGain of the alternative.
func (a *Affinity) pickBase(s *search) candidate {
	c := s.bestOfTwo()
	if s.in.Prefix == 0 {
		return c
	}
	w := s.pool.ring.from(mix(uint64(s.in.Prefix)))
	i, ok := w.next()
	if !ok {
		return c
	}
	home := s.evaluate(i)
	if home.ok && (!c.ok || home.load <= c.load+float64(a.Config.PrefixGain)) {
		return home
	}
	return c
}

// pickAdapter chooses the endpoint of a request that names an adapter, and
// reports whether the adapter is ready there.
func (a *Affinity) pickAdapter(s *search) (candidate, bool) {
	key := refKey(a.Table.byName[s.in.Pool], s.in.Ref)
	endpoints := a.Table.endpointsWith(key)
	withAdapter := a.withAdapter(s, endpoints)
	if withAdapter.ok && withAdapter.load <= float64(a.Config.Slack) {
		return withAdapter, true
	}
	home := a.pickHome(s, key, a.homeLoadLimit(s.pool))
	if !home.ok {
		home = s.bestOfTwo()
	}
	if withAdapter.ok && withAdapter.load <= home.load+float64(a.Config.LoadCost) {
		return withAdapter, true
	}
	return home, false
}

// homeLoadLimit returns the load up to which an endpoint is accepted as a home.
func (a *Affinity) homeLoadLimit(p *pool) float64 {
	mean := 0.0
	if p.slots > 0 {
		mean = float64(p.work) / p.slots
	}
	return float64(a.Config.Slack) + a.Config.HomeLoadFactor*mean
}

// withAdapter chooses between two endpoints that have the adapter loaded, and
// among a few more if neither may take the request.
func (a *Affinity) withAdapter(s *search, endpoints []int32) candidate {
	n := uint64(len(endpoints))
	if n == 0 {
		return candidate{}
	}
	first := mix(s.in.Random) % n
	if s.in.Prefix != 0 {
		first = mix(uint64(s.in.Prefix)) % n
	}
	c := s.evaluate(endpoints[first])
	if n > 1 {
		step := 1 + mix(s.in.Random+1)%(n-1)
		d := s.evaluate(endpoints[(first+step)%n])
		if s.in.Prefix == 0 || !c.ok || c.load > d.load+float64(a.Config.PrefixGain) {
			c = better(c, d)
		}
	}
	for i := uint64(1); !c.ok && i < min(n, maxExamined); i++ {
		c = s.evaluate(endpoints[(first+i)%n])
	}
	return c
}

// pickHome walks the ring from the adapter's key and returns the first endpoint
// within the load limit, or the least loaded of those examined.
func (a *Affinity) pickHome(s *search, key uint64, limit float64) candidate {
	best := candidate{}
	w := s.pool.ring.from(key)
	for range maxRingSteps {
		i, ok := w.next()
		if !ok {
			break
		}
		c := s.evaluate(i)
		if c.ok && c.load <= limit {
			return c
		}
		best = better(best, c)
	}
	return best
}

// LeastLoaded takes the less loaded of two random endpoints, regardless of
// where the adapter is loaded. It is the baseline without affinity.
type LeastLoaded struct {
	Table *Table
}

var _ wick.Router = (*LeastLoaded)(nil)

// Pick implements wick.Router.
func (l *LeastLoaded) Pick(in *wick.RouteInput) (wick.Target, bool) {
	s, ok := newSearch(l.Table, in)
	if !ok {
		return wick.Target{}, false
	}
	return l.Table.candidateTarget(&s, s.bestOfTwo())
}

// RoundRobin takes endpoints in turn, regardless of their load and speed.
type RoundRobin struct {
	Table *Table
}

var _ wick.Router = (*RoundRobin)(nil)

// Pick implements wick.Router.
func (r *RoundRobin) Pick(in *wick.RouteInput) (wick.Target, bool) {
	s, ok := newSearch(r.Table, in)
	if !ok {
		return wick.Target{}, false
	}
	s.ejected = true
	return r.Table.candidateTarget(&s, s.firstFrom(s.pool.members, in.RequestNumber))
}

// candidateTarget converts a candidate to a target.
func (t *Table) candidateTarget(s *search, c candidate) (wick.Target, bool) {
	if !c.ok {
		return wick.Target{}, false
	}
	key := refKey(t.byName[s.in.Pool], s.in.Ref)
	for _, i := range t.endpointsWith(key) {
		if i == c.endpoint {
			return t.target(c.endpoint, true), true
		}
	}
	return t.target(c.endpoint, false), true
}
