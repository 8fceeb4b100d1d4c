package wick

import "time"

// ControlObserver observes the control thread, for metrics and log lines. Its
// methods must not block.
type ControlObserver interface {
	// ViewAdopted records that a view was adopted.
	ViewAdopted(v View)
	// ActingChanged records that the daemon started or stopped acting for an endpoint.
	ActingChanged(e EndpointName, acts bool)
	// EndpointCrashed records that an endpoint crashed, with the number of requests in
	// flight.
	EndpointCrashed(e EndpointName, inFlight int)
	// VerdictReached records the verdict on a change.
	VerdictReached(v Verdict)
	// InputRefused records external input that was rejected.
	InputRefused(what string, err error)
	// LogReadFailed records a failed read of a stream of the platform's log.
	LogReadFailed(stream StreamName)
	// AppendFinished records the result of an append.
	AppendFinished(stream StreamName, err error)
}

// PeerObserver observes the control messages between daemons. Implementations are
// safe for concurrent use.
type PeerObserver interface {
	// CallFinished records one control message and its response, with the bytes of
	// both without transport overhead.
	CallFinished(sent, received Bytes)
}

// TrafficObserver observes requests. Implementations are safe for concurrent use.
type TrafficObserver interface {
	// AttemptStarted records that a request was submitted to an owner.
	AttemptStarted()
	// StreamResumed records that an interrupted stream was resumed.
	StreamResumed()
	// HedgeStarted records a second attempt in parallel to a slow first one.
	HedgeStarted()
	// RequestFinished records a finished request; code is empty for success. first and
	// whole are the times to the first token and to the end of the answer.
	RequestFinished(code Code, first, whole time.Duration)
}

// GatewayObserver observes a gateway. Implementations are safe for concurrent
// use and never block.
type GatewayObserver interface {
	// RequestFinished records a finished request; code is empty for an answer of an
	// endpoint. first and whole are the times to the first part of the
	// answer and to its end.
	RequestFinished(kind Kind, code Code, first, whole time.Duration)
	// AdapterWaited records how long a request waited for its adapter.
	AdapterWaited(d time.Duration)
	// AttemptSent records an attempt at an endpoint; again is set for a retry.
	AttemptSent(again bool)
	// OrderFinished records the result of an order.
	OrderFinished(kind OrderKind, result OrderResult)
	// ReportFinished records the result of a request for an endpoint's report.
	ReportFinished(err error)
	// StoreCallFinished records the result of a call to the record store.
	StoreCallFinished(call string, err error)
	// RetryDenied records a retry that was denied because the shared budget was
	// exhausted.
	RetryDenied()
	// TermStarted records a new term of a shard; own is set if this daemon is the
	// holder.
	TermStarted(own bool)
	// ConnectionOpened records a new connection to an endpoint.
	ConnectionOpened()
	// ConnectionLimited records a request that waited for a connection to an endpoint
	// that has as many as it may have; over is set, at a second call, if the request
	// opened one beyond the limit.
	ConnectionLimited(over bool)
	// ConfigApplied records the version of the current configuration.
	ConfigApplied(version uint64)
	// EndpointCrashed records that an endpoint crashed under requests of this
	// daemon.
	EndpointCrashed()
	// RequestStopped records that a request was stopped because it crashed
	// endpoints.
	RequestStopped()
	// EndpointPaused records that an endpoint asked for a pause, and EndpointLeaving
	// that one said that it is about to end.
	EndpointPaused()
	EndpointLeaving()
	// LateRecord records a record that the store wrote behind a newer one, or one that
	// is held since it may be such a record.
	LateRecord(topic Topic)
	// MemoStored records the result of a write of what must outlive all daemons.
	MemoStored(ok bool)
	// UnstatedRefusal records an answer that was replaced, since callers would have
	// taken it for a promise which the endpoint had not made.
	UnstatedRefusal()
	// CopyRequested records that this daemon, as a holder, asked for a copy of a busy
	// adapter at another endpoint.
	CopyRequested()

	// HedgeSent records a second attempt beside a slow one, HedgeWon that its answer
	// was used, and HedgeDenied that none was sent although the first attempt was slow.
	HedgeSent()
	HedgeWon()
	HedgeDenied(why HedgeDenial)

	// PoolWaited records how long a request waited for room in a pool of plain services,
	// and PoolRefused one that was refused since there would be none in time.
	PoolWaited(d time.Duration)
	PoolRefused()
	// ShardsHeld records how many shards this daemon holds.
	ShardsHeld(n int)
	// UnitsTaken records a request of a team with a limit, and whether it got its units.
	UnitsTaken(team TeamName, units Units, result AllotmentResult)
}
