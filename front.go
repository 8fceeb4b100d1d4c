package wick

import "context"

// CallerRequest is a request of a caller, independent of the protocol of the
// front end.
type CallerRequest struct {
	Request RequestID
	Route   RouteName
	// Prompt and MaxTokens are for completions; MaxTokens 0 means the limit of
	// the route.
	Prompt    string
	MaxTokens Tokens
	// Body and Key are for calls of plain services.
	Body []byte
	Key  ClaimKey
	// TimeLeft is the caller's timeout for the first token or the reply; 0 means
	// the deadline of the route's priority.
	TimeLeft Duration
}

// EntryPoint is an address at which callers reach the system.
type EntryPoint struct {
	Address Address  `json:"Address"`
	Host    HostName `json:"Host"`
	Domain  Domain   `json:"Domain"`
}

// EntryList is the list of addresses that a caller should use.
type EntryList struct {
	// Entries is sorted by preference, the first to try first.
	Entries []EntryPoint `json:"Entries"`
	// Keep is how long the caller may cache the list.
	Keep Duration `json:"Keep"`
}

// Front runs the requests of callers. Front ends, such as package entry, translate
// a protocol to and from it.
// Implementations are safe for concurrent use.
type Front interface {
	// Complete runs a completion and calls emit for each frame, from
	// FrameStart to FrameEnd, in order, with no gaps or duplicates. An error
	// is of type *Error.
	Complete(ctx context.Context, req CallerRequest, emit func(Frame) error) error
	// Invoke calls a plain service. An error is of type *Error.
	Invoke(ctx context.Context, req CallerRequest) (Reply, error)
	// EntryPoints returns the addresses to use, those in the caller's failure domain
	// first.
	EntryPoints(near Domain) EntryList
}
