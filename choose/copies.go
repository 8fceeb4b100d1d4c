package choose

import (
	"cmp"

	"currantwick"
)

const (
	// busyShare is the share of an engine's batch slots from which a busy adapter gets a
	// copy elsewhere. Daemons learn of each other's requests late, so the rest of the
	// slots fills before a queue shows in their estimates.
	busyShare = 0.6
	// reliefShare is the share of its slots up to which another engine with the adapter
	// counts as relief, and up to which an engine takes a copy.
	reliefShare = 0.4
	// minCopyUses is the number of running requests from which an adapter gets a copy,
	// if they are also at least 1/copyUseDivisor of all that run on its engine: a copy
	// of an adapter with less demand would not relieve the engine.
	minCopyUses    = 3
	copyUseDivisor = 4
)

// CopyEngine describes an engine to PlanCopies.
type CopyEngine struct {
	Name  wick.EndpointName
	Slots wick.Slots
	// Running counts the requests of all daemons that run there, and Uses those that
	// use each adapter.
	Running int
	Uses    map[wick.Weights]int
	// Free is how many adapters could be loaded there now.
	Free int
	// Holds reports whether an adapter is loaded or loading there, Cached whether it
	// would load from a local copy.
	Holds, Cached func(wick.Weights) bool
}

// Copy is an adapter that an engine should load although no request waits for it.
type Copy struct {
	Endpoint wick.EndpointName
	Weights  wick.Weights
}

// PlanCopies returns copies of the busiest adapters of engines that are nearly full. It
// answers a load that rises on a single adapter with an engine for it before requests
// queue: a copy that is made only when the estimated wait exceeds the time of a load
// comes after the objectives of the requests that wait. It plans one copy for each busy
// engine, and one at each engine that takes one.
func PlanCopies(list []CopyEngine) []Copy {
	var plan []Copy
	taken := make(map[wick.EndpointName]bool)
	for i := range list {
		e := &list[i]
		if float64(e.Running) < busyShare*float64(e.Slots) {
			continue
		}
		w, ok := e.busiest()
		if !ok {
			continue
		}
		if to := copyTarget(list, w, taken); to != nil {
			taken[to.Name] = true
			plan = append(plan, Copy{to.Name, w})
		}
	}
	return plan
}

// busiest returns the adapter with the most running requests, and false if a copy of it
// would not relieve the engine.
func (e *CopyEngine) busiest() (wick.Weights, bool) {
	var best wick.Weights
	most := 0
	for w, n := range e.Uses {
		if w.Adapter != "" && (n > most || n == most && w.Adapter < best.Adapter) {
			best, most = w, n
		}
	}
	return best, most >= minCopyUses && most*copyUseDivisor >= e.Running
}

// copyTarget returns the engine that should load a copy of an adapter, or nil if one
// with room has it or none can take it.
func copyTarget(list []CopyEngine, w wick.Weights, taken map[wick.EndpointName]bool) *CopyEngine {
	var best *CopyEngine
	for i := range list {
		e := &list[i]
		if float64(e.Running) > reliefShare*float64(e.Slots) {
			continue
		}
		if e.Holds(w) {
			return nil
		}
		if e.Free > 0 && !taken[e.Name] && (best == nil || e.compareAsTarget(best, w) < 0) {
			best = e
		}
	}
	return best
}

// compareAsTarget orders engines by how well they suit as the place of a copy, the best
// first.
func (e *CopyEngine) compareAsTarget(other *CopyEngine, w wick.Weights) int {
	rank := func(e *CopyEngine) int {
		if e.Cached(w) {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(rank(e), rank(other)),
		cmp.Compare(e.Running, other.Running),
		cmp.Compare(score(w, other.Name), score(w, e.Name)),
	)
}
