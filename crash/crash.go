// Package crash identifies requests that crash the engines that run them.
//
// The requests in flight at a crash become suspects, and a suspect runs alone
// the next time. If its engine crashes again, the cause is either the request
// or the engine itself, and every daemon that learns of this stops the request.
// A suspect that completes is cleared.
//
// Invariants: A request is stopped only after two crashes with it in flight,
// the last of them with no other request in flight. A request that crashes
// every engine causes at most two crashes, plus one for each time that an owner
// dispatched it before learning of an earlier crash. An innocent request is
// stopped only if an engine crashes for an unrelated reason while the request,
// already a suspect, runs there alone.
package crash

import (
	"cmp"
	"slices"
	"time"

	"currantwick"
)

// Verdict determines how a request may run.
type Verdict uint8

// The verdicts on a request.
const (
	// Clear requests may share the batch.
	Clear Verdict = iota
	// RunAlone requests run with no other request in the batch.
	RunAlone
	// Stopped requests do not run at all.
	Stopped
)

// Config limits how many requests a Registry remembers and for how long.
type Config struct {
	// SuspectTTL is how long a request remains a suspect after its last crash;
	// 0 means 10 minutes.
	SuspectTTL time.Duration
	// StoppedTTL is how long a request remains stopped after it was last
	// received; 0 means one hour.
	StoppedTTL time.Duration
	// Limit bounds the number of requests remembered; 0 means 4096. Beyond it
	// the oldest suspects are evicted first, then the oldest stopped requests.
	Limit int
}

// Defaults of a Config.
const (
	defaultSuspectTTL = 10 * time.Minute
	defaultStoppedTTL = time.Hour
	defaultLimit      = 4096
)

// crashesToStop is the number of crashes after which a request may be stopped.
const crashesToStop = 2

// entry is the crash history of one request.
type entry struct {
	fingerprint wick.Fingerprint
	// crashes counts the crashes with the request in flight.
	crashes int
	// clearedCrashes is the number of crashes that the request was cleared of;
	// at most crashes.
	clearedCrashes int
	// stopped is never reset to false.
	stopped bool
	// lastEvent is the time of the last crash, or of the last attempt while the
	// request is stopped.
	lastEvent wick.Instant
}

// Registry holds the suspects and stopped requests known to one daemon. It is
// not safe for concurrent use.
type Registry struct {
	cfg     Config
	entries map[wick.Fingerprint]*entry
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	if cfg.SuspectTTL <= 0 {
		cfg.SuspectTTL = defaultSuspectTTL
	}
	if cfg.StoppedTTL <= 0 {
		cfg.StoppedTTL = defaultStoppedTTL
	}
	if cfg.Limit <= 0 {
		cfg.Limit = defaultLimit
	}
	return &Registry{cfg: cfg, entries: map[wick.Fingerprint]*entry{}}
}

// Evaluate returns how a request may run now. For a stopped request it also
// counts as an attempt, which extends the stop.
func (r *Registry) Evaluate(now wick.Instant, fingerprint wick.Fingerprint) Verdict {
	e := r.lookup(now, fingerprint)
	switch {
	case e == nil:
		return Clear
	case e.stopped:
		e.lastEvent = now
		return Stopped
	case e.crashes > e.clearedCrashes:
		return RunAlone
	}
	return Clear
}

// Crashed records the requests that were in flight at an engine when it
// crashed, and returns the reports to send to peers.
func (r *Registry) Crashed(now wick.Instant, inFlight []wick.Fingerprint) []wick.Suspect {
	fingerprints := slices.Compact(slices.Sorted(slices.Values(inFlight)))
	var out []wick.Suspect
	for _, p := range fingerprints {
		e := r.lookup(now, p)
		if e == nil {
			e = r.add(now, p)
		}
		e.crashes++
		e.lastEvent = now
		if len(fingerprints) == 1 && e.crashes-e.clearedCrashes >= crashesToStop {
			e.stopped = true
		}
		out = append(out, e.suspect(now))
	}
	return out
}

