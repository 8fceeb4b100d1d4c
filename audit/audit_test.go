package audit

import (
	"testing"
	"time"

	"currantwick"

	"pgregory.net/rapid"
)

// daemon is one writer with its position in the trail.
type daemon struct {
	trail     *Trail
	read      int // entries read so far
	connected bool
}

// TestEveryVerdictIsRecorded lets daemons decide changes, lose appends, lose
// their connection to the log and restart. Once all daemons have been connected
// again for the retry time plus 5 s, the trail must hold every verdict, and nothing
// more may be written.
func TestEveryVerdictIsRecorded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 200 * time.Millisecond
		daemons := make([]*daemon, rapid.IntRange(1, 4).Draw(t, "daemons"))
		for i := range daemons {
			daemons[i] = &daemon{trail: New(Config{}), connected: true}
		}
		var stream []wick.Entry
		var changes []wick.Verdict
		now := wick.Instant(0)
		turn := func(faults bool) {
			now = now.Add(step)
			for rank, d := range daemons {
				if d.connected {
					end := len(stream)
					if faults && rapid.Bool().Draw(t, "a page") {
						end = min(end, d.read+1)
					}
					d.trail.ApplyEntries(stream[d.read:end], end < len(stream))
					d.read = end
				}
				for _, v := range d.trail.Due(now, rank) {
					if !d.connected || faults && rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
						continue
					}
					stream = append(stream, wick.Entry{Offset: wick.Offset(len(stream) + 1), Record: wick.Record{Verdict: &v}})
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				v := wick.Verdict{Change: "c", Operator: "op", Offset: wick.Offset(len(changes) + 1)}
				changes = append(changes, v)
				for _, d := range daemons {
					d.trail.AddVerdict(now, v)
				}
			case 2:
				d := rapid.SampledFrom(daemons).Draw(t, "cut")
				d.connected = !d.connected
			case 3:
				d := rapid.SampledFrom(daemons).Draw(t, "restarted")
				d.trail, d.read = New(Config{}), 0
				for _, v := range changes {
					d.trail.AddVerdict(now, v)
				}
			}
			turn(true)
		}
		for _, d := range daemons {
			d.connected = true
		}
		for range int((defaultRetry + 5*time.Second) / step) {
			turn(false)
		}
		recorded := make(map[wick.Offset]bool)
		for _, e := range stream {
			recorded[e.Record.Verdict.Offset] = true
		}
		for _, v := range changes {
			if !recorded[v.Offset] {
				t.Fatalf("the verdict on %d is not among %d entries", v.Offset, len(stream))
			}
		}
		end := len(stream)
		for range int(2 * defaultRetry / step) {
			turn(false)
		}
		if len(stream) != end {
			t.Fatalf("%d needless entries", len(stream)-end)
		}
	})
}

// TestOneWriterSuffices checks that without faults each verdict is written
// once.
func TestOneWriterSuffices(t *testing.T) {
	first, second := New(Config{}), New(Config{})
	v := wick.Verdict{Change: "c", Offset: 7}
	for _, tr := range []*Trail{first, second} {
		tr.ApplyEntries(nil, false)
		tr.AddVerdict(0, v)
	}
	if got := second.Due(0, 1); len(got) != 0 {
		t.Errorf("second member writes %v without waiting", got)
	}
	if got := first.Due(0, 0); len(got) != 1 {
		t.Errorf("first member writes %v", got)
	}
	if got := first.Due(wick.Instant(time.Second), 0); len(got) != 0 {
		t.Errorf("first member writes again: %v", got)
	}
	second.ApplyEntries([]wick.Entry{{Offset: 1, Record: wick.Record{Verdict: &v}}}, false)
	if got := second.Due(wick.Instant(time.Minute), 1); len(got) != 0 || second.Pending() != 0 {
		t.Errorf("second member writes recorded verdict: %v", got)
	}
	if got := New(Config{}).Due(0, -1); got != nil {
		t.Errorf("non-member writes %v", got)
	}
}
