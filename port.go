package wick

import "context"

// Log is the platform's append-only log. Implementations are safe for
// concurrent use.
type Log interface {
	// Append appends a record to a stream and returns its offset. After an error
	// the record may or may not be on the log.
	Append(ctx context.Context, stream StreamName, rec Record) (Offset, error)
	// Read returns up to limit entries from an offset on. It waits for the first
	// one until ctx ends or the platform's timeout passes, and then returns
	// none. If from is older than the log's retention, it starts at the oldest
	// retained entry; the caller notices by the offset of the first entry.
	Read(ctx context.Context, stream StreamName, from Offset, limit int) ([]Entry, error)
}

// Hosts is the platform's list of hosts, which may be out of date.
type Hosts interface {
	// List returns all hosts that the platform knows.
	List(ctx context.Context) ([]HostStatus, error)
}

// Job is a completion to be run by a runner.
type Job struct {
	Request  RequestID
	Endpoint EndpointName
	Level    Level
	Work     Work
}

// Engine is a client of the model engines of runners. Implementations are safe
// for concurrent use.
//
// Errors are of type *Error. Their outcome is NotRun only if no byte was sent to
// the engine, or if the engine reported that it did not run the request.
type Engine interface {
	// Generate runs a job and calls emit for each frame, from FrameStart to
	// FrameEnd, in order. If emit fails or ctx ends, it stops and cancels the
	// job on the engine. It verifies the request, adapter and version that the
	// engine echoes.
	Generate(ctx context.Context, addr Address, job Job, emit func(Frame) error) error
	// Do sends an order. After an error of outcome Unknown the order may have
	// taken effect, or may still do so until its Within has passed.
	Do(ctx context.Context, addr Address, order Order) error
	// Report requests the engine's report.
	Report(ctx context.Context, addr Address) (Report, error)
}

// Reply is the response of a plain service.
type Reply struct {
	Status int
	Body   []byte
}

// Services is a client of plain services. Implementations are safe for concurrent
// use, retry nothing, and return errors as Engine does.
type Services interface {
	// Invoke makes one call and returns the whole reply.
	Invoke(ctx context.Context, addr Address, request RequestID, call Call) (Reply, error)
}

// FrameStream is the receiving end of a stream of frames.
type FrameStream interface {
	// Next returns the next frame, or an *Error. After FrameEnd or FrameFail
	// it must not be called again.
	Next(ctx context.Context) (Frame, error)
	// Close closes the stream and cancels the sender's context if it still runs.
	Close() error
}

// Peers is a client of other daemons. Implementations are safe for concurrent
// use.
type Peers interface {
	// Call sends a control message and waits for the response.
	Call(ctx context.Context, to Address, msg PeerMessage) (PeerMessage, error)
	// Submit submits a request to the daemon at an address. An error is of type
	// *Error, with outcome NotRun only if nothing was sent.
	Submit(ctx context.Context, to Address, sub Submission) (FrameStream, error)
}

// PeerServer handles messages of other daemons. Implementations are safe for
// concurrent use.
type PeerServer interface {
	// HandleCall responds to a control message. from is the host name in the
	// peer's certificate.
	HandleCall(ctx context.Context, from HostName, msg PeerMessage) (PeerMessage, error)
	// HandleSubmit runs a request and emits the frames of its answer. An error
	// that it returns is sent as FrameFail.
	HandleSubmit(ctx context.Context, from HostName, sub Submission, emit func(Frame) error) error
}

// Clock reads the daemon's monotonic clock. Decision packages never use it; they
// get instants as arguments.
type Clock interface {
	// Now returns the time since the daemon started.
	Now() Instant
}

// WallClock reads the wall clock.
type WallClock interface {
	// Wall returns the time of day.
	Wall() UnixMillis
}
