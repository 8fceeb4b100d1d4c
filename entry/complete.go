package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"currantwick"
	"currantwick/codec"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// completionRequest is the body of a completion request. Other fields of the
// protocol have no effect here and are ignored.
type completionRequest struct {
	// Model names a route.
	Model     wick.RouteName `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens wick.Tokens    `json:"max_tokens"`
	Stream    bool           `json:"stream"`
}

// completionResponse is a complete response or one chunk of a streamed one.
type completionResponse struct {
	ID      wick.RequestID `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   wick.RouteName `json:"model"`
	Choices []choice       `json:"choices"`
	Usage   *usage         `json:"usage,omitempty"`
	// Ran is the adapter and version that the endpoint reported.
	Ran *wick.Ran `json:"Ran,omitempty"`
}

type choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	// Finish is null until the response is complete.
	Finish *string `json:"finish_reason"`
}

type usage struct {
	Completion wick.Tokens `json:"completion_tokens"`
}

const (
	responseObject = "text_completion"
	finishStop     = "stop"
	streamType     = "text/event-stream"
	// frameBuffer is the number of frames buffered for a slow caller.
	frameBuffer = 256
)

func (s *Server) completions(c *fasthttp.RequestCtx) {
	req, fail := parseHeaders(c)
	if fail != nil {
		writeError(c, fail)
		return
	}
	c.Response.Header.Set(HeaderRequest, string(req.Request))
	var body completionRequest
	if err := json.Unmarshal(c.PostBody(), &body); err != nil {
		writeError(c, wick.NotRunf(wick.CodeBadRequest, "malformed body: %v", err))
		return
	}
	if body.Model == "" || body.MaxTokens < 0 {
		writeError(c, wick.NotRunf(wick.CodeBadRequest, "model must be set, max_tokens not negative"))
		return
	}
	req.Route, req.Prompt, req.MaxTokens = body.Model, body.Prompt, body.MaxTokens
	if body.Stream {
		s.respondStream(c, req)
		return
	}
	s.respondUnstreamed(c, req)
}

// respondUnstreamed responds without streaming. Nothing is sent before the end frame,
// so that a truncated response never looks complete.
func (s *Server) respondUnstreamed(c *fasthttp.RequestCtx, req wick.CallerRequest) {
	var text strings.Builder
	out := newResponse(req)
	err := s.cfg.Front.Complete(s.base, req, func(f wick.Frame) error {
		switch f.Kind {
		case wick.FrameText:
			text.WriteString(f.Text)
		case wick.FrameEnd:
			out.finish(f)
		}
		return nil
	})
	if err != nil {
		writeError(c, wick.AsError(err))
		return
	}
	out.Choices[0].Text = text.String()
	writeJSON(c, fasthttp.StatusOK, out)
}

func newResponse(req wick.CallerRequest) completionResponse {
	return completionResponse{
		ID:      req.Request,
		Object:  responseObject,
		Created: time.Now().Unix(),
		Model:   req.Route,
		Choices: make([]choice, 1),
	}
}

func (a *completionResponse) finish(f wick.Frame) {
	reason := finishStop
	a.Choices[0].Finish = &reason
	a.Usage = &usage{Completion: f.Count}
	a.Ran = f.Ran
}

// frameQueue passes frames from the goroutine that runs a request to the one that
// writes to its caller.
type frameQueue struct {
	frames chan wick.Frame
	// fail is the request's error; it may be read once frames is closed.
	fail error
	// cancel ends the request when its caller has disconnected.
	cancel context.CancelFunc
	group  errgroup.Group
}

func (s *Server) startRequest(req wick.CallerRequest) *frameQueue {
	ctx, cancel := context.WithCancel(s.base)
	q := &frameQueue{frames: make(chan wick.Frame, frameBuffer), cancel: cancel}
	q.group.Go(func() error {
		defer close(q.frames)
		q.fail = s.cfg.Front.Complete(ctx, req, func(f wick.Frame) error {
			select {
			case q.frames <- f:
				return nil
			case <-ctx.Done():
				return wick.Unknownf(wick.CodeCanceled, "caller is gone")
			}
		})
		return nil
	})
	return q
}

// respondStream responds with server-sent events. The status is sent only once
// the request has started or failed.
func (s *Server) respondStream(c *fasthttp.RequestCtx, req wick.CallerRequest) {
	q := s.startRequest(req)
	first, ok := q.first()
	if !ok {
		q.cancel()
		writeError(c, wick.AsError(q.fail))
		return
	}
	c.SetContentType(streamType)
	s.active.Add(1)
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.active.Add(-1)
		defer q.cancel()
		q.write(w, req, first)
	})
}

// first waits for the first frame that is not a heartbeat.
func (q *frameQueue) first() (wick.Frame, bool) {
	for f := range q.frames {
		if f.Kind != wick.FrameHeartbeat {
			return f, true
		}
	}
	return wick.Frame{}, false
}

func (q *frameQueue) write(w *bufio.Writer, req wick.CallerRequest, first wick.Frame) {
	if writeFrame(w, req, first) != nil {
		return
	}
	for f := range q.frames {
		if writeFrame(w, req, f) != nil {
			return
		}
	}
	if q.fail != nil {
		_ = writeEvent(w, newErrorResponse(wick.AsError(q.fail)))
		return
	}
	_ = writeLine(w, "data: [DONE]")
}

func writeFrame(w *bufio.Writer, req wick.CallerRequest, f wick.Frame) error {
	out := newResponse(req)
	switch f.Kind {
	case wick.FrameStart:
		out.Ran = f.Ran
	case wick.FrameText:
		out.Choices[0].Text = f.Text
	case wick.FrameEnd:
		out.finish(f)
	default:
		return writeHeartbeat(w)
	}
	return writeEvent(w, out)
}

// writeHeartbeat keeps the connection active; a write error shows that the
// caller has disconnected.
func writeHeartbeat(w *bufio.Writer) error {
	return writeLine(w, ": beat")
}

func writeEvent(w *bufio.Writer, v any) error {
	data, err := codec.EncodeJSON(v)
	if err != nil {
		return fmt.Errorf("event: %w", err)
	}
	return writeLine(w, "data: "+string(data))
}

// writeLine writes one event or comment and flushes it.
func writeLine(w *bufio.Writer, line string) error {
	// Flush returns the error of a failed write.
	_, _ = w.WriteString(line)
	_, _ = w.WriteString("\n\n")
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}
