// Package logs writes structured log lines without blocking requests: lines go
// through a bounded queue, and lines that find it full are dropped and counted.
package logs

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"currantwick/pause"
)

const (
	// queueLines is the capacity of the queue in lines: a few seconds of a
	// daemon's log.
	queueLines = 4096
	// flushInterval is the time between writes, so that many lines share one
	// call.
	flushInterval = 100 * time.Millisecond
)

// Queue is an io.Writer that never blocks.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{lines: make(chan []byte, queueLines)} }

// Logger returns a logger that writes JSON lines to the queue.
func (q *Queue) Logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(q, &slog.HandlerOptions{Level: level}))
}

// Write implements io.Writer. It queues one line, or drops it if the queue is
// full.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Run writes lines until ctx ends, and then those still in the queue.
func (q *Queue) Run(ctx context.Context, to io.Writer) error {
	var batch bytes.Buffer
	for {
		select {
		case <-ctx.Done():
			q.drain(&batch)
			_, err := batch.WriteTo(to)
			return err
		case line := <-q.lines:
			batch.Write(line)
		}
		// Batch the lines that arrive within the interval.
		pause.For(ctx, flushInterval)
		q.drain(&batch)
		if _, err := batch.WriteTo(to); err != nil {
			return err
		}
	}
}

func (q *Queue) drain(to *bytes.Buffer) {
	for {
		select {
		case line := <-q.lines:
			to.Write(line)
		default:
			return
		}
	}
}
