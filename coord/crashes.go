package coord

import (
	"time"

	"currantwick"
)

// When an answer breaks off, the endpoint is probed. If it does not respond, it has
// crashed, and so may have any request whose answer it had not begun.

const (
	// maxBroken bounds the attempts that are remembered while an endpoint is probed.
	maxBroken = 256
	// crashMemory is how long attempts that break off are attributed to a known
	// crash: connections through a slow link end later than others.
	crashMemory = 2 * time.Second
)

// suspectedCrash collects the attempts that broke off at one start of an endpoint.
type suspectedCrash struct {
	since wick.Instant
	// probing is set while the endpoint is probed, and confirmed once it has not
	// responded.
	probing, confirmed bool
	broken             []wick.BrokenAttempt
}

// attemptBroken is the event of a traffic goroutine whose attempt broke off.
type attemptBroken struct {
	broken wick.BrokenAttempt
}

func (e attemptBroken) apply(s *state, now wick.Instant) {
	id := e.broken.Endpoint
	end := s.endpoints[id.Endpoint]
	if end == nil || !end.takesRequests() || end.info.Started != id.Started || s.cfg.Pauses.Until(now, id) > 0 {
		// An endpoint that leaves ends what it runs, one that is gone was handled, and
		// one that asked for a pause wants no probe.
		s.judge(e.broken)
		return
	}
	c := s.crashes[id]
	if c == nil {
		c = &suspectedCrash{since: now}
		s.crashes[id] = c
	}
	if len(c.broken) >= maxBroken {
		s.judge(e.broken)
		return
	}
	c.broken = append(c.broken, e.broken)
	switch {
	case c.confirmed:
		s.accuse(now, id, c)
	case !c.probing:
		c.probing = true
		s.cfg.IO.Probe(id, e.broken.Address, s.isEngine(end))
	}
}

// isEngine reports whether an endpoint is a model engine.
func (s *state) isEngine(e *endpoint) bool {
	config := s.facts.ServingConfig()
	return config != nil && config.Pools[e.info.Pool].Engine != nil
}

// judge ends the trial of an attempt that broke off and tells its goroutine that
// the crash is dealt with.
func (s *state) judge(b wick.BrokenAttempt) {
	if b.Trial != 0 {
		s.endTrial(b.Trial)
	}
	if b.Judged != nil {
		s.judged = append(s.judged, b.Judged)
	}
}

// probeDone is the result of a probe; err is set if the endpoint did not answer as
// the same incarnation.
type probeDone struct {
	id  wick.EndpointStart
	err error
}

func (e probeDone) apply(s *state, now wick.Instant) {
	c := s.crashes[e.id]
	if c == nil {
		return
	}
	c.probing = false
	if e.err == nil {
		s.log.Info("answers broke off at a running endpoint", "endpoint", e.id.Endpoint, "requests", len(c.broken))
		for _, b := range c.broken {
			s.judge(b)
		}
		delete(s.crashes, e.id)
		return
	}
	c.confirmed, c.since = true, now
	s.cfg.Observer.EndpointCrashed()
	s.log.Warn("endpoint crashed", "endpoint", e.id.Endpoint, "started", e.id.Started, "requests", len(c.broken), "err", e.err)
	s.accuse(now, e.id, c)
}

// accuse reports the requests that were pending at a crash.
func (s *state) accuse(now wick.Instant, id wick.EndpointStart, c *suspectedCrash) {
	report := wick.CrashReport{Crash: id, Age: wick.Duration(now.Sub(c.since))}
	for _, b := range c.broken {
		if !b.Begun {
			s.log.Info("request was pending at a crash", "endpoint", id.Endpoint, "fingerprint", b.Request.Request.String(),
				"parts", texts(b.Request.Parts), "trial", b.Request.Trial)
			report.Pending = append(report.Pending, b.Request)
		}
	}
	if len(report.Pending) > 0 {
		s.addEvidence(now, wick.Evidence{Crashes: []wick.CrashReport{report}}, ownEvidence)
	}
	for _, b := range c.broken {
		s.judge(b)
	}
	c.broken = nil
}

// texts formats fingerprints for log lines.
func texts(list []wick.Fingerprint) []string {
	out := make([]string, len(list))
	for i, f := range list {
		out[i] = f.String()
	}
	return out
}

// forgetCrashes drops the crashes to which no further attempts belong.
func (s *state) forgetCrashes(now wick.Instant) {
	for id, c := range s.crashes {
		if !c.probing && now.Sub(c.since) > crashMemory {
			delete(s.crashes, id)
		}
	}
}
