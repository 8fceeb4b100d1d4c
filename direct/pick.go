package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"currantwick"
	"currantwick/choose"
	"currantwick/coord"
)

const (
	// requestInterval is how often a waiting request asks for its adapter
	// again.
	requestInterval = 400 * time.Millisecond
	// loadStartTimeout is how long a request waits for an endpoint to start
	// loading before it picks another one.
	loadStartTimeout = 1500 * time.Millisecond
	// minFirstWait, objectiveFactor and gapFactor determine how long a
	// caller waits for the first event of a stream: the maximum of a fixed time
	// and of multiples of the route's objective and of its gap target.
	minFirstWait    = 2 * time.Second
	objectiveFactor = 4
	gapFactor       = 8
	// firstWaitPart is the part of that time within which the first event must
	// be expected.
	firstWaitPart = 0.85
)

// target is a picked endpoint.
type target struct {
	runner   *coord.Runner
	revision wick.Revision
	// ready is the expected end of the adapter's load.
	ready wick.Instant
}

// pick returns an endpoint that can serve the request now. It waits for the
// adapter to load if necessary.
func (t *task) pick(ctx context.Context) (target, error) {
	s := t.server
	var chosen wick.EndpointName
	var since, requested wick.Instant
	for {
		v, now := s.cfg.Control.View(), s.cfg.Clock.Now()
		r := t.findEndpoint(v, now, chosen)
		if r == nil {
			if err := t.waitForPause(ctx, v, now); err != nil {
				return target{}, err
			}
			chosen = ""
			continue
		}
		if late := t.lateBy(now, r.Name != chosen); late > 0 {
			return target{}, t.refuse(wick.CodeOverload, "the answer would begin %d ms too late", late.Milliseconds())
		}
		if r.Name != chosen {
			chosen, since, requested = r.Name, now, now.Add(-requestInterval)
			t.last = chosen
		}
		res, holds := t.residence(v, r, now)
		if holds && now >= res.Ready {
			if res.Revision < v.Newest[t.weights].Number {
				t.requestNewest(v, now)
			}
			return target{r, res.Revision, res.Ready}, nil
		}
		if !holds && now.Sub(requested) >= requestInterval {
			requested = now
			s.cfg.Control.RequestAdapter(wick.AdapterRequest{Endpoint: r.Name, Weights: t.weights, Revision: v.Newest[t.weights].Number})
		}
		wait := requestInterval
		if holds {
			wait = res.Ready.Sub(now)
		} else if now.Sub(since) > loadStartTimeout {
			t.avoid[chosen], chosen = true, ""
		}
		if err := t.wait(ctx, v, now, wait); err != nil {
			return target{}, err
		}
	}
}

// lateBy returns by how much the first event of a stream exceeds firstWaitPart
// of the time that the caller is assumed to wait for it; the request is too late
// if the result is positive. fresh is set if the estimate was made by a pick just
// now; it is then added to the time that has already passed.
func (t *task) lateBy(now wick.Instant, fresh bool) time.Duration {
	if t.route.Kind != wick.KindStream || t.started {
		return 0
	}
	begins := now.Sub(t.start)
	if fresh {
		begins += t.estimate
	}
	return begins - t.latestBegin()
}

// latestBegin returns by when, counted from the request, its first event must be expected.
func (t *task) latestBegin() time.Duration {
	return time.Duration(float64(t.patience()) * firstWaitPart)
}

// patience is how long the caller of a stream waits for its next event.
func (t *task) patience() time.Duration {
	return max(minFirstWait, objectiveFactor*t.route.Objective.Std(), gapFactor*t.route.GapTarget.Std())
}

// wait waits for d, for a newer view, or for the end of the request.
func (t *task) wait(ctx context.Context, v *coord.View, now wick.Instant, d time.Duration) error {
	if t.remaining() < minRemaining {
		return t.refuse(wick.CodeOverload, "adapter %v was not loaded in time", t.weights)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return t.contextError(ctx, errors.New("waiting for the adapter"))
	case <-v.Changed():
	case <-timer.C:
	}
	t.waited += t.server.cfg.Clock.Now().Sub(now)
	return nil
}

// residence returns the state of the request's adapter on an endpoint, and
// whether the endpoint has loaded or is loading a version that may still be used.
func (t *task) residence(v *coord.View, r *coord.Runner, now wick.Instant) (coord.Residence, bool) {
	if t.weights.Model == "" {
		return coord.Residence{}, true
	}
	res, ok := r.Adapters[t.weights]
	if _, base := r.Adapters[t.weights.Base()]; !ok || !base {
		return res, false
	}
	if t.weights.Adapter == "" {
		return res, true
	}
	newest := v.Newest[t.weights]
	if res.Revision >= newest.Number {
		return res, true
	}
	// A request may queue at the endpoint before it starts, so the older
	// version is no longer used once a third of RevisionDeadline has passed.
	return res, !t.newestReady && now.Sub(newest.ReceivedAt) <= t.server.cfg.Bounds.RevisionDeadline.Std()/3
}

