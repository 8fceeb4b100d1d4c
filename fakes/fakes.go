// Package fakes holds small fakes of the services of the platform and the
// runners: a model engine, a plain service, the append-only log, the weight
// store and the list of hosts. Each is a type that can listen on its own
// address, so tests and the demo run them inside one process, and wickfake as
// separate processes.
//
// The fakes record what ran, how often and on which model. Tests check the
// system's guarantees against these records.
package fakes

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strconv"

	"currantwick/codec"

	"github.com/valyala/fasthttp"
)

// Headers that the fakes read.
const (
	headerRequest  = "X-Request-Id"
	headerPriority = "X-Priority"
	headerView     = "X-Fencing-View"
	headerSequence = "X-Fencing-Sequence"
	headerWithin   = "X-Order-Within-Ms"
	headerKey      = "X-Claim-Key"
	headerLast     = "X-If-Last"
)

// reply writes v as the JSON body of a reply.
func reply(ctx *fasthttp.RequestCtx, v any) {
	data, err := codec.EncodeJSON(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// failure is an error as OpenAI-style servers write it.
type failure struct {
	Error failureText `json:"error"`
}

type failureText struct {
	Message string `json:"message"`
	// NotRun is set when the request never entered the batch.
	NotRun bool `json:"not_run"`
}

func refuse(ctx *fasthttp.RequestCtx, status int, format string, args ...any) {
	reply(ctx, failure{failureText{Message: fmt.Sprintf(format, args...), NotRun: true}})
	ctx.SetStatusCode(status)
}

// decodeControl decodes the body of a control request, or refuses the request.
// It exempts the connection from the faults that the request causes.
func decodeControl(ctx *fasthttp.RequestCtx, v any) bool {
	if err := codec.DecodeJSON(ctx.PostBody(), v); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "control: %v", err)
		return false
	}
	connOf(ctx).exempt.Store(true)
	return true
}

// decodeBody decodes a body of the public interfaces. It ignores fields that
// the fakes don't know.
func decodeBody(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "body: %v", err)
		return false
	}
	return true
}

// headerNumber returns the number in a header, or 0.
func headerNumber(ctx *fasthttp.RequestCtx, name string) uint64 {
	n, err := strconv.ParseUint(string(ctx.Request.Header.Peek(name)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// quietLogger logs fasthttp's messages at debug level only, since the
// fakes break connections on purpose.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(format string, args ...any) {
	slog.Debug("server", "text", fmt.Sprintf(format, args...))
}
