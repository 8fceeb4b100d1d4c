// Package relay forwards requests from a front end to the owners of endpoints:
// it resolves the route, picks an endpoint, hands the request to its owner, and
// retries on another endpoint after a failure where that is allowed. It runs on
// traffic goroutines and reads control state only from snapshots.
package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"currantwick"
	"currantwick/ctrl"
	"currantwick/limit"
	"currantwick/pause"
	"currantwick/tally"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAttempts bounds the failed attempts of one request that count against
	// the retry budget, see usesBudget.
	maxAttempts = 16
	// minBackoff and maxBackoff bound the wait before a pool without a usable
	// endpoint is checked again.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// prefixBytes is the length of the prompt prefix that routing uses.
	prefixBytes = 256
	// maxRequestBytes bounds request ids, leaving space for an attempt's suffix.
	maxRequestBytes = 96
)

// Config configures a Relay.
type Config struct {
	// Self is the host of this daemon.
	Self wick.HostName
	// Snapshot returns the newest control state.
	Snapshot func() *ctrl.Snapshot
	// Local runs requests for endpoints that this daemon owns.
	Local wick.PeerServer
	// Peers connects to the other owners.
	Peers wick.Peers
	// FrameTimeout is the time without a frame from an owner after which a stream
	// counts as broken; it is a few times the owners' heartbeat interval.
	FrameTimeout time.Duration
	// Retries decides whether a failed request may be retried.
	Retries wick.RetryBudget
	// Hedge configures the hedger of each pool.
	Hedge limit.HedgeConfig
	// OnRequest is called before each completion request is run, to record its
	// pool and adapter.
	OnRequest func(wick.PoolName, wick.Ref)
	// Observer counts requests, attempts, resumes and hedges.
	Observer wick.TrafficObserver
}

// Relay implements wick.Front.
type Relay struct {
	cfg  Config
	load tally.Counts
	turn atomic.Uint64
	// hedgers has a hedger for each pool.
	hedgers *tally.Hedgers[wick.PoolName]
}

var _ wick.Front = (*Relay)(nil)

// New returns a Relay.
func New(cfg Config) *Relay {
	r := &Relay{cfg: cfg}
	r.hedgers = tally.NewHedgers(r.newHedger)
	return r
}

// InFlight returns the work in flight from this daemon, by endpoint.
func (r *Relay) InFlight() wick.InFlight { return &r.load }

// Complete implements wick.Front.
func (r *Relay) Complete(ctx context.Context, req wick.CallerRequest, emit func(wick.Frame) error) error {
	t, fail := r.resolveTask(req)
	if fail != nil {
		return r.finish(nil, fail)
	}
	if fail := t.prepareCompletion(req); fail != nil {
		return r.finish(t, fail)
	}
	t.emit = emit
	r.cfg.OnRequest(t.resolved.Pool.Name, t.work.Ref)
	return r.finish(t, r.run(ctx, t))
}

// Invoke implements wick.Front.
func (r *Relay) Invoke(ctx context.Context, req wick.CallerRequest) (wick.Reply, error) {
	t, fail := r.resolveTask(req)
	if fail != nil {
		return wick.Reply{}, r.finish(nil, fail)
	}
	if fail := t.prepareCall(req); fail != nil {
		return wick.Reply{}, r.finish(t, fail)
	}
	t.emit = func(wick.Frame) error { return nil }
	if err := r.finish(t, r.run(ctx, t)); err != nil {
		return wick.Reply{}, err
	}
	return wick.Reply{Status: t.end.Status, Body: t.end.Body}, nil
}

// EntryPoints implements wick.Front.
func (r *Relay) EntryPoints(near wick.Domain) wick.EntryList {
	return r.cfg.Snapshot().Entries(near, rand.IntN)
}

// resolveTask resolves the route of a request and returns its task.
func (r *Relay) resolveTask(req wick.CallerRequest) (*task, *wick.Error) {
	if len(req.Request) > maxRequestBytes {
		return nil, wick.NotRunf(wick.CodeBadRequest, "request id over %d bytes", maxRequestBytes)
	}
	snap := r.cfg.Snapshot()
	if fail := snap.CheckAccepting(); fail != nil {
		return nil, fail
	}
	resolved, fail := snap.Config.Resolve(req.Route)
	if fail != nil {
		return nil, fail
	}
	return newTask(req, resolved, snap.Offset), nil
}

