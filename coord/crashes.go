package coord

import (
	"time"

	"currantwick"
)

// When an answer breaks off, the endpoint is asked for its report. If it does not
// return one, it has crashed, and so may have any request whose answer it had not
// begun.

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
	// probing is set while the endpoint is asked for its report, and confirmed
	// once it has not returned one.
	probing, confirmed bool
	begun              int
	pending            []wick.PendingRequest
}

// attemptBroken is the event of a traffic goroutine whose attempt broke off.
type attemptBroken struct {
	broken wick.BrokenAttempt
}

func (e attemptBroken) apply(s *state, now wick.Instant) {
	id := e.broken.Endpoint
	end := s.endpoints[id.Endpoint]
	if end == nil || end.info.Draining || end.info.Started != id.Started {
		return // An endpoint that leaves ends what it runs, and one that is gone was handled.
	}
	c := s.crashes[id]
	if c == nil {
		c = &suspectedCrash{since: now}
		s.crashes[id] = c
	}
	switch {
	case e.broken.Begun:
		c.begun++
	case len(c.pending) < maxBroken:
		c.pending = append(c.pending, e.broken.Request)
	}
	switch {
	case c.confirmed:
		s.logCrash(id, c)
	case !c.probing:
		c.probing = true
		s.cfg.IO.Probe(id, e.broken.Address)
	}
}

// probeDone is the result of a probe; err is set if the endpoint did not answer as
// the same incarnation.
type probeDone struct {
	id  wick.CrashID
	err error
}

func (e probeDone) apply(s *state, now wick.Instant) {
	c := s.crashes[e.id]
	if c == nil {
		return
	}
	c.probing = false
	if e.err == nil {
		s.log.Info("answers broke off at a running endpoint", "endpoint", e.id.Endpoint, "pending", len(c.pending), "begun", c.begun)
		delete(s.crashes, e.id)
		return
	}
	c.confirmed, c.since = true, now
	s.cfg.Observer.EndpointCrashed()
	s.log.Warn("endpoint crashed", "endpoint", e.id.Endpoint, "started", e.id.Started, "begun", c.begun, "err", e.err)
	s.logCrash(e.id, c)
}

// logCrash logs the requests that were pending at a crash and forgets them.
func (s *state) logCrash(id wick.CrashID, c *suspectedCrash) {
	for _, p := range c.pending {
		s.log.Info("request was pending at a crash", "endpoint", id.Endpoint, "fingerprint", p.Request.String())
	}
	c.pending = nil
}

// forgetCrashes drops the crashes to which no further attempts belong.
func (s *state) forgetCrashes(now wick.Instant) {
	for id, c := range s.crashes {
		if !c.probing && now.Sub(c.since) > crashMemory {
			delete(s.crashes, id)
		}
	}
}
