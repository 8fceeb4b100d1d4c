package ctrl

import (
	"currantwick"
	"currantwick/sched"
)

// Event is an input of the control thread.
type Event interface {
	// apply updates the control state. It must not block.
	apply(s *state, now wick.Instant)
}

// Entries are the result of one read of the platform's log.
type Entries struct {
	Stream wick.StreamName
	// List is in log order. It is empty if the read found nothing new, which
	// shows that the reader is up to date.
	List []wick.Entry
	// Sent is when the read was sent.
	Sent wick.Instant
	// More is set if the read was full, so that the log may already have held
	// newer records.
	More bool
}

// LogFailed reports that a stream of the platform's log can't be read at
// present.
type LogFailed struct{ Stream wick.StreamName }

// Appended reports the result of an append; Err is nil if it took effect.
type Appended struct {
	Stream wick.StreamName
	Record wick.Record
	Err    error
}

// Renewed is a lease renewal received from another daemon.
type Renewed struct {
	Renewal wick.Renewal
	// Reply takes the answer; its buffer holds one.
	Reply chan<- wick.RenewalAck
}

// Acked is the answer to a renewal sent by this daemon.
type Acked struct {
	// Sent is when the renewal was sent.
	Sent wick.Instant
	// From is the address that answered.
	From wick.Address
	Ack  wick.RenewalAck
}

// FetchAsked is another daemon's request for log records.
type FetchAsked struct {
	Fetch wick.Fetch
	// Reply takes the answer; its buffer holds one.
	Reply chan<- wick.Fetched
}

// FetchAnswered is the answer to a fetch sent by this daemon; Err is set if
// there is none.
type FetchAnswered struct {
	Fetched wick.Fetched
	Err     error
}

// Submitted is a request submitted to an endpoint that this daemon owns.
type Submitted struct{ Run *Run }

// Canceled reports that the caller of a request has gone away.
type Canceled struct{ Run *Run }

// Progressed reports that a dispatched request has generated tokens.
type Progressed struct {
	Run    *Run
	Tokens wick.Tokens
}

// Finished reports the result of a dispatched request.
type Finished struct {
	Run    *Run
	Result sched.Result
	// Crashed is set if the endpoint crashed with the request in flight.
	Crashed bool
}

// Ordered reports the result of an order to an engine; Err is nil if it was
// carried out.
type Ordered struct {
	Endpoint wick.EndpointName
	Order    wick.Order
	Err      *wick.Error
}

// Reported is an engine's report; Err is set if none could be read.
type Reported struct {
	Endpoint wick.EndpointName
	// Sent is when the report was requested.
	Sent   wick.Instant
	Report wick.Report
	Err    error
}

// Listed is the list of hosts read from the platform.
type Listed struct{ Hosts []wick.HostStatus }

// Asked is another daemon's request for permission to start loads.
type Asked struct {
	Grant wick.Grant
	// Reply takes the answer, whose Sequence is 0 if this daemon does not own
	// the budget. Its buffer holds one.
	Reply chan<- wick.Grant
}

// Granted is the answer to this daemon's request for permission to start loads;
// Err is set if the owner of the store's budget did not answer.
type Granted struct {
	Grant wick.Grant
	Err   error
}

// Suspected are crash suspects received from another daemon.
type Suspected struct{ List []wick.Suspect }

// Named requests the runs of daemons on the given hosts that the views still
// name.
type Named struct {
	Hosts []wick.HostName
	// Reply takes the answer; its buffer holds one.
	Reply chan<- []wick.Run
}

// Stopping makes the daemon leave: first its address is left out of answers to
// callers, then it leaves the view.
type Stopping struct{}

// Closing makes the daemon refuse new requests.
type Closing struct{}

// Awaited registers a waiter for the verdict on a change that is about to be
// appended.
type Awaited struct {
	Change wick.ChangeID
	// Reply takes the verdict; its buffer holds one.
	Reply chan<- wick.Verdict
}

// Forgotten removes the waiter that an Awaited registered, when nobody waits
// for the verdict any more.
type Forgotten struct{ Change wick.ChangeID }
