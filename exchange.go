package wick

// Kind states whether a request may run more than once.
type Kind uint8

// The kinds of requests.
const (
	// KindSafe may run more than once.
	KindSafe Kind = iota + 1
	// KindUnsafe runs at most once.
	KindUnsafe
	// KindStream is answered with a stream of events. It runs at most once,
	// unless its route allows a stream to resume at another endpoint.
	KindStream
)

// String names the kind in metrics; "none" stands for a request without a route.
func (k Kind) String() string {
	names := [...]string{"none", "safe", "unsafe", "stream"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// HeaderField is one header field of a request or an answer.
type HeaderField struct {
	Name, Value string
}

// PartID identifies a part of a prompt that requests may share.
type PartID string

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     PartID
	Tokens Tokens
}

// EventID is the id of an event in a stream.
type EventID string

// PrefixID identifies a prompt prefix for one adapter: a chained hash over the
// adapter and the ids of the parts in the prefix.
type PrefixID uint64

// PromptPrefix is a prompt prefix that other requests may share.
type PromptPrefix struct {
	PrefixID PrefixID
	Tokens   Tokens
}

// Exchange is one request to be proxied: the caller's method, target, header
// and body are forwarded to an endpoint unchanged. A front end decodes it once.
type Exchange struct {
	Request RequestID
	// Host is the virtual host, without a port, and Path the path as sent;
	// together they select the route.
	Host, Path string
	// Method and Target are the request line as the caller sent it.
	Method, Target string
	// Header holds the fields to forward, without hop-by-hop fields and those
	// that the system sets itself.
	Header []HeaderField
	Body   []byte
	// Credential identifies the caller. Its fields are not in Header.
	Credential Credential
	// Model is empty for a plain service, Adapter for a base model.
	Model        ModelName
	Adapter      AdapterName
	PromptTokens Tokens
	// OutputTokens limits the length of the answer.
	OutputTokens Tokens
	Parts        []PromptPart
	// TimeLeft is how long the caller waits; 0 if it set no limit.
	TimeLeft Duration
	// ResumeAfter is the last event that the caller has received.
	ResumeAfter EventID
}

// ResponseWriter receives the answer to an exchange. Its methods are called
// from one goroutine.
type ResponseWriter interface {
	// WriteHeader sends the status and the header. It is called once, first.
	WriteHeader(status int, header []HeaderField) error
	// WriteBody sends a part of the body without buffering it.
	WriteBody(p []byte) error
}

// Gateway proxies requests of callers to endpoints. Implementations are safe for
// concurrent use.
type Gateway interface {
	// Forward forwards an exchange and sends the answer to the writer. If
	// WriteHeader was not called, an error is of type *Error; otherwise the
	// answer ended early and must not look complete.
	Forward(ctx Context, x *Exchange, to ResponseWriter) error
	// Limits returns the limits on requests of callers.
	Limits() CallerLimits
	// EntryPoints returns the addresses that callers should use, ordered for a
	// caller in the domain near.
	EntryPoints(near Domain) EntryList
	// Ready reports whether the daemon can serve callers.
	Ready() bool
}

// CallerLimits are the limits on a request of a caller.
type CallerLimits struct {
	Header, Body Bytes
	// HeaderTime is how long a request's header may take to arrive, and IdleTime how
	// long a connection may be without a request; 0 if the configuration has none.
	HeaderTime, IdleTime Duration
}

// Attempt is one attempt to run an exchange at an endpoint.
type Attempt struct {
	Exchange *Exchange
	Endpoint EndpointName
	Address  Address
	// TimeLeft is how long the endpoint may take; positive.
	TimeLeft Duration
	// Revision is the adapter revision that the endpoint must have loaded; 0
	// for any.
	Revision Revision
	// Urgency is the priority at the endpoint; 0 is served first.
	Urgency Urgency
	// Team is the caller's team; empty for none.
	Team TeamName
	// ForwardCredential is set if the credential of the exchange is forwarded.
	ForwardCredential bool
	// ResumeAfter is the event after which to resume a stream; empty for a new run.
	ResumeAfter EventID
	// RequireLiveConn is set for a request that must not run twice. It must use a
	// new connection, or one on which the endpoint responded a moment ago, since
	// a request that may have been lost on a dead connection can't be sent again.
	RequireLiveConn bool
	// MaxConnections is how many connections to the endpoint this daemon should have
	// open; 0 for no limit.
	MaxConnections int
}

// Response is an endpoint's response to an attempt.
type Response struct {
	Status int
	Header []HeaderField
	// NotRun is set if the endpoint states that it did not run the request.
	NotRun bool
	// ImpliesNotRun is set if callers take the status to mean that the request has not
	// run and never will, although the endpoint does not state it.
	ImpliesNotRun bool
	// Misdirected is set if another endpoint has the address now, or if the
	// endpoint has not loaded the requested adapter or version.
	Misdirected bool
	// Unframed is set if the body ends with its connection, so that its end does not
	// show that it is complete.
	Unframed bool
	Signal   EndpointSignal
	Body     Body
}

// Body is the body of a response.
type Body interface {
	// Read implements io.Reader; it returns io.EOF only after a complete body.
	Read(p []byte) (int, error)
	// Close closes the connection unless the whole body was read.
	Close() error
}

// Sender sends attempts to endpoints and retries nothing. Errors are of type
// *Error, with outcome NotRun only if no byte was written.
type Sender interface {
	Send(ctx Context, a Attempt) (*Response, error)
}
