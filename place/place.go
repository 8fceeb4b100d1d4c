// Package place decides which adapters to load on the endpoints of a pool
// before requests wait for them.
//
// Every daemon sees a representative sample of the requests, namely those that
// callers send to it, and every daemon computes the same homes from the same
// table. Each owner therefore plans its endpoints independently, and daemons
// exchange no plans. When an endpoint is lost, its adapters get new homes among
// the survivors, whose owners reload them by the same rule. Adapters that
// another endpoint still has loaded are not loaded again.
package place

import (
	"fmt"
	"math"
	"slices"
	"time"

	"currantwick"
)

// Config holds the settings of a placer. Zero fields take their defaults.
type Config struct {
	Policy wick.PlacePolicy
	Pool   wick.PoolName
	// HalfLife is the half-life of a request's weight in an adapter's lasting
	// request rate, RecentHalfLife that in its recent rate.
	HalfLife, RecentHalfLife time.Duration
	// MaxAdapters bounds the adapters whose requests are counted.
	MaxAdapters int
	// CopyLoad is the load that one copy of an adapter may carry before the
	// adapter gets another copy, as a multiple of an endpoint's mean share of
	// the requests; above 0.
	CopyLoad float64
	// Margin is the factor by which an adapter's request rate must exceed the
	// lowest rate on a full endpoint for the adapter to be prefetched there; at
	// least 1.
	Margin float64
	// PlanBatch bounds the adapters that one call of Plan examines.
	PlanBatch int
}

const (
	defaultHalfLife       = 5 * time.Minute
	defaultRecentHalfLife = 10 * time.Second
	defaultMaxAdapters    = 50000
	defaultCopyLoad       = 2.0
	defaultMargin         = 8.0
	defaultPlanBatch      = 2000
	// minPrefetchRate is the rate, in requests per second, below which nothing
	// is prefetched.
	minPrefetchRate = 1e-3
	// minCopyRequests is the decayed number of requests required for each copy
	// beyond the first.
	minCopyRequests = 10
	// extraHomes is how many endpoints beyond the wanted copies are examined
	// for other failure domains, and maxHomes bounds the endpoints examined in
	// total.
	extraHomes = 4
	maxHomes   = 64
)

// New returns the placer of one pool for the policy that the settings name.
func New(cfg Config) (wick.Placer, error) {
	if cfg.HalfLife == 0 {
		cfg.HalfLife = defaultHalfLife
	}
	if cfg.RecentHalfLife == 0 {
		cfg.RecentHalfLife = defaultRecentHalfLife
	}
	if cfg.MaxAdapters == 0 {
		cfg.MaxAdapters = defaultMaxAdapters
	}
	if cfg.CopyLoad == 0 {
		cfg.CopyLoad = defaultCopyLoad
	}
	if cfg.Margin == 0 {
		cfg.Margin = defaultMargin
	}
	if cfg.PlanBatch == 0 {
		cfg.PlanBatch = defaultPlanBatch
	}
	if min(cfg.HalfLife, cfg.RecentHalfLife) < 0 || cfg.CopyLoad < 0 || cfg.Margin < 1 || min(cfg.MaxAdapters, cfg.PlanBatch) < 1 {
		return nil, fmt.Errorf("placement: settings are out of range: %+v", cfg)
	}
	popularity := NewPopularity(cfg.HalfLife, cfg.RecentHalfLife, cfg.MaxAdapters)
	switch cfg.Policy {
	case "", wick.PlaceByShare:
		return &ByShare{config: cfg, popularity: popularity}, nil
	case wick.PlaceOnDemand:
		return &OnDemand{popularity: popularity}, nil
	}
	return nil, fmt.Errorf("placement: %q is not a placement policy", string(cfg.Policy))
}

// ByShare gives each adapter one home endpoint, and more copies as its share of
// the requests grows. It is not safe for concurrent use.
type ByShare struct {
	config     Config
	popularity *Popularity
	// next is the index of the first adapter that the next Plan examines.
	next int
	// totalRate is the rate of all requests as of the start of the current pass
	// over the adapters.
	totalRate float64
}

var _ wick.Placer = (*ByShare)(nil)

// RecordRequest implements wick.Placer.
func (p *ByShare) RecordRequest(now wick.Instant, ref wick.Ref) { p.popularity.RecordRequest(now, ref) }

// RequestRate implements wick.Placer.
func (p *ByShare) RequestRate(now wick.Instant, ref wick.Ref) float64 {
	return p.popularity.RequestRate(now, ref)
}

// copies returns how many endpoints of a pool should hold an adapter, given its
// decayed request count, its share of all requests and the size of the pool. A
// few requests do not justify a second copy, whatever their share.
func (p *ByShare) copies(requests, share float64, size int) int {
	n := int(math.Ceil(share * float64(size) / p.config.CopyLoad))
	n = min(n, 1+int(requests/minCopyRequests))
	return max(1, min(n, size, maxHomes-extraHomes))
}

// slotBudget tracks the adapter slots of one of this daemon's endpoints during
// a plan.
type slotBudget struct {
	end *wick.PlaceEndpoint
	// freeSlots is the number of empty slots; rates holds the request rates of
	// the adapters held, lowest first.
	freeSlots int
	rates     []float64
}

