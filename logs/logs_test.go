package logs_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"

	"currantwick/logs"
)

func TestQueueWritesLines(t *testing.T) {
	q := logs.NewQueue()
	q.Logger(slog.LevelInfo).Info("start", "n", 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var out bytes.Buffer
	if err := q.Run(ctx, &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `"msg":"start","n":1`) {
		t.Errorf("wrote %q", out.String())
	}
}

// A queue without a reader must neither block nor grow.
func TestFullQueueDropsAndCounts(t *testing.T) {
	q := logs.NewQueue()
	log := q.Logger(slog.LevelInfo)
	const lines = 10000
	for range lines {
		log.Info("request")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var out bytes.Buffer
	if err := q.Run(ctx, &out); err != nil {
		t.Fatal(err)
	}
	written := int64(strings.Count(out.String(), "\n"))
	if q.Dropped() == 0 || written+q.Dropped() != lines {
		t.Errorf("%d lines written and %d dropped of %d", written, q.Dropped(), lines)
	}
}

func TestTrace(t *testing.T) {
	a := `{"time":"2026-01-01T00:00:01Z","host":"a","msg":"refused by endpoint","request":"q1","endpoint":"e1","weights":"m/a1"}
{"time":"2026-01-01T00:00:02Z","host":"a","msg":"request","request":"q1","endpoint":"e2","weights":"m/a1"}
{"time":"2026-01-01T00:00:02Z","host":"a","msg":"request","request":"q2","endpoint":"e1","weights":"m/a1"}
no JSON at all`
	b := `  3.1 b {"time":"2026-01-01T00:00:00Z","host":"b","msg":"order","endpoint":"e1","weights":"m/a1"}
  3.2 b {"time":"2026-01-01T00:00:00Z","host":"b","msg":"order","endpoint":"e1","weights":"m/a2"}
  3.3 b {"time":"2026-01-01T00:00:03Z","host":"b","msg":"endpoint gone","endpoint":"e1"}
  3.4 b {"time":"2026-01-01T00:01:00Z","host":"b","msg":"order","endpoint":"e1","weights":"m/a1"}
  3.5 b {"time":"2026-01-01T00:00:01Z","host":"b","msg":"order","endpoint":"e9","weights":"m/a1"}
  3.6 b {"time":"2026-01-01T00:00:01Z","host":"b","msg":"or`
	tests := []struct {
		request string
		want    []string
	}{
		{"q1", []string{"b order", "a refused by endpoint", "a request", "b endpoint gone"}},
		{"q2", []string{"b order", "a request", "b endpoint gone"}},
		{"q3", nil},
	}
	for _, test := range tests {
		lines, err := logs.Trace(test.request, strings.NewReader(a), strings.NewReader(b))
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, l := range lines {
			got = append(got, l.Host+" "+l.Message)
		}
		if strings.Join(got, ", ") != strings.Join(test.want, ", ") {
			t.Errorf("%s: got %q, want %q", test.request, got, test.want)
		}
	}
}
