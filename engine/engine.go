// Package engine is a client for model engines with an OpenAI-style HTTP
// interface. It implements wick.Engine, never retries a request, and treats a
// response as complete only if it has a finish reason.
package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"currantwick"
	"currantwick/codec"
	"currantwick/httpc"

	"github.com/valyala/fasthttp"
)

const (
	// Headers of completions.
	headerRequest  = "X-Request-Id"
	headerPriority = "X-Priority"
	// Headers of orders.
	headerView     = "X-Fencing-View"
	headerSequence = "X-Fencing-Sequence"
	headerWithin   = "X-Order-Within-Ms"
)

// readBuffer is the maximum length of a line of an event stream, in bytes.
const readBuffer = 64 << 10

// Config configures a Client.
type Config struct {
	// HTTP sets the limits of exchanges; its ReadTimeout is the time without a token
	// or heartbeat after which a stream counts as broken.
	HTTP httpc.Config
}

// Client implements wick.Engine.
type Client struct {
	http *httpc.Client
}

var _ wick.Engine = (*Client)(nil)

// New returns a client for engines.
func New(cfg Config) *Client { return &Client{httpc.New(cfg.HTTP)} }

// ModelField returns the value of the field "model" of a request: the adapter
// and version, or the name of the base model.
func ModelField(w wick.Work) string {
	if w.Ref.IsBase() {
		return string(w.Model)
	}
	return w.Ref.String()
}

type completion struct {
	Model      string      `json:"model"`
	Prompt     string      `json:"prompt"`
	MaxTokens  wick.Tokens `json:"max_tokens"`
	Stream     bool        `json:"stream"`
	Have       string      `json:"have,omitempty"`
	HaveTokens wick.Tokens `json:"have_tokens,omitempty"`
}

// Generate implements wick.Engine.
func (c *Client) Generate(ctx context.Context, addr wick.Address, job wick.Job, emit func(wick.Frame) error) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := encodeJob(req, job); err != nil {
		return wick.NotRunf(wick.CodeBadRequest, "encode the job: %v", err)
	}
	x, err := c.http.Open(ctx, addr, req, resp)
	if err != nil {
		return fmt.Errorf("generate: %w", err)
	}
	defer x.Close()
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return statusError(status, resp.Body())
	}
	s := newStream(job, emit)
	if err := s.run(bufio.NewReaderSize(x.Body(), readBuffer)); err != nil {
		return classify(x, err)
	}
	return nil
}

func encodeJob(req *fasthttp.Request, job wick.Job) error {
	w := job.Work
	body, err := json.Marshal(completion{
		Model: ModelField(w), Prompt: w.Prompt, MaxTokens: w.MaxTokens,
		Stream: true, Have: w.Have, HaveTokens: w.HaveTokens,
	})
	if err != nil {
		return fmt.Errorf("completion: %w", err)
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/v1/completions")
	req.Header.SetContentType("application/json")
	req.Header.Set(headerRequest, string(job.Request))
	req.Header.Set(headerPriority, strconv.Itoa(int(job.Level)))
	req.SetBodyRaw(body)
	return nil
}

// classify returns errors of type *wick.Error unchanged and unwraps errors of emit.
// After any other error the job may have run.
func classify(x *httpc.Exchange, err error) error {
	if e, ok := err.(*wick.Error); ok {
		return e
	}
	if e, ok := err.(emitError); ok {
		return e.err
	}
	return x.ReplyError(err)
}

// statusError returns the error for a status other than 200.
func statusError(status int, body []byte) *wick.Error {
	text := errorText(body)
	switch status {
	case fasthttp.StatusNotFound:
		return wick.NotRunf(wick.CodeLoadFailed, "engine: %s", text)
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return wick.NotRunf(wick.CodeOverload, "engine: %s", text)
	case fasthttp.StatusConflict:
		return wick.NotRunf(wick.CodeNotOwner, "engine: %s", text)
	case fasthttp.StatusInsufficientStorage:
		return wick.NotRunf(wick.CodeLoadFailed, "engine: %s", text)
	case fasthttp.StatusBadRequest:
		return wick.NotRunf(wick.CodeBadRequest, "engine: %s", text)
	}
	return wick.Unknownf(wick.CodeBroken, "engine: status %d: %s", status, text)
}

func errorText(body []byte) string {
	const limit = 200
	var r struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &r) == nil && r.Error.Message != "" {
		return r.Error.Message
	}
	return string(body[:min(len(body), limit)])
}

type loraOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Do implements wick.Engine. Unloading an adapter that is not resident, or loading
// one that is, succeeds.
func (c *Client) Do(ctx context.Context, addr wick.Address, order wick.Order) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := encodeOrder(req, order); err != nil {
		return wick.NotRunf(wick.CodeBadRequest, "encode the order: %v", err)
	}
	if err := c.http.Do(ctx, addr, req, resp); err != nil {
		return fmt.Errorf("order: %w", err)
	}
	status := resp.StatusCode()
	if status == fasthttp.StatusOK {
		return nil
	}
	if status == fasthttp.StatusNotFound && order.Kind == wick.OrderUnload {
		return nil
	}
	if status == fasthttp.StatusInternalServerError && order.Kind == wick.OrderLoad {
		return wick.NotRunf(wick.CodeLoadFailed, "engine: %s", errorText(resp.Body()))
	}
	return statusError(status, resp.Body())
}

func encodeOrder(req *fasthttp.Request, order wick.Order) error {
	body, err := json.Marshal(loraOrder{Name: order.Ref.String(), Path: order.Source})
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	uri := "/v1/load_lora_adapter"
	if order.Kind == wick.OrderUnload {
		uri = "/v1/unload_lora_adapter"
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(uri)
	req.Header.SetContentType("application/json")
	req.Header.Set(headerView, strconv.FormatUint(uint64(order.FencingToken.View), 10))
	req.Header.Set(headerSequence, strconv.FormatUint(uint64(order.FencingToken.Sequence), 10))
	req.Header.Set(headerWithin, strconv.FormatInt(order.Within.Std().Milliseconds(), 10))
	req.SetBodyRaw(body)
	return nil
}

// Report implements wick.Engine.
func (c *Client) Report(ctx context.Context, addr wick.Address) (wick.Report, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/v1/report")
	if err := c.http.Do(ctx, addr, req, resp); err != nil {
		return wick.Report{}, fmt.Errorf("report: %w", err)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return wick.Report{}, statusError(status, resp.Body())
	}
	return decodeReport(resp.Body())
}

func decodeReport(data []byte) (wick.Report, error) {
	var r wick.Report
	if err := codec.DecodeJSON(data, &r); err != nil {
		return wick.Report{}, wick.Unknownf(wick.CodeBroken, "report: %v", err)
	}
	return r, nil
}

// emitError wraps an error of the caller's emit, to distinguish it from errors of
// the stream.
type emitError struct{ err error }

func (e emitError) Error() string { return e.err.Error() }

func (e emitError) Unwrap() error { return e.err }

// errIncomplete reports a stream that ended before its finish reason.
var errIncomplete = fmt.Errorf("stream ended before its finish reason: %w", io.ErrUnexpectedEOF)
