package tally

import (
	"sync"

	"currantwick"
)

// maxRecentParts bounds each of the two generations of Parts. Deployments have a few
// hundred shared parts in use.
const maxRecentParts = 4096

// Parts implements wick.AnsweredParts. It forgets the parts that were not answered
// for the longest time. The zero value is ready to use.
type Parts struct {
	mu sync.Mutex
	// recent are the parts answered since the last change of generation, earlier
	// those of the generation before.
	recent, earlier map[wick.Fingerprint]wick.Instant
}

var _ wick.AnsweredParts = (*Parts)(nil)

// Add implements wick.AnsweredParts.
func (p *Parts) Add(now wick.Instant, parts []wick.Fingerprint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range parts {
		if p.recent == nil || len(p.recent) >= maxRecentParts {
			p.recent, p.earlier = make(map[wick.Fingerprint]wick.Instant), p.recent
		}
		p.recent[f] = now
	}
}

// Last implements wick.AnsweredParts.
func (p *Parts) Last(f wick.Fingerprint) (wick.Instant, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.recent[f]; ok {
		return at, true
	}
	at, ok := p.earlier[f]
	return at, ok
}
