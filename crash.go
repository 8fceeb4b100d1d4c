package wick

// CrashID identifies a crash: an endpoint crashes once between two starts.
type CrashID struct {
	Endpoint EndpointName `cbor:"1,keyasint"`
	Started  Started      `cbor:"2,keyasint,omitempty"`
}

// PendingRequest is a request whose answer an endpoint had not begun.
type PendingRequest struct {
	Request Fingerprint `cbor:"1,keyasint"`
}

// BrokenAttempt is an attempt whose answer broke off although this daemon did not
// cancel it.
type BrokenAttempt struct {
	// Endpoint is the endpoint as it was when the request was sent.
	Endpoint CrashID
	Address  Address
	Request  PendingRequest
	// Begun is set if the endpoint had begun the answer.
	Begun bool
}
