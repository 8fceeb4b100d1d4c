// Package eject decides which endpoints are slower than their peers, and which
// of them get no ordinary work for a while.
//
// An owner sees every token and every completion of its endpoints at once,
// while load reports lag by seconds. It compares their time per token with the
// median of the pool, which it knows from its own endpoints and from the
// digests of other owners. A pool that is slow as a whole has a slow median, so
// overload ejects nobody.
package eject

import (
	"fmt"
	"math"
	"slices"
	"time"

	"currantwick"
)

// Config holds the settings of a watch. Zero fields take their defaults.
type Config struct {
	Policy wick.EjectPolicy
	// Shift is the pace relative to the peers from which routers send an
	// endpoint less work; above 1.
	Shift float64
	// Eject is the relative pace from which an endpoint is ejected, and Back
	// that below which it comes back; Back is below Eject.
	Eject, Back float64
	// Floor is the largest part of a pool that is ejected at once; below 1.
	Floor float64
	// Rest is how long an endpoint of which nothing is seen stays ejected the
	// first time; each further time in a row it is twice as long.
	Rest time.Duration
}

const (
	defaultShift = 1.3
	defaultEject = 3.0
	defaultBack  = 1.5
	defaultFloor = 1.0 / 3
	defaultRest  = 4 * time.Second
	// maxRest bounds Rest after doubling.
	maxRest = time.Minute
	// halfLife is the time in which what was seen loses half its weight; where
	// little is seen, it takes halfNotes notes of progress instead.
	halfLife  = 200 * time.Millisecond
	halfNotes = 10
	// seenFor is how long the last note counts.
	seenFor = 3 * time.Second
	// leastSeen is the weight of what was seen, in notes of progress, from
	// which an endpoint is judged.
	leastSeen = 13.0
	// heardFor is how long the digest of another owner counts.
	heardFor = 5 * time.Second
	// forget is the time in which a verdict without new evidence loses half
	// its distance from ordinary.
	forget = 10 * time.Second
	// leastPeers is the number of endpoints with a known pace from which
	// a median means something.
	leastPeers = 3
	// rounding makes up for a floor that is no binary fraction.
	rounding = 1e-9
	// medianOf bounds how many endpoints the median is taken of, and medianFor
	// how long it is good for.
	medianOf  = 128
	medianFor = 50 * time.Millisecond
)

// New returns the ejector the settings name.
func New(cfg Config) (wick.Ejector, error) {
	if cfg.Shift == 0 {
		cfg.Shift = defaultShift
	}
	if cfg.Eject == 0 {
		cfg.Eject = defaultEject
	}
	if cfg.Back == 0 {
		cfg.Back = defaultBack
	}
	if cfg.Floor == 0 {
		cfg.Floor = defaultFloor
	}
	if cfg.Rest == 0 {
		cfg.Rest = defaultRest
	}
	if cfg.Shift <= 1 || cfg.Back <= 1 || cfg.Eject <= cfg.Back {
		return nil, fmt.Errorf("ejection: shift %v, back %v, eject %v are out of order", cfg.Shift, cfg.Back, cfg.Eject)
	}
	if cfg.Floor < 0 || cfg.Floor >= 1 || cfg.Rest < 0 {
		return nil, fmt.Errorf("ejection: floor %v or rest %v is out of range", cfg.Floor, cfg.Rest)
	}
	switch cfg.Policy {
	case "", wick.EjectOutliers:
		return newWatch(cfg), nil
	case wick.EjectNone:
		return None{}, nil
	}
	return nil, fmt.Errorf("ejection: %q is no policy", string(cfg.Policy))
}

// Watch compares the endpoints of its pools. It is not safe for concurrent use.
type Watch struct {
	config Config
	ends   map[wick.EndpointName]*end
	pools  map[wick.PoolName]*pool
}

var _ wick.Ejector = (*Watch)(nil)

