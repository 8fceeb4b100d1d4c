package ctrl

import (
	"currantwick"
	"currantwick/claim"
	"currantwick/sched"
)

// claims carries out what the book of claims decided.
func (s *state) claims(now wick.Instant, actions []claim.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Append:
			s.out.Append(wick.ClaimStream, a.Record)
		case claim.Granted:
			s.granted(now, a)
		case claim.Refused:
			s.denied(a)
		}
	}
}

// claim asks for the claim on the key of a non-idempotent call. The call is
// queued only once the claim was read back from the log.
func (s *state) claim(now wick.Instant, r *Run) {
	key := r.Sub.Call.Key
	if s.claiming[key] != nil {
		r.refuse(wick.Unknownf(wick.CodeClaimed, "another try with key %s is under way", key))
		return
	}
	s.claiming[key] = r
	s.claims(now, s.book.Want(now, wick.Claim{
		Step:        wick.ClaimTaken,
		Key:         key,
		Request:     r.Sub.Request,
		Holder:      s.cfg.Lease.Self.Host,
		Incarnation: s.cfg.Lease.Self.Incarnation,
		Print:       r.Sub.Print,
	}))
}

// waiting returns the run that waits for a claim and forgets that it waits.
func (s *state) waiting(key wick.ClaimKey, request wick.RequestID) *Run {
	r := s.claiming[key]
	if r == nil || r.Sub.Request != request {
		return nil
	}
	delete(s.claiming, key)
	return r
}

func (s *state) granted(now wick.Instant, g claim.Granted) {
	r := s.waiting(g.Key, g.Request)
	if r == nil || r.settled {
		s.claims(now, s.book.Release(now, g.Key, g.Request))
		return
	}
	r.claimed = true
	o := s.owned[r.Sub.Endpoint]
	if o == nil || !o.acting {
		fail := wick.NotRunf(wick.CodeNotOwner, "the lease on %s has ended", r.Sub.Endpoint)
		s.unclaim(now, r)
		r.refuse(fail)
		return
	}
	s.enqueue(now, o, r)
}

func (s *state) denied(d claim.Refused) {
	if r := s.waiting(d.Key, d.Request); r != nil {
		r.refuse(d.Err)
	}
}

// unclaim gives the claim of a run back that was never sent to its endpoint.
func (s *state) unclaim(now wick.Instant, r *Run) {
	if r.Sub.Call == nil || r.dispatched {
		return
	}
	if s.claiming[r.Sub.Call.Key] == r {
		delete(s.claiming, r.Sub.Call.Key)
		s.claims(now, s.book.Release(now, r.Sub.Call.Key, r.Sub.Request))
	}
	if r.claimed {
		r.claimed = false
		s.claims(now, s.book.Release(now, r.Sub.Call.Key, r.Sub.Request))
	}
}

// claimEnded notes on the log how a claimed call ended. One whose outcome is
// not known keeps its claim, so that it never runs again.
func (s *state) claimEnded(now wick.Instant, r *Run, res sched.Result) {
	if !r.claimed {
		return
	}
	r.claimed = false
	switch {
	case res.Err == nil:
		s.claims(now, s.book.Answered(now, r.Sub.Call.Key, r.Sub.Request))
	case res.Err.Outcome == wick.NotRun:
		s.claims(now, s.book.Release(now, r.Sub.Call.Key, r.Sub.Request))
	}
}
