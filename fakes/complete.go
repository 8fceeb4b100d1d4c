package fakes

import (
	"bufio"
	"fmt"
	"time"

	"currantwick"
	"currantwick/codec"

	"github.com/valyala/fasthttp"
)

type completionRequest struct {
	Model      string      `json:"model"`
	Prompt     string      `json:"prompt"`
	MaxTokens  wick.Tokens `json:"max_tokens"`
	Stream     bool        `json:"stream"`
	Have       string      `json:"have"`
	HaveTokens wick.Tokens `json:"have_tokens"`
}

type completionReply struct {
	ID         string             `json:"id"`
	Object     string             `json:"object"`
	Model      string             `json:"model"`
	Choices    []completionChoice `json:"choices"`
	TokenIndex wick.Tokens        `json:"token_index"`
	TokenCount wick.Tokens        `json:"token_count"`
	Usage      *usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     wick.Tokens `json:"prompt_tokens"`
	CompletionTokens wick.Tokens `json:"completion_tokens"`
	TotalTokens      wick.Tokens `json:"total_tokens"`
}

// defaultMaxTokens is the answer length where the request sets none.
const defaultMaxTokens wick.Tokens = 16

// finishLength is the finish reason of all answers.
const finishLength = "length"

func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	var req completionRequest
	if !decodeBody(ctx, &req) {
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	s := &sequence{
		request: wick.RequestID(ctx.Request.Header.Peek(headerRequest)),
		model:   req.Model,
		prompt:  req.Prompt,
		level:   wick.Level(headerNumber(ctx, headerPriority)),
		key:     answerKey(req.Prompt, req.Model),
		max:     req.MaxTokens,
		ready:   req.HaveTokens,
		conn:    connOf(ctx),
		changed: make(chan struct{}, 1),
	}
	if req.HaveTokens < 0 || req.HaveTokens > req.MaxTokens {
		refuse(ctx, fasthttp.StatusBadRequest, "have_tokens must be 0 to max_tokens")
		return
	}
	e.checkResume(req)
	if status, text := e.submit(s); status != fasthttp.StatusOK {
		refuse(ctx, status, "%s", text)
		return
	}
	if req.Stream {
		e.replyStream(ctx, s, req.HaveTokens)
		return
	}
	e.replyUnstreamed(ctx, s, req.HaveTokens)
}

func (e *Engine) checkResume(req completionRequest) {
	if req.HaveTokens == 0 || req.Have == Answer(req.Prompt, req.Model, req.HaveTokens) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.BadResumes++
}

// progress is a copy of the state of a sequence that the engine's lock guards.
type progress struct {
	ready  wick.Tokens
	err    *failureText
	broken bool
}

func (e *Engine) progress(s *sequence) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{s.ready, s.err, s.broken}
}

// replyUnstreamed answers a request that is not streamed.
func (e *Engine) replyUnstreamed(ctx *fasthttp.RequestCtx, s *sequence, from wick.Tokens) {
	for {
		<-s.changed
		p := e.progress(s)
		if p.broken {
			s.conn.drop()
			return
		}
		if p.err != nil {
			refuse(ctx, fasthttp.StatusNotFound, "%s", p.err.Message)
			return
		}
		if p.ready == s.max {
			break
		}
	}
	r := s.finish(from)
	prompt := promptTokens(s.prompt)
	r.Usage = &usage{prompt, s.max, prompt + s.max}
	reply(ctx, r)
}

// replyStream answers a request with one event per step.
func (e *Engine) replyStream(ctx *fasthttp.RequestCtx, s *sequence, from wick.Tokens) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		if err := e.sendEvents(w, s, from); err != nil {
			e.cancel(s)
		}
	})
}

// sendEvents writes the events of a request, and heartbeats while there are
// none.
func (e *Engine) sendEvents(w *bufio.Writer, s *sequence, sent wick.Tokens) error {
	if err := writeEvent(w, s.part(sent, sent)); err != nil {
		return fmt.Errorf("send start: %w", err)
	}
	heartbeat := time.NewTicker(e.cfg.Beat.Std())
	defer heartbeat.Stop()
	for {
		select {
		case <-heartbeat.C:
			if err := writeLine(w, []byte(": waiting")); err != nil {
				return fmt.Errorf("send heartbeat: %w", err)
			}
			continue
		case <-s.changed:
		}
		p := e.progress(s)
		if p.broken {
			s.conn.drop()
			return nil
		}
		if p.err != nil {
			return writeEvent(w, failure{*p.err})
		}
		if p.ready == s.max {
			return s.sendLast(w, sent)
		}
		if p.ready == sent {
			continue
		}
		if err := writeEvent(w, s.part(sent, p.ready)); err != nil {
			return fmt.Errorf("send tokens: %w", err)
		}
		sent = p.ready
		heartbeat.Reset(e.cfg.Beat.Std())
	}
}

// sendLast writes the last tokens and the [DONE] event.
func (s *sequence) sendLast(w *bufio.Writer, sent wick.Tokens) error {
	if err := writeEvent(w, s.finish(sent)); err != nil {
		return fmt.Errorf("send last tokens: %w", err)
	}
	return writeLine(w, []byte("data: [DONE]"))
}

// part returns a reply with the tokens from one index up to another.
func (s *sequence) part(from, to wick.Tokens) completionReply {
	r := completionReply{
		ID:         string(s.request),
		Object:     "text_completion",
		Model:      s.model,
		Choices:    []completionChoice{{Text: answerPart(s.key, from, to)}},
		TokenIndex: from,
		TokenCount: to - from,
	}
	return r
}

// finish returns a reply with the last tokens and the finish reason.
func (s *sequence) finish(from wick.Tokens) completionReply {
	r := s.part(from, s.max)
	reason := finishLength
	r.Choices[0].FinishReason = &reason
	return r
}

func writeEvent(w *bufio.Writer, v any) error {
	data, err := codec.EncodeJSON(v)
	if err != nil {
		return fmt.Errorf("event: %w", err)
	}
	return writeLine(w, append([]byte("data: "), data...))
}

// writeLine writes one line of an event stream and the empty line that ends the
// event.
func writeLine(w *bufio.Writer, data []byte) error {
	if _, err := w.Write(append(data, "\n\n"...)); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("flush: %w", err)
	}
	return nil
}
