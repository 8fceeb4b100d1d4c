package wick

import (
	"errors"
	"fmt"
)

// Outcome states whether a request ran, as far as is known.
type Outcome string

// The outcomes of a request.
const (
	// Answered means that the endpoint ran the request and answered.
	Answered Outcome = "Answered"
	// NotRun means that no endpoint has run the request or will run it: no byte
	// was sent, or the endpoint stated that it did not run it.
	NotRun Outcome = "NotRun"
	// Unknown means that the endpoint may have run the request.
	Unknown Outcome = "Unknown"
)

// Code is a stable identifier of the cause of a failure.
type Code string

// The causes of failures.
const (
	CodeBadRequest   Code = "BadRequest"   // the request is malformed
	CodeTooLarge     Code = "TooLarge"     // the request is over a size limit
	CodeNoRoute      Code = "NoRoute"      // the route is not configured
	CodeMissingKey   Code = "MissingKey"   // a non-idempotent call has no key
	CodeNoEndpoint   Code = "NoEndpoint"   // no endpoint can take the request
	CodeNotOwner     Code = "NotOwner"     // the daemon does not own the endpoint
	CodeOverload     Code = "Overload"     // the request was shed or its deadline has passed
	CodeStale        Code = "Stale"        // the configuration may be stale
	CodeLoadFailed   Code = "LoadFailed"   // the adapter could not be loaded
	CodeBroken       Code = "Broken"       // no valid and complete answer was received
	CodeCrashed      Code = "Crashed"      // the endpoint crashed while running it
	CodeSlow         Code = "Slow"         // the endpoint is much slower than the others of its pool
	CodeMismatch     Code = "Mismatch"     // the answer is for another request, adapter or version
	CodeKilled       Code = "Killed"       // the request is blocked because it crashed endpoints
	CodeClaimed      Code = "Claimed"      // another attempt holds the claim on the key
	CodeClaimsDown   Code = "ClaimsDown"   // no claim can be acquired now
	CodeStopping     Code = "Stopping"     // the daemon is stopping
	CodeCanceled     Code = "Canceled"     // the caller disconnected
	CodeUnauthorized Code = "Unauthorized" // the operator's token, the peer's identity or the caller's key is wrong
	CodeAllotment    Code = "Allotment"    // the team is over its limit
	CodeInternal     Code = "Internal"     // an internal error
)

// Error is a failure with its outcome, as callers and peers receive it.
type Error struct {
	Outcome Outcome `json:"Outcome"`
	Code    Code    `json:"Code"`
	Text    string  `json:"Text"`
	// RetryAfter is how long the caller should wait before a retry; 0 means that
	// no time is known.
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

// NotRunf returns an error for a request that did not run: it was not sent, or
// the endpoint stated that it did not run it.
func NotRunf(code Code, format string, args ...any) *Error {
	return &Error{Outcome: NotRun, Code: code, Text: fmt.Sprintf(format, args...)}
}

// Unknownf returns an error for a request that may have run.
func Unknownf(code Code, format string, args ...any) *Error {
	return &Error{Outcome: Unknown, Code: code, Text: fmt.Sprintf(format, args...)}
}

// AsError returns the Error that err wraps. Any other error may have occurred
// after the endpoint received the request, so its outcome is Unknown.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Unknownf(CodeInternal, "%v", err)
}

// FieldError reports a field whose value violates its invariant.
type FieldError struct {
	Field string
	Text  string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Text }

func badField(field, format string, args ...any) error {
	return &FieldError{Field: field, Text: fmt.Sprintf(format, args...)}
}
