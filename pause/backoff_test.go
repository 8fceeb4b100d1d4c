package pause_test

import (
	"testing"
	"time"

	"currantwick/pause"
)

func TestBackoff(t *testing.T) {
	const least, most = 100 * time.Millisecond, 300 * time.Millisecond
	tests := []struct {
		name string
		// resets is set if Reset precedes the pause.
		resets bool
		want   time.Duration
	}{
		{"first", false, least},
		{"second", false, 2 * least},
		{"third", false, most},
		{"further", false, most},
		{"after a reset", true, least},
	}
	b := pause.Backoff{Least: least, Most: most}
	for _, test := range tests {
		if test.resets {
			b.Reset()
		}
		if d := b.Next(); d < test.want || d >= test.want*3/2 {
			t.Errorf("%s: %v, want %v and up to half more", test.name, d, test.want)
		}
	}
}
