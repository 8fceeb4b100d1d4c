package wick

import (
	"errors"
	"fmt"
)

// Outcome says what is known about whether a request ran.
type Outcome string

// The outcomes of a request.
const (
	// Answered means that the endpoint ran the request and answered.
	Answered Outcome = "Answered"
	// NotRun means that no byte of the request was ever sent to an endpoint.
	NotRun Outcome = "NotRun"
	// Unknown means that the endpoint may have run the request.
	Unknown Outcome = "Unknown"
)

// Code names the reason of a failure in a stable way.
type Code string

// The reasons of failures.
const (
	CodeBadRequest   Code = "BadRequest"   // the request is malformed
	CodeTooLarge     Code = "TooLarge"     // the request is over a size limit
	CodeNoRoute      Code = "NoRoute"      // the route is not configured
	CodeMissingKey   Code = "MissingKey"   // a non-idempotent call has no key
	CodeNoEndpoint   Code = "NoEndpoint"   // no endpoint can take the request
	CodeNotOwner     Code = "NotOwner"     // the daemon does not own the endpoint
	CodeOverload     Code = "Overload"     // shed, or past its deadline
	CodeStale        Code = "Stale"        // the configuration may be stale
	CodeLoadFailed   Code = "LoadFailed"   // the adapter could not be loaded
	CodeBroken       Code = "Broken"       // the answer broke off
	CodeCrashed      Code = "Crashed"      // the endpoint crashed under it
	CodeSlow         Code = "Slow"         // the endpoint is an outlier now
	CodeMismatch     Code = "Mismatch"     // the endpoint echoed something else
	CodeKilled       Code = "Killed"       // the request crashed its endpoints
	CodeClaimed      Code = "Claimed"      // the key is claimed by another try
	CodeClaimsDown   Code = "ClaimsDown"   // no claim can be had now
	CodeStopping     Code = "Stopping"     // the daemon is stopping
	CodeCanceled     Code = "Canceled"     // the caller went away
	CodeUnauthorized Code = "Unauthorized" // the operator's token is missing
	CodeInternal     Code = "Internal"     // a fault of the system itself
)

// Error is a failure with its outcome. It is what callers and peers see.
type Error struct {
	Outcome Outcome `json:"Outcome"`
	Code    Code    `json:"Code"`
	Text    string  `json:"Text"`
	// RetryAfter is when the caller may come back; 0 means not at all or at
	// once, as Code says.
	RetryAfter Duration `json:"RetryAfter,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Text)
}

// Check implements Checker.
func (e *Error) Check() error {
	switch e.Outcome {
	case NotRun, Unknown, Answered:
	default:
		return fmt.Errorf("Outcome: %q is no outcome", string(e.Outcome))
	}
	if e.Code == "" {
		return errors.New("Code: must not be empty")
	}
	return nil
}

// NotRunf returns an error for a request that never reached an endpoint.
func NotRunf(code Code, format string, args ...any) *Error {
	return &Error{Outcome: NotRun, Code: code, Text: fmt.Sprintf(format, args...)}
}

// Unknownf returns an error for a request that may have run.
func Unknownf(code Code, format string, args ...any) *Error {
	return &Error{Outcome: Unknown, Code: code, Text: fmt.Sprintf(format, args...)}
}

// AsError returns the Error inside err. Any other error may have happened after
// the endpoint was reached, so its outcome is Unknown.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Unknownf(CodeInternal, "%v", err)
}

// FieldError tells which field of a value broke its invariant.
type FieldError struct {
	Field string
	Text  string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Text }

func badField(field, format string, args ...any) error {
	return &FieldError{Field: field, Text: fmt.Sprintf(format, args...)}
}
