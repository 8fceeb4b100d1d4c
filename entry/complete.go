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

// completion is the body of a completion request. Fields of the protocol that
// do not change what the system does are passed over.
type completion struct {
	// Model names a route.
	Model     wick.RouteName `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens wick.Tokens    `json:"max_tokens"`
	Stream    bool           `json:"stream"`
}

// answer is a whole answer or one chunk of a streamed one.
type answer struct {
	ID      wick.RequestID `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   wick.RouteName `json:"model"`
	Choices []choice       `json:"choices"`
	Usage   *usage         `json:"usage,omitempty"`
	// Ran names adapter and version, as the endpoint echoed them.
	Ran *wick.Ran `json:"Ran,omitempty"`
}

type choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	// Finish is the end mark: it is null until the answer is whole.
	Finish *string `json:"finish_reason"`
}

type usage struct {
	Completion wick.Tokens `json:"completion_tokens"`
}

const (
	answerObject = "text_completion"
	finishStop   = "stop"
	streamType   = "text/event-stream"
	// frameBuffer is how many frames may wait for a slow caller.
	frameBuffer = 256
)

func (s *Server) completions(c *fasthttp.RequestCtx) {
	ask, fail := newAsk(c)
	if fail != nil {
		writeError(c, fail)
		return
	}
	c.Response.Header.Set(HeaderRequest, string(ask.Request))
	var body completion
	if err := json.Unmarshal(c.PostBody(), &body); err != nil {
		writeError(c, wick.NotRunf(wick.CodeBadRequest, "malformed body: %v", err))
		return
	}
	if body.Model == "" || body.MaxTokens < 0 {
		writeError(c, wick.NotRunf(wick.CodeBadRequest, "model must be set, max_tokens not negative"))
		return
	}
	ask.Route, ask.Prompt, ask.MaxTokens = body.Model, body.Prompt, body.MaxTokens
	if body.Stream {
		s.stream(c, ask)
		return
	}
	s.whole(c, ask)
}

// whole answers in one piece. Nothing is sent before the end mark arrived, so
// that a broken answer never looks whole.
func (s *Server) whole(c *fasthttp.RequestCtx, ask wick.Ask) {
	var text strings.Builder
	out := newAnswer(ask)
	err := s.cfg.Front.Complete(s.base, ask, func(f wick.Frame) error {
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

func newAnswer(ask wick.Ask) answer {
	return answer{
		ID:      ask.Request,
		Object:  answerObject,
		Created: time.Now().Unix(),
		Model:   ask.Route,
		Choices: make([]choice, 1),
	}
}

func (a *answer) finish(f wick.Frame) {
	reason := finishStop
	a.Choices[0].Finish = &reason
	a.Usage = &usage{Completion: f.Count}
	a.Ran = f.Ran
}

// feed carries frames from the goroutine that runs a request to the one that
// writes to its caller.
type feed struct {
	frames chan wick.Frame
	// fail holds the request's error; read it after frames was closed.
	fail error
	// cancel ends the request when its caller is gone.
	cancel context.CancelFunc
	group  errgroup.Group
}

func (s *Server) startFeed(ask wick.Ask) *feed {
	ctx, cancel := context.WithCancel(s.base)
	fd := &feed{frames: make(chan wick.Frame, frameBuffer), cancel: cancel}
	fd.group.Go(func() error {
		defer close(fd.frames)
		fd.fail = s.cfg.Front.Complete(ctx, ask, func(f wick.Frame) error {
			select {
			case fd.frames <- f:
				return nil
			case <-ctx.Done():
				return wick.Unknownf(wick.CodeCanceled, "caller is gone")
			}
		})
		return nil
	})
	return fd
}

// stream answers in server-sent events. The status is chosen when the request
// has started or failed, and not before.
func (s *Server) stream(c *fasthttp.RequestCtx, ask wick.Ask) {
	fd := s.startFeed(ask)
	first, ok := fd.first()
	if !ok {
		fd.cancel()
		writeError(c, wick.AsError(fd.fail))
		return
	}
	c.SetContentType(streamType)
	s.active.Add(1)
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.active.Add(-1)
		defer fd.cancel()
		fd.write(w, ask, first)
	})
}

// first waits for the frame that starts the answer.
func (fd *feed) first() (wick.Frame, bool) {
	for f := range fd.frames {
		if f.Kind != wick.FrameBeat {
			return f, true
		}
	}
	return wick.Frame{}, false
}

func (fd *feed) write(w *bufio.Writer, ask wick.Ask, first wick.Frame) {
	if writeFrame(w, ask, first) != nil {
		return
	}
	for f := range fd.frames {
		if writeFrame(w, ask, f) != nil {
			return
		}
	}
	if fd.fail != nil {
		_ = writeEvent(w, failureOf(wick.AsError(fd.fail)))
		return
	}
	_ = writeLine(w, "data: [DONE]")
}

func writeFrame(w *bufio.Writer, ask wick.Ask, f wick.Frame) error {
	out := newAnswer(ask)
	switch f.Kind {
	case wick.FrameStart:
		out.Ran = f.Ran
	case wick.FrameText:
		out.Choices[0].Text = f.Text
	case wick.FrameEnd:
		out.finish(f)
	default:
		return writeComment(w)
	}
	return writeEvent(w, out)
}

// writeComment keeps the connection busy and shows whether the caller is still
// there.
func writeComment(w *bufio.Writer) error {
	return writeLine(w, ": beat")
}

func writeEvent(w *bufio.Writer, v any) error {
	data, err := codec.EncodeJSON(v)
	if err != nil {
		return fmt.Errorf("event: %w", err)
	}
	return writeLine(w, "data: "+string(data))
}

// writeLine sends one event or comment at once.
func writeLine(w *bufio.Writer, line string) error {
	// A failed write shows in Flush.
	_, _ = w.WriteString(line)
	_, _ = w.WriteString("\n\n")
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}
