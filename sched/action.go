package sched

import "currantwick"

// Action is what an Endpoint asks its caller to do: Dispatch, Refuse,
// CancelRun, Order, RequestLoad, CancelLoad or ReadReport.
type Action interface{ action() }

// Dispatch sends a request to the endpoint. The caller checks its lease
// immediately before sending and calls Done exactly once for each Dispatch,
// even if it did not send the request.
type Dispatch struct {
	Sub *wick.Submission
	// Deadline is when the first token or the reply is due.
	Deadline wick.Instant
}

// Refuse ends a request that was not dispatched.
type Refuse struct {
	Request wick.RequestID
	Err     *wick.Error
}

// CancelRun stops a dispatched request. Its Done still follows.
type CancelRun struct{ Request wick.RequestID }

// Order gives an order to the engine. The caller checks its lease immediately
// before sending and calls OrderDone once it knows the outcome, even if it did
// not send the order.
type Order struct{ Order wick.Order }

// RequestLoad requests the store's permission to load an adapter, answered by
// Granted or Denied. It is sent again when the demand has grown while the
// answer is pending.
type RequestLoad struct {
	Ref    wick.Ref
	Source string
	// Waiting is the weighted number of requests that wait for the adapter; 0
	// for a prefetch. Each request counts 1 on arrival, rising linearly to 2 at
	// its deadline, and twice as much for each higher level. The
	// expected duration of a request does not count, since short and long
	// requests need the load equally.
	Waiting wick.Cost
}

// CancelLoad gives back the store's permission for a load that will not be
// ordered, or withdraws a RequestLoad that was not answered yet.
type CancelLoad struct{ Ref wick.Ref }

// ReadReport requests the engine's report, which is passed to Report.
type ReadReport struct{}

func (Dispatch) action()    {}
func (Refuse) action()      {}
func (CancelRun) action()   {}
func (Order) action()       {}
func (RequestLoad) action() {}
func (CancelLoad) action()  {}
func (ReadReport) action()  {}
