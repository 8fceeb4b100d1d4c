package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"currantwick"
)

// run is one execution of a request on a runner.
type run struct {
	Runner wick.EndpointName
	At     time.Time
	// Revision is the adapter version that it started with; 0 without an adapter.
	Revision wick.Revision
}

// ledger records the runs of all runners and the guarantees that they saw
// violated. The zero value is ready to use and safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	runs     map[wick.RequestID][]run
	violated []string
}

// Begin records a run.
func (l *ledger) Begin(id wick.RequestID, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[wick.RequestID][]run)
	}
	l.runs[id] = append(l.runs[id], r)
}

// violate records a violated guarantee.
func (l *ledger) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violated = append(l.violated, fmt.Sprintf(format, args...))
}

// ran returns the runs of a request.
func (l *ledger) ran(id wick.RequestID) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs[id])
}

// violations returns the violated guarantees.
func (l *ledger) violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violated)
}
