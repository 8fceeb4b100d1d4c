package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"currantwick"
)

// Suspects is the evidence about crashes that several daemons share, where
// Registry is that of the one daemon that owns an endpoint. Each daemon that sees
// a crash reports what it had pending there, in any order and repeatedly.
//
// A crash accuses the requests that were pending and the parts of their prompts
// that other requests may share. The beginning of an answer clears a request and
// all its parts. A request is a suspect once accused, and so is a part that was
// never seen answered; a part that was (a vouched one) takes vouchedCrashes.
//
// Invariants: A crash counts once against a request or a part, however many
// daemons report it, and the crashes of a single repeated request count once against
// its parts. A cause is stopped only if it was pending on trial at a crash, with
// crashesToStop crashes against a request or partCrashesToStop against a part, and
// if nothing else that was pending there has as many. A part that was answered before
// must have been on trial at vouchedTrials of them.
type Suspects struct {
	cfg     Config
	entries map[wick.Fingerprint]*suspect
	// crashes are the known crashes, order lists the oldest first.
	crashes map[wick.EndpointStart]*crashRecord
	order   []wick.EndpointStart
	// causes are the causes that were proved, by the request that was on trial.
	causes map[trialCrash]*cause
	// expiredAt is the time of the last call of Expire.
	expiredAt wick.Instant
}

// trialCrash identifies a crash under a request on trial.
type trialCrash struct {
	crash   wick.EndpointStart
	request wick.Fingerprint
}

// cause is a proved cause of crashes: a request or parts of prompts, as in
// wick.StoppedCause.
type cause struct {
	keys []wick.Fingerprint
	at   wick.Instant
	// stop is how long after the crash requests with the cause are stopped. Then they
	// are suspects again, and the next proof stops them for twice as long.
	stop time.Duration
	// received is set if another daemon proved the cause.
	received bool
}

// stops reports whether requests with the cause are stopped.
func (c *cause) stops(now wick.Instant) bool { return now.Sub(c.at) < c.stop }

// crashRecord is what is known of one crash.
type crashRecord struct {
	at      wick.Instant
	pending map[wick.Fingerprint]wick.PendingRequest
}

// suspect is the evidence about one request or one part.
type suspect struct {
	part bool
	// vouched is set if a part was answered before.
	vouched bool
	// crashes are the crashes since it was last answered, and lastCrash is the time of
	// the latest.
	crashes   map[wick.EndpointStart]accusation
	lastCrash wick.Instant
	// lastEvent is the time of the last evidence.
	lastEvent wick.Instant
}

// accusation is a crash at which a request or a part was pending.
type accusation struct {
	// request is a request that was pending, the one on trial if trial is set.
	request wick.Fingerprint
	trial   bool
}

const (
	// partCrashesToStop is crashesToStop for a part. Sound parts are pending at many
	// crashes that others cause.
	partCrashesToStop = 3
	// vouchedCrashes is the number of crashes without an answer in between after
	// which a part is a suspect although it was answered before.
	vouchedCrashes = 4
	// vouchedTrials is the number of crashes on trial that it takes to stop a part that
	// was answered before: most requests may have it.
	vouchedTrials = 2
	// maxCrashes bounds the crashes that are remembered, and maxPending the requests
	// of one of them.
	maxCrashes = 256
	maxPending = 256
	// maxCauses bounds the stopped causes; the oldest give way.
	maxCauses = 128
	// firstStop is how long a cause is stopped after its first proof, and
	// sharedStoppedTTL, the default StoppedTTL of a Suspects, the longest time. A
	// cause is then a suspect again until its evidence is EvidenceTime old.
	firstStop        = 15 * time.Second
	sharedStoppedTTL = 10 * time.Minute
)

// EvidenceTime is how long evidence counts: the default SuspectTTL of a Suspects.
const EvidenceTime = 20 * time.Minute

// NewSuspects returns a Suspects without evidence.
func NewSuspects(cfg Config) *Suspects {
	if cfg.SuspectTTL <= 0 {
		cfg.SuspectTTL = EvidenceTime
	}
	if cfg.StoppedTTL <= 0 {
		cfg.StoppedTTL = sharedStoppedTTL
	}
	if cfg.Limit <= 0 {
		cfg.Limit = defaultLimit
	}
	return &Suspects{
		cfg:     cfg,
		entries: make(map[wick.Fingerprint]*suspect),
		crashes: make(map[wick.EndpointStart]*crashRecord),
		causes:  make(map[trialCrash]*cause),
	}
}

