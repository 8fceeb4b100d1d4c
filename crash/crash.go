// Package crash finds the requests that crash the engines that run them.
//
// Only the requests in flight at a crash are suspected, and a suspect runs
// alone next time. If its engine crashes again then, nothing else can have been
// the cause but the request or the engine itself, and the request is stopped
// at every daemon that hears of it. A suspect that is answered whole is cleared.
//
// What holds: a request is stopped only after two crashes with it in flight,
// the last of them with no other request beside it. A request that crashes
// every engine crashes at most two, and one more for each time that an owner
// dispatched it before hearing of an earlier crash. An innocent request is
// stopped only if an engine crashes for a reason of its own while the request,
// already a suspect, runs there alone.
package crash

import (
	"cmp"
	"slices"
	"time"

	"currantwick"
)

// Verdict says how a request may run.
type Verdict uint8

// The verdicts on a request.
const (
	// Clear requests run beside others.
	Clear Verdict = iota
	// Alone requests run with nothing else in the batch.
	Alone
	// Stopped requests do not run at all.
	Stopped
)

// Config says how long and how much a Register remembers.
type Config struct {
	// SuspectFor is how long a request stays suspect after its last crash; 0
	// means 10 minutes.
	SuspectFor time.Duration
	// StopFor is how long a request stays stopped after it was last sent; 0
	// means an hour.
	StopFor time.Duration
	// Limit bounds the requests that are remembered; 0 means 4096. Beyond it
	// the oldest suspects are forgotten, then the oldest of the stopped.
	Limit int
}

// Defaults of a Config.
const (
	defaultSuspectFor = 10 * time.Minute
	defaultStopFor    = time.Hour
	defaultLimit      = 4096
)

// crashesToStop is how many crashes stop a request.
const crashesToStop = 2

// entry is what is known of one request.
type entry struct {
	print wick.Fingerprint
	// crashes counts the crashes seen with the request in flight.
	crashes int
	// cleared is the number of crashes of which the request was cleared;
	// at most crashes.
	cleared int
	// stopped never goes back to false.
	stopped bool
	// at is the time of the last crash, or of the last try while stopped.
	at wick.Instant
}

// Register holds the suspects that one daemon knows. It is not safe for
// concurrent use.
type Register struct {
	cfg     Config
	entries map[wick.Fingerprint]*entry
}

// New returns an empty register.
func New(cfg Config) *Register {
	if cfg.SuspectFor <= 0 {
		cfg.SuspectFor = defaultSuspectFor
	}
	if cfg.StopFor <= 0 {
		cfg.StopFor = defaultStopFor
	}
	if cfg.Limit <= 0 {
		cfg.Limit = defaultLimit
	}
	return &Register{cfg: cfg, entries: map[wick.Fingerprint]*entry{}}
}

// Judge says how a request may run now.
func (r *Register) Judge(now wick.Instant, print wick.Fingerprint) Verdict {
	e := r.get(now, print)
	switch {
	case e == nil:
		return Clear
	case e.stopped:
		e.at = now
		return Stopped
	case e.crashes > e.cleared:
		return Alone
	}
	return Clear
}

// Crashed takes in the requests that were in flight at an engine when it
// crashed, and returns what to tell peers.
func (r *Register) Crashed(now wick.Instant, flying []wick.Fingerprint) []wick.Suspect {
	prints := slices.Compact(slices.Sorted(slices.Values(flying)))
	var out []wick.Suspect
	for _, p := range prints {
		e := r.get(now, p)
		if e == nil {
			e = r.add(now, p)
		}
		e.crashes++
		e.at = now
		if len(prints) == 1 && e.crashes-e.cleared >= crashesToStop {
			e.stopped = true
		}
		out = append(out, e.suspect(now))
	}
	return out
}

// Finished clears a request that was answered whole.
func (r *Register) Finished(now wick.Instant, print wick.Fingerprint) {
	if e := r.get(now, print); e != nil && !e.stopped {
		e.cleared = e.crashes
	}
}

// Learn takes in what a peer tells. It is idempotent, and the order in which
// news come does not matter.
func (r *Register) Learn(now wick.Instant, news []wick.Suspect) {
	for _, s := range news {
		at := now.Add(-s.Age.Std())
		e := r.get(now, s.Print)
		if e == nil {
			if r.expired(now, &entry{stopped: stops(s), at: at}) {
				continue
			}
			e = r.add(now, s.Print)
			e.at = at
		}
		e.crashes = max(e.crashes, s.Crashes)
		e.stopped = e.stopped || stops(s)
		e.at = max(e.at, at)
	}
}

// Suspects returns up to limit of what peers should know, the stopped requests
// first and then the latest suspects.
func (r *Register) Suspects(now wick.Instant, limit int) []wick.Suspect {
	var all []*entry
	for _, e := range r.entries {
		if !r.expired(now, e) && (e.stopped || e.crashes > e.cleared) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, weightier)
	var out []wick.Suspect
	for _, e := range all[:min(limit, len(all))] {
		out = append(out, e.suspect(now))
	}
	return out
}

// stops reports whether a peer's news say that the request is stopped.
func stops(s wick.Suspect) bool { return s.Alone && s.Crashes >= crashesToStop }

// suspect writes e for peers, who read Alone with two crashes as stopped.
func (e *entry) suspect(now wick.Instant) wick.Suspect {
	return wick.Suspect{
		Print:   e.print,
		Crashes: max(e.crashes, 1),
		Alone:   e.stopped,
		Age:     wick.Duration(max(0, now.Sub(e.at))),
	}
}

func (r *Register) expired(now wick.Instant, e *entry) bool {
	keep := r.cfg.SuspectFor
	if e.stopped {
		keep = r.cfg.StopFor
	}
	return now.Sub(e.at) >= keep
}

// get returns what is known of a request and not expired, or nil.
func (r *Register) get(now wick.Instant, print wick.Fingerprint) *entry {
	e := r.entries[print]
	if e != nil && r.expired(now, e) {
		delete(r.entries, print)
		return nil
	}
	return e
}

// add makes room and an entry.
func (r *Register) add(now wick.Instant, print wick.Fingerprint) *entry {
	if len(r.entries) >= r.cfg.Limit {
		r.trim(now)
	}
	e := &entry{print: print, at: now}
	r.entries[print] = e
	return e
}

// trim forgets what has expired, and then the least weighty until an eighth of
// the room is free.
func (r *Register) trim(now wick.Instant) {
	var all []*entry
	for p, e := range r.entries {
		if r.expired(now, e) {
			delete(r.entries, p)
			continue
		}
		all = append(all, e)
	}
	slices.SortFunc(all, weightier)
	keep := r.cfg.Limit - max(1, r.cfg.Limit/8)
	for _, e := range all[min(keep, len(all)):] {
		delete(r.entries, e.print)
	}
}

// weightier orders the stopped first and then the latest.
func weightier(a, b *entry) int {
	if a.stopped != b.stopped {
		if a.stopped {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.print, b.print))
}
