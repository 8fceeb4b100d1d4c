// Package relay carries requests from a front end to the owners of endpoints:
// it resolves the route, picks an endpoint, hands the request to the owner,
// and goes on elsewhere when that breaks and may be repeated. It runs on
// traffic goroutines and reads control state only from snapshots.
package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
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
	// maxTries bounds how often one request may reach an endpoint.
	maxTries = 16
	// minPause and maxPause bound the wait before a pool without a usable
	// endpoint is tried again.
	minPause = 20 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// prefixBytes is how much of a prompt counts as its start.
	prefixBytes = 256
	// maxRequestBytes leaves room for the suffix of a try in a request's id.
	maxRequestBytes = 96
)

// Config sets up a Relay.
type Config struct {
	// Self is the host of this daemon.
	Self wick.HostName
	// Snapshot returns the newest control state.
	Snapshot func() *ctrl.Snapshot
	// Local runs requests for endpoints that this daemon owns.
	Local wick.PeerServer
	// Peers reaches the other owners.
	Peers wick.Peers
	// Quiet bounds the silence of an owner before a stream counts as broken;
	// it is a few times the owners' heartbeat.
	Quiet time.Duration
	// Retries bounds retries to a share of the requests.
	Retries wick.RetryBudget
	// Hedge sets up the hedger of each pool.
	Hedge limit.HedgeConfig
	// Seen takes a note of each completion.
	Seen func(wick.PoolName, wick.Ref)
	// Note counts what happens.
	Note wick.TrafficNote
}

// Relay implements wick.Front.
type Relay struct {
	cfg  Config
	load tally.Counts
	turn atomic.Uint64
	// hedgers holds a *tally.Hedges for each wick.PoolName.
	hedgers sync.Map
}

var _ wick.Front = (*Relay)(nil)

// New returns a Relay.
func New(cfg Config) *Relay {
	return &Relay{cfg: cfg}
}

// InFlight returns this daemon's own work by endpoint.
func (r *Relay) InFlight() wick.InFlight { return &r.load }

// Complete implements wick.Front.
func (r *Relay) Complete(ctx context.Context, ask wick.Ask, emit func(wick.Frame) error) error {
	t, fail := r.begin(ask)
	if fail != nil {
		return r.ended(nil, fail)
	}
	if fail := t.completion(ask); fail != nil {
		return r.ended(t, fail)
	}
	t.emit = emit
	r.cfg.Seen(t.resolved.Pool.Name, t.work.Ref)
	return r.ended(t, r.drive(ctx, t))
}

// Invoke implements wick.Front.
func (r *Relay) Invoke(ctx context.Context, ask wick.Ask) (wick.Reply, error) {
	t, fail := r.begin(ask)
	if fail != nil {
		return wick.Reply{}, r.ended(nil, fail)
	}
	if fail := t.call(ask); fail != nil {
		return wick.Reply{}, r.ended(t, fail)
	}
	t.emit = func(wick.Frame) error { return nil }
	if err := r.ended(t, r.drive(ctx, t)); err != nil {
		return wick.Reply{}, err
	}
	return wick.Reply{Status: t.end.Status, Body: t.end.Body}, nil
}

// Entries implements wick.Front.
func (r *Relay) Entries(near wick.Domain) wick.EntryList {
	return r.cfg.Snapshot().Entries(near, rand.IntN)
}

// begin resolves the route of a request.
func (r *Relay) begin(ask wick.Ask) (*task, *wick.Error) {
	if len(ask.Request) > maxRequestBytes {
		return nil, wick.NotRunf(wick.CodeBadRequest, "request id over %d bytes", maxRequestBytes)
	}
	snap := r.cfg.Snapshot()
	if fail := snap.Accepts(); fail != nil {
		return nil, fail
	}
	resolved, fail := snap.Config.Resolve(ask.Route)
	if fail != nil {
		return nil, fail
	}
	return newTask(ask, resolved, snap.Offset), nil
}

