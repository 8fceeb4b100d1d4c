// Package calls is a client for plain services. It implements wick.Services.
// Each call opens one connection and is sent once; it is never retried.
package calls

import (
	"context"
	"fmt"

	"currantwick"
	"currantwick/httpc"

	"github.com/valyala/fasthttp"
)

// Headers of calls.
const (
	headerRequest = "X-Request-Id"
	headerKey     = "X-Claim-Key"
)

// Config configures a Client.
type Config struct {
	// HTTP sets the limits of calls; its ReadTimeout bounds each read of a
	// reply.
	HTTP httpc.Config
}

// Client implements wick.Services.
type Client struct {
	http *httpc.Client
}

var _ wick.Services = (*Client)(nil)

// New returns a client for plain services.
func New(cfg Config) *Client { return &Client{httpc.New(cfg.HTTP)} }

// Invoke implements wick.Services. A response with any status is a reply, since
// it shows that the service received the call.
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
