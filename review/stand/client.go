package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// call is one request of a caller.
type call struct {
	method, host, path, model string
	left                      time.Duration
	body                      []byte
	// to is the address of the daemon.
	to string
}

// result is the answer to a call; status is 0 if none arrived whole.
type result struct {
	id     string
	status int
	seal   string
	body   []byte
	err    error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newCaller returns an HTTP client that keeps its connections and retries nothing.
func newCaller() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 64,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// send makes a call and reads its whole answer.
func (w *world) send(client *http.Client, c call) result {
	res := result{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), c.left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.to+c.path, bytes.NewReader(c.body))
	if err != nil {
		res.err = fmt.Errorf("build request: %w", err)
		return res
	}
	req.Host = c.host
	req.GetBody = nil // No retry by the client library.
	req.Header.Set(names.Attempt, res.id)
	req.Header.Set(names.Left, strconv.FormatInt(c.left.Milliseconds(), 10))
	if c.model != "" {
		req.Header.Set(names.Model, c.model)
		req.Header.Set(names.Tokens, "491,70")
		req.Header.Set(names.Parts, fmt.Sprintf("5c1e07a2:93,%08x:398", rand.Uint32()))
	}
	w.record.add("%s: sent to %s, %s %s %s", res.id, c.to, c.method, c.path, c.model)
	resp, err := client.Do(req)
	if err != nil {
		res.err = fmt.Errorf("send: %w", err)
		w.record.add("%s: no answer: %v", res.id, err)
		return res
	}
	defer resp.Body.Close()
	res.body, err = io.ReadAll(resp.Body)
	res.seal = resp.Header.Get(names.Seal)
	if err != nil {
		res.err = fmt.Errorf("read answer: %w", err)
		w.record.add("%s: answer %d broke off: %v", res.id, resp.StatusCode, err)
		return res
	}
	res.status = resp.StatusCode
	w.record.add("%s: answer %d, %d bytes, seal %q", res.id, res.status, len(res.body), res.seal)
	return res
}
