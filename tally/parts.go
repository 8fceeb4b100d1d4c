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
	recent, earlier map[wick.Fingerprint]struct{}
}

var _ wick.AnsweredParts = (*Parts)(nil)

// Add implements wick.AnsweredParts.
func (p *Parts) Add(parts []wick.Fingerprint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range parts {
		if p.recent == nil || len(p.recent) >= maxRecentParts {
			p.recent, p.earlier = make(map[wick.Fingerprint]struct{}), p.recent
		}
		p.recent[f] = struct{}{}
	}
}

// Has implements wick.AnsweredParts.
func (p *Parts) Has(f wick.Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.recent[f]; ok {
		return true
	}
	_, ok := p.earlier[f]
	return ok
}
