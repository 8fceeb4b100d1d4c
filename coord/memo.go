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
	// pending is the key that is being written, empty if there is none, and stored is
	// called once that is done.
	pending string
	stored  func()
	// next is the earliest time of the next write.
	next    wick.Instant
	backoff pause.Backoff
}

// mayPutMemo reports whether a memo may be written now.
func (s *state) mayPutMemo(now wick.Instant) bool {
	return s.memos.pending == "" && now >= s.memos.next && s.topics[wick.TopicDaemons].knownUpTo() >= 0
}

// putMemo writes a memo, or removes it if value is empty.
func (s *state) putMemo(now wick.Instant, key string, value []byte, stored func()) {
	s.log.Info("storing memo", "key", key, "bytes", len(value))
	m, t := &s.memos, &s.topics[wick.TopicDaemons]
	m.pending, m.stored, m.next = key, stored, now.Add(memoInterval)
	s.cfg.IO.Put(max(t.next, t.known), key, value)
}

// memoPut handles the result of a write of a memo.
func (s *state) memoPut(now wick.Instant, e putDone) {
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
