package wick

// CrashID identifies a crash: an endpoint crashes once between two starts.
type CrashID struct {
	Endpoint EndpointName `cbor:"1,keyasint"`
	Started  Started      `cbor:"2,keyasint,omitempty"`
}

// TrialID identifies the trial of a suspect: the one attempt that may be sent while
// the suspicion lasts. A daemon draws it at random; 0 means no trial.
type TrialID uint64

// PendingRequest is a request whose answer an endpoint had not begun.
type PendingRequest struct {
	Request Fingerprint `cbor:"1,keyasint"`
	// Parts are the fingerprints of the parts of its prompt that other requests may
	// share.
	Parts []Fingerprint `cbor:"3,keyasint,omitempty"`
	// Trial is set if the request was sent on trial.
	Trial bool `cbor:"2,keyasint,omitempty"`
}

// BrokenAttempt is an attempt whose answer broke off although this daemon did not
// cancel it.
type BrokenAttempt struct {
	// Endpoint is the endpoint as it was when the request was sent.
	Endpoint CrashID
	Address  Address
	Request  PendingRequest
	// Trial is the trial that the attempt was, if any.
	Trial TrialID
	// Begun is set if the endpoint had begun the answer.
	Begun bool
	// Judged is closed once it is known whether the endpoint crashed.
	Judged chan<- struct{}
}

// CrashReport reports the requests that were pending at a crash. Daemons that saw
// the same crash report different requests.
type CrashReport struct {
	Crash   CrashID          `cbor:"1,keyasint"`
	Pending []PendingRequest `cbor:"2,keyasint"`
	// Age is the time since the crash.
	Age Duration `cbor:"3,keyasint,omitempty"`
}

// StoppedRequest is a request that is not sent to endpoints any more.
type StoppedRequest struct {
	Request Fingerprint `cbor:"1,keyasint"`
	// Age is the time since the request was stopped.
	Age Duration `cbor:"2,keyasint,omitempty"`
}

// TrialRequest asks for a trial of a suspect.
type TrialRequest struct {
	Trial   TrialID     `cbor:"1,keyasint"`
	Request Fingerprint `cbor:"2,keyasint"`
}
