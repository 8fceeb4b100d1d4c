package tally

import (
	"maps"
	"math"
	"sync"
	"time"

	"currantwick"
)

const (
	// halfLife is the half-life of the observed delays and failures.
	halfLife = 2 * time.Second
	// maxPrefixes bounds the cached prompt prefixes that are recorded per
	// endpoint; an endpoint's memory holds fewer long ones.
	maxPrefixes = 64
	// observationWeight is the weight of one new observation.
	observationWeight = 0.25
)

// Meter counts this daemon's requests at one endpoint and records their
// outcomes. It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	running int
	waiting wick.Tokens
	uses    map[wick.Weights]int
	// lag, in seconds, and failedShare are averages that have decayed up to at.
	lag, failedShare float64
	at               wick.Instant
	// work is measured at plain services only.
	work workTime
	// unreported sums up the outcomes since the last call of TakeOutcomes.
	unreported wick.EndpointStats
	// prefixes are the prompt prefixes that the endpoint has prefilled; order
	// lists the oldest first.
	prefixes map[wick.PrefixID]bool
	order    []wick.PrefixID
}

// MeterReading is the state of a Meter.
type MeterReading struct {
	wick.EndpointLoad
	// Lag is the average delay of first tokens beyond the estimate, and FailedShare
	// the share of requests that failed; both decay with time. They replace those
	// of EndpointLoad, which are not set.
	Lag         time.Duration
	FailedShare float64
	// Work estimates the time that a request takes at a plain service without waiting
	// there; 0 if it was not measured lately.
	Work time.Duration
}

// NewMeter returns a meter without requests.
func NewMeter() *Meter {
	return &Meter{uses: make(map[wick.Weights]int), prefixes: make(map[wick.PrefixID]bool)}
}

// AddPrefix records that the endpoint prefilled a prompt prefix, and reports
// whether that was not known.
func (m *Meter) AddPrefix(c wick.PrefixID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.prefixes[c] {
		return false
	}
	m.prefixes[c] = true
	m.order = append(m.order, c)
	if len(m.order) > maxPrefixes {
		delete(m.prefixes, m.order[0])
		m.order = m.order[1:]
	}
	return true
}

// CachedTokens returns how many tokens of a prompt the endpoint has cached, as
// far as is known.
func (m *Meter) CachedTokens(list []wick.PromptPrefix) wick.Tokens {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := len(list) - 1; i >= 0; i-- {
		if m.prefixes[list[i].PrefixID] {
			return list[i].Tokens
		}
	}
	return 0
}

// Start counts a request that is being sent.
func (m *Meter) Start(w wick.Weights, prompt wick.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running++
	m.waiting += prompt
	m.uses[w]++
}

// Prefilled records that a request's prompt was prefilled.
func (m *Meter) Prefilled(prompt wick.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting -= prompt
}

// Done ends the request that Start counted.
func (m *Meter) Done(w wick.Weights) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
	if m.uses[w]--; m.uses[w] == 0 {
		delete(m.uses, w)
	}
}

// Observe records the outcome of a request: by how much its first token came
// later than estimated, 0 if it got none, and whether it failed. For a plain
// service, for which there is no estimate, lag is the whole response time.
func (m *Meter) Observe(now wick.Instant, lag time.Duration, failed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	lag = max(lag, 0)
	m.lag += observationWeight * (lag.Seconds() - m.lag)
	m.unreported.Requests++
	m.unreported.Lag += wick.Duration(lag)
	f := 0.0
	if failed {
		f = 1
		m.unreported.Failed++
	}
	m.failedShare += observationWeight * (f - m.failedShare)
}

// TakeOutcomes returns the outcomes observed since the previous call.
func (m *Meter) TakeOutcomes() wick.EndpointStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.unreported
	m.unreported = wick.EndpointStats{}
	return o
}

func (m *Meter) decay(now wick.Instant) {
	k := math.Exp2(-now.Sub(m.at).Seconds() / halfLife.Seconds())
	m.lag *= k
	m.failedShare *= k
	m.at = now
}

// Read returns the state of the meter.
func (m *Meter) Read(now wick.Instant) MeterReading {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	return MeterReading{
		EndpointLoad: wick.EndpointLoad{Running: m.running, Waiting: m.waiting},
		Lag:          time.Duration(m.lag * float64(time.Second)),
		FailedShare:  m.failedShare,
		Work:         m.work.read(now),
	}
}

// Uses returns the number of running requests per adapter.
func (m *Meter) Uses() map[wick.Weights]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.uses)
}
