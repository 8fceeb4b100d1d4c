package node

import (
	"context"
	"errors"
	"time"

	"currantwick"
	"currantwick/ctrl"

	"golang.org/x/sync/errgroup"
)

const (
	// callTimeout bounds a control call between daemons and a read of the list of
	// hosts.
	callTimeout = time.Second
	// fetchTimeout bounds a fetch, whose answer may be large.
	fetchTimeout = 5 * time.Second
	// reportTimeout bounds the read of an engine's report.
	reportTimeout = time.Second
)

// controlIO implements wick.ControlIO. Each method starts a goroutine of the
// daemon's group and returns.
type controlIO struct {
	n     *Node
	ctx   context.Context
	group *errgroup.Group
}

var _ wick.ControlIO = (*controlIO)(nil)

// start runs f in a goroutine with a timeout.
func (o *controlIO) start(timeout time.Duration, f func(context.Context)) {
	o.group.Go(func() error {
		ctx, cancel := context.WithTimeout(o.ctx, timeout)
		defer cancel()
		f(ctx)
		return nil
	})
}

// SendRenewal implements wick.ControlIO.
func (o *controlIO) SendRenewal(to wick.Member, r wick.Renewal) {
	sent := o.n.clock.Now()
	o.start(callTimeout, func(ctx context.Context) {
		answer, err := o.n.client.Call(ctx, to.Peer, wick.PeerMessage{Renewal: &r})
		if err != nil || answer.RenewalAck == nil {
			return
		}
		o.n.thread.Post(ctrl.RenewalAcked{Sent: sent, From: to.Peer, Ack: *answer.RenewalAck})
	})
}

// Append implements wick.ControlIO.
func (o *controlIO) Append(stream wick.StreamName, rec wick.Record) {
	o.start(o.n.cfg.Timeouts.Append, func(ctx context.Context) {
		_, err := o.n.cfg.Log.Append(ctx, stream, rec)
		o.n.thread.Post(ctrl.Appended{Stream: stream, Record: rec, Err: err})
	})
}

// Fetch implements wick.ControlIO.
func (o *controlIO) Fetch(to wick.Address, f wick.Fetch) {
	o.start(fetchTimeout, func(ctx context.Context) {
		answer, err := o.n.client.Call(ctx, to, wick.PeerMessage{Fetch: &f})
		if err == nil && answer.Fetched == nil {
			err = errors.New("unexpected kind of answer")
		}
		if err != nil {
			o.n.thread.Post(ctrl.FetchDone{Err: err})
			return
		}
		o.n.thread.Post(ctrl.FetchDone{Fetched: *answer.Fetched})
	})
}

// Order implements wick.ControlIO.
func (o *controlIO) Order(e wick.Endpoint, ord wick.Order, until wick.Instant) {
	o.start(o.n.cfg.Timeouts.Order, func(ctx context.Context) {
		done := ctrl.OrderDone{Endpoint: e.Name, Order: ord}
		if o.n.clock.Now() >= until {
			done.Err = wick.NotRunf(wick.CodeNotOwner, "the lease on %s has ended", e.Name)
		} else if err := o.n.cfg.Engine.Do(ctx, e.Address, ord); err != nil {
			done.Err = wick.AsError(err)
		}
		o.n.thread.Post(done)
	})
}

// ReadReport implements wick.ControlIO.
func (o *controlIO) ReadReport(e wick.Endpoint) {
	sent := o.n.clock.Now()
	o.start(reportTimeout, func(ctx context.Context) {
		rep, err := o.n.cfg.Engine.Report(ctx, e.Address)
		o.n.thread.Post(ctrl.ReportRead{Endpoint: e.Name, Sent: sent, Report: rep, Err: err})
	})
}

// RequestLoads implements wick.ControlIO.
func (o *controlIO) RequestLoads(to wick.Member, g wick.Grant) {
	o.start(callTimeout, func(ctx context.Context) {
		answer, err := o.n.client.Call(ctx, to.Peer, wick.PeerMessage{Grant: &g})
		if err == nil && answer.Grant == nil {
			err = errors.New("unexpected kind of answer")
		}
		if err != nil {
			o.n.thread.Post(ctrl.LoadsGranted{Grant: g, Err: err})
			return
		}
		o.n.thread.Post(ctrl.LoadsGranted{Grant: *answer.Grant})
	})
}

// SendSuspects implements wick.ControlIO.
func (o *controlIO) SendSuspects(to []wick.Member, crash wick.Sequence, list []wick.Suspect) {
	o.start(callTimeout, func(ctx context.Context) {
		var calls errgroup.Group
		for _, m := range to {
			calls.Go(func() error {
				// An error is ignored: a peer that misses the message receives the
				// suspect at the next crash.
				_, _ = o.n.client.Call(ctx, m.Peer, wick.PeerMessage{Suspects: list})
				return nil
			})
		}
		_ = calls.Wait()
		o.n.thread.Post(ctrl.SuspectsSent{Crash: crash})
	})
}
