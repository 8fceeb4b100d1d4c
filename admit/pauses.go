// Package admit decides which endpoints may be sent requests now: an endpoint may
// ask a daemon for a pause. Load returns by degrees when a pause ends.
package admit

import (
	"time"

	"currantwick"
)

const (
	// maxPause bounds a pause. Endpoints that are away for longer ask again.
	maxPause = 30 * time.Second
	// maxPauses bounds the pauses that are remembered.
	maxPauses = 4096
	// rampShare is the part of a pause during which load returns after it, at most
	// maxRamp.
	rampShare = 0.5
	maxRamp   = time.Second
	// minShare is the share of requests at the end of a pause.
	minShare = 0.05
)

// Pauses are the pauses that endpoints asked this daemon for. The zero value is
// ready to use, by one goroutine at a time.
type Pauses struct {
	byStart map[wick.EndpointStart]interval
}

// interval is a pause.
type interval struct {
	begin, end wick.Instant
}

// Pause records that an endpoint wants no requests for d. A pause never becomes
// shorter: an endpoint may send its answers out of order.
func (p *Pauses) Pause(now wick.Instant, id wick.EndpointStart, d time.Duration) {
	if d <= 0 {
		return
	}
	end := now.Add(min(d, maxPause))
	old, ok := p.byStart[id]
	switch {
	case ok && old.end >= end:
		return
	case ok && now < old.end:
		p.byStart[id] = interval{old.begin, end}
		return
	}
	if len(p.byStart) >= maxPauses {
		p.drop(now)
	}
	if p.byStart == nil {
		p.byStart = make(map[wick.EndpointStart]interval)
	}
	p.byStart[id] = interval{now, end}
}

// Until returns the end of an endpoint's pause, or 0 if there is none now.
func (p *Pauses) Until(now wick.Instant, id wick.EndpointStart) wick.Instant {
	if v, ok := p.byStart[id]; ok && now < v.end {
		return v.end
	}
	return 0
}

// Share returns the share of its usual requests that an endpoint may get: none
// during a pause, and more and more after it.
func (p *Pauses) Share(now wick.Instant, id wick.EndpointStart) float64 {
	v, ok := p.byStart[id]
	if !ok {
		return 1
	}
	if now < v.end {
		return 0
	}
	ramp := min(time.Duration(float64(v.end.Sub(v.begin))*rampShare), maxRamp)
	if now.Sub(v.end) >= ramp {
		delete(p.byStart, id)
		return 1
	}
	return max(float64(now.Sub(v.end))/float64(ramp), minShare)
}

// drop makes room: pauses that have ended, and otherwise the one that ends first.
func (p *Pauses) drop(now wick.Instant) {
	var first wick.EndpointStart
	least := wick.Instant(-1)
	for id, v := range p.byStart {
		if now.Sub(v.end) >= maxRamp {
			delete(p.byStart, id)
			continue
		}
		if least < 0 || v.end < least {
			first, least = id, v.end
		}
	}
	if len(p.byStart) >= maxPauses {
		delete(p.byStart, first)
	}
}