// AddCrash adds a report of a crash and returns the part that was not known, nil
// if there is none.
func (s *Suspects) AddCrash(now wick.Instant, r wick.CrashReport) *wick.CrashReport {
	at := now.Add(-max(r.Age, 0).Std())
	if now.Sub(at) >= s.cfg.SuspectTTL {
		return nil
	}
	c := s.crashRecord(at, r.Crash)
	fresh := wick.CrashReport{Crash: r.Crash, Age: r.Age}
	for _, p := range r.Pending {
		old, known := c.pending[p.Request]
		if known && (old.Trial || !p.Trial) || !known && len(c.pending) >= maxPending {
			continue
		}
		c.pending[p.Request] = p
		fresh.Pending = append(fresh.Pending, p)
		s.accuse(at, r.Crash, p, p.Request, false)
		for _, f := range p.Parts {
			s.accuse(at, r.Crash, p, f, true)
		}
	}
	if len(fresh.Pending) == 0 {
		return nil
	}
	s.judgeAnew(fresh.Pending)
	return &fresh
}

// accuse adds a crash to the evidence about a pending request or a part of it.
func (s *Suspects) accuse(at wick.Instant, id wick.EndpointStart, p wick.PendingRequest, f wick.Fingerprint, part bool) {
	e := s.entry(f, part)
	if _, known := e.crashes[id]; !known || p.Trial {
		e.crashes[id] = accusation{request: p.Request, trial: p.Trial}
	}
	e.lastCrash = max(e.lastCrash, at)
	e.lastEvent = max(e.lastEvent, at)
}

// Answered clears a request or a part whose answer an endpoint began, and reports
// whether it was accused.
func (s *Suspects) Answered(now wick.Instant, f wick.Fingerprint) bool {
	e := s.entries[f]
	if e == nil || len(e.crashes) == 0 {
		return false
	}
	if !e.part {
		delete(s.entries, f)
		return true
	}
	e.crashes, e.vouched, e.lastEvent = make(map[wick.EndpointStart]accusation), true, now
	return true
}

// AccusedParts returns the parts that are accused, with the time of the last crash.
func (s *Suspects) AccusedParts() map[wick.Fingerprint]wick.Instant {
	var m map[wick.Fingerprint]wick.Instant
	for f, e := range s.entries {
		if e.part && len(e.crashes) > 0 {
			if m == nil {
				m = make(map[wick.Fingerprint]wick.Instant)
			}
			m[f] = e.lastCrash
		}
	}
	return m
}

// Vouch records that a part was answered before it was accused, and reports whether
// that was not known.
func (s *Suspects) Vouch(now wick.Instant, f wick.Fingerprint) bool {
	e := s.entry(f, true)
	if e.vouched {
		return false
	}
	e.vouched, e.lastEvent = true, max(e.lastEvent, now)
	s.judgeAnew([]wick.PendingRequest{{Parts: []wick.Fingerprint{f}}})
	return true
}

// Stop adds a cause that another daemon knows to be stopped, unless the evidence of this
// one disputes it, and reports whether it was added.
func (s *Suspects) Stop(now wick.Instant, r wick.StoppedCause) bool {
	at := now.Add(-max(r.Age, 0).Std())
	key := trialCrash{r.Crash, r.Request}
	c := &cause{keys: slices.Clone(r.Keys), at: at, stop: min(r.Stop.Std(), s.cfg.StoppedTTL), received: true}
	if len(r.Keys) == 0 || !c.stops(now) || s.causes[key] != nil {
		return false
	}
	s.addCause(key, c)
	if known := s.crashes[r.Crash]; known != nil {
		s.judge(r.Crash, known)
	}
	return s.causes[key] != nil
}

// nextStop returns how long a proved cause is stopped: firstStop, or twice as long as
// after the last proof of the same cause.
func (s *Suspects) nextStop(key trialCrash, keys []wick.Fingerprint) time.Duration {
	stop := firstStop
	for k, c := range s.causes {
		if k != key && c.at < s.crashes[key.crash].at && slices.Equal(c.keys, keys) {
			stop = max(stop, 2*c.stop)
		}
	}
	return min(stop, s.cfg.StoppedTTL)
}

// Expire drops evidence that is too old, and reports whether a verdict may have
// changed.
func (s *Suspects) Expire(now wick.Instant) bool {
	changed := false
	for key, c := range s.causes {
		changed = changed || c.stops(s.expiredAt) && !c.stops(now)
		if now.Sub(c.at) >= s.cfg.SuspectTTL {
			delete(s.causes, key)
		}
	}
	s.expiredAt = now
	for f, e := range s.entries {
		if now.Sub(e.lastEvent) >= s.cfg.SuspectTTL {
			delete(s.entries, f)
			changed = true
		}
	}
	for len(s.order) > 0 && now.Sub(s.crashes[s.order[0]].at) >= s.cfg.SuspectTTL {
		s.dropOldestCrash()
	}
	return changed
}