// drive hands the task to owners until one of them answers whole, nothing may
// be repeated any more, or the deadline has passed.
func (r *Relay) drive(ctx context.Context, t *task) *wick.Error {
	r.cfg.Retries.Earn()
	last := wick.NotRunf(wick.CodeNoEndpoint, "no endpoint of pool %s can take the request now", t.resolved.Pool.Name)
	wait := minPause
	for tries := 0; tries < maxTries && !t.expired(); {
		target, ok := r.pick(t)
		if !ok {
			t.avoid = t.avoid[:0]
			if !pause.For(ctx, wait/2+rand.N(wait)) {
				return canceled(last)
			}
			wait = min(2*wait, maxPause)
			continue
		}
		fail := r.tryAt(ctx, t, target)
		if fail == nil {
			return nil
		}
		last = t.note(fail)
		if !t.mayRepeat(last) || ctx.Err() != nil {
			return last
		}
		if t.costs(last) {
			tries++
			if !r.cfg.Retries.Spend() {
				return last
			}
		}
		t.avoid = append(t.avoid, target.Endpoint)
	}
	return last
}

// pick chooses an endpoint whose owner is known.
func (r *Relay) pick(t *task) (wick.Target, bool) {
	in := wick.RouteInput{
		Pool:     t.resolved.Pool.Name,
		Ref:      t.resolved.Route.Ref,
		Avoid:    t.avoid,
		Prefix:   t.prefix,
		Cost:     t.cost,
		Random:   rand.Uint64(),
		Turn:     r.turn.Add(1),
		InFlight: &r.load,
	}
	target, ok := r.cfg.Snapshot().Router.Pick(&in)
	return target, ok && target.Owner != ""
}

// try hands the task to the owner of one endpoint and passes its frames on.
func (r *Relay) try(ctx context.Context, t *task, a *attempt) *wick.Error {
	r.cfg.Note.Try()
	target := a.target
	r.load.Start(target.Index, t.cost)
	defer r.load.Done(target.Index, t.cost)
	sub := t.submission(a, r.cfg.Snapshot().View.Number)
	take := func(f wick.Frame) error { return t.take(a, f) }
	if target.Owner == r.cfg.Self {
		return t.failure(r.cfg.Local.HandleSubmit(ctx, r.cfg.Self, sub, take))
	}
	s, err := r.cfg.Peers.Submit(ctx, target.Peer, sub)
	if err != nil {
		return t.failure(err)
	}
	defer func() { _ = s.Close() }()
	return t.failure(r.pump(ctx, s, take))
}

// pump passes frames on until the end. It judges the owner by what arrives,
// not by the connection being open.
func (r *Relay) pump(ctx context.Context, s wick.Stream, take func(wick.Frame) error) error {
	for {
		next, cancel := context.WithTimeout(ctx, r.cfg.Quiet)
		f, err := s.Next(next)
		cancel()
		if err != nil {
			return fmt.Errorf("read frame: %w", err)
		}
		if f.Kind == wick.FrameFail {
			return f.Fail
		}
		if err := take(f); err != nil {
			return fmt.Errorf("take frame: %w", err)
		}
		if f.Kind == wick.FrameEnd {
			return nil
		}
	}
}

// ended counts the end of a task and returns its failure, if any.
func (r *Relay) ended(t *task, fail *wick.Error) error {
	if fail == nil {
		r.cfg.Note.Ended("", t.firstAfter, time.Since(t.started))
		return nil
	}
	r.cfg.Note.Ended(fail.Code, 0, 0)
	if t == nil {
		return fail
	}
	return t.verdict(fail)
}

func canceled(last *wick.Error) *wick.Error {
	if last != nil && last.Outcome == wick.Unknown {
		return last
	}
	return wick.NotRunf(wick.CodeCanceled, "caller went away")
}

func fingerprint(route wick.RouteName, body string) wick.Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(string(route)) // It never fails.
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(body)
	return wick.Fingerprint(d.Sum64())
}
