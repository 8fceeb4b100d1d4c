package coord

import (
	"time"

	"currantwick"
	"currantwick/pause"
)

// Beside terms and the records of daemons, their topic has memos: records of what the
// daemons know and would forget if all of them were lost. A memo is written under a
// condition, so that a late write of it is done only if nothing else was written
// meanwhile. Memos are written only after faults that call for them, see proofs.go and
// kept.go.

const (
	// memoInterval is the least time between two writes of memos by one daemon, and
	// maxMemoPause the longest pause after a failed one.
	memoInterval = 2 * time.Second
	maxMemoPause = 5 * time.Second
)

// memoWriter limits the writes of memos: one at a time, and at intervals.
type memoWriter struct {
	// pending is the first key that is being written, empty if there is none, and stored
	// is called once that is done.
	pending string
	stored  func()
	// next is the earliest time of the next write.
	next    wick.Instant
	backoff pause.Backoff
}

// mayPutMemos reports whether memos may be written now.
func (s *state) mayPutMemos(now wick.Instant) bool {
	return s.memos.pending == "" && now >= s.memos.next && s.topics[wick.TopicDaemons].knownUpTo() >= 0
}

// putMemos writes memos in one call, and removes those without a value.
func (s *state) putMemos(now wick.Instant, stored func(), list ...wick.KeyedRecord) {
	for _, r := range list {
		s.log.Info("storing memo", "key", r.Key, "bytes", len(r.Value))
	}
	m, t := &s.memos, &s.topics[wick.TopicDaemons]
	m.pending, m.stored, m.next = list[0].Key, stored, now.Add(memoInterval)
	s.cfg.IO.Put(max(t.next, t.known), list...)
}

// memosPut handles the result of a write of memos.
func (s *state) memosPut(now wick.Instant, e putDone) {
	m := &s.memos
	m.pending = ""
	ok := e.err == nil && e.current
	s.cfg.Observer.MemoStored(ok)
	if ok {
		m.stored()
		m.backoff.Reset()
		return
	}
	s.log.Warn("memo not stored", "key", e.key, "current", e.current, "err", e.err)
	m.next = max(m.next, now.Add(m.backoff.Next()))
	// The topic is read before the next write.
	t := &s.topics[wick.TopicDaemons]
	t.holderCurrent, t.current, t.due = -1, -1, now
}