// canHold reports whether an endpoint can hold the request's adapter and model beside
// the models that it has loaded.
func (t *task) canHold(v *coord.View, r *coord.Runner) bool {
	e := v.ServingConfig.Pools[t.pool].Engine
	if e == nil {
		return true
	}
	return e.CanHold(func(yield func(wick.ModelName) bool) {
		for _, m := range e.Models {
			if _, loaded := r.Adapters[wick.Weights{Model: m.Name}]; loaded && !yield(m.Name) {
				return
			}
		}
	}, t.weights)
}

// canServe reports whether an endpoint has the request's adapter or could load it.
func (t *task) canServe(v *coord.View, r *coord.Runner, now wick.Instant) bool {
	_, holds := t.residence(v, r, now)
	return holds || r.OrdersActive && t.canHold(v, r)
}

// findEndpoint returns the endpoint chosen before if it is still usable, or else
// picks one and updates the estimate; nil if there is none. It also updates
// newestReady.
func (t *task) findEndpoint(v *coord.View, now wick.Instant, chosen wick.EndpointName) *coord.Runner {
	s, list := t.server.cfg.Pauses, v.Pools[t.pool]
	t.newestReady = t.isNewestReady(v, now)
	for _, r := range list {
		if r.Name == chosen && s.Until(now, startOf(r)) == 0 {
			if t.canServe(v, r, now) {
				return r
			}
		}
	}
	if len(list) == 0 {
		return nil
	}
	cands := t.candidates(v, now, list)
	paused := t.avoidPaused(now, list, cands, rand.Float64())
	closed := t.avoidClosed(now, list, cands)
	i := t.choose(v, now, cands)
	if i < 0 && closed {
		cands = t.candidates(v, now, list)
		paused = t.avoidPaused(now, list, cands, rand.Float64())
		i = t.choose(v, now, cands)
	}
	if i < 0 && paused {
		// An endpoint whose pause has ended is better than none.
		cands = t.candidates(v, now, list)
		t.avoidPaused(now, list, cands, 0)
		i = t.choose(v, now, cands)
	}
	if i < 0 {
		return nil
	}
	return list[i]
}

// choose returns the index of the best candidate and updates the estimate; -1 if
// there is none.
func (t *task) choose(v *coord.View, now wick.Instant, cands []choose.Candidate) int {
	in := t.input(v, now)
	if v.ServingConfig.Pools[t.pool].Engine == nil {
		return choose.PickService(in, cands)
	}
	i, estimate := choose.PickEngine(in, cands)
	t.estimate = estimate
	return i
}

// input describes the request to package choose.
func (t *task) input(v *coord.View, now wick.Instant) choose.Input {
	return choose.Input{
		Adapter:      t.weights,
		Prompt:       t.exchange.PromptTokens,
		Domain:       t.server.cfg.Domain,
		LoadSlowdown: v.LoadSlowdown,
		PrefillRate:  t.server.prefillRates.average(t.pool),
		Daemons:      v.Daemons,
		Random:       rand.Uint64(),
		Trial:        t.onTrial(),
	}
}

// candidates describes the endpoints of a pool to package choose.
func (t *task) candidates(v *coord.View, now wick.Instant, list []*coord.Runner) []choose.Candidate {
	cands := make([]choose.Candidate, len(list))
	for i, r := range list {
		m := r.Meter.Read(now)
		res, holds := t.residence(v, r, now)
		_, base := r.Adapters[t.weights.Base()]
		_, there := r.Adapters[t.weights]
		cands[i] = choose.Candidate{
			Name:            r.Name,
			Domain:          r.Domain,
			Slots:           r.Slots,
			Running:         r.OtherLoad.Running + m.Running,
			Waiting:         r.OtherLoad.Waiting + m.Waiting,
			CachedTokens:    r.Meter.CachedTokens(t.sharedPrefixes),
			Lag:             max(m.Lag, r.OtherLoad.Lag.Std()),
			FailedShare:     max(m.FailedShare, r.OtherLoad.FailedShare),
			Work:            m.Work,
			Avoid:           t.avoid[r.Name] || !holds && !t.canHold(v, r),
			HasAdapter:      holds,
			ReadyIn:         res.Ready.Sub(now),
			BaseLoaded:      base,
			OlderVersion:    there && !holds,
			FreeSlots:       r.OtherLoad.Free,
			PendingAdapters: r.OtherLoad.PendingAdapters,
			Cached:          r.Cached[t.weights],
			OrdersActive:    r.OrdersActive,
		}
	}
	return cands
}