// Plan implements wick.Placer. Each call examines up to Config.PlanBatch
// adapters, and the next call continues after them.
func (p *ByShare) Plan(now wick.Instant, places wick.PlacementTable, local []wick.PlaceEndpoint) []wick.Prefetch {
	size := places.PoolSize(p.config.Pool)
	if size == 0 || len(local) == 0 || p.popularity.Len() == 0 {
		return nil
	}
	if p.next >= p.popularity.Len() {
		p.next = 0
	}
	if p.next == 0 {
		p.totalRate = p.popularity.TotalRate(now)
	}
	end := min(p.next+p.config.PlanBatch, p.popularity.Len())
	var loads []wick.Prefetch
	for i := p.next; i < end; i++ {
		loads = p.appendLoads(loads, now, i, places, local, size)
	}
	p.next = end
	slices.SortStableFunc(loads, byRateDescending)
	return p.fitSlots(now, loads, local)
}

func byRateDescending(a, b wick.Prefetch) int {
	switch {
	case a.RequestRate > b.RequestRate:
		return -1
	case a.RequestRate < b.RequestRate:
		return 1
	}
	return 0
}

// appendLoads appends the loads that adapter i still needs at this daemon's
// endpoints.
func (p *ByShare) appendLoads(out []wick.Prefetch, now wick.Instant, i int, places wick.PlacementTable, local []wick.PlaceEndpoint, size int) []wick.Prefetch {
	c := &p.popularity.counts[i]
	requestRate := p.popularity.rate(now, c)
	if requestRate < minPrefetchRate {
		return out
	}
	copies := 1
	if p.totalRate > 0 {
		copies = p.copies(c.long, requestRate/p.totalRate, size)
	}
	missing := copies - places.ResidentCount(p.config.Pool, c.ref)
	if missing <= 0 {
		return out
	}
	for _, home := range homes(places, p.config.Pool, c.ref, copies) {
		k := slices.IndexFunc(local, func(e wick.PlaceEndpoint) bool { return e.Endpoint == home })
		if k < 0 || slices.Contains(local[k].Adapters, c.ref) {
			continue
		}
		out = append(out, wick.Prefetch{Endpoint: home, Ref: c.ref, RequestRate: requestRate / float64(copies)})
	}
	return out
}

// fitSlots keeps the loads that fit into free slots or are worth displacing
// another adapter.
func (p *ByShare) fitSlots(now wick.Instant, loads []wick.Prefetch, local []wick.PlaceEndpoint) []wick.Prefetch {
	if len(loads) == 0 {
		return nil
	}
	budgets := make(map[wick.EndpointName]*slotBudget, len(local))
	for i := range local {
		e := &local[i]
		s := &slotBudget{end: e, freeSlots: int(e.Slots) - len(e.Adapters)}
		for _, ref := range e.Adapters {
			s.rates = append(s.rates, p.popularity.RequestRate(now, ref))
		}
		slices.Sort(s.rates)
		budgets[e.Endpoint] = s
	}
	var out []wick.Prefetch
	for _, w := range loads {
		if budgets[w.Endpoint].take(w.RequestRate, p.config.Margin) {
			out = append(out, w)
		}
	}
	return out
}

// take reports whether an adapter of a given request rate is worth a slot, and
// if so counts the slot as taken.
func (s *slotBudget) take(requestRate, margin float64) bool {
	if s.freeSlots > 0 {
		s.freeSlots--
		return true
	}
	if len(s.rates) == 0 || requestRate <= margin*s.rates[0] {
		return false
	}
	s.rates = s.rates[1:]
	return true
}

// homes returns n of the endpoints that an adapter prefers, spread over failure
// domains as evenly as the first n+extraHomes allow. The first is always the
// one that a router prefers for an adapter that is loaded nowhere.
func homes(places wick.PlacementTable, pool wick.PoolName, ref wick.Ref, n int) []wick.EndpointName {
	limit := 1
	if n > 1 {
		limit = min(n+extraHomes, maxHomes)
	}
	endpoints := make([]wick.EndpointName, 0, limit)
	domains := make([]wick.Domain, 0, limit)
	places.PreferredEndpoints(pool, ref, func(e wick.EndpointName, d wick.Domain) bool {
		if !slices.Contains(endpoints, e) {
			endpoints = append(endpoints, e)
			domains = append(domains, d)
		}
		return len(endpoints) < limit
	})
	if n == 1 {
		return endpoints
	}
	var out []wick.EndpointName
	taken := make(map[wick.Domain]int)
	for len(out) < n && len(endpoints) > 0 {
		best := 0
		for i, d := range domains {
			if taken[d] < taken[domains[best]] {
				best = i
			}
		}
		out = append(out, endpoints[best])
		taken[domains[best]]++
		endpoints = slices.Delete(endpoints, best, best+1)
		domains = slices.Delete(domains, best, best+1)
	}
	return out
}

// OnDemand plans no loads: adapters are loaded when requests wait for them. It
// is the baseline.
type OnDemand struct {
	popularity *Popularity
}

var _ wick.Placer = (*OnDemand)(nil)

// RecordRequest implements wick.Placer.
func (p *OnDemand) RecordRequest(now wick.Instant, ref wick.Ref) {
	p.popularity.RecordRequest(now, ref)
}

// RequestRate implements wick.Placer.
func (p *OnDemand) RequestRate(now wick.Instant, ref wick.Ref) float64 {
	return p.popularity.RequestRate(now, ref)
}

// Plan implements wick.Placer.
func (p *OnDemand) Plan(wick.Instant, wick.PlacementTable, []wick.PlaceEndpoint) []wick.Prefetch {
	return nil
}