// run hands the task to owners until one of them has completed it, no retry is
// allowed, or the deadline has passed.
func (r *Relay) run(ctx context.Context, t *task) *wick.Error {
	r.cfg.Retries.Earn()
	last := wick.NotRunf(wick.CodeNoEndpoint, "no endpoint of pool %s can take the request now", t.resolved.Pool.Name)
	backoff := minBackoff
	for attempts := 0; attempts < maxAttempts && !t.expired(); {
		target, ok := r.pick(t)
		if !ok {
			t.avoid = t.avoid[:0]
			if !pause.For(ctx, backoff/2+rand.N(backoff)) {
				return canceled(last)
			}
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		fail := r.tryTarget(ctx, t, target)
		if fail == nil {
			return nil
		}
		last = t.recordFailure(fail)
		if !t.mayRetry(last) || ctx.Err() != nil {
			return last
		}
		if t.usesBudget(last) {
			attempts++
			if !r.cfg.Retries.Spend() {
				return last
			}
		}
		t.avoid = append(t.avoid, target.Endpoint)
	}
	return last
}

// pick picks an endpoint whose owner is known.
func (r *Relay) pick(t *task) (wick.Target, bool) {
	in := wick.RouteInput{
		Pool:          t.resolved.Pool.Name,
		Ref:           t.resolved.Route.Ref,
		Avoid:         t.avoid,
		Prefix:        t.prefix,
		Cost:          t.cost,
		Random:        rand.Uint64(),
		RequestNumber: r.turn.Add(1),
		InFlight:      &r.load,
	}
	target, ok := r.cfg.Snapshot().Router.Pick(&in)
	return target, ok && target.Owner != ""
}

// runAttempt hands the task to the owner of one endpoint and forwards its frames.
func (r *Relay) runAttempt(ctx context.Context, t *task, a *attempt) *wick.Error {
	r.cfg.Observer.AttemptStarted()
	target := a.target
	r.load.Start(target.Index, t.cost)
	defer r.load.Done(target.Index, t.cost)
	sub := t.submission(a, r.cfg.Snapshot().View.Number)
	forward := func(f wick.Frame) error { return t.forward(a, f) }
	if target.Owner == r.cfg.Self {
		return t.attemptFailure(r.cfg.Local.HandleSubmit(ctx, r.cfg.Self, sub, forward))
	}
	s, err := r.cfg.Peers.Submit(ctx, target.Peer, sub)
	if err != nil {
		return t.attemptFailure(err)
	}
	defer func() { _ = s.Close() }()
	return t.attemptFailure(r.forwardStream(ctx, s, forward))
}

// forwardStream forwards frames until the end of the stream. The owner counts as
// alive while frames arrive; an open connection is not enough.
func (r *Relay) forwardStream(ctx context.Context, s wick.FrameStream, forward func(wick.Frame) error) error {
	for {
		next, cancel := context.WithTimeout(ctx, r.cfg.FrameTimeout)
		f, err := s.Next(next)
		cancel()
		if err != nil {
			return fmt.Errorf("read frame: %w", err)
		}
		if f.Kind == wick.FrameFail {
			return f.Fail
		}
		if err := forward(f); err != nil {
			return fmt.Errorf("forward frame: %w", err)
		}
		if f.Kind == wick.FrameEnd {
			return nil
		}
	}
}

// finish counts the end of a task and returns its failure, if any.
func (r *Relay) finish(t *task, fail *wick.Error) error {
	if fail == nil {
		r.cfg.Observer.RequestFinished("", t.firstTokenAfter, time.Since(t.started))
		return nil
	}
	r.cfg.Observer.RequestFinished(fail.Code, 0, 0)
	if t == nil {
		return fail
	}
	return t.taskFailure(fail)
}

// canceled returns the error of a task whose caller has disconnected: last if an
// endpoint may have run the task, else CodeCanceled.
func canceled(last *wick.Error) *wick.Error {
	if last != nil && last.Outcome == wick.Unknown {
		return last
	}
	return wick.NotRunf(wick.CodeCanceled, "caller went away")
}

func fingerprintOf(route wick.RouteName, body string) wick.Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(string(route)) // Never fails.
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(body)
	return wick.Fingerprint(d.Sum64())
}
