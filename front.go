package wick

import "context"

// Ask is a request as a caller makes it, whatever the protocol of the front
// end.
type Ask struct {
	Request RequestID
	Route   RouteName
	// Prompt and MaxTokens are for completions; MaxTokens 0 means the route's
	// own bound.
	Prompt    string
	MaxTokens Tokens
	// Body and Key are for calls of plain services.
	Body []byte
	Key  ClaimKey
	// Within is the caller's own bound on the wait for the first token or the
	// reply; 0 means the priority's deadline.
	Within Duration
}

// EntryPoint is one address at which callers reach the system.
type EntryPoint struct {
	Address Address  `json:"Address"`
	Host    HostName `json:"Host"`
	Domain  Domain   `json:"Domain"`
}

// EntryList answers a caller's question which addresses to use.
type EntryList struct {
	// Entries is in the order in which to try them.
	Entries []EntryPoint `json:"Entries"`
	// Keep is how long the answer may be kept.
	Keep Duration `json:"Keep"`
}

// Front serves callers. Front ends translate a protocol to and from it.
// Implementations are safe for concurrent use.
type Front interface {
	// Complete runs a completion and calls emit for each frame, from
	// FrameStart to FrameEnd, in order, without a gap or a repeat. An error is
	// of type *Error.
	Complete(ctx context.Context, ask Ask, emit func(Frame) error) error
	// Invoke calls a plain service. An error is of type *Error.
	Invoke(ctx context.Context, ask Ask) (Reply, error)
	// Entries returns the addresses to use, those in the caller's own failure
	// domain first.
	Entries(near Domain) EntryList
}
