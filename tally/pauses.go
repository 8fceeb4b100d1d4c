package tally

import (
	"sync"
	"time"

	"currantwick"
	"currantwick/admit"
)

// Pauses implements wick.EndpointPauses. The zero value is ready to use.
type Pauses struct {
	mu     sync.Mutex
	pauses admit.Pauses
}

var _ wick.EndpointPauses = (*Pauses)(nil)

// Pause implements wick.EndpointPauses.
func (p *Pauses) Pause(now wick.Instant, id wick.EndpointStart, d wick.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauses.Pause(now, id, time.Duration(d))
}

// Until implements wick.EndpointPauses.
func (p *Pauses) Until(now wick.Instant, id wick.EndpointStart) wick.Instant {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses.Until(now, id)
}

// Share implements wick.EndpointPauses.
func (p *Pauses) Share(now wick.Instant, id wick.EndpointStart) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses.Share(now, id)
}
