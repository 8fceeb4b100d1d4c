// Package eject detects endpoints that are slower than their peers and ejects
// outliers: for some time they get no ordinary work.
//
// An owner observes every token and every completion of its endpoints
// immediately, while load reports lag by seconds. It compares the endpoints'
// time per token with the median of the pool, which it computes from its own
// endpoints and the digests of other owners. In a pool that is slow as a whole
// the median is slow too, so overload ejects no endpoint.
package eject

import (
	"fmt"
	"math"
	"slices"
	"time"

	"currantwick"
)

// Config holds the settings of an ejector. Zero fields take their defaults.
type Config struct {
	Policy wick.EjectPolicy
	// ReduceAt is the slowdown, the time per token relative to the pool's
	// median, from which routers send an endpoint less work; above 1.
	ReduceAt float64
	// EjectAt is the slowdown from which an endpoint is ejected, and
	// ReturnBelow, which is lower, that below which it returns.
	EjectAt, ReturnBelow float64
	// MaxEjectedShare is the largest share of a pool that is ejected at once;
	// below 1.
	MaxEjectedShare float64
	// EjectionTime is how long an endpoint without new samples stays ejected
	// the first time; the time doubles whenever an ejection runs out, until
	// the endpoint is measured below ReturnBelow.
	EjectionTime time.Duration
}

const (
	defaultReduceAt        = 1.3
	defaultEjectAt         = 3.0
	defaultReturnBelow     = 1.5
	defaultMaxEjectedShare = 1.0 / 3
	defaultEjectionTime    = 4 * time.Second
	// maxEjectionTime bounds endpoint.ejectionTime, which doubles.
	maxEjectionTime = time.Minute
	// halfLife is the time in which samples lose half their weight. If fewer
	// than halfLifeSamples arrive in that time, the weight is halved over about
	// halfLifeSamples samples instead.
	halfLife        = 200 * time.Millisecond
	halfLifeSamples = 10
	// sampleTTL is how long samples count after the last one.
	sampleTTL = 3 * time.Second
	// minSampleWeight is the minimum total weight of samples for an endpoint to
	// be evaluated.
	minSampleWeight = 13.0
	// reportTTL is how long the digest of another owner counts.
	reportTTL = 5 * time.Second
	// slowdownHalfLife is the time in which the slowdown of an endpoint without
	// new samples moves halfway back to 1.
	slowdownHalfLife = 10 * time.Second
	// minPeers is the number of endpoints with a known time per token from
	// which the median is meaningful.
	minPeers = 3
	// shareTolerance compensates for the rounding of a MaxEjectedShare that has
	// no exact binary representation.
	shareTolerance = 1e-9
	// maxMedianSamples bounds, up to a factor of two, the number of endpoints
	// that the median is computed from. medianTTL is how long a median is
	// cached.
	maxMedianSamples = 128
	medianTTL        = 50 * time.Millisecond
)

// New returns the ejector for the policy that the settings name.
func New(cfg Config) (wick.Ejector, error) {
	if cfg.ReduceAt == 0 {
		cfg.ReduceAt = defaultReduceAt
	}
	if cfg.EjectAt == 0 {
		cfg.EjectAt = defaultEjectAt
	}
	if cfg.ReturnBelow == 0 {
		cfg.ReturnBelow = defaultReturnBelow
	}
	if cfg.MaxEjectedShare == 0 {
		cfg.MaxEjectedShare = defaultMaxEjectedShare
	}
	if cfg.EjectionTime == 0 {
		cfg.EjectionTime = defaultEjectionTime
	}
	if cfg.ReduceAt <= 1 || cfg.ReturnBelow <= 1 || cfg.EjectAt <= cfg.ReturnBelow {
		return nil, fmt.Errorf("ejection: want ReduceAt > 1 and EjectAt > ReturnBelow > 1, but ReduceAt is %v, ReturnBelow %v, EjectAt %v", cfg.ReduceAt, cfg.ReturnBelow, cfg.EjectAt)
	}
	if cfg.MaxEjectedShare < 0 || cfg.MaxEjectedShare >= 1 || cfg.EjectionTime < 0 {
		return nil, fmt.Errorf("ejection: MaxEjectedShare %v is not in [0, 1) or EjectionTime %v is negative", cfg.MaxEjectedShare, cfg.EjectionTime)
	}
	switch cfg.Policy {
	case "", wick.EjectOutliers:
		return newDetector(cfg), nil
	case wick.EjectNone:
		return None{}, nil
	}
	return nil, fmt.Errorf("ejection: %q is not an ejection policy", string(cfg.Policy))
}

// Detector compares the endpoints of each pool with one another. It is not safe
// for concurrent use.
type Detector struct {
	config    Config
	endpoints map[wick.EndpointName]*endpoint
	pools     map[wick.PoolName]*pool
}

