package links

import (
	"testing"

	"currantwick"
)

// TestUpdatesAreEncodedOnce checks that an update posted to many links is
// encoded once.
func TestUpdatesAreEncodedOnce(t *testing.T) {
	first, second := &wick.HolderUpdate{Shards: []wick.Shard{1}}, &wick.HolderUpdate{Shards: []wick.Shard{2}}
	report := wick.LinkMessage{Report: &wick.InstanceReport{Ready: true}}
	tests := []struct {
		name   string
		msg    wick.LinkMessage
		cached bool
	}{
		{"the first", wick.LinkMessage{Update: first}, false},
		{"again", wick.LinkMessage{Update: first}, true},
		{"another", wick.LinkMessage{Update: second}, false},
		{"a report in between", report, false},
		{"the second update again", wick.LinkMessage{Update: second}, true},
	}
	var enc encoder
	var last []byte
	for _, test := range tests {
		frame, err := enc.frameFor(test.msg)
		if err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		if cached := last != nil && &frame[0] == &last[0]; cached != test.cached {
			t.Errorf("%s: cached frame %v, want %v", test.name, cached, test.cached)
		}
		if test.msg.Update != nil {
			last = frame
		}
	}
}
