package crash

import (
	"cmp"
	"maps"
	"slices"

	"currantwick"
)

// Suspects is the evidence against requests that several daemons share, where
// Registry is that of the one daemon that owns an endpoint. Each daemon that sees
// a crash reports what it had pending there, in any order and repeatedly.
//
// Invariants: A request is accused once per crash, however many daemons report
// it. It is stopped only if it was pending at two crashes or more since it was last
// answered, on trial at one of them, and if nothing else that was pending there has
// as many crashes against it.
type Suspects struct {
	cfg     Config
	entries map[wick.Fingerprint]*suspect
	// crashes are the known crashes, order lists the oldest first.
	crashes map[wick.CrashID]*crashRecord
	order   []wick.CrashID
}

// crashRecord is what is known of one crash.
type crashRecord struct {
	at      wick.Instant
	pending map[wick.Fingerprint]wick.PendingRequest
}

// suspect is the evidence against one request.
type suspect struct {
	// crashes are the crashes since the request was last answered.
	crashes map[wick.CrashID]bool
	// stopped is set since stoppedAt; provedBy is the crash that proved the cause.
	stopped   bool
	stoppedAt wick.Instant
	provedBy  wick.CrashID
	// lastEvent is the time of the last crash or of the stop.
	lastEvent wick.Instant
}

const (
	// maxCrashes bounds the crashes that are remembered, and maxPending the requests
	// of one of them.
	maxCrashes = 256
	maxPending = 256
)

// NewSuspects returns a Suspects without evidence. A stopped request becomes a
// suspect again after the StoppedTTL of cfg, whose default is then 10 minutes.
func NewSuspects(cfg Config) *Suspects {
	if cfg.SuspectTTL <= 0 {
		cfg.SuspectTTL = defaultSuspectTTL
	}
	if cfg.StoppedTTL <= 0 {
		cfg.StoppedTTL = defaultSuspectTTL
	}
	if cfg.Limit <= 0 {
		cfg.Limit = defaultLimit
	}
	return &Suspects{cfg: cfg, entries: make(map[wick.Fingerprint]*suspect), crashes: make(map[wick.CrashID]*crashRecord)}
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
		s.accuse(at, r.Crash, p)
	}
	if len(fresh.Pending) == 0 {
		return nil
	}
	// Any crash at which a request was pending may be judged anew now that there is
	// more evidence against it.
	for _, p := range fresh.Pending {
		for id := range s.entries[p.Request].crashes {
			s.judge(id)
		}
	}
	return &fresh
}

// accuse adds a crash to the evidence against a request.
func (s *Suspects) accuse(at wick.Instant, id wick.CrashID, p wick.PendingRequest) {
	e := s.entry(p.Request)
	e.crashes[id] = true
	e.lastEvent = max(e.lastEvent, at)
}

// judge stops the requests that a crash proves to have caused it. It takes that
// back if later evidence shows another possible cause of the same crash.
func (s *Suspects) judge(id wick.CrashID) {
	c := s.crashes[id]
	if c == nil {
		return
	}
	for f, p := range c.pending {
		e := s.entries[f]
		if !p.Trial || e == nil || !e.crashes[id] {
			continue
		}
		proved := len(e.crashes) >= crashesToStop && !s.otherCause(c, f, len(e.crashes))
		switch {
		case proved && !e.stopped:
			e.stopped, e.stoppedAt, e.provedBy = true, c.at, id
		case !proved && e.stopped && e.provedBy == id:
			e.stopped = false
		}
	}
}

// otherCause reports whether another request that was pending at a crash has at
// least n crashes against it.
func (s *Suspects) otherCause(c *crashRecord, f wick.Fingerprint, n int) bool {
	for other := range c.pending {
		if e := s.entries[other]; other != f && e != nil && len(e.crashes) >= n {
			return true
		}
	}
	return false
}