var _ wick.Ejector = (*Detector)(nil)

// endpoint holds the samples and the verdict of one endpoint.
type endpoint struct {
	pool *pool
	// time, in seconds, and tokens are sums over samples with decaying weights,
	// and weight is the sum of the weights. time divided by tokens is the time
	// per token.
	time, tokens, weight float64
	// progressAt is the time of the last sample.
	progressAt wick.Instant
	// reported is the time per token, in seconds, that another owner reported
	// at reportedAt.
	reported   float64
	reportedAt wick.Instant
	// slowdown is the time per token relative to the median as of evaluatedAt.
	slowdown    float64
	evaluatedAt wick.Instant
	ejected     bool
	// ejectedUntil is when an ejected endpoint returns if it has no new
	// samples.
	ejectedUntil wick.Instant
	// ejectionTime is how long an ejection without new samples lasts; it
	// doubles whenever one runs out, until the endpoint is measured below
	// Config.ReturnBelow.
	ejectionTime time.Duration
}

// pool is a group of endpoints that are compared with one another.
type pool struct {
	endpoints []*endpoint
	ejected   int
	// median is the median time per token, in seconds, cached until
	// medianUntil; 0 means that too few endpoints have one.
	median      float64
	medianUntil wick.Instant
	// known is a buffer of medianAt.
	known []float64
}

func newDetector(cfg Config) *Detector {
	return &Detector{
		config:    cfg,
		endpoints: make(map[wick.EndpointName]*endpoint),
		pools:     make(map[wick.PoolName]*pool),
	}
}

// Put implements wick.Ejector.
func (w *Detector) Put(name wick.EndpointName, in wick.PoolName) {
	p := w.pools[in]
	if p == nil {
		p = &pool{}
		w.pools[in] = p
	}
	if e := w.endpoints[name]; e != nil {
		if e.pool == p {
			return
		}
		w.Remove(name)
	}
	e := &endpoint{pool: p, slowdown: 1, ejectionTime: w.config.EjectionTime}
	w.endpoints[name] = e
	p.endpoints = append(p.endpoints, e)
}

// Remove implements wick.Ejector.
func (w *Detector) Remove(name wick.EndpointName) {
	e := w.endpoints[name]
	if e == nil {
		return
	}
	delete(w.endpoints, name)
	e.setEjected(false)
	i := slices.Index(e.pool.endpoints, e)
	e.pool.endpoints = slices.Delete(e.pool.endpoints, i, i+1)
}

// RecordProgress implements wick.Ejector.
func (w *Detector) RecordProgress(now wick.Instant, name wick.EndpointName, tokens wick.Tokens, took time.Duration) {
	e := w.endpoints[name]
	if e == nil || took <= 0 {
		return
	}
	e.decaySamples(now)
	e.time += took.Seconds()
	e.tokens += float64(tokens)
	e.weight++
}

// ApplyDigest implements wick.Ejector.
func (w *Detector) ApplyDigest(now wick.Instant, d wick.Digest) {
	e := w.endpoints[d.Endpoint]
	if e == nil {
		return
	}
	e.reported = d.TimePerToken.Std().Seconds()
	e.reportedAt = now
	e.setEjected(d.Ejected)
}

// Evaluate implements wick.Ejector.
func (w *Detector) Evaluate(now wick.Instant, name wick.EndpointName) wick.Health {
	e := w.endpoints[name]
	if e == nil {
		return wick.Health{}
	}
	timePerToken, ok := e.timePerToken(now)
	median := e.pool.medianAt(now)
	if ok && median > 0 {
		w.evaluate(now, e, timePerToken/median)
	} else {
		w.decayVerdict(now, e)
	}
	h := wick.Health{Slowdown: 1, Ejected: e.ejected}
	if ok {
		h.TimePerToken = wick.Duration(timePerToken * float64(time.Second))
	}
	// Routers see only a slowdown of at least ReduceAt.
	if e.slowdown >= w.config.ReduceAt {
		h.Slowdown = e.slowdown
	}
	return h
}

// evaluate updates the verdict on an endpoint from recent samples.
func (w *Detector) evaluate(now wick.Instant, e *endpoint, slowdown float64) {
	e.slowdown, e.evaluatedAt = slowdown, now
	switch {
	case e.ejected && slowdown < w.config.ReturnBelow:
		e.setEjected(false)
		e.ejectionTime = w.config.EjectionTime
	case e.ejected && e.pool.overLimit(w.config.MaxEjectedShare) && !e.amongSlowest(now, w.config.MaxEjectedShare):
		e.setEjected(false)
	case e.ejected:
		e.ejectedUntil = e.progressAt.Add(e.ejectionTime)
	case slowdown >= w.config.EjectAt && e.pool.mayEject(w.config.MaxEjectedShare) && e.amongSlowest(now, w.config.MaxEjectedShare):
		e.setEjected(true)
		e.ejectedUntil = e.progressAt.Add(e.ejectionTime)
	}
}

