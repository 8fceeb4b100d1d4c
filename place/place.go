// Package place decides which adapters the endpoints of a pool hold before
// requests wait for them.
//
// Every daemon sees a fair sample of the requests, those that enter at it, and
// every daemon computes the same homes from the same table. So each owner finds
// by itself what its endpoints should hold, and no plan travels. When an
// endpoint is lost, its adapters have new homes among the survivors, whose
// owners bring them back by the same rule. Those that another endpoint still
// holds are not loaded again.
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
	// Life is the time in which a request loses half its weight, Rise that in
	// which it does for what is becoming popular.
	Life, Rise time.Duration
	// Most bounds the adapters that are counted.
	Most int
	// Fill is the part of an endpoint that one adapter may keep busy before it
	// gets one more copy; above 0.
	Fill float64
	// Margin is how many times warmer than the coldest adapter of a full
	// endpoint another must be to be loaded ahead of requests; at least 1.
	Margin float64
	// Batch bounds the adapters that one call of Plan looks at.
	Batch int
}

const (
	defaultLife   = 5 * time.Minute
	defaultRise   = 10 * time.Second
	defaultMost   = 50000
	defaultFill   = 2.0
	defaultMargin = 8.0
	defaultBatch  = 2000
	// leastHeat is the rate, in requests a second, below which nothing is
	// loaded ahead of requests.
	leastHeat = 1e-3
	// copyRequests is how many requests, fading with age, each copy beyond the
	// first takes at least.
	copyRequests = 10
	// spare is how many endpoints beyond the wanted copies are looked at for
	// other failure domains, and mostHomes bounds those looked at in all.
	spare     = 4
	mostHomes = 64
)

// New returns the placer of one pool that the settings name.
func New(cfg Config) (wick.Placer, error) {
	if cfg.Life == 0 {
		cfg.Life = defaultLife
	}
	if cfg.Rise == 0 {
		cfg.Rise = defaultRise
	}
	if cfg.Most == 0 {
		cfg.Most = defaultMost
	}
	if cfg.Fill == 0 {
		cfg.Fill = defaultFill
	}
	if cfg.Margin == 0 {
		cfg.Margin = defaultMargin
	}
	if cfg.Batch == 0 {
		cfg.Batch = defaultBatch
	}
	if min(cfg.Life, cfg.Rise) < 0 || cfg.Fill < 0 || cfg.Margin < 1 || min(cfg.Most, cfg.Batch) < 1 {
		return nil, fmt.Errorf("placement: settings out of range: %+v", cfg)
	}
	heats := NewHeats(cfg.Life, cfg.Rise, cfg.Most)
	switch cfg.Policy {
	case "", wick.PlaceByShare:
		return &ByShare{config: cfg, heats: heats}, nil
	case wick.PlaceOnDemand:
		return &OnDemand{heats: heats}, nil
	}
	return nil, fmt.Errorf("placement: %q is no policy", string(cfg.Policy))
}

// ByShare gives an adapter one home, and more copies as its share of the
// requests grows. It is not safe for concurrent use.
type ByShare struct {
	config Config
	heats  *Heats
	// next is where the following Plan goes on.
	next int
	// total is the rate of all requests, as of the last time round.
	total float64
}

var _ wick.Placer = (*ByShare)(nil)

// Seen implements wick.Placer.
func (p *ByShare) Seen(now wick.Instant, ref wick.Ref) { p.heats.Seen(now, ref) }

// Heat implements wick.Placer.
func (p *ByShare) Heat(now wick.Instant, ref wick.Ref) float64 { return p.heats.Heat(now, ref) }

// copies returns how many endpoints of a pool of a given size should hold an
// adapter that had so many requests, fading with age, and has a given share of
// all. Few requests warrant no copy, whatever their share.
func (p *ByShare) copies(requests, share float64, size int) int {
	n := int(math.Ceil(share * float64(size) / p.config.Fill))
	n = min(n, 1+int(requests/copyRequests))
	return max(1, min(n, size, mostHomes-spare))
}

// seat is one of this daemon's endpoints in a plan.
type seat struct {
	end *wick.PlaceEnd
	// free is how many slots are empty; cold are the heats of the adapters
	// held, the coldest first.
	free int
	cold []float64
}

// Plan implements wick.Placer. Each call looks at a part of the adapters, and
// goes on with the next part the next time.
func (p *ByShare) Plan(now wick.Instant, places wick.Places, own []wick.PlaceEnd) []wick.Prefetch {
	size := places.Size(p.config.Pool)
	if size == 0 || len(own) == 0 || p.heats.Len() == 0 {
		return nil
	}
	if p.next >= p.heats.Len() {
		p.next = 0
	}
	if p.next == 0 {
		p.total = p.heats.Total(now)
	}
	end := min(p.next+p.config.Batch, p.heats.Len())
	var wishes []wick.Prefetch
	for i := p.next; i < end; i++ {
		wishes = p.wish(wishes, now, i, places, own, size)
	}
	p.next = end
	slices.SortStableFunc(wishes, warmerFirst)
	return p.admit(now, wishes, own)
}