// Finished clears a request that completed.
func (r *Registry) Finished(now wick.Instant, fingerprint wick.Fingerprint) {
	if e := r.lookup(now, fingerprint); e != nil && !e.stopped {
		e.clearedCrashes = e.crashes
	}
}

// ApplyReports applies the reports of a peer. It is idempotent, and the order
// of reports does not matter.
func (r *Registry) ApplyReports(now wick.Instant, reports []wick.Suspect) {
	for _, s := range reports {
		lastEvent := now.Add(-s.Age.Std())
		e := r.lookup(now, s.Fingerprint)
		if e == nil {
			if r.expired(now, &entry{stopped: reportsStopped(s), lastEvent: lastEvent}) {
				continue
			}
			e = r.add(now, s.Fingerprint)
			e.lastEvent = lastEvent
		}
		e.crashes = max(e.crashes, s.Crashes)
		e.stopped = e.stopped || reportsStopped(s)
		e.lastEvent = max(e.lastEvent, lastEvent)
	}
}

// Suspects returns up to limit reports for peers: stopped requests first, then
// suspects, the latest first in each group.
func (r *Registry) Suspects(now wick.Instant, limit int) []wick.Suspect {
	var all []*entry
	for _, e := range r.entries {
		if !r.expired(now, e) && (e.stopped || e.crashes > e.clearedCrashes) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, byImportance)
	var out []wick.Suspect
	for _, e := range all[:min(limit, len(all))] {
		out = append(out, e.suspect(now))
	}
	return out
}

// reportsStopped reports whether a peer's report states that the request is
// stopped.
func reportsStopped(s wick.Suspect) bool { return s.Alone && s.Crashes >= crashesToStop }

// suspect converts e to a report for peers, which interpret Alone with at least
// two crashes as stopped.
func (e *entry) suspect(now wick.Instant) wick.Suspect {
	return wick.Suspect{
		Fingerprint: e.fingerprint,
		Crashes:     max(e.crashes, 1),
		Alone:       e.stopped,
		Age:         wick.Duration(max(0, now.Sub(e.lastEvent))),
	}
}

func (r *Registry) expired(now wick.Instant, e *entry) bool {
	keep := r.cfg.SuspectTTL
	if e.stopped {
		keep = r.cfg.StoppedTTL
	}
	return now.Sub(e.lastEvent) >= keep
}

// lookup returns the unexpired entry of a request, or nil.
func (r *Registry) lookup(now wick.Instant, fingerprint wick.Fingerprint) *entry {
	e := r.entries[fingerprint]
	if e != nil && r.expired(now, e) {
		delete(r.entries, fingerprint)
		return nil
	}
	return e
}

// add adds an entry, after evicting others if the registry is full.
func (r *Registry) add(now wick.Instant, fingerprint wick.Fingerprint) *entry {
	if len(r.entries) >= r.cfg.Limit {
		r.evict(now)
	}
	e := &entry{fingerprint: fingerprint, lastEvent: now}
	r.entries[fingerprint] = e
	return e
}

// evict removes expired entries, and then the least important ones until an
// eighth of the capacity is free.
func (r *Registry) evict(now wick.Instant) {
	var all []*entry
	for p, e := range r.entries {
		if r.expired(now, e) {
			delete(r.entries, p)
			continue
		}
		all = append(all, e)
	}
	slices.SortFunc(all, byImportance)
	keep := r.cfg.Limit - max(1, r.cfg.Limit/8)
	for _, e := range all[min(keep, len(all)):] {
		delete(r.entries, e.fingerprint)
	}
}

// byImportance orders stopped requests first, and the latest first within each
// group.
func byImportance(a, b *entry) int {
	if a.stopped != b.stopped {
		if a.stopped {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.lastEvent, a.lastEvent), cmp.Compare(a.fingerprint, b.fingerprint))
}
