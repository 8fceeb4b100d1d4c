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
	// publishWithin bounds the wait for a verdict.
	publishWithin = 30 * time.Second
	// statusWithin bounds the wait for the control thread.
	statusWithin = 5 * time.Second
	// auditWithin bounds the wait for a new entry of the audit trail.
	auditWithin = 10 * time.Second
	// maxAudit is how many entries of the audit trail one answer holds.
	maxAudit = 1000
)

// publish serves a change: 200 with the verdict of an accepted one, 422 with
// that of a rejected one. A dry run has a verdict of offset 0.
func (s *Server) publish(c *fasthttp.RequestCtx) {
	var change wick.Change
	if err := codec.DecodeStrict(c.PostBody(), &change); err != nil {
		writeError(c, wick.NotRunf(wick.CodeBadRequest, "%v", err))
		return
	}
	v := wick.Verdict{Change: change.ID, Operator: change.Operator, Violations: s.cfg.Operator.Judge(change)}
	if c.QueryArgs().GetBool("dry_run") {
		writeVerdict(c, v)
		return
	}
	if err := change.Check(); err != nil {
		writeVerdict(c, v) // It would only fill the log.
		return
	}
	ctx, cancel := context.WithTimeout(s.base, publishWithin)
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
	ctx, cancel := context.WithTimeout(s.base, statusWithin)
	defer cancel()
	st, err := s.cfg.Operator.Status(ctx)
	if err != nil {
		writeError(c, asError(err))
		return
	}
	writeJSON(c, fasthttp.StatusOK, st)
}

func (s *Server) audit(c *fasthttp.RequestCtx) {
	from, err := number(c, "from", 1)
	if err != nil {
		writeError(c, err)
		return
	}
	limit, err := number(c, "limit", maxAudit)
	if err != nil {
		writeError(c, err)
		return
	}
	within, err := number(c, "within_ms", uint64(auditWithin.Milliseconds()))
	if err != nil {
		writeError(c, err)
		return
	}
	wait := min(time.Duration(within)*time.Millisecond, auditWithin)
	ctx, cancel := context.WithTimeout(s.base, wait)
	defer cancel()
	list, fail := s.cfg.Operator.Audit(ctx, wick.Offset(from), int(min(limit, maxAudit)))
	if fail != nil {
		writeError(c, asError(fail))
		return
	}
	if list == nil {
		list = []wick.Entry{}
	}
	writeJSON(c, fasthttp.StatusOK, list)
}

// number reads a positive number from the query.
func number(c *fasthttp.RequestCtx, name string, none uint64) (uint64, *wick.Error) {
	text := string(c.QueryArgs().Peek(name))
	if text == "" {
		return none, nil
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

// Gone is the body of a request that tells of hosts which are lost for good.
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
	runs, err := s.cfg.Operator.Gone(s.base, g.Hosts)
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
	if err := s.cfg.Operator.Ready(); err != nil {
		writeError(c, err)
		return
	}
	c.SetBodyString("ready\n")
}

// asError returns the wick.Error inside err; one that only tells of a bound on
// time has the outcome Unknown.
func asError(err error) *wick.Error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return wick.Unknownf(wick.CodeOverload, "no answer in time: %v", err)
	}
	return wick.AsError(err)
}

// statuses maps the reasons of failures to HTTP.
var statuses = map[wick.Code]int{
	wick.CodeBadRequest:   fasthttp.StatusBadRequest,
	wick.CodeTooLarge:     fasthttp.StatusRequestEntityTooLarge,
	wick.CodeUnauthorized: fasthttp.StatusUnauthorized,
	wick.CodeStopping:     fasthttp.StatusServiceUnavailable,
	wick.CodeStale:        fasthttp.StatusServiceUnavailable,
	wick.CodeOverload:     fasthttp.StatusGatewayTimeout,
	wick.CodeBroken:       fasthttp.StatusBadGateway,
}

func writeError(c *fasthttp.RequestCtx, e *wick.Error) {
	status, ok := statuses[e.Code]
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
