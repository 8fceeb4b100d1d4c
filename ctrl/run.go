package ctrl

import (
	"context"
	"sync/atomic"

	"currantwick"
)

// Decision is the control thread's decision on a run.
type Decision struct {
	// Fail is set if the request must not be sent to the endpoint.
	Fail *wick.Error
	// Endpoint is where to send the request otherwise.
	Endpoint wick.Endpoint
	// Until is the instant before which the request must be sent.
	Until wick.Instant

	// Boot identifies the engine's last reported start; empty if unknown.
	Boot string

	view wick.ViewNumber
	gate *gate
}

// MaySend reports whether the request may still be sent. It must be called
// immediately before sending.
func (d Decision) MaySend(now wick.Instant) bool {
	return now < d.Until && d.gate.allows(d.view)
}

// Run is a request at the owner of its endpoint, unlike wick.Run, which is a
// run of a daemon. The control thread decides on it exactly once.
type Run struct {
	// Sub is immutable after NewRun.
	Sub wick.Submission
	// stop cancels the context in which the endpoint runs the request.
	stop    context.CancelFunc
	decided chan Decision
	// cause is why the control thread stopped the run; nil if it did not.
	cause atomic.Pointer[wick.Error]
	// retryable closes when nothing blocks a retry any more: neither a claim of
	// the run nor the report of a crash with the run in flight.
	retryable chan struct{}

	// The fields below belong to the control thread.

	// isDecided is set once a decision was sent.
	isDecided bool
	// dispatched is set if the decision was to send the request.
	dispatched bool
	// claimed is set while the daemon holds the claim on the run's key.
	claimed bool
	// releasing is set once the release of the claim was requested, isRetryable
	// once retryable is closed.
	releasing   bool
	isRetryable bool
	// claimUntil is the instant before which a claimed run must be sent.
	claimUntil wick.Instant
	// dispatchedAt is when the decision to send was made.
	dispatchedAt wick.Instant
	// lastProgress is when progress or a stall of the run was last recorded; 0
	// before its first token.
	lastProgress wick.Instant
	// crashCounted is set once a crash with the run in flight was recorded, and
	// reporting while other daemons are told of it.
	crashCounted bool
	reporting    bool
	// parked is when the run began to wait for the configuration.
	parked wick.Instant
}

// NewRun returns a run and the context in which the endpoint must run it.
func NewRun(ctx context.Context, sub wick.Submission) (*Run, context.Context) {
	ctx, stop := context.WithCancel(ctx)
	return &Run{Sub: sub, stop: stop, decided: make(chan Decision, 1), retryable: make(chan struct{})}, ctx
}

// Decided returns the channel on which the decision is delivered, exactly once.
func (r *Run) Decided() <-chan Decision { return r.decided }

// Retryable returns a channel that closes when neither a claim of the run nor the
// report of a crash blocks a retry any more.
func (r *Run) Retryable() <-chan struct{} { return r.retryable }

// allowRetry closes retryable unless something still blocks a retry.
func (r *Run) allowRetry() {
	if !r.isRetryable && !r.releasing && !r.reporting {
		r.isRetryable = true
		close(r.retryable)
	}
}

// Cause returns why the control thread stopped the run, or nil.
func (r *Run) Cause() *wick.Error { return r.cause.Load() }

// Close releases the resources of the run. It must be called when the run has
// ended.
func (r *Run) Close() { r.stop() }

// abort stops a run that was sent or is about to be sent.
func (r *Run) abort(cause *wick.Error) {
	r.cause.Store(cause)
	r.stop()
}

func (r *Run) decide(d Decision) {
	if r.isDecided {
		return
	}
	r.isDecided = true
	r.dispatched = d.Fail == nil
	if !r.dispatched {
		r.allowRetry()
	}
	r.decided <- d
}

func (r *Run) refuse(fail *wick.Error) { r.decide(Decision{Fail: fail}) }
