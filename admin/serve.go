package admin

import (
	"context"
	"errors"
	"strconv"
	"time"

	"currantwick"
	"currantwick/codec"

	"github.com/valyala/fasthttp"
)

const (
	// publishTimeout bounds the wait for a verdict.
	publishTimeout = 30 * time.Second
	// statusTimeout bounds the wait for the control thread.
	statusTimeout = 5 * time.Second
	// maxAuditWait bounds the wait for a new entry in the audit trail.
	maxAuditWait = 10 * time.Second
	// maxAuditEntries bounds the entries of the audit trail in one response.
	maxAuditEntries = 1000
)

// publish handles a change. It responds with the verdict, and with status 200
// if the change was accepted and 422 if it was rejected. The verdict of a dry
// run has offset 0.
func (s *Server) publish(c *fasthttp.RequestCtx) {
	var change wick.Change
	if err := codec.DecodeStrict(c.PostBody(), &change); err != nil {
		writeError(c, wick.NotRunf(wick.CodeBadRequest, "%v", err))
		return
	}
	v := wick.Verdict{Change: change.ID, Operator: change.Operator, Violations: s.cfg.Operator.Validate(change)}
	if c.QueryArgs().GetBool("dry_run") {
		writeVerdict(c, v)
		return
	}
	if err := change.Check(); err != nil {
		writeVerdict(c, v) // A malformed change would only fill the log.
		return
	}
	ctx, cancel := context.WithTimeout(s.base, publishTimeout)
	defer cancel()
	v, err := s.cfg.Operator.Publish(ctx, change)
	if err != nil {
		writeError(c, asError(err))
		return
	}
	writeVerdict(c, v)
}

func writeVerdict(c *fasthttp.RequestCtx, v wick.Verdict) {
	status := fasthttp.StatusOK
	if !v.Accepted() {
		status = fasthttp.StatusUnprocessableEntity
	}
	writeJSON(c, status, v)
}

func (s *Server) objects(c *fasthttp.RequestCtx) {
	kind := wick.ObjectKind(c.QueryArgs().Peek("kind"))
	writeJSON(c, fasthttp.StatusOK, s.cfg.Operator.Select(kind, string(c.QueryArgs().Peek("name"))))
}

func (s *Server) status(c *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(s.base, statusTimeout)
	defer cancel()
	st, err := s.cfg.Operator.Status(ctx)
	if err != nil {
		writeError(c, asError(err))
		return
	}
	writeJSON(c, fasthttp.StatusOK, st)
}

func (s *Server) audit(c *fasthttp.RequestCtx) {
	from, err := positiveArg(c, "from", 1)
	if err != nil {
		writeError(c, err)
		return
	}
	limit, err := positiveArg(c, "limit", maxAuditEntries)
	if err != nil {
		writeError(c, err)
		return
	}
	within, err := positiveArg(c, "within_ms", uint64(maxAuditWait.Milliseconds()))
	if err != nil {
		writeError(c, err)
		return
	}
	wait := min(time.Duration(within)*time.Millisecond, maxAuditWait)
	ctx, cancel := context.WithTimeout(s.base, wait)
	defer cancel()
	list, fail := s.cfg.Operator.Audit(ctx, wick.Offset(from), int(min(limit, maxAuditEntries)))
	if fail != nil {
		writeError(c, asError(fail))
		return
	}
	if list == nil {
		list = []wick.Entry{}
	}
	writeJSON(c, fasthttp.StatusOK, list)
}

// positiveArg returns the positive number in a query argument, or fallback if
// the argument is missing.
func positiveArg(c *fasthttp.RequestCtx, name string, fallback uint64) (uint64, *wick.Error) {
	text := string(c.QueryArgs().Peek(name))
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil || n == 0 {
		return 0, wick.NotRunf(wick.CodeBadRequest, "%s: want a positive number, not %q", name, text)
	}
	return n, nil
}

func (s *Server) drain(c *fasthttp.RequestCtx) {
	if err := s.cfg.Operator.Drain(s.base); err != nil {
		writeError(c, asError(err))
		return
	}
	c.SetStatusCode(fasthttp.StatusAccepted)
}

// Gone is the body of a request that reports permanently lost hosts.
type Gone struct {
	Hosts []wick.HostName `json:"Hosts"`
}

// Check implements wick.Checker.
func (g Gone) Check() error {
	if len(g.Hosts) == 0 {
		return &wick.FieldError{Field: "Hosts", Text: "must not be empty"}
	}
	return nil
}

func (s *Server) gone(c *fasthttp.RequestCtx) {
	var g Gone
	if err := codec.DecodeJSON(c.PostBody(), &g); err != nil {
		writeError(c, wick.NotRunf(wick.CodeBadRequest, "hosts: %v", err))
		return
	}
	runs, err := s.cfg.Operator.DeclareLost(s.base, g.Hosts)
	if err != nil {
		writeError(c, asError(err))
		return
	}
	if runs == nil {
		runs = []wick.Run{}
	}
	writeJSON(c, fasthttp.StatusOK, runs)
}

func (s *Server) ready(c *fasthttp.RequestCtx) {
	if err := s.cfg.Operator.CheckReady(); err != nil {
		writeError(c, err)
		return
	}
	c.SetBodyString("ready\n")
}

// asError returns the wick.Error inside err. For an expired deadline or a
// cancellation it returns one with the outcome Unknown.
func asError(err error) *wick.Error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return wick.Unknownf(wick.CodeOverload, "no answer in time: %v", err)
	}
	return wick.AsError(err)
}

// statusByCode maps error codes to HTTP statuses.
var statusByCode = map[wick.Code]int{
	wick.CodeBadRequest:   fasthttp.StatusBadRequest,
	wick.CodeTooLarge:     fasthttp.StatusRequestEntityTooLarge,
	wick.CodeUnauthorized: fasthttp.StatusUnauthorized,
	wick.CodeStopping:     fasthttp.StatusServiceUnavailable,
	wick.CodeStale:        fasthttp.StatusServiceUnavailable,
	wick.CodeOverload:     fasthttp.StatusGatewayTimeout,
	wick.CodeBroken:       fasthttp.StatusBadGateway,
}

func writeError(c *fasthttp.RequestCtx, e *wick.Error) {
	status, ok := statusByCode[e.Code]
	if !ok {
		status = fasthttp.StatusInternalServerError
	}
	if status == fasthttp.StatusUnauthorized {
		c.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
	writeJSON(c, status, e)
}

func writeJSON(c *fasthttp.RequestCtx, status int, v any) {
	data, err := codec.EncodeJSON(v)
	if err != nil {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType(jsonType)
	c.SetBody(data)
}
