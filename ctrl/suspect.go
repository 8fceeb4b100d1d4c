package ctrl

import (
	"currantwick"
	"currantwick/crash"
)

// apply implements Event.
func (e SuspectsReceived) apply(s *state, now wick.Instant) { s.suspects.ApplyReports(now, e.List) }

// crashVerdict decides how a request may run, given the crashes it may have
// caused.
func (s *state) crashVerdict(now wick.Instant, sub *wick.Submission) crash.Verdict {
	v := s.suspects.Evaluate(now, sub.Fingerprint)
	if v == crash.Clear && sub.Suspect {
		return crash.RunAlone
	}
	return v
}

// recordCrash records that the endpoint crashed with a run in flight, and sends
// all other members the suspects: every request in flight there. A crash is
// recorded once; runs already counted for it are skipped.
func (s *state) recordCrash(now wick.Instant, o *owned, r *Run) {
	if r.crashCounted {
		return
	}
	var inFlight []wick.Fingerprint
	for _, other := range o.runs {
		if other.dispatched && !other.crashCounted {
			other.crashCounted = true
			inFlight = append(inFlight, other.Sub.Fingerprint)
		}
	}
	s.cfg.Observer.EndpointCrashed(o.endpoint.Name, len(inFlight))
	list := s.suspects.Crashed(now, inFlight)
	for _, m := range s.keeper.View().Members {
		if m.Host != s.cfg.Lease.Self.Host {
			s.out.SendSuspects(m, list)
		}
	}
	s.out.ReadReport(o.endpoint)
}
