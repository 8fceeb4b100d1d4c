package ctrl

import (
	"context"
	"sync/atomic"

	"currantwick"
)

// Decision is what the control thread decided on a run.
type Decision struct {
	// Fail is set if the request must not be sent to the endpoint.
	Fail *wick.Error
	// Endpoint is where to send the request otherwise.
	Endpoint wick.Endpoint
	// Until is the instant before which it must be sent.
	Until wick.Instant

	// Boot is the engine's start as last reported; empty if not known.
	Boot string

	view wick.ViewNumber
	gate *gate
}

// Open reports whether the request may still be sent. It must be asked
// immediately before the sending.
func (d Decision) Open(now wick.Instant) bool {
	return now < d.Until && d.gate.open(d.view)
}

// Run is a request at the owner of its endpoint. The control thread decides on
// it once.
type Run struct {
	// Sub never changes after NewRun.
	Sub wick.Submission
	// stop ends the context in which the endpoint runs the request.
	stop    context.CancelFunc
	decided chan Decision
	// cause is why the control thread stopped the run; nil if it did not.
	cause atomic.Pointer[wick.Error]
	// freed closes when no claim of the run is in the way of another try.
	freed chan struct{}

	// The fields below belong to the control thread.

	// settled tells that a decision was sent.
	settled bool
	// dispatched tells that the decision was to send the request.
	dispatched bool
	// claimed tells that the daemon holds the claim on the run's key.
	claimed bool
	// releasing tells that the claim is being given back, isFreed that freed
	// was closed.
	releasing bool
	isFreed   bool
	// claimUntil is the instant before which a claimed run must be sent.
	claimUntil wick.Instant
	// sent is when the decision to send was made.
	sent wick.Instant
	// paced is when the run's progress was last noted; 0 before its first
	// token.
	paced wick.Instant
	// counted tells that a crash with the run in flight was noted.
	counted bool
	// parked is when the run began to wait for the configuration.
	parked wick.Instant
}

// NewRun returns a run and the context in which the endpoint must run it.
func NewRun(ctx context.Context, sub wick.Submission) (*Run, context.Context) {
	ctx, stop := context.WithCancel(ctx)
	return &Run{Sub: sub, stop: stop, decided: make(chan Decision, 1), freed: make(chan struct{})}, ctx
}

// Decided returns the channel on which the decision comes, exactly once.
func (r *Run) Decided() <-chan Decision { return r.decided }

// Freed returns a channel that closes when no claim of the run is in the way of
// another try any more.
func (r *Run) Freed() <-chan struct{} { return r.freed }

func (r *Run) free() {
	if !r.isFreed {
		r.isFreed = true
		close(r.freed)
	}
}

// Cause returns why the control thread stopped the run, or nil.
func (r *Run) Cause() *wick.Error { return r.cause.Load() }

// Close frees what the run holds. It must be called when the run has ended.
func (r *Run) Close() { r.stop() }

// abort stops a run that was sent, or is about to be.
func (r *Run) abort(cause *wick.Error) {
	r.cause.Store(cause)
	r.stop()
}

func (r *Run) settle(d Decision) {
	if r.settled {
		return
	}
	r.settled = true
	r.dispatched = d.Fail == nil
	if !r.dispatched && !r.releasing {
		r.free()
	}
	r.decided <- d
}

func (r *Run) refuse(fail *wick.Error) { r.settle(Decision{Fail: fail}) }