// Answered clears a request that an endpoint began to answer, and reports whether
// it was a suspect.
func (s *Suspects) Answered(f wick.Fingerprint) bool {
	e := s.entries[f]
	if e == nil || e.stopped {
		return false
	}
	delete(s.entries, f)
	return true
}

// Stop adds a request that another daemon knows to be stopped, and reports whether
// it was not known.
func (s *Suspects) Stop(now wick.Instant, r wick.StoppedRequest) bool {
	at := now.Add(-max(r.Age, 0).Std())
	if now.Sub(at) >= s.cfg.StoppedTTL {
		return false
	}
	e := s.entry(r.Request)
	if e.stopped {
		return false
	}
	e.stopped, e.stoppedAt, e.lastEvent = true, at, max(e.lastEvent, at)
	return true
}

// Expire drops evidence that is too old, and reports whether a verdict changed.
func (s *Suspects) Expire(now wick.Instant) bool {
	changed := false
	for f, e := range s.entries {
		switch {
		case e.stopped && now.Sub(e.stoppedAt) >= s.cfg.StoppedTTL:
			e.stopped, changed = false, true
			e.lastEvent = now
		case !e.stopped && now.Sub(e.lastEvent) >= s.cfg.SuspectTTL:
			delete(s.entries, f)
			changed = true
		}
	}
	for len(s.order) > 0 && now.Sub(s.crashes[s.order[0]].at) >= s.cfg.SuspectTTL {
		s.dropOldestCrash()
	}
	return changed
}

// Verdicts returns the verdicts other than Clear.
func (s *Suspects) Verdicts() map[wick.Fingerprint]Verdict {
	if len(s.entries) == 0 {
		return nil
	}
	m := make(map[wick.Fingerprint]Verdict, len(s.entries))
	for f, e := range s.entries {
		m[f] = RunAlone
		if e.stopped {
			m[f] = Stopped
		}
	}
	return m
}

// Evidence returns what a daemon that knows nothing needs to reach the same
// verdicts.
func (s *Suspects) Evidence(now wick.Instant) ([]wick.CrashReport, []wick.StoppedRequest) {
	var reports []wick.CrashReport
	for _, id := range s.order {
		c := s.crashes[id]
		r := wick.CrashReport{Crash: id, Age: wick.Duration(max(now.Sub(c.at), 0))}
		for f, p := range c.pending {
			if e := s.entries[f]; e != nil && e.crashes[id] {
				r.Pending = append(r.Pending, p)
			}
		}
		if len(r.Pending) > 0 {
			reports = append(reports, r)
		}
	}
	var stopped []wick.StoppedRequest
	for f, e := range s.entries {
		if e.stopped {
			stopped = append(stopped, wick.StoppedRequest{Request: f, Age: wick.Duration(max(now.Sub(e.stoppedAt), 0))})
		}
	}
	return reports, stopped
}

// crashRecord returns the record of a crash, adding it if needed.
func (s *Suspects) crashRecord(at wick.Instant, id wick.CrashID) *crashRecord {
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

// entry returns the evidence against a request, adding it if needed.
func (s *Suspects) entry(f wick.Fingerprint) *suspect {
	e := s.entries[f]
	if e == nil {
		if len(s.entries) >= s.cfg.Limit {
			s.evict()
		}
		e = &suspect{crashes: make(map[wick.CrashID]bool)}
		s.entries[f] = e
	}
	return e
}

// evict drops the least important entries until an eighth of the capacity is free.
func (s *Suspects) evict() {
	all := slices.SortedFunc(maps.Keys(s.entries), func(a, b wick.Fingerprint) int {
		x, y := s.entries[a], s.entries[b]
		if x.stopped != y.stopped {
			if x.stopped {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), cmp.Compare(y.lastEvent, x.lastEvent), cmp.Compare(a, b))
	})
	for _, f := range all[s.cfg.Limit-max(1, s.cfg.Limit/8):] {
		delete(s.entries, f)
	}
}
