package wick

import "time"

// ControlNote observes the control thread, for metrics and log lines. Its methods
// must not block.
type ControlNote interface {
	// View records that a view was adopted.
	View(v View)
	// Acting records that the daemon started or stopped acting for an endpoint.
	Acting(e EndpointName, acts bool)
	// Crashed records that an endpoint crashed, with the number of requests in
	// flight.
	Crashed(e EndpointName, inFlight int)
	// Verdict records the verdict on a change.
	Verdict(v Verdict)
	// Refused records external input that was rejected.
	Refused(what string, err error)
	// LogFailed records a failed read of a stream of the platform's log.
	LogFailed(stream StreamName)
	// Appended records the result of an append.
	Appended(stream StreamName, err error)
}

// PeerNote observes the control messages between daemons. Implementations are
// safe for concurrent use.
type PeerNote interface {
	// Call records one control message and its response, with the bytes of both
	// without transport overhead.
	Call(sent, received Bytes)
}

// TrafficNote observes requests. Implementations are safe for concurrent use.
type TrafficNote interface {
	// Try records that a request was submitted to an owner.
	Try()
	// Resume records that an interrupted stream was resumed.
	Resume()
	// Hedge records a second attempt in parallel to a slow first one.
	Hedge()
	// Ended records a finished request; code is empty for success. first and
	// whole are the times to the first token and to the end of the answer.
	Ended(code Code, first, whole time.Duration)
}

// GatewayNote observes a gateway. Implementations are safe for concurrent use and
// never block.
type GatewayNote interface {
	// Passed records a finished request; code is empty for an answer of an
	// endpoint. first and whole are the times to the first part of the
	// answer and to its end.
	Passed(kind Kind, code Code, first, whole time.Duration)
	// Waited records how long a request waited for its adapter.
	Waited(d time.Duration)
	// Sent records an attempt at an endpoint; again is set for a retry.
	Sent(again bool)
	// Ordered records the result of an order.
	Ordered(kind OrderKind, result OrderResult)
	// Inspected records the result of a request for an endpoint's report.
	Inspected(err error)
	// Stored records the result of a call to the record store.
	Stored(call string, err error)
	// Denied records a retry that was denied because the shared budget was
	// exhausted.
	Denied()
	// TermBegun records a new term of a shard; own is set if this daemon is the
	// holder.
	TermBegun(own bool)
	// Opened records a new connection to an endpoint.
	Opened()
	// Site records the version of the current configuration.
	Site(version uint64)
	// Holds records how many shards this daemon holds.
	Holds(n int)
}
