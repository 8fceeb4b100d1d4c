package ctrl

import (
	"currantwick"
	"currantwick/claim"
	"currantwick/lease"
	"currantwick/sched"
)

// applyClaimActions carries out the actions of the claim tracker.
func (s *state) applyClaimActions(now wick.Instant, actions []claim.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Append:
			s.out.Append(wick.ClaimStream, a.Record)
		case claim.Granted:
			s.claimGranted(now, a)
		case claim.Refused:
			s.claimRefused(a)
		case claim.Released:
			s.claimReleased(a)
		}
	}
}

// requestClaim requests the claim on the key of a non-idempotent call. The call
// is queued only once the claim has been read back from the log.
func (s *state) requestClaim(now wick.Instant, r *Run) {
	s.claiming[r.Sub.Request] = r
	s.applyClaimActions(now, s.tracker.Acquire(now, wick.Claim{
		Key:         r.Sub.Call.Key,
		Request:     r.Sub.Request,
		Fingerprint: r.Sub.Fingerprint,
	}))
}

func (s *state) claimGranted(now wick.Instant, g claim.Granted) {
	r := s.claiming[g.Request]
	delete(s.claiming, g.Request)
	if r == nil || r.isDecided {
		s.applyClaimActions(now, s.tracker.Release(now, g.Key, g.Request))
		return
	}
	r.claimed, r.claimUntil = true, g.Until
	o := s.owned[r.Sub.Endpoint]
	if o == nil || !o.acting {
		fail := wick.NotRunf(wick.CodeNotOwner, "the lease on %s has ended", r.Sub.Endpoint)
		s.abandonClaim(now, r)
		r.refuse(fail)
		return
	}
	s.enqueue(now, o, r)
}

func (s *state) claimRefused(d claim.Refused) {
	r := s.claiming[d.Request]
	delete(s.claiming, d.Request)
	if r != nil {
		r.refuse(d.Err)
	}
}

// releaseClaim releases the claim of a run. The run may be retried once the
// release is on the log.
func (s *state) releaseClaim(now wick.Instant, r *Run) {
	r.releasing = true
	s.releasing[r.Sub.Request] = r
	s.applyClaimActions(now, s.tracker.Release(now, r.Sub.Call.Key, r.Sub.Request))
}

func (s *state) claimReleased(a claim.Released) {
	if r := s.releasing[a.Request]; r != nil {
		delete(s.releasing, a.Request)
		r.releasing = false
		r.allowRetry()
	}
}

// abandonClaim releases the claim, or withdraws the pending request for it, of
// a run that is never sent to its endpoint.
func (s *state) abandonClaim(now wick.Instant, r *Run) {
	waits := s.claiming[r.Sub.Request] == r
	if !waits && !r.claimed || r.dispatched {
		return
	}
	delete(s.claiming, r.Sub.Request)
	r.claimed = false
	if waits {
		s.applyClaimActions(now, s.tracker.Release(now, r.Sub.Call.Key, r.Sub.Request))
		return
	}
	s.releaseClaim(now, r)
}

// finishClaim records on the log how a claimed call ended. A call whose outcome
// is unknown keeps its claim, so that it never runs again.
func (s *state) finishClaim(now wick.Instant, r *Run, res sched.Result) {
	if !r.claimed {
		return
	}
	r.claimed = false
	key, request := r.Sub.Call.Key, r.Sub.Request
	switch {
	case res.Err == nil:
		s.applyClaimActions(now, s.tracker.MarkAnswered(now, key, request))
	case res.Err.Outcome == wick.NotRun:
		s.releaseClaim(now, r)
	default:
		s.tracker.MarkLost(key, request)
	}
}

// ownsClaims reports whether this daemon writes the claim checkpoints.
func (s *state) ownsClaims() bool {
	m, ok := s.keeper.Owner(lease.ClaimsKey)
	return ok && m.Host == s.cfg.Lease.Self.Host
}
