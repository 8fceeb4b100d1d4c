package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"currantwick"
)

// chunk is one event of a streamed completion.
type chunk struct {
	ID         string      `json:"id"`
	Model      string      `json:"model"`
	Choices    []choice    `json:"choices"`
	TokenIndex wick.Tokens `json:"token_index"`
	TokenCount wick.Tokens `json:"token_count"`
	Error      *chunkError `json:"error,omitempty"`
}

type choice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// chunkError ends a stream that fails after its response header was sent.
type chunkError struct {
	Message string `json:"message"`
	// NotRun is set when the request never entered the batch.
	NotRun bool `json:"not_run"`
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// stream converts events to frames. Its frames are contiguous: next is the index
// of the next token.
type stream struct {
	job     wick.Job
	model   string
	emit    func(wick.Frame) error
	next    wick.Tokens
	started bool
	// finished is set once the finish reason was received.
	finished bool
}

func newStream(job wick.Job, emit func(wick.Frame) error) *stream {
	return &stream{job: job, model: ModelField(job.Work), emit: emit, next: job.Work.HaveTokens}
}

// run reads events until the end marker.
func (s *stream) run(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return errIncomplete
		}
		if err != nil {
			return fmt.Errorf("read event: %w", err)
		}
		done, err := s.line(bytes.TrimSpace(line))
		if done || err != nil {
			return err
		}
	}
}

// line handles one line of the stream and reports whether it was the end marker.
func (s *stream) line(line []byte) (done bool, err error) {
	if len(line) == 0 {
		return false, nil
	}
	if line[0] == ':' {
		return false, s.forwardHeartbeat()
	}
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return false, nil // Other fields of an event are not used.
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, doneMarker) {
		return s.finish()
	}
	var ch chunk
	if err := json.Unmarshal(data, &ch); err != nil {
		return false, fmt.Errorf("decode event: %w", err)
	}
	return false, s.handleChunk(ch)
}

func (s *stream) finish() (bool, error) {
	if !s.finished {
		return false, errIncomplete
	}
	return true, s.send(wick.Frame{Kind: wick.FrameEnd, Count: s.next, Ran: s.ran()})
}

// forwardHeartbeat forwards a heartbeat. Those before the first chunk are dropped,
// because FrameStart must be the first frame.
func (s *stream) forwardHeartbeat() error {
	if !s.started {
		return nil
	}
	return s.send(wick.Frame{Kind: wick.FrameHeartbeat})
}

func (s *stream) handleChunk(ch chunk) error {
	if ch.Error != nil {
		return s.chunkFailure(ch.Error)
	}
	if err := s.validate(ch); err != nil {
		return err
	}
	if !s.started {
		s.started = true
		if err := s.send(wick.Frame{Kind: wick.FrameStart, Ran: s.ran()}); err != nil {
			return err
		}
	}
	c := ch.Choices[0]
	if c.FinishReason != nil && *c.FinishReason != "" {
		s.finished = true
	}
	if ch.TokenCount == 0 {
		return nil
	}
	f := wick.Frame{Kind: wick.FrameText, Index: s.next, Count: ch.TokenCount, Text: c.Text}
	s.next += ch.TokenCount
	return s.send(f)
}

func (s *stream) chunkFailure(e *chunkError) error {
	if e.NotRun && s.next == s.job.Work.HaveTokens {
		return wick.NotRunf(wick.CodeLoadFailed, "engine: %s", e.Message)
	}
	return wick.Unknownf(wick.CodeBroken, "engine: %s", e.Message)
}

// validate compares the request and model that the engine echoes with the job,
// so that a response to another request is detected at its first event. It also
// checks the order and the number of tokens.
func (s *stream) validate(ch chunk) error {
	if ch.ID != string(s.job.Request) {
		return wick.Unknownf(wick.CodeMismatch, "engine answered request %q, not %q", ch.ID, s.job.Request)
	}
	if ch.Model != s.model {
		return wick.Unknownf(wick.CodeMismatch, "engine ran %q, not %q", ch.Model, s.model)
	}
	if len(ch.Choices) != 1 {
		return wick.Unknownf(wick.CodeBroken, "event holds %d choices, not 1", len(ch.Choices))
	}
	if s.finished {
		return wick.Unknownf(wick.CodeBroken, "event after the finish reason")
	}
	if ch.TokenCount < 0 || ch.TokenCount > 0 && ch.TokenIndex != s.next {
		return wick.Unknownf(wick.CodeBroken, "event has tokens %d+%d, not from %d", ch.TokenIndex, ch.TokenCount, s.next)
	}
	if ch.TokenCount > s.job.Work.MaxTokens-s.next {
		return wick.Unknownf(wick.CodeBroken, "engine sent more than %d tokens", s.job.Work.MaxTokens)
	}
	if ch.TokenCount == 0 && ch.Choices[0].Text != "" {
		return wick.Unknownf(wick.CodeBroken, "event has text but no tokens")
	}
	return nil
}

func (s *stream) ran() *wick.Ran {
	return &wick.Ran{Endpoint: s.job.Endpoint, Ref: s.job.Work.Ref}
}

func (s *stream) send(f wick.Frame) error {
	f.Request = s.job.Request
	if err := s.emit(f); err != nil {
		return emitError{err}
	}
	return nil
}
