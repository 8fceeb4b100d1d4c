package direct

import (
	"errors"
	"strings"
	"testing"
)

// Events are passed on whole, however a stream is split over reads, and one
// without end stops the stream.
func TestEventBuffer(t *testing.T) {
	tests := []struct {
		name  string
		reads []string
		// passed joins the complete events, rest is what is left.
		passed, rest string
		err          error
	}{
		{"one event", []string{"id: 1\n\n"}, "id: 1\n\n", "", nil},
		{"end split over two reads", []string{"id: 1\n", "\nid: 2"}, "id: 1\n\n", "id: 2", nil},
		{"byte by byte", strings.Split("id: 1\n\nid: 2\n\n", ""), "id: 1\n\nid: 2\n\n", "", nil},
		{"several in one read", []string{"a\n\nb\n\nc"}, "a\n\nb\n\n", "c", nil},
		{"without end", []string{strings.Repeat("x", maxEvent), "x"}, "", strings.Repeat("x", maxEvent+1), errEventTooLong},
		{"long but whole", []string{strings.Repeat("x", maxEvent), "\n\n"}, strings.Repeat("x", maxEvent) + "\n\n", "", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var in eventBuffer
			var passed strings.Builder
			var err error
			for _, r := range test.reads {
				var complete []byte
				if complete, err = in.add([]byte(r)); err != nil {
					break
				}
				passed.Write(complete)
			}
			if passed.String() != test.passed || string(in.rest()) != test.rest || !errors.Is(err, test.err) {
				t.Errorf("passed %d bytes, %d left, %v; want %d, %d, %v", passed.Len(), len(in.rest()), err, len(test.passed), len(test.rest), test.err)
			}
		})
	}
}