// end is one endpoint.
type end struct {
	pool *pool
	// time and tokens are sums of which older terms weigh less; seen is the sum
	// of the weights. The quotient of the two is the pace.
	time, tokens, seen float64
	// at is when progress was noted last.
	at wick.Instant
	// heard is the pace by another owner, in seconds, as of heardAt.
	heard   float64
	heardAt wick.Instant
	// slow is the last verdict, as of judged.
	slow    float64
	judged  wick.Instant
	ejected bool
	// until is when an ejected endpoint comes back if nothing is seen of it.
	until wick.Instant
	// rest is how long that takes; it doubles each time.
	rest time.Duration
}

// pool is a group of peers.
type pool struct {
	ends    []*end
	ejected int
	// median is the pace of the pool, in seconds, good until fresh; 0 means
	// that too little is known.
	median float64
	fresh  wick.Instant
	known  []float64
}

func newWatch(cfg Config) *Watch {
	return &Watch{
		config: cfg,
		ends:   make(map[wick.EndpointName]*end),
		pools:  make(map[wick.PoolName]*pool),
	}
}

// Put implements wick.Ejector.
func (w *Watch) Put(name wick.EndpointName, in wick.PoolName) {
	p := w.pools[in]
	if p == nil {
		p = &pool{}
		w.pools[in] = p
	}
	if e := w.ends[name]; e != nil {
		if e.pool == p {
			return
		}
		w.Remove(name)
	}
	e := &end{pool: p, slow: 1, rest: w.config.Rest}
	w.ends[name] = e
	p.ends = append(p.ends, e)
}

// Remove implements wick.Ejector.
func (w *Watch) Remove(name wick.EndpointName) {
	e := w.ends[name]
	if e == nil {
		return
	}
	delete(w.ends, name)
	e.setEjected(false)
	i := slices.Index(e.pool.ends, e)
	e.pool.ends = slices.Delete(e.pool.ends, i, i+1)
}

// Progress implements wick.Ejector.
func (w *Watch) Progress(now wick.Instant, name wick.EndpointName, tokens wick.Tokens, took time.Duration) {
	e := w.ends[name]
	if e == nil || took <= 0 {
		return
	}
	e.decay(now)
	e.time += took.Seconds()
	e.tokens += float64(tokens)
	e.seen++
}

// Heard implements wick.Ejector.
func (w *Watch) Heard(now wick.Instant, d wick.Digest) {
	e := w.ends[d.Endpoint]
	if e == nil {
		return
	}
	e.heard = d.Pace.Std().Seconds()
	e.heardAt = now
	e.setEjected(d.Ejected)
}

// Judge implements wick.Ejector.
func (w *Watch) Judge(now wick.Instant, name wick.EndpointName) wick.Health {
	e := w.ends[name]
	if e == nil {
		return wick.Health{}
	}
	pace, ok := e.pace(now)
	median := e.pool.medianAt(now)
	if ok && median > 0 {
		w.rule(now, e, pace/median)
	} else {
		w.fade(now, e)
	}
	h := wick.Health{Slow: 1, Ejected: e.ejected}
	if ok {
		h.Pace = wick.Duration(pace * float64(time.Second))
	}
	if e.slow >= w.config.Shift {
		h.Slow = e.slow
	}
	return h
}

// rule judges an endpoint by fresh evidence.
func (w *Watch) rule(now wick.Instant, e *end, slow float64) {
	e.slow, e.judged = slow, now
	switch {
	case e.ejected && slow < w.config.Back:
		e.setEjected(false)
		e.rest = w.config.Rest
	case e.ejected && e.pool.crowded(w.config.Floor) && !e.slowest(now, w.config.Floor):
		e.setEjected(false)
	case e.ejected:
		e.until = e.at.Add(e.rest)
	case slow >= w.config.Eject && e.pool.room(w.config.Floor) && e.slowest(now, w.config.Floor):
		e.setEjected(true)
		e.until = e.at.Add(e.rest)
	}
}

