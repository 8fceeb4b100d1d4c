package wick

// EndpointStart identifies one start of an endpoint, and the crash that ends it: an
// endpoint crashes once between two starts.
type EndpointStart struct {
	Endpoint EndpointName `json:"Endpoint" cbor:"1,keyasint"`
	Started  Started      `json:"Started,omitempty" cbor:"2,keyasint,omitempty"`
}

// TrialID identifies the trial of a suspect: the one attempt that may be sent while
// the suspicion lasts. A daemon draws it at random; 0 means no trial.
type TrialID uint64

// PendingRequest is a request whose answer an endpoint had not begun.
type PendingRequest struct {
	Request Fingerprint `json:"Request" cbor:"1,keyasint"`
	// Trial is set if the request was sent on trial.
	Trial bool `json:"Trial,omitempty" cbor:"2,keyasint,omitempty"`
	// Parts are the fingerprints of the parts of its prompt that other requests may
	// share.
	Parts []Fingerprint `json:"Parts,omitempty" cbor:"3,keyasint,omitempty"`
}

// BrokenAttempt is an attempt whose answer broke off although this daemon did not
// cancel it.
type BrokenAttempt struct {
	// Endpoint is the endpoint as it was when the request was sent.
	Endpoint EndpointStart
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
	Crash   EndpointStart    `json:"Crash" cbor:"1,keyasint"`
	Pending []PendingRequest `json:"Pending" cbor:"2,keyasint"`
	// Age is the time since the crash.
	Age Duration `json:"Age,omitempty" cbor:"3,keyasint,omitempty"`
}

// CrashProofs is a record of what proves which requests and parts of prompts crash
// endpoints. It outlives the daemons, which would otherwise try each of them again on
// several endpoints after the loss of all.
type CrashProofs struct {
	// At is when the record was written, to which the ages of Crashes refer.
	At UnixMillis `json:"At"`
	// Crashes are those at which the causes were pending, with these only.
	Crashes []CrashReport `json:"Crashes"`
	// Vouched are parts in Crashes that were answered before.
	Vouched []Fingerprint `json:"Vouched,omitempty"`
}

// Check implements Checker.
func (p CrashProofs) Check() error {
	for _, r := range p.Crashes {
		if r.Crash.Endpoint == "" {
			return badField("Crashes", "a crash without an endpoint")
		}
		if r.Age < 0 {
			return badField("Crashes", "the age of a crash at %s must not be negative", r.Crash.Endpoint)
		}
	}
	return nil
}

// StoppedCause is a cause of crashes: requests that have all of Keys are not sent to
// endpoints any more.
type StoppedCause struct {
	// Crash and Request identify the trial that proved the cause.
	Crash   EndpointStart `cbor:"1,keyasint"`
	Request Fingerprint   `cbor:"2,keyasint"`
	// Keys is the fingerprint of a request, or those of parts of prompts.
	Keys []Fingerprint `cbor:"3,keyasint"`
	// Age is the time since the crash, and Stop how long after it requests are
	// stopped.
	Age  Duration `cbor:"4,keyasint,omitempty"`
	Stop Duration `cbor:"5,keyasint"`
}

// Evidence is what daemons tell one another about requests and parts of prompts
// that may crash endpoints.
type Evidence struct {
	Crashes []CrashReport `cbor:"20,keyasint,omitempty"`
	// Answered are accused requests and parts that an endpoint began to answer.
	Answered []Fingerprint `cbor:"21,keyasint,omitempty"`
	// Vouched are accused parts that were answered before.
	Vouched []Fingerprint `cbor:"22,keyasint,omitempty"`
	// Stopped is sent when a link comes up: other daemons prove the causes themselves
	// from the crashes.
	Stopped []StoppedCause `cbor:"23,keyasint,omitempty"`
}

// Empty reports whether there is no evidence.
func (e *Evidence) Empty() bool {
	return len(e.Crashes) == 0 && len(e.Answered) == 0 && len(e.Vouched) == 0 && len(e.Stopped) == 0
}

// Append appends other evidence.
func (e *Evidence) Append(other Evidence) {
	e.Crashes = append(e.Crashes, other.Crashes...)
	e.Answered = append(e.Answered, other.Answered...)
	e.Vouched = append(e.Vouched, other.Vouched...)
	e.Stopped = append(e.Stopped, other.Stopped...)
}

// TrialRequest asks for a trial of the suspects in a request: the request itself or
// parts of its prompt.
type TrialRequest struct {
	Trial    TrialID       `cbor:"1,keyasint"`
	Suspects []Fingerprint `cbor:"2,keyasint"`
}

// AnsweredParts remembers parts of prompts that endpoints have answered.
// Implementations are safe for concurrent use.
type AnsweredParts interface {
	// Add records parts whose answer an endpoint began.
	Add(now Instant, parts []Fingerprint)
	// Last returns when the last answer of a part began, and false if none is
	// remembered.
	Last(part Fingerprint) (Instant, bool)
}