// Evidence returns what a daemon that knows nothing needs to reach the same
// verdicts.
func (s *Suspects) Evidence(now wick.Instant) wick.Evidence {
	var ev wick.Evidence
	age := func(at wick.Instant) wick.Duration { return wick.Duration(max(now.Sub(at), 0)) }
	for _, id := range s.order {
		c := s.crashes[id]
		r := wick.CrashReport{Crash: id, Age: age(c.at)}
		accused := func(f wick.Fingerprint) bool {
			e := s.entries[f]
			if e == nil {
				return false
			}
			_, ok := e.crashes[id]
			return ok
		}
		for f, p := range c.pending {
			p.Parts = slices.DeleteFunc(slices.Clone(p.Parts), func(f wick.Fingerprint) bool { return !accused(f) })
			if accused(f) || len(p.Parts) > 0 {
				r.Pending = append(r.Pending, p)
			}
		}
		if len(r.Pending) > 0 {
			ev.Crashes = append(ev.Crashes, r)
		}
	}
	for f, e := range s.entries {
		if e.vouched && len(e.crashes) > 0 {
			ev.Vouched = append(ev.Vouched, f)
		}
	}
	for key, c := range s.causes {
		if c.stops(now) {
			ev.Stopped = append(ev.Stopped, wick.StoppedCause{Crash: key.crash, Request: key.request, Keys: c.keys, Age: age(c.at), Stop: wick.Duration(c.stop)})
		}
	}
	return ev
}

// count returns the number of crashes that count against a suspect. Those of a single
// repeated request, which may be the cause itself, count once against its parts.
func (e *suspect) count() int { return e.countWithout(func(wick.EndpointStart) bool { return false }) }

// countWithout is count without the crashes that are to be left out.
func (e *suspect) countWithout(leaveOut func(wick.EndpointStart) bool) int {
	n := 0
	requests := make(map[wick.Fingerprint]bool)
	for id, a := range e.crashes {
		if !leaveOut(id) {
			requests[a.request] = true
			n++
		}
	}
	if e.part && len(requests) == 1 {
		return 1
	}
	return n
}

// trials returns the number of crashes on trial.
func (e *suspect) trials() int {
	n := 0
	for _, a := range e.crashes {
		if a.trial {
			n++
		}
	}
	return n
}

// suspected reports whether a request or part is a suspect.
func (e *suspect) suspected() bool {
	if e.vouched {
		return e.count() >= vouchedCrashes
	}
	return len(e.crashes) > 0
}

// crashRecord returns the record of a crash, adding it if needed.
func (s *Suspects) crashRecord(at wick.Instant, id wick.EndpointStart) *crashRecord {
	c := s.crashes[id]
	if c == nil {
		if len(s.order) >= maxCrashes {
			s.dropOldestCrash()
		}
		c = &crashRecord{at: at, pending: make(map[wick.Fingerprint]wick.PendingRequest)}
		s.crashes[id] = c
		s.order = append(s.order, id)
	}
	return c
}

func (s *Suspects) dropOldestCrash() {
	delete(s.crashes, s.order[0])
	s.order = s.order[1:]
}

// addCause adds a cause, dropping the oldest one if there are too many.
func (s *Suspects) addCause(key trialCrash, c *cause) {
	if len(s.causes) >= maxCauses && s.causes[key] == nil {
		delete(s.causes, slices.MinFunc(slices.Collect(maps.Keys(s.causes)), func(a, b trialCrash) int {
			return cmp.Compare(s.causes[a].at, s.causes[b].at)
		}))
	}
	s.causes[key] = c
}

// entry returns the evidence about a request or a part, adding it if needed.
func (s *Suspects) entry(f wick.Fingerprint, part bool) *suspect {
	e := s.entries[f]
	if e == nil {
		if len(s.entries) >= s.cfg.Limit {
			s.evict()
		}
		e = &suspect{part: part, crashes: make(map[wick.EndpointStart]accusation)}
		s.entries[f] = e
	}
	return e
}

// evict drops the entries with the least evidence until an eighth of the capacity
// is free.
func (s *Suspects) evict() {
	all := slices.SortedFunc(maps.Keys(s.entries), func(a, b wick.Fingerprint) int {
		x, y := s.entries[a], s.entries[b]
		return cmp.Or(cmp.Compare(y.count(), x.count()), cmp.Compare(y.lastEvent, x.lastEvent), cmp.Compare(a, b))
	})
	for _, f := range all[s.cfg.Limit-max(1, s.cfg.Limit/8):] {
		delete(s.entries, f)
	}
}