// slowest reports whether e is among the slowest endpoints of its pool that may
// be ejected at once. Owners that eject at the same moment agree on them as soon
// as they have heard of one another.
func (e *end) slowest(now wick.Instant, floor float64) bool {
	pace, _ := e.known(now)
	rank := 1
	for _, o := range e.pool.ends {
		if other, ok := o.known(now); ok && other > pace {
			rank++
		}
	}
	return float64(rank) <= floor*float64(len(e.pool.ends))+rounding
}

// fade lets go of a verdict for which there is no fresh evidence, so that work
// comes back by and by and shows what the endpoint is like now.
func (w *Watch) fade(now wick.Instant, e *end) {
	if e.ejected && now >= e.until {
		e.setEjected(false)
		e.slow, e.judged = w.config.Eject, now
		e.rest = min(2*e.rest, maxRest)
	}
	if e.ejected {
		return
	}
	e.slow = 1 + (e.slow-1)*math.Exp2(-now.Sub(e.judged).Seconds()/forget.Seconds())
	e.judged = now
}

// setEjected keeps the pool's count.
func (e *end) setEjected(out bool) {
	switch {
	case out && !e.ejected:
		e.pool.ejected++
	case !out && e.ejected:
		e.pool.ejected--
	}
	e.ejected = out
}

// decay lets what was seen lose weight before one more note.
func (e *end) decay(now wick.Instant) {
	past := now.Sub(e.at).Seconds() / halfLife.Seconds()
	f := math.Exp2(-min(max(past, 0), 1.0/halfNotes))
	e.time *= f
	e.tokens *= f
	e.seen *= f
	e.at = max(e.at, now)
}

// pace returns the time per token in seconds, if enough was seen. An endpoint
// that makes no token at all is as slow as its wait so far.
func (e *end) pace(now wick.Instant) (float64, bool) {
	if e.seen < leastSeen || now.Sub(e.at) >= seenFor {
		return 0, false
	}
	return e.time / max(e.tokens, 1), true
}

// known returns the pace by this daemon or by what it heard.
func (e *end) known(now wick.Instant) (float64, bool) {
	if pace, ok := e.pace(now); ok {
		return pace, true
	}
	return e.heard, e.heard > 0 && now.Sub(e.heardAt) < heardFor
}

// room reports whether one more endpoint may be ejected.
func (p *pool) room(floor float64) bool {
	return float64(p.ejected+1) <= floor*float64(len(p.ends))+rounding
}

// crowded reports whether more endpoints are ejected than may be.
func (p *pool) crowded(floor float64) bool {
	return float64(p.ejected) > floor*float64(len(p.ends))+rounding
}

// medianAt returns the median pace of the pool.
func (p *pool) medianAt(now wick.Instant) float64 {
	if now < p.fresh {
		return p.median
	}
	p.fresh = now.Add(medianFor)
	p.known = p.known[:0]
	step := max(1, len(p.ends)/medianOf)
	for i := 0; i < len(p.ends); i += step {
		if pace, ok := p.ends[i].known(now); ok {
			p.known = append(p.known, pace)
		}
	}
	p.median = 0
	if n := len(p.known); n >= leastPeers {
		slices.Sort(p.known)
		p.median = p.known[(n-1)/2]
	}
	return p.median
}

// None takes every endpoint for ordinary. It is the baseline.
type None struct{}

var _ wick.Ejector = None{}

// Put implements wick.Ejector.
func (None) Put(wick.EndpointName, wick.PoolName) {}

// Remove implements wick.Ejector.
func (None) Remove(wick.EndpointName) {}

// Progress implements wick.Ejector.
func (None) Progress(wick.Instant, wick.EndpointName, wick.Tokens, time.Duration) {}

// Heard implements wick.Ejector.
func (None) Heard(wick.Instant, wick.Digest) {}

// Judge implements wick.Ejector.
func (None) Judge(wick.Instant, wick.EndpointName) wick.Health { return wick.Health{Slow: 1} }
