package wick

// Work is a completion to run on a runner.
type Work struct {
	Model ModelName `json:"Model"`
	Ref   Ref       `json:"Ref"`
	// Prompt is the caller's prompt, unchanged.
	Prompt string `json:"Prompt"`
	// MaxTokens limits the whole answer; positive.
	MaxTokens Tokens `json:"MaxTokens"`
	// Have is the text that the caller has already received; the runner
	// continues after it.
	Have string `json:"Have,omitempty"`
	// HaveTokens is the number of tokens in Have.
	HaveTokens Tokens `json:"HaveTokens,omitempty"`
}

// Check implements Checker.
func (w Work) Check() error {
	if w.MaxTokens <= 0 {
		return badField("MaxTokens", "must be positive")
	}
	if w.HaveTokens < 0 || w.HaveTokens > w.MaxTokens {
		return badField("HaveTokens", "must be 0 to MaxTokens")
	}
	return w.Ref.Check()
}

// Call is a call to a plain service.
type Call struct {
	Path string `json:"Path"`
	Body []byte `json:"Body,omitempty"`
	// Key is the caller's idempotency key; not empty if NonIdempotent is set.
	Key           ClaimKey `json:"Key,omitempty"`
	NonIdempotent bool     `json:"NonIdempotent,omitempty"`
}

// Check implements Checker.
func (c Call) Check() error {
	if c.Path == "" || c.Path[0] != '/' {
		return badField("Path", "must start with '/'")
	}
	if c.NonIdempotent && c.Key == "" {
		return badField("Key", "a non-idempotent call needs one")
	}
	return nil
}

// Submission is a request that the daemon that received it submits to the owner
// of the endpoint.
type Submission struct {
	Request  RequestID    `json:"Request"`
	Route    RouteName    `json:"Route"`
	Endpoint EndpointName `json:"Endpoint"`
	// View is the view in which the sender computed the owner.
	View ViewNumber `json:"View"`
	// Config is the configuration offset at which the sender resolved the route.
	// An owner with an older configuration catches up first.
	Config Offset `json:"Config"`
	Level  Level  `json:"Level"`
	// Sheddable is set if the request may be refused under overload.
	Sheddable bool `json:"Sheddable,omitempty"`
	// TimeLeft is the time left for the first token or the reply; positive.
	TimeLeft Duration `json:"Within"`
	// Fingerprint identifies the request's content.
	Fingerprint Fingerprint `json:"Print"`
	// Suspect is set if an endpoint crashed earlier while it ran the request, so
	// that the request must run alone.
	Suspect bool `json:"Suspect,omitempty"`
	// Moved is set if the request was moved away from an outlier earlier, so
	// that it is not moved again.
	Moved bool `json:"Moved,omitempty"`
	// Exactly one of Work and Call is set.
	Work *Work `json:"Work,omitempty"`
	Call *Call `json:"Call,omitempty"`
}

// Check implements Checker.
func (s Submission) Check() error {
	if err := checkName("Request", s.Request); err != nil {
		return err
	}
	if err := checkName("Endpoint", s.Endpoint); err != nil {
		return err
	}
	if s.TimeLeft <= 0 {
		return badField("Within", "must be positive")
	}
	switch {
	case s.Work != nil && s.Call == nil:
		return s.Work.Check()
	case s.Call != nil && s.Work == nil:
		return s.Call.Check()
	}
	return badField("Work, Call", "exactly one must be set")
}

// FrameKind is the kind of a frame.
type FrameKind uint8

// The kinds of frames. The answer of a runner is one FrameStart, any number of
// FrameText, and one FrameEnd; the reply of a plain service is one FrameEnd.
// FrameFail ends an answer at any point, also before FrameStart. FrameHeartbeat
// may occur anywhere before the last frame.
const (
	// FrameStart means that the endpoint has accepted the request.
	FrameStart FrameKind = iota + 1
	// FrameText carries a part of the answer.
	FrameText
	// FrameHeartbeat is a heartbeat of the sender while there is no text.
	FrameHeartbeat
	// FrameEnd ends a complete answer.
	FrameEnd
	// FrameFail ends an incomplete answer.
	FrameFail
)

// Ran is the endpoint and the adapter version that ran a request, as the
// endpoint echoed them.
type Ran struct {
	Endpoint EndpointName `json:"Endpoint"`
	Ref      Ref          `json:"Ref"`
}

// Frame is one message of an answer that is streamed to the caller.
type Frame struct {
	// Request is the id of the request, to detect mixed-up answers.
	Request RequestID `json:"Request"`
	Kind    FrameKind `json:"Kind"`
	// Index is the position of the first token of Text in the whole answer.
	Index Tokens `json:"Index,omitempty"`
	// Count is the number of tokens in Text or, on FrameEnd, in the whole answer.
	Count Tokens `json:"Count,omitempty"`
	Text  string `json:"Text,omitempty"`
	// Body is the reply of a plain service, on FrameEnd.
	Body []byte `json:"Body,omitempty"`
	// Status is the HTTP status of a plain service, on FrameEnd.
	Status int `json:"Status,omitempty"`
	// Ran is set on FrameStart and FrameEnd.
	Ran *Ran `json:"Ran,omitempty"`
	// Fail is set on FrameFail only.
	Fail *Error `json:"Fail,omitempty"`
}

// Check implements Checker.
func (f Frame) Check() error {
	if f.Kind < FrameStart || f.Kind > FrameFail {
		return badField("Kind", "%d is no kind of frame", f.Kind)
	}
	if (f.Kind == FrameFail) != (f.Fail != nil) {
		return badField("Fail", "must be set on a failure and only there")
	}
	if f.Index < 0 || f.Count < 0 {
		return badField("Index, Count", "must not be negative")
	}
	if f.Fail != nil {
		return f.Fail.Check()
	}
	return nil
}
