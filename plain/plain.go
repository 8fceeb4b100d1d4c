// Package plain calls plain services. It implements wick.Services: one call is
// one connection and one sending, whatever becomes of it.
package plain

import (
	"context"
	"fmt"

	"currantwick"
	"currantwick/httpc"

	"github.com/valyala/fasthttp"
)

// Headers that calls carry.
const (
	headerRequest = "X-Request-Id"
	headerKey     = "X-Claim-Key"
)

// Config configures a Client.
type Config struct {
	// HTTP bounds the calls; its Quiet bounds the wait for a reply.
	HTTP httpc.Config
}

// Client implements wick.Services.
type Client struct {
	http *httpc.Client
}

var _ wick.Services = (*Client)(nil)

// New returns a client for plain services.
func New(cfg Config) *Client { return &Client{httpc.New(cfg.HTTP)} }

// Invoke implements wick.Services. Any status is a reply: it shows that the
// service took the call.
func (c *Client) Invoke(ctx context.Context, addr wick.Address, request wick.RequestID, call wick.Call) (wick.Reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(call.Path)
	req.Header.SetContentType("application/json")
	req.Header.Set(headerRequest, string(request))
	if call.Key != "" {
		req.Header.Set(headerKey, string(call.Key))
	}
	req.SetBodyRaw(call.Body)
	if err := c.http.Do(ctx, addr, req, resp); err != nil {
		return wick.Reply{}, fmt.Errorf("call %s: %w", call.Path, err)
	}
	body := append([]byte(nil), resp.Body()...)
	return wick.Reply{Status: resp.StatusCode(), Body: body}, nil
}
