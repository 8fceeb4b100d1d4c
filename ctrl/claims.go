package ctrl

import (
	"currantwick"
	"currantwick/claim"
	"currantwick/lease"
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
		case claim.Released:
			s.released(a)
		}
	}
}

// claim asks for the claim on the key of a non-idempotent call. The call is
// queued only once the claim was read back from the log.
func (s *state) claim(now wick.Instant, r *Run) {
	s.claiming[r.Sub.Request] = r
	s.claims(now, s.book.Want(now, wick.Claim{
		Key:     r.Sub.Call.Key,
		Request: r.Sub.Request,
		Print:   r.Sub.Print,
	}))
}

func (s *state) granted(now wick.Instant, g claim.Granted) {
	r := s.claiming[g.Request]
	delete(s.claiming, g.Request)
	if r == nil || r.settled {
		s.claims(now, s.book.Release(now, g.Key, g.Request))
		return
	}
	r.claimed, r.claimUntil = true, g.Until
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
	r := s.claiming[d.Request]
	delete(s.claiming, d.Request)
	if r != nil {
		r.refuse(d.Err)
	}
}

// release gives the claim of a run back. Whoever waits for the run's end is told
// when the release stands on the log.
func (s *state) release(now wick.Instant, r *Run) {
	r.releasing = true
	s.releasing[r.Sub.Request] = r
	s.claims(now, s.book.Release(now, r.Sub.Call.Key, r.Sub.Request))
}

func (s *state) released(a claim.Released) {
	if r := s.releasing[a.Request]; r != nil {
		delete(s.releasing, a.Request)
		r.free()
	}
}

// unclaim gives up the claim, or the wait for it, of a run that is never sent
// to its endpoint.
func (s *state) unclaim(now wick.Instant, r *Run) {
	waits := s.claiming[r.Sub.Request] == r
	if !waits && !r.claimed || r.dispatched {
		return
	}
	delete(s.claiming, r.Sub.Request)
	r.claimed = false
	if waits {
		s.claims(now, s.book.Release(now, r.Sub.Call.Key, r.Sub.Request))
		return
	}
	s.release(now, r)
}

// claimEnded notes on the log how a claimed call ended. One whose outcome is
// not known keeps its claim, so that it never runs again.
func (s *state) claimEnded(now wick.Instant, r *Run, res sched.Result) {
	if !r.claimed {
		return
	}
	r.claimed = false
	key, request := r.Sub.Call.Key, r.Sub.Request
	switch {
	case res.Err == nil:
		s.claims(now, s.book.Answered(now, key, request))
	case res.Err.Outcome == wick.NotRun:
		s.release(now, r)
	default:
		s.book.Lost(key, request)
	}
}

// ownsClaims reports whether this daemon writes the checkpoints of the claims.
func (s *state) ownsClaims() bool {
	m, ok := s.keeper.Owner(lease.ClaimsKey)
	return ok && m.Host == s.cfg.Lease.Self.Host
}
