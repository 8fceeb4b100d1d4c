package coord

import (
	"maps"
	"time"

	"currantwick"
)

// An endpoint says in its answers that it is about to end, often before its record
// does. The news binds one start of the endpoint, and no record takes it back, nor does
// its removal: a late write may bring the record back.

// leftMemory is how long it is remembered of an endpoint that is gone. Endpoints end
// within seconds of saying so.
const leftMemory = time.Minute

// leftEndpoint is an endpoint that said that it is about to end, and that is gone or not
// known yet.
type leftEndpoint struct {
	started wick.Started
	since   wick.Instant
	// known is set if this daemon had the endpoint, which it then tells daemons that
	// link later. What was only told is not told on, so it does not go round.
	known bool
}

// saidLeaving reports whether an endpoint that was not known, or was gone, has said that
// it is about to end.
func (s *state) saidLeaving(r *wick.Runner) bool {
	l, ok := s.left[r.Name]
	if !ok || l.started > r.Started {
		return false
	}
	delete(s.left, r.Name)
	if l.started == r.Started && !l.known {
		s.cfg.IO.CloseIdle(r.Address)
	}
	return l.started == r.Started
}

// forgetLeft drops what is too old of the endpoints that are gone.
func (s *state) forgetLeft(now wick.Instant) {
	maps.DeleteFunc(s.left, func(_ wick.EndpointName, l leftEndpoint) bool { return now.Sub(l.since) > leftMemory })
}

// start returns which start of the endpoint this is.
func (e *endpoint) start() wick.EndpointStart {
	return wick.EndpointStart{Endpoint: e.info.Name, Started: e.info.Started}
}

// takesRequests reports whether new requests may be sent to an endpoint.
func (e *endpoint) takesRequests() bool { return !e.info.Draining && !e.leaving }

// applySignal applies what an endpoint said in its answer to an order or a request
// for its report.
func (s *state) applySignal(now wick.Instant, id wick.EndpointStart, sig wick.EndpointSignal) {
	if sig.Malformed != "" {
		s.log.Warn("header of an endpoint's answer ignored", "endpoint", id.Endpoint, "value", sig.Malformed)
	}
	if sig.Pause > 0 {
		s.log.Info("endpoint asked for a pause", "endpoint", id.Endpoint, "ms", sig.Pause.Std().Milliseconds())
		s.cfg.Pauses.Pause(now, id, sig.Pause)
		s.cfg.Observer.EndpointPaused()
	}
	if sig.Leaving {
		s.setLeaving(now, []wick.EndpointStart{id}, true)
	}
}

// endpointLeaving is the event of a traffic goroutine that was told that an endpoint
// is about to end.
type endpointLeaving struct {
	id wick.EndpointStart
}

func (e endpointLeaving) apply(s *state, now wick.Instant) {
	s.setLeaving(now, []wick.EndpointStart{e.id}, true)
}

// setLeaving takes endpoints out of use and tells other daemons. own is set if an
// endpoint told this daemon.
func (s *state) setLeaving(now wick.Instant, list []wick.EndpointStart, own bool) {
	var fresh []wick.EndpointStart
	for _, id := range list {
		e := s.endpoints[id.Endpoint]
		if e == nil || e.info.Started < id.Started {
			if l, ok := s.left[id.Endpoint]; !ok || l.started < id.Started {
				s.left[id.Endpoint] = leftEndpoint{started: id.Started, since: now}
			}
			continue
		}
		if e.leaving || e.info.Started != id.Started {
			continue
		}
		e.leaving = true
		s.invalidate(e)
		s.cfg.IO.CloseIdle(e.info.Address)
		s.cfg.Observer.EndpointLeaving()
		s.log.Info("endpoint leaving", "endpoint", id.Endpoint, "started", id.Started, "told", own)
		fresh = append(fresh, id)
	}
	switch {
	case len(fresh) == 0:
	case s.terms.HoldsAny():
		s.out.leaving = append(s.out.leaving, fresh...)
	case own:
		for _, h := range s.linkedHolders(evidenceHolders) {
			h.link.Post(wick.LinkMessage{Report: &wick.InstanceReport{Ready: s.ready(), Leaving: fresh}})
		}
	}
}

// leavingEndpoints lists the endpoints that said that they are about to end.
func (s *state) leavingEndpoints() []wick.EndpointStart {
	var list []wick.EndpointStart
	for _, e := range s.sortedEndpoints {
		if e.leaving {
			list = append(list, e.start())
		}
	}
	for name, l := range s.left {
		if l.known {
			list = append(list, wick.EndpointStart{Endpoint: name, Started: l.started})
		}
	}
	return list
}
