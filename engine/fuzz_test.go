package engine

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"currantwick"
)

const (
	first = `data: {"id":"q1","model":"a@v1","choices":[{"text":"x ","finish_reason":null}],"token_index":0,"token_count":1}` + "\n\n"
	last  = `data: {"id":"q1","model":"a@v1","choices":[{"text":"y ","finish_reason":"length"}],"token_index":1,"token_count":1}` + "\n\n"
	done  = "data: [DONE]\n\n"
)

func testJob() wick.Job {
	return wick.Job{Request: "q1", Work: wick.Work{
		Ref: wick.Ref{Adapter: "a", Version: "v1"}, Prompt: "p", MaxTokens: 2,
	}}
}

func TestStream(t *testing.T) {
	tests := []struct {
		name string
		in   string
		code wick.Code // empty for a complete response or an untyped failure
		ends bool
	}{
		{"complete", first + ": beat\n\n" + last + done, "", true},
		{"carriage returns", strings.ReplaceAll(first+last+done, "\n", "\r\n"), "", true},
		{"no finish reason", first + done, "", false},
		{"no end marker", first + last, "", false},
		{"truncated line", first + last[:30], "", false},
		{"empty", "", "", false},
		{"other request", strings.Replace(first, "q1", "q2", 1), wick.CodeMismatch, false},
		{"other adapter", strings.Replace(first, "a@v1", "b@v1", 1), wick.CodeMismatch, false},
		{"other version", first + strings.Replace(last, "a@v1", "a@v2", 1), wick.CodeMismatch, false},
		{"gap", last, wick.CodeBroken, false},
		{"duplicate event", first + first, wick.CodeBroken, false},
		{"event after the finish reason", first + last + last, wick.CodeBroken, false},
		{"too many tokens", strings.Replace(first, `count":1`, `count":3`, 1), wick.CodeBroken, false},
		{"two choices", strings.Replace(first, `[{`, `[{},{`, 1), wick.CodeBroken, false},
		{"not run", `data: {"error":{"message":"m","not_run":true}}` + "\n\n", wick.CodeLoadFailed, false},
		{"error after a token", first + `data: {"error":{"message":"m","not_run":true}}` + "\n\n", wick.CodeBroken, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ended := false
			s := newStream(testJob(), func(f wick.Frame) error {
				ended = f.Kind == wick.FrameEnd
				return nil
			})
			err := s.run(bufio.NewReader(strings.NewReader(test.in)))
			if ended != test.ends || (err == nil) != test.ends {
				t.Fatalf("ended %t, error %v", ended, err)
			}
			if test.code != "" && wick.AsError(err).Code != test.code {
				t.Errorf("got %v, want %s", err, test.code)
			}
		})
	}
}

func FuzzStream(f *testing.F) {
	f.Add([]byte(first + last + done))
	f.Add([]byte(first + ": x\n\ndata:{}\n\n"))
	f.Add([]byte(`data: {"error":{"message":"m","not_run":true}}` + "\n"))
	f.Add([]byte("data: [DONE]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		next := wick.Tokens(0)
		ended := false
		s := newStream(testJob(), func(f wick.Frame) error {
			if err := f.Check(); err != nil || ended {
				t.Errorf("frame %+v (after the end: %t): %v", f, ended, err)
			}
			if f.Kind == wick.FrameText {
				if f.Index != next {
					t.Errorf("text at %d, want %d", f.Index, next)
				}
				next += f.Count
			}
			ended = f.Kind == wick.FrameEnd
			return nil
		})
		err := s.run(bufio.NewReaderSize(bytes.NewReader(data), 4096))
		if (err == nil) != ended || next > 2 {
			t.Errorf("error %v, ended %t, %d tokens", err, ended, next)
		}
	})
}

func FuzzDecodeReport(f *testing.F) {
	f.Add([]byte(`{"Boot":"1","Running":1,"Waiting":0,"Age":"1s","Resident":[{"Ref":{"Adapter":"a","Version":"v"},"Serving":1}]}`))
	f.Add([]byte(`{"Boot":"1","Running":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decodeReport(data); err == nil && r.Check() != nil {
			t.Errorf("accepted invalid report %+v", r)
		}
	})
}
