package wick

import "context"

// Log is the platform's append-only log. Implementations are safe for
// concurrent use.
type Log interface {
	// Append adds a record to a stream and returns its offset. After an error
	// the record may or may not stand on the log.
	Append(ctx context.Context, stream StreamName, rec Record) (Offset, error)
	// Read returns up to limit entries from an offset on, waiting for the
	// first one until ctx ends or the platform's own bound passes; it then
	// returns none. Where from is older than what the log retains, it starts
	// at the oldest entry, which the caller sees by its offset.
	Read(ctx context.Context, stream StreamName, from Offset, limit int) ([]Entry, error)
}

// Hosts is the platform's lagging list of hosts.
type Hosts interface {
	// List returns all hosts the platform knows.
	List(ctx context.Context) ([]HostStatus, error)
}

// Job is a piece of work on its way to a runner.
type Job struct {
	Request  RequestID
	Endpoint EndpointName
	Level    Level
	Work     Work
}

// Engine drives the model engines of runners. Implementations are safe for
// concurrent use.
//
// Errors are of type *Error. Their outcome is NotRun only if no byte was sent
// to the engine, or the engine said that it did not run the request.
type Engine interface {
	// Generate runs a job and calls emit for each frame, from FrameStart to
	// FrameEnd, in order. It stops when emit fails or ctx ends, and cancels
	// the job on the engine then. It checks the engine's echo of request,
	// adapter and version.
	Generate(ctx context.Context, addr Address, job Job, emit func(Frame) error) error
	// Do gives an order. After an error of outcome Unknown the order may have
	// taken effect or may still do so until its Within has passed.
	Do(ctx context.Context, addr Address, order Order) error
	// Report reads the engine's report on itself.
	Report(ctx context.Context, addr Address) (Report, error)
}

// Reply is the answer of a plain service.
type Reply struct {
	Status int
	Body   []byte
}

// Services calls plain services. Implementations are safe for concurrent use,
// never repeat a call by themselves, and return errors as Engine does.
type Services interface {
	// Invoke makes one call and returns the whole reply.
	Invoke(ctx context.Context, addr Address, request RequestID, call Call) (Reply, error)
}

// Stream is an answer as its receiver reads it.
type Stream interface {
	// Next returns the next frame, or an *Error. After FrameEnd or FrameFail
	// it must not be called again.
	Next(ctx context.Context) (Frame, error)
	// Close drops the stream; the sender's context ends if it still runs.
	Close() error
}

// Peers reaches other daemons. Implementations are safe for concurrent use.
type Peers interface {
	// Call sends a control message and waits for the answer.
	Call(ctx context.Context, to Address, msg PeerMessage) (PeerMessage, error)
	// Submit hands a request to the daemon at an address. An error is of type
	// *Error, with outcome NotRun only if nothing was sent.
	Submit(ctx context.Context, to Address, sub Submission) (Stream, error)
}

// PeerServer answers what other daemons send. It is called concurrently.
type PeerServer interface {
	// HandleCall answers a control message. from is the host named by the
	// peer's certificate.
	HandleCall(ctx context.Context, from HostName, msg PeerMessage) (PeerMessage, error)
	// HandleSubmit runs a request and emits the frames of its answer. A
	// returned error is sent as FrameFail.
	HandleSubmit(ctx context.Context, from HostName, sub Submission, emit func(Frame) error) error
}

// Clock reads the daemon's monotonic clock. Decisions never see it: they are
// given instants.
type Clock interface {
	// Now returns the time since the daemon started.
	Now() Instant
}
