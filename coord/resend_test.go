package coord

import (
	"fmt"
	"testing"
	"time"

	"currantwick"
	"currantwick/terms"
)

// records counts the records in all updates that a link was sent from the message
// at on.
func (l *link) records(at int) int {
	n := 0
	for _, msg := range l.sent[at:] {
		if msg.Update != nil {
			n += len(msg.Update.Records)
		}
	}
	return n
}

// connect links a daemon that knows each topic up to an offset.
func (w *harness) connect(l *link, host string, n wick.Incarnation, at wick.Instant, known ...wick.Offset) {
	linkUp{l, instance(host, n), ""}.apply(w.state, at)
	linkMessage{l, wick.LinkMessage{Report: &wick.InstanceReport{Ready: true, Known: known}}}.apply(w.state, at)
}

// A link that comes up again costs what changed while it was down, and not the
// whole state.
func TestLinkResumes(t *testing.T) {
	tests := []struct {
		name  string
		known []wick.Offset
		// records are expected on the new link.
		records int
	}{
		{"a daemon that knows nothing", nil, 4},
		{"a daemon that knows everything", []wick.Offset{1, 1, 2}, 0},
		{"one record behind", []wick.Offset{1, 1, 1}, 1},
		{"without the configuration", []wick.Offset{0, 1, 2}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, true)
			w.start(t)
			w.tick(ms(1))
			l := &link{}
			w.connect(l, "b", 2, ms(10), test.known...)
			if len(l.sent) != 1 || l.records(0) != test.records {
				t.Errorf("%d messages with %d records, want 1 with %d", len(l.sent), l.records(0), test.records)
			}
		})
	}
}

// A daemon that stays behind is sent what it lacks on the link that it has.
func TestMissedRecordsAreSentAgain(t *testing.T) {
	tests := []struct {
		name  string
		known []wick.Offset
		again bool
	}{
		{"up to date", []wick.Offset{1, 1, 2}, false},
		{"behind on one topic", []wick.Offset{1, 0, 2}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, true)
			w.start(t)
			l := &link{}
			w.connect(l, "b", 2, ms(10), 1, 1, 2)
			for at := 10; at < 4000; at += 50 {
				w.tick(ms(at))
			}
			before := len(l.sent)
			linkMessage{l, wick.LinkMessage{Report: &wick.InstanceReport{Ready: true, Known: test.known}}}.apply(w.state, ms(4000))
			if again := l.records(before) > 0; again != test.again {
				t.Errorf("records sent again: %v, want %v", again, test.again)
			}
		})
	}
}

// A holder vouches for a topic only towards daemons that know all that it read.
func TestHolderVouchesForWhatIsKnown(t *testing.T) {
	span := func(from, to wick.Offset) wick.Span { return wick.Span{Topic: wick.TopicRunners, From: from, To: to} }
	tests := []struct {
		name    string
		spans   []wick.Span
		known   wick.Offset
		current wick.Instant
	}{
		{"all known", []wick.Span{span(0, 9)}, 9, ms(3950)},
		{"in two parts", []wick.Span{span(0, 4), span(4, 9)}, 9, ms(3950)},
		{"a part is missing", []wick.Span{span(5, 9)}, 0, -1},
		{"the end is missing", []wick.Span{span(0, 8)}, 8, -1},
		{"nothing", nil, 0, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, true)
			shard := terms.ShardOf("e")
			w.read(0, wick.TopicDaemons, record(t, 0, keyDaemon+"b", instance("b", 2)),
				record(t, 1, fmt.Sprintf("%s%d", keyTerm, shard), terms.Claim{Shard: shard, Holder: "b", Incarnation: 2}))
			l := &link{}
			linkUp{l, instance("b", 2), "127.0.0.1:1"}.apply(w.state, ms(10))
			age := wick.Duration(50 * time.Millisecond)
			linkMessage{l, wick.LinkMessage{Update: &wick.HolderUpdate{
				Spans: test.spans, TopicAges: []wick.Duration{-1, age, -1}, Ends: []wick.Offset{0, 9, 0},
			}}}.apply(w.state, ms(4000))
			topic := w.topics[wick.TopicRunners]
			if topic.known != test.known || topic.holderCurrent != test.current {
				t.Errorf("known to %d, current at %v, want %d and %v", topic.known, topic.holderCurrent, test.known, test.current)
			}
		})
	}
}

// A daemon reports as soon as a link is up, also right after its start, when its
// clock is near 0.
func TestFirstReportIsSentAtOnce(t *testing.T) {
	for _, at := range []wick.Instant{0, ms(10), ms(200), ms(60_000)} {
		w := newHarness(t, true)
		l := &link{}
		linkUp{l, instance("b", 2), "127.0.0.1:1"}.apply(w.state, at)
		if len(l.sent) != 1 || l.sent[0].Report == nil || len(l.sent[0].Report.Known) != int(wick.NumTopics) {
			t.Errorf("link up at %v: sent %+v, want a report with the known offsets", time.Duration(at), l.sent)
		}
	}
}