// amongSlowest reports whether e is among the slowest endpoints of its pool
// that may be ejected together. Owners that eject endpoints at the same time
// agree on these as soon as they have received each other's digests.
func (e *endpoint) amongSlowest(now wick.Instant, maxShare float64) bool {
	timePerToken, _ := e.known(now)
	rank := 1
	for _, o := range e.pool.endpoints {
		if other, ok := o.known(now); ok && other > timePerToken {
			rank++
		}
	}
	return float64(rank) <= maxShare*float64(len(e.pool.endpoints))+shareTolerance
}

// decayVerdict relaxes the verdict on an endpoint without recent samples, so
// that work gradually returns and provides new samples.
func (w *Detector) decayVerdict(now wick.Instant, e *endpoint) {
	if e.ejected && now >= e.ejectedUntil {
		e.setEjected(false)
		e.slowdown, e.evaluatedAt = w.config.EjectAt, now
		e.ejectionTime = min(2*e.ejectionTime, maxEjectionTime)
	}
	if e.ejected {
		return
	}
	e.slowdown = 1 + (e.slowdown-1)*math.Exp2(-now.Sub(e.evaluatedAt).Seconds()/slowdownHalfLife.Seconds())
	e.evaluatedAt = now
}

// setEjected sets ejected and updates the pool's count.
func (e *endpoint) setEjected(out bool) {
	switch {
	case out && !e.ejected:
		e.pool.ejected++
	case !out && e.ejected:
		e.pool.ejected--
	}
	e.ejected = out
}

// decaySamples decays the weight of the existing samples before a new one is
// added.
func (e *endpoint) decaySamples(now wick.Instant) {
	past := now.Sub(e.progressAt).Seconds() / halfLife.Seconds()
	f := math.Exp2(-min(max(past, 0), 1.0/halfLifeSamples))
	e.time *= f
	e.tokens *= f
	e.weight *= f
	e.progressAt = max(e.progressAt, now)
}

// timePerToken returns the time per token in seconds, if there are enough
// recent samples. For an endpoint that produced no token it is the wait so far.
func (e *endpoint) timePerToken(now wick.Instant) (float64, bool) {
	if e.weight < minSampleWeight || now.Sub(e.progressAt) >= sampleTTL {
		return 0, false
	}
	return e.time / max(e.tokens, 1), true
}

// known returns the time per token in seconds, as measured by this
// daemon or else as reported by another owner.
func (e *endpoint) known(now wick.Instant) (float64, bool) {
	if timePerToken, ok := e.timePerToken(now); ok {
		return timePerToken, true
	}
	return e.reported, e.reported > 0 && now.Sub(e.reportedAt) < reportTTL
}

// mayEject reports whether one more endpoint may be ejected.
func (p *pool) mayEject(maxShare float64) bool {
	return float64(p.ejected+1) <= maxShare*float64(len(p.endpoints))+shareTolerance
}

// overLimit reports whether more endpoints are ejected than allowed.
func (p *pool) overLimit(maxShare float64) bool {
	return float64(p.ejected) > maxShare*float64(len(p.endpoints))+shareTolerance
}

// medianAt returns the median time per token of the pool in seconds, or 0 if it
// is unknown.
func (p *pool) medianAt(now wick.Instant) float64 {
	if now < p.medianUntil {
		return p.median
	}
	p.medianUntil = now.Add(medianTTL)
	p.known = p.known[:0]
	step := max(1, len(p.endpoints)/maxMedianSamples)
	for i := 0; i < len(p.endpoints); i += step {
		if timePerToken, ok := p.endpoints[i].known(now); ok {
			p.known = append(p.known, timePerToken)
		}
	}
	p.median = 0
	if n := len(p.known); n >= minPeers {
		slices.Sort(p.known)
		p.median = p.known[(n-1)/2]
	}
	return p.median
}

// None never ejects an endpoint or shifts work away from one. It is the
// baseline.
type None struct{}

var _ wick.Ejector = None{}

// Put implements wick.Ejector.
func (None) Put(wick.EndpointName, wick.PoolName) {}

// Remove implements wick.Ejector.
func (None) Remove(wick.EndpointName) {}

// RecordProgress implements wick.Ejector.
func (None) RecordProgress(wick.Instant, wick.EndpointName, wick.Tokens, time.Duration) {}

// ApplyDigest implements wick.Ejector.
func (None) ApplyDigest(wick.Instant, wick.Digest) {}

// Evaluate implements wick.Ejector.
func (None) Evaluate(wick.Instant, wick.EndpointName) wick.Health { return wick.Health{Slowdown: 1} }
