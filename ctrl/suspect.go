package ctrl

import (
	"currantwick"
	"currantwick/crash"
)

// apply implements Event.
func (e Suspected) apply(s *state, now wick.Instant) { s.suspects.Learn(now, e.List) }

// judge says how a request may run, by what is known of crashes.
func (s *state) judge(now wick.Instant, sub *wick.Submission) crash.Verdict {
	v := s.suspects.Judge(now, sub.Print)
	if v == crash.Clear && sub.Suspect {
		return crash.Alone
	}
	return v
}

// crashed notes that the endpoint crashed while a run was in flight there, and
// tells all members of the requests beside it. Runs that were counted for the
// same crash already are passed over.
func (s *state) crashed(now wick.Instant, o *owned, r *Run) {
	if r.counted {
		return
	}
	var flying []wick.Fingerprint
	for _, other := range o.runs {
		if other.dispatched && !other.counted {
			other.counted = true
			flying = append(flying, other.Sub.Print)
		}
	}
	s.cfg.Note.Crashed(o.end.Name, len(flying))
	list := s.suspects.Crashed(now, flying)
	for _, m := range s.keeper.View().Members {
		if m.Host != s.cfg.Lease.Self.Host {
			s.out.Tell(m, list)
		}
	}
	s.out.Report(o.end)
}
