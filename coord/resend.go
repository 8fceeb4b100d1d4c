package coord

import (
	"time"

	"currantwick"
)

// Daemons tell a holder, for each topic, the offset before which they know every
// record. The holder sends the records from there on when a link comes up, and
// again if a daemon stays behind, so a link that breaks costs what changed
// meanwhile and not the whole state.

const (
	// settleInterval is the least age of an offset that linked daemons must know:
	// the time of an update and a report, twice over.
	settleInterval = 500 * time.Millisecond
	// resendInterval is the least time between two updates with missing records on
	// one link. A slow link needs time for the first one.
	resendInterval = 2 * time.Second
)

// knownOffsets returns, for each topic, the offset before which this daemon knows
// every record.
func (s *state) knownOffsets() []wick.Offset {
	list := make([]wick.Offset, len(s.topics))
	for i := range s.topics {
		list[i] = s.topics[i].known
	}
	return list
}

// applySpan extends the known part of a topic if nothing is missing before the span.
func (t *topic) applySpan(sp wick.Span) {
	if sp.From <= t.known {
		t.known = max(t.known, sp.To)
	}
}

// knowsAll reports whether this daemon knows a topic up to the end that a holder
// found. A holder that sends no ends sent the whole state when the link came up.
func (s *state) knowsAll(topic wick.Topic, ends []wick.Offset) bool {
	return int(topic) >= len(ends) || s.topics[topic].known >= ends[topic]
}

// settle advances the offsets that linked daemons are expected to know by now.
func (s *state) settle(now wick.Instant) {
	if now.Sub(s.settledAt) < settleInterval {
		return
	}
	s.settledAt = now
	for i := range s.topics {
		t := &s.topics[i]
		t.settled, t.settling = t.settling, t.known
	}
}

// resend sends a linked daemon the records that it lacks if it has lacked them for
// a while.
func (s *state) resend(now wick.Instant, m *linkedDaemon) {
	if now.Sub(m.resentAt) < resendInterval {
		return
	}
	for i := range s.topics {
		if m.known[i] < s.topics[i].settled {
			m.resentAt = now
			u := s.baseUpdate()
			s.addMissing(u, m)
			s.log.Info("records sent again", "daemon", instanceText(m.instance), "records", len(u.Records),
				"topic", s.topics[i].id.String(), "knows", m.known[i], "want", s.topics[i].settled)
			m.link.Post(wick.LinkMessage{Update: u})
			return
		}
	}
}

// addMissing adds the records that a linked daemon does not know. Removals of
// endpoints that this daemon decided are always added, since the offset of such a
// removal is that of an older record.
func (s *state) addMissing(u *wick.HolderUpdate, m *linkedDaemon) {
	for i := range s.topics {
		t := &s.topics[i]
		for _, r := range s.relayed[i] {
			if r.Offset >= m.known[i] || r.Confirmed {
				u.Records = append(u.Records, r)
			}
		}
		if t.known > m.known[i] {
			u.Spans = append(u.Spans, wick.Span{Topic: t.id, From: m.known[i], To: t.known})
		}
	}
}
