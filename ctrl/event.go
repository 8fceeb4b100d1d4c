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

// EntriesRead are the result of one read of the platform's log.
type EntriesRead struct {
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

// RenewalReceived is a lease renewal received from another daemon.
type RenewalReceived struct {
	Renewal wick.Renewal
	// Reply takes the answer; its buffer holds one.
	Reply chan<- wick.RenewalAck
}

// RenewalAcked is the answer to a renewal sent by this daemon.
type RenewalAcked struct {
	// Sent is when the renewal was sent.
	Sent wick.Instant
	// From is the address that answered.
	From wick.Address
	Ack  wick.RenewalAck
}

// FetchRequested is another daemon's request for log records.
type FetchRequested struct {
	Fetch wick.Fetch
	// Reply takes the answer; its buffer holds one.
	Reply chan<- wick.Fetched
}

// FetchDone is the answer to a fetch sent by this daemon; Err is set if
// there is none.
type FetchDone struct {
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

// OrderDone reports the result of an order to an engine; Err is nil if it was
// carried out.
type OrderDone struct {
	Endpoint wick.EndpointName
	Order    wick.Order
	Err      *wick.Error
}

// ReportRead is an engine's report; Err is set if none could be read.
type ReportRead struct {
	Endpoint wick.EndpointName
	// Sent is when the report was requested.
	Sent   wick.Instant
	Report wick.Report
	Err    error
}

// HostsListed is the list of hosts read from the platform.
type HostsListed struct{ Hosts []wick.HostStatus }

// LoadsRequested is another daemon's request for permission to start loads.
type LoadsRequested struct {
	Grant wick.Grant
	// Reply takes the answer, whose Sequence is 0 if this daemon does not own
	// the budget. Its buffer holds one.
	Reply chan<- wick.Grant
}

// LoadsGranted is the answer to this daemon's request for permission to start
// loads; Err is set if the owner of the store's budget did not answer.
type LoadsGranted struct {
	Grant wick.Grant
	Err   error
}

// SuspectsReceived are crash suspects received from another daemon.
type SuspectsReceived struct{ List []wick.Suspect }

// SuspectsSent reports that the daemons to which a crash was reported know its
// suspects or did not answer.
type SuspectsSent struct{ Crash wick.Sequence }

// RunsRequested requests the runs of daemons on the given hosts that are
// members of a view that is not closed.
type RunsRequested struct {
	Hosts []wick.HostName
	// Reply takes the answer; its buffer holds one.
	Reply chan<- []wick.Run
}

// LeaveRequested makes the daemon leave: first its address is left out of
// answers to callers, then it leaves the view.
type LeaveRequested struct{}

// RefuseRequested makes the daemon refuse new requests.
type RefuseRequested struct{}

// VerdictAwaited registers a waiter for the verdict on a change that is about to be
// appended.
type VerdictAwaited struct {
	Change wick.ChangeID
	// Reply takes the verdict; its buffer holds one.
	Reply chan<- wick.Verdict
}

// VerdictAbandoned removes the waiter that a VerdictAwaited registered, when
// nobody waits for the verdict any more.
type VerdictAbandoned struct{ Change wick.ChangeID }
