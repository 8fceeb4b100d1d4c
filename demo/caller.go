package demo

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"currantwick"
	"currantwick/codec"
	"currantwick/entry"

	"github.com/valyala/fasthttp"
)

// caller is a small client of the callers' interface.
type caller struct {
	http fasthttp.Client
}

func newCaller() *caller {
	return &caller{http: fasthttp.Client{StreamResponseBody: true}}
}

// completion is a complete streamed answer.
type completion struct {
	Text   string
	Tokens wick.Tokens
	Ran    wick.Ran
}

// chunk is one event of a streamed answer.
type chunk struct {
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Completion wick.Tokens `json:"completion_tokens"`
	} `json:"usage"`
	Ran *wick.Ran `json:"Ran"`
}

// errNoDone is returned for a stream that ends without the [DONE] event.
var errNoDone = errors.New("stream ended without [DONE]")

// entries fetches the list of entry addresses from a daemon.
func (c *caller) entries(addr wick.Address) (wick.EntryList, error) {
	var list wick.EntryList
	_, body, err := c.http.Get(nil, "http://"+string(addr)+"/v1/entries")
	if err != nil {
		return list, fmt.Errorf("get entries: %w", err)
	}
	if err := codec.DecodeJSON(body, &list); err != nil {
		return list, fmt.Errorf("decode entries: %w", err)
	}
	return list, nil
}

// stream sends a streamed completion request and reads the answer up to [DONE].
func (c *caller) stream(addr wick.Address, route wick.RouteName, prompt string, n wick.Tokens) (completion, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body, err := codec.EncodeJSON(map[string]any{
		"model": route, "prompt": prompt, "max_tokens": n, "stream": true,
	})
	if err != nil {
		return completion{}, fmt.Errorf("encode: %w", err)
	}
	req.SetRequestURI("http://" + string(addr) + "/v1/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	if err := c.http.Do(req, resp); err != nil {
		return completion{}, fmt.Errorf("send: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return completion{}, fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return readStream(bufio.NewScanner(resp.BodyStream()))
}

func readStream(lines *bufio.Scanner) (completion, error) {
	var out completion
	var text strings.Builder
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			out.Text = text.String()
			return out, nil
		}
		var ch chunk
		if err := json.Unmarshal([]byte(data), &ch); err != nil {
			return out, fmt.Errorf("decode event: %w", err)
		}
		if len(ch.Choices) == 0 {
			return out, fmt.Errorf("stream failed: %s", data)
		}
		text.WriteString(ch.Choices[0].Text)
		if ch.Ran != nil {
			out.Ran = *ch.Ran
		}
		if ch.Usage != nil {
			out.Tokens = ch.Usage.Completion
		}
	}
	return out, errors.Join(errNoDone, lines.Err())
}

// call sends a command and returns its outcome.
func (c *caller) call(addr wick.Address, route wick.RouteName, key wick.ClaimKey, body []byte) (wick.Outcome, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + string(addr) + "/v1/calls/" + string(route))
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(entry.HeaderKey, string(key))
	req.SetBody(body)
	if err := c.http.Do(req, resp); err != nil {
		return "", fmt.Errorf("send: %w", err)
	}
	outcome := wick.Outcome(resp.Header.Peek(entry.HeaderOutcome))
	if resp.StatusCode() == fasthttp.StatusOK || outcome == wick.Answered {
		return outcome, nil
	}
	return outcome, fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
}
