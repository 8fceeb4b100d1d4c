package wick

// EndpointSignal is what an endpoint says about itself in the header of an answer,
// whatever the answer is to.
type EndpointSignal struct {
	// Leaving is set if the endpoint is about to end and wants no new requests.
	Leaving bool
	// Pause is how long the endpoint wants no requests from this daemon; 0 for no
	// pause.
	Pause Duration
	// Malformed is a value of the header that was ignored.
	Malformed string
}

// EndpointPauses are the pauses that endpoints asked this daemon for. Implementations
// are safe for concurrent use.
type EndpointPauses interface {
	// Pause records a pause.
	Pause(now Instant, id EndpointStart, d Duration)
	// Until returns the end of an endpoint's pause, or 0 if there is none now.
	Until(now Instant, id EndpointStart) Instant
	// Share returns the share of its usual requests that an endpoint may get, from 0
	// during a pause to 1.
	Share(now Instant, id EndpointStart) float64
}

// OrderReply is an endpoint's answer to an order.
type OrderReply struct {
	Result OrderResult
	Signal EndpointSignal
}
