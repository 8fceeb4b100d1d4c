// Package hosts reads the platform's list of hosts over HTTP. It implements
// wick.Hosts.
package hosts

import (
	"context"
	"fmt"

	"currantwick"
	"currantwick/codec"
	"currantwick/httpc"

	"github.com/valyala/fasthttp"
)

// Config configures a Client.
type Config struct {
	// Address is the address at which the platform serves the list.
	Address wick.Address
	// HTTP configures timeouts and limits of the requests.
	HTTP httpc.Config
}

// Client implements wick.Hosts.
type Client struct {
	addr wick.Address
	http *httpc.Client
}

var _ wick.Hosts = (*Client)(nil)

// New returns a client for the list.
func New(cfg Config) *Client { return &Client{cfg.Address, httpc.New(cfg.HTTP)} }

// List implements wick.Hosts.
func (c *Client) List(ctx context.Context) ([]wick.HostStatus, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/hosts")
	if err := c.http.Do(ctx, c.addr, req, resp); err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return nil, fmt.Errorf("host list: status %d", status)
	}
	return decodeList(resp.Body())
}

func decodeList(data []byte) ([]wick.HostStatus, error) {
	var list []wick.HostStatus
	if err := codec.DecodeJSON(data, &list); err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	for _, s := range list {
		if s.State != wick.HostLive && s.State != wick.HostLeaving {
			return nil, fmt.Errorf("host list: %s has unknown state %q", s.Host, s.State)
		}
	}
	return list, nil
}
