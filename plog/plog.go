// Package plog reads and appends to the platform's log over HTTP. It implements
// wick.Log and never retries an append itself.
package plog

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"currantwick"
	"currantwick/codec"
	"currantwick/httpc"

	"github.com/valyala/fasthttp"
)

// Defaults where the configuration sets none, and the bound on replies.
const (
	defaultWait        = 10 * time.Second
	defaultReadTimeout = 5 * time.Second
	maxReadBytes       = wick.Bytes(64 << 20)
)

// Config configures a Client.
type Config struct {
	// Address is where the platform serves the log.
	Address wick.Address
	// Wait bounds how long a read waits for its first entry; 0 means 10 s.
	Wait wick.Duration
	// HTTP sets up the HTTP client. For reads, Wait is added to its ReadTimeout,
	// and MaxReply is 64 MiB.
	HTTP httpc.Config
}

// Client implements wick.Log.
type Client struct {
	addr    wick.Address
	wait    time.Duration
	appends *httpc.Client
	reads   *httpc.Client
}

var _ wick.Log = (*Client)(nil)

// New returns a client for the log.
func New(cfg Config) *Client {
	if cfg.Wait <= 0 {
		cfg.Wait = wick.Duration(defaultWait)
	}
	reads := cfg.HTTP
	if reads.ReadTimeout <= 0 {
		reads.ReadTimeout = wick.Duration(defaultReadTimeout)
	}
	reads.ReadTimeout += cfg.Wait
	reads.MaxReply = maxReadBytes
	return &Client{cfg.Address, cfg.Wait.Std(), httpc.New(cfg.HTTP), httpc.New(reads)}
}

// appendReply is the answer to an append.
type appendReply struct {
	Offset wick.Offset `json:"Offset"`
}

// Append implements wick.Log.
func (c *Client) Append(ctx context.Context, stream wick.StreamName, rec wick.Record) (wick.Offset, error) {
	body, err := codec.EncodeJSON(rec)
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/streams/" + string(stream))
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := c.appends.Do(ctx, c.addr, req, resp); err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return 0, fmt.Errorf("append to %s: %w", stream, statusError(status))
	}
	var a appendReply
	if err := codec.DecodeJSON(resp.Body(), &a); err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	return a.Offset, nil
}

// statusError returns the error for a status other than 200. Only the
// rejections that the platform documents guarantee that nothing was appended.
func statusError(status int) *wick.Error {
	switch status {
	case fasthttp.StatusBadRequest:
		return wick.NotRunf(wick.CodeTooLarge, "the log refuses the record (status %d), which may be too large", status)
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return wick.NotRunf(wick.CodeOverload, "log: status %d", status)
	}
	return wick.Unknownf(wick.CodeBroken, "log: status %d", status)
}

// Read implements wick.Log.
func (c *Client) Read(ctx context.Context, stream wick.StreamName, from wick.Offset, limit int) ([]wick.Entry, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/streams/" + string(stream))
	args := req.URI().QueryArgs()
	args.Set("from", strconv.FormatUint(uint64(from), 10))
	args.SetUint("limit", limit)
	args.SetUint("wait_ms", int(c.wait.Milliseconds()))
	if err := c.reads.Do(ctx, c.addr, req, resp); err != nil {
		return nil, fmt.Errorf("read %s: %w", stream, err)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return nil, fmt.Errorf("read %s: %w", stream, statusError(status))
	}
	entries, err := decodeEntries(resp.Body())
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", stream, err)
	}
	return entries, nil
}

// rawEntry is an entry whose record is not decoded yet.
type rawEntry struct {
	Offset wick.Offset     `json:"Offset"`
	Time   int64           `json:"Time"`
	Record json.RawMessage `json:"Record"`
}

// decodeEntries decodes entries, whose offsets must increase. A record that
// can't be decoded is marked as bad, so that one bad record does not stop the
// readers.
func decodeEntries(data []byte) ([]wick.Entry, error) {
	var raw []rawEntry
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, fmt.Errorf("decode entries: %w", err)
	}
	var out []wick.Entry
	last := wick.Offset(0)
	for _, r := range raw {
		if r.Offset <= last {
			return nil, fmt.Errorf("offset %d after %d", r.Offset, last)
		}
		last = r.Offset
		e := wick.Entry{Offset: r.Offset, Time: r.Time}
		if err := codec.DecodeJSON(r.Record, &e.Record); err != nil {
			e.Record = wick.Record{}
			e.Bad = true
		}
		out = append(out, e)
	}
	return out, nil
}
