package entry

import (
	"math"
	"strconv"

	"currantwick"

	"github.com/valyala/fasthttp"
)

// errorResponse is an error response in the OpenAI style.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	// Message starts with the outcome as text.
	Message string `json:"message"`
	// Type is the outcome: NotRun, Unknown or Answered.
	Type wick.Outcome `json:"type"`
	Code wick.Code    `json:"code"`
	// RetryAfter is in milliseconds; 0 means that no time is known.
	RetryAfter int64 `json:"retry_after_ms,omitempty"`
}

// outcomeText maps outcomes to text for messages.
var outcomeText = map[wick.Outcome]string{
	wick.NotRun:   "not run",
	wick.Unknown:  "unknown whether it ran",
	wick.Answered: "already answered",
}

// statusByCode maps error codes to HTTP statuses.
var statusByCode = map[wick.Code]int{
	wick.CodeBadRequest:   fasthttp.StatusBadRequest,
	wick.CodeTooLarge:     fasthttp.StatusRequestEntityTooLarge,
	wick.CodeNoRoute:      fasthttp.StatusNotFound,
	wick.CodeMissingKey:   fasthttp.StatusBadRequest,
	wick.CodeNoEndpoint:   fasthttp.StatusServiceUnavailable,
	wick.CodeNotOwner:     fasthttp.StatusServiceUnavailable,
	wick.CodeOverload:     fasthttp.StatusTooManyRequests,
	wick.CodeStale:        fasthttp.StatusServiceUnavailable,
	wick.CodeLoadFailed:   fasthttp.StatusServiceUnavailable,
	wick.CodeBroken:       fasthttp.StatusBadGateway,
	wick.CodeCrashed:      fasthttp.StatusBadGateway,
	wick.CodeSlow:         fasthttp.StatusServiceUnavailable,
	wick.CodeMismatch:     fasthttp.StatusBadGateway,
	wick.CodeKilled:       fasthttp.StatusUnprocessableEntity,
	wick.CodeClaimed:      fasthttp.StatusConflict,
	wick.CodeClaimsDown:   fasthttp.StatusServiceUnavailable,
	wick.CodeStopping:     fasthttp.StatusServiceUnavailable,
	wick.CodeCanceled:     fasthttp.StatusGatewayTimeout,
	wick.CodeUnauthorized: fasthttp.StatusUnauthorized,
}

func newErrorResponse(e *wick.Error) errorResponse {
	return errorResponse{errorBody{
		Message:    outcomeText[e.Outcome] + ": " + e.Text,
		Type:       e.Outcome,
		Code:       e.Code,
		RetryAfter: e.RetryAfter.Std().Milliseconds(),
	}}
}

func writeError(c *fasthttp.RequestCtx, e *wick.Error) {
	status, ok := statusByCode[e.Code]
	if !ok {
		status = fasthttp.StatusInternalServerError
	}
	if e.RetryAfter > 0 {
		seconds := math.Ceil(e.RetryAfter.Std().Seconds())
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	c.Response.Header.Set(HeaderOutcome, string(e.Outcome))
	writeJSON(c, status, newErrorResponse(e))
}
