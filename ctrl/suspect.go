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
	var runs []*Run
	for _, other := range o.runs {
		if other.dispatched && !other.crashCounted {
			other.crashCounted = true
			inFlight = append(inFlight, other.Sub.Fingerprint)
			runs = append(runs, other)
		}
	}
	s.cfg.Observer.EndpointCrashed(o.endpoint.Name, len(inFlight))
	s.reportCrash(s.suspects.Crashed(now, inFlight), runs)
	s.out.ReadReport(o.endpoint)
}

// reportCrash sends the suspects of a crash to all other members. Until those
// have answered, the runs are not retryable: their callers would otherwise reach
// daemons that do not know of the crash yet.
func (s *state) reportCrash(list []wick.Suspect, runs []*Run) {
	var others []wick.Member
	for _, m := range s.keeper.View().Members {
		if m.Host != s.cfg.Lease.Self.Host {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return
	}
	for _, r := range runs {
		r.reporting = true
	}
	s.crashes++
	s.reportedCrashes[s.crashes] = runs
	s.out.SendSuspects(others, s.crashes, list)
}

// apply implements Event.
func (e SuspectsSent) apply(s *state, _ wick.Instant) {
	for _, r := range s.reportedCrashes[e.Crash] {
		r.reporting = false
		r.allowRetry()
	}
	delete(s.reportedCrashes, e.Crash)
}