func warmerFirst(a, b wick.Prefetch) int {
	switch {
	case a.Heat > b.Heat:
		return -1
	case a.Heat < b.Heat:
		return 1
	}
	return 0
}

// wish appends the loads that adapter i lacks at this daemon's endpoints.
func (p *ByShare) wish(out []wick.Prefetch, now wick.Instant, i int, places wick.Places, own []wick.PlaceEnd, size int) []wick.Prefetch {
	c := &p.heats.list[i]
	heat := p.heats.rate(now, c)
	if heat < leastHeat {
		return out
	}
	copies := 1
	if p.total > 0 {
		copies = p.copies(c.slow, heat/p.total, size)
	}
	lacking := copies - places.Holders(p.config.Pool, c.ref)
	if lacking <= 0 {
		return out
	}
	for _, home := range homes(places, p.config.Pool, c.ref, copies) {
		k := slices.IndexFunc(own, func(e wick.PlaceEnd) bool { return e.Endpoint == home })
		if k < 0 || slices.Contains(own[k].Held, c.ref) {
			continue
		}
		out = append(out, wick.Prefetch{Endpoint: home, Ref: c.ref, Heat: heat / float64(copies)})
	}
	return out
}

// admit keeps the wishes that are worth what they displace.
func (p *ByShare) admit(now wick.Instant, wishes []wick.Prefetch, own []wick.PlaceEnd) []wick.Prefetch {
	if len(wishes) == 0 {
		return nil
	}
	seats := make(map[wick.EndpointName]*seat, len(own))
	for i := range own {
		e := &own[i]
		s := &seat{end: e, free: int(e.Slots) - len(e.Held)}
		for _, ref := range e.Held {
			s.cold = append(s.cold, p.heats.Heat(now, ref))
		}
		slices.Sort(s.cold)
		seats[e.Endpoint] = s
	}
	var out []wick.Prefetch
	for _, w := range wishes {
		if seats[w.Endpoint].takes(w.Heat, p.config.Margin) {
			out = append(out, w)
		}
	}
	return out
}

// takes reports whether an adapter of a given heat is worth a slot, and counts
// the slot as taken.
func (s *seat) takes(heat, margin float64) bool {
	if s.free > 0 {
		s.free--
		return true
	}
	if len(s.cold) == 0 || heat <= margin*s.cold[0] {
		return false
	}
	s.cold = s.cold[1:]
	return true
}

// homes returns the first n endpoints that an adapter prefers, spread over
// failure domains as evenly as the next few allow. The first is always the one
// that a router takes for a cold adapter.
func homes(places wick.Places, pool wick.PoolName, ref wick.Ref, n int) []wick.EndpointName {
	most := 1
	if n > 1 {
		most = min(n+spare, mostHomes)
	}
	ends := make([]wick.EndpointName, 0, most)
	domains := make([]wick.Domain, 0, most)
	places.Homes(pool, ref, func(e wick.EndpointName, d wick.Domain) bool {
		if !slices.Contains(ends, e) {
			ends = append(ends, e)
			domains = append(domains, d)
		}
		return len(ends) < most
	})
	if n == 1 {
		return ends
	}
	var out []wick.EndpointName
	taken := make(map[wick.Domain]int)
	for len(out) < n && len(ends) > 0 {
		best := 0
		for i, d := range domains {
			if taken[d] < taken[domains[best]] {
				best = i
			}
		}
		out = append(out, ends[best])
		taken[domains[best]]++
		ends = slices.Delete(ends, best, best+1)
		domains = slices.Delete(domains, best, best+1)
	}
	return out
}

// OnDemand plans nothing: adapters are loaded when requests wait for them. It
// is the baseline.
type OnDemand struct {
	heats *Heats
}

var _ wick.Placer = (*OnDemand)(nil)

// Seen implements wick.Placer.
func (p *OnDemand) Seen(now wick.Instant, ref wick.Ref) { p.heats.Seen(now, ref) }

// Heat implements wick.Placer.
func (p *OnDemand) Heat(now wick.Instant, ref wick.Ref) float64 { return p.heats.Heat(now, ref) }

// Plan implements wick.Placer.
func (p *OnDemand) Plan(wick.Instant, wick.Places, []wick.PlaceEnd) []wick.Prefetch { return nil }
