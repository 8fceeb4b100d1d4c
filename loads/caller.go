package loads

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"currantwick"
	"currantwick/codec"
	"currantwick/entry"
	"currantwick/fakes"

	"github.com/valyala/fasthttp"
)

// Ending is how a request ended, as its caller saw it.
type Ending string

// The endings of requests.
const (
	// Complete answers are whole and correct.
	Complete Ending = "Whole"
	// Refused requests were answered with the outcome NotRun.
	Refused Ending = "Refused"
	// Failed requests were cut off, or ended with an error after which they may
	// have run.
	Failed Ending = "Failed"
	// Wrong answers differ from what the engine generates with the requested
	// adapter.
	Wrong Ending = "Wrong"
)

// Answer is the result of one request.
type Answer struct {
	Arrival
	Ending Ending
	Code   wick.Code
	// Late is how long after its due time the request was sent.
	Late time.Duration
	// First and Last are the times from the request's due time to its first token
	// and to its end. First is 0 if no token was received; for a call it is the
	// time to the answer.
	First time.Duration
	Last  time.Duration
}

// caller sends requests over HTTP.
type caller struct {
	http    *fasthttp.Client
	entries []wick.Address
	scene   Scene
	// runID makes request ids and idempotency keys differ between runs.
	runID string
}

// callTimeout bounds one request.
const callTimeout = 3 * time.Minute

func newCaller(s Scene, entries []wick.Address, runID string) *caller {
	return &caller{
		http: &fasthttp.Client{
			StreamResponseBody: true,
			MaxConnsPerHost:    1 << 16,
			ReadTimeout:        callTimeout,
			// Never let the library retry a request.
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
		entries: entries,
		scene:   s,
		runID:   runID,
	}
}

// send sends the i-th request of the trace and reads its answer.
func (c *caller) send(i int, a Arrival, start time.Time) Answer {
	out := Answer{Arrival: a, Late: time.Since(start) - a.At}
	k := c.scene.Kinds[a.Kind]
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	at := "http://" + string(c.entries[i%len(c.entries)])
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(entry.HeaderRequest, fmt.Sprintf("%s-%d", c.runID, i))
	since := func() time.Duration { return time.Since(start) - a.At }
	if k.IsCall() {
		req.SetRequestURI(at + "/v1/calls/" + string(routeOf(k, 0)))
		req.Header.Set(entry.HeaderKey, fmt.Sprintf("%s-%d", c.runID, i))
		req.SetBodyString("{}")
	} else if err := c.fillCompletion(req, at, i, a); err != nil {
		out.Ending, out.Code = Failed, wick.CodeInternal
		return out
	}
	if err := c.http.Do(req, resp); err != nil {
		out.Ending, out.Code, out.Last = Failed, wick.CodeBroken, since()
		return out
	}
	defer closeBody(resp)
	switch {
	case resp.StatusCode() != fasthttp.StatusOK:
		out.Ending, out.Code = refusal(resp)
	case k.IsCall():
		out.Ending = Complete
		out.First = since()
	default:
		c.readStream(resp, i, a, &out, since)
	}
	out.Last = since()
	return out
}

// closeBody frees the connection. An error is ignored, as it does not affect the
// answer.
func closeBody(resp *fasthttp.Response) {
	if err := resp.CloseBodyStream(); err != nil {
		return
	}
}

// completion is the body of an OpenAI-style completion request.
type completion struct {
	Model     wick.RouteName `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens wick.Tokens    `json:"max_tokens"`
	Stream    bool           `json:"stream"`
}

func (c *caller) fillCompletion(req *fasthttp.Request, at string, i int, a Arrival) error {
	k := c.scene.Kinds[a.Kind]
	body, err := codec.EncodeJSON(completion{routeOf(k, a.Adapter), c.prompt(i, a), a.Answer, true})
	if err != nil {
		return fmt.Errorf("completion: %w", err)
	}
	req.SetRequestURI(at + "/v1/completions")
	req.SetBody(body)
	return nil
}

// prompt returns the prompt of the i-th request. All requests of a kind for an
// adapter share its first half as a prefix.
func (c *caller) prompt(i int, a Arrival) string {
	k := c.scene.Kinds[a.Kind]
	half := int(k.Prompt) / 2
	var b strings.Builder
	fmt.Fprintf(&b, "want:%s %s", ref(a.Adapter), k.Name)
	for w := range half {
		fmt.Fprintf(&b, " c%d", w)
	}
	fmt.Fprintf(&b, " %s-%d", c.runID, i)
	for w := half; w < int(a.Prompt); w++ {
		fmt.Fprintf(&b, " u%d", w)
	}
	return b.String()
}

// refusal decodes an error response into the ending and the error code.
func refusal(resp *fasthttp.Response) (Ending, wick.Code) {
	var f struct {
		Error struct {
			Type wick.Outcome `json:"type"`
			Code wick.Code    `json:"code"`
		} `json:"error"`
	}
	if err := json.Unmarshal(resp.Body(), &f); err != nil {
		return Failed, wick.CodeInternal
	}
	if f.Error.Type == wick.NotRun {
		return Refused, f.Error.Code
	}
	return Failed, f.Error.Code
}

// chunk is one event of a streamed answer.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Type wick.Outcome `json:"type"`
		Code wick.Code    `json:"code"`
	} `json:"error"`
}

// maxEvent is the maximum size of an event in bytes.
const maxEvent = 1 << 20

// readStream reads a stream up to "[DONE]" and compares the text with what the
// fake engine generates with the requested adapter.
func (c *caller) readStream(resp *fasthttp.Response, i int, a Arrival, out *Answer, since func() time.Duration) {
	out.Ending, out.Code = Failed, wick.CodeBroken
	var text strings.Builder
	lines := bufio.NewScanner(resp.BodyStream())
	lines.Buffer(nil, maxEvent)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			out.Ending, out.Code = Complete, ""
			if text.String() != fakes.Answer(c.prompt(i, a), ref(a.Adapter).String(), a.Answer) {
				out.Ending = Wrong
			}
			return
		}
		var ch chunk
		if json.Unmarshal(data, &ch) != nil {
			return
		}
		if ch.Error != nil {
			out.Code = ch.Error.Code
			if ch.Error.Type == wick.NotRun {
				out.Ending = Refused
			}
			return
		}
		if len(ch.Choices) > 0 && ch.Choices[0].Text != "" {
			if text.Len() == 0 {
				out.First = since()
			}
			text.WriteString(ch.Choices[0].Text)
		}
	}
}
