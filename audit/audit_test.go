package audit

import (
	"testing"
	"time"

	"currantwick"

	"pgregory.net/rapid"
)

// daemon is one writer with its reader of the trail.
type daemon struct {
	trail *Trail
	read  int // entries read so far
	up    bool
}

// TestEveryVerdictShows lets daemons judge changes, lose appends, lose touch
// with the log and restart, and checks that the trail holds each verdict once
// all can write again, and that it stays quiet then.
func TestEveryVerdictShows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 200 * time.Millisecond
		daemons := make([]*daemon, rapid.IntRange(1, 4).Draw(t, "daemons"))
		for i := range daemons {
			daemons[i] = &daemon{trail: New(Config{}), up: true}
		}
		var stream []wick.Entry
		var changes []wick.Verdict
		now := wick.Instant(0)
		turn := func(faults bool) {
			now = now.Add(step)
			for rank, d := range daemons {
				if d.up {
					end := len(stream)
					if faults && rapid.Bool().Draw(t, "a page") {
						end = min(end, d.read+1)
					}
					d.trail.Read(stream[d.read:end], end < len(stream))
					d.read = end
				}
				for _, v := range d.trail.Due(now, rank) {
					if !d.up || faults && rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
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
					d.trail.Judged(now, v)
				}
			case 2:
				d := rapid.SampledFrom(daemons).Draw(t, "cut")
				d.up = !d.up
			case 3:
				d := rapid.SampledFrom(daemons).Draw(t, "restarted")
				d.trail, d.read = New(Config{}), 0
				for _, v := range changes {
					d.trail.Judged(now, v)
				}
			}
			turn(true)
		}
		for _, d := range daemons {
			d.up = true
		}
		for range int((defaultRetry + 5*time.Second) / step) {
			turn(false)
		}
		shown := make(map[wick.Offset]bool)
		for _, e := range stream {
			shown[e.Record.Verdict.Offset] = true
		}
		for _, v := range changes {
			if !shown[v.Offset] {
				t.Fatalf("the verdict on %d does not show among %d entries", v.Offset, len(stream))
			}
		}
		end := len(stream)
		for range int(2 * defaultRetry / step) {
			turn(false)
		}
		if len(stream) != end {
			t.Fatalf("%d more entries for nothing", len(stream)-end)
		}
	})
}

// TestOneWriterSuffices checks that a trail without faults holds each verdict
// once.
func TestOneWriterSuffices(t *testing.T) {
	first, second := New(Config{}), New(Config{})
	v := wick.Verdict{Change: "c", Offset: 7}
	for _, tr := range []*Trail{first, second} {
		tr.Read(nil, false)
		tr.Judged(0, v)
	}
	if got := second.Due(0, 1); len(got) != 0 {
		t.Errorf("second member writes %v at once", got)
	}
	if got := first.Due(0, 0); len(got) != 1 {
		t.Errorf("first member writes %v", got)
	}
	if got := first.Due(wick.Instant(time.Second), 0); len(got) != 0 {
		t.Errorf("first member writes again: %v", got)
	}
	second.Read([]wick.Entry{{Offset: 1, Record: wick.Record{Verdict: &v}}}, false)
	if got := second.Due(wick.Instant(time.Minute), 1); len(got) != 0 || second.Open() != 0 {
		t.Errorf("second member writes what shows: %v", got)
	}
	if got := New(Config{}).Due(0, -1); got != nil {
		t.Errorf("no member, but writes %v", got)
	}
}
