package coord

import (
	"slices"
	"time"

	"currantwick"
	"currantwick/pause"
	"currantwick/terms"
)

const (
	// configWait is how long a read of the configuration waits for a change. It
	// is short enough to detect a dead connection within the time in which a
	// configuration has to take effect.
	configWait = 800 * time.Millisecond
	// daemonsWait is the same for the records of daemons where endpoints check
	// fencing tokens, and unfencedWait where they do not. A holder relies on
	// these reads to know that it still holds its terms.
	daemonsWait  = 2 * time.Second
	unfencedWait = 500 * time.Millisecond
	// runnersInterval is how often the records of endpoints are read. Each
	// heartbeat of an endpoint is a record, so a read that waits for one would
	// return at once.
	runnersInterval = 500 * time.Millisecond
	// staleAfter is the age of a topic above which the holder of rank 0 reads
	// it itself instead of relying on updates: the read interval, a heartbeat
	// and the network delays. Each further rank waits staleStep longer, so that
	// one holder reads for all; other daemons wait minStale, or the longer
	// staleShare of the permitted delay of a change.
	staleAfter = 900 * time.Millisecond
	staleStep  = 150 * time.Millisecond
	minStale   = 1500 * time.Millisecond
	staleShare = 0.6
	// emptyReadInterval is the pause after a read of the configuration or of
	// the daemons' records that returned no records in less than this time.
	emptyReadInterval = 400 * time.Millisecond
	// failPause is the pause after a failed read or append. For the reads of
	// daemons that hold no term it grows up to maxFailPause: in an outage all of
	// them find their knowledge old at the same time.
	failPause    = 250 * time.Millisecond
	maxFailPause = time.Second
	// configReaders is how many holders follow the configuration for all daemons.
	configReaders = 2
)

// topic is the read progress of a topic.
type topic struct {
	id wick.Topic
	// next is the first offset that was not read yet.
	next wick.Offset
	// known is the offset before which every record is known, from the store or
	// from holders.
	known wick.Offset
	// settling and settled are earlier values of known: those of the last settle
	// and of the one before. A linked daemon that knows less than settled has
	// missed an update.
	settling, settled wick.Offset
	// loaded is set when the newest record of each key was read.
	loaded bool
	busy   bool
	due    wick.Instant
	// current is the instant up to which this daemon has read the topic
	// completely, and holderCurrent the same for a holder; -1 for never.
	current, holderCurrent wick.Instant
	failing                bool
}

// knownUpTo returns the instant up to which the topic is known completely.
func (t *topic) knownUpTo() wick.Instant { return max(t.current, t.holderCurrent) }

// storeProbe limits the reads of a daemon that holds no term while the store does
// not answer: one at a time, at growing intervals.
type storeProbe struct {
	// failing is set from a failed read to the next successful one.
	failing bool
	// after is the earliest time of the next read while failing is set.
	after   wick.Instant
	backoff pause.Backoff
}

// allows reports whether another read may start.
func (p *storeProbe) allows(now wick.Instant, topics []topic) bool {
	busy := func(t topic) bool { return t.busy }
	return !p.failing || now >= p.after && !slices.ContainsFunc(topics, busy)
}

// fail records a failed read.
func (p *storeProbe) fail(now wick.Instant) {
	p.failing, p.after = true, now.Add(p.backoff.Next())
}

// succeed records a successful read.
func (p *storeProbe) succeed() {
	p.failing = false
	p.backoff.Reset()
}

// readTopics starts the reads that are due.
func (s *state) readTopics(now wick.Instant) {
	for i := range s.topics {
		if !s.probe.allows(now, s.topics[:]) && !s.terms.HoldsAny() {
			return
		}
		t := &s.topics[i]
		if t.busy || now < t.due {
			continue
		}
		wait, wanted := s.shouldRead(now, t)
		if !wanted {
			continue
		}
		t.busy = true
		if !t.loaded {
			s.cfg.IO.ReadNewest(t.id)
			continue
		}
		t.next = max(t.next, t.known)
		s.cfg.IO.Read(t.id, t.next, wick.Duration(wait))
	}
}

// shouldRead reports whether this daemon should read a topic now, and how long
// the read may wait for a record. A few holders read for all; a daemon that
// receives no updates from them reads by itself.
func (s *state) shouldRead(now wick.Instant, t *topic) (time.Duration, bool) {
	rank := s.readerRank()
	stale := min(staleAfter+time.Duration(rank)*staleStep, s.maxStale())
	if t.id == wick.TopicDaemons && len(s.holders) > 0 {
		// A holder learns that it has read this topic up to its end only when a
		// wait ends. Records that arrive during the wait are relayed at once.
		stale += s.daemonsWait()
	}
	if !t.loaded && t.holderCurrent < 0 || t.knownUpTo() < 0 || now.Sub(t.knownUpTo()) > stale {
		return 0, true
	}
	switch {
	case t.id == wick.TopicDaemons && s.terms.HoldsAny():
		return s.daemonsWait(), true
	case t.id == wick.TopicConfig && rank < configReaders:
		return configWait, true
	case t.id == wick.TopicRunners && rank == 0:
		return 0, true
	}
	return 0, false
}

// maxStale returns the age of a topic above which a daemon reads it itself.
func (s *state) maxStale() time.Duration {
	return max(minStale, time.Duration(float64(s.cfg.Bounds.ChangeDeadline)*staleShare))
}

// daemonsWait returns how long a read of the daemons' records waits.
func (s *state) daemonsWait() time.Duration {
	if s.cfg.Bounds.RequireFencing {
		return daemonsWait
	}
	return unfencedWait
}

// readerRank returns this daemon's rank among the holders of terms to which it
// has a link, or a rank after all of them if it holds none.
func (s *state) readerRank() int {
	seen := make(map[wick.HostName]bool)
	for sh := range wick.Shard(terms.Shards) {
		term := s.terms.Holder(sh)
		if term.Fence == 0 || term.Left || seen[term.Holder] {
			continue
		}
		if s.terms.Holds(sh) {
			return len(seen)
		}
		if s.holders[term.Holder] != nil {
			seen[term.Holder] = true
		}
	}
	return terms.Shards + 1
}

// topicRead is the result of a read.
type topicRead struct {
	topic  wick.Topic
	newest bool
	began  wick.Instant
	wait   wick.Duration
	batch  wick.RecordBatch
	err    error
}

func (e topicRead) apply(s *state, now wick.Instant) {
	t := &s.topics[e.topic]
	t.busy = false
	if e.err != nil {
		s.readFailed(now, t, e.err)
		return
	}
	if t.failing {
		t.failing = false
		s.log.Info("store reachable again", "topic", t.id.String())
	}
	s.probe.succeed()
	s.facts.SetReachable(now, true)
	if e.batch.Truncated {
		s.log.Warn("records deleted before they were read", "topic", t.id.String(), "from", t.next)
		t.loaded = false
		return
	}
	span := wick.Span{Topic: t.id, From: t.next, To: e.batch.Next}
	if e.newest {
		span.From = 0
	}
	whole := span.To > span.From
	for _, rec := range e.batch.Records {
		if s.applyRecord(now, wick.RelayedRecord{Topic: t.id, Offset: rec.Offset, Key: rec.Key, Value: rec.Value}, fromStore) {
			whole = false // A record that is not queued again is missing in the update.
		}
	}
	if whole {
		s.out.spans = append(s.out.spans, span)
	}
	t.next = e.batch.Next
	t.known = max(t.known, t.next)
	if e.newest {
		s.finishNewest(now, t, e)
	}
	// A read that timed out without records shows the store as of the end of
	// its wait.
	t.current = e.began
	if len(e.batch.Records) == 0 {
		t.current = e.began.Add(e.wait.Std())
	}
	if t.id == wick.TopicDaemons {
		s.terms.Confirm(t.current)
	}
	t.due = now
	if t.id == wick.TopicRunners {
		t.due = now.Add(runnersInterval)
	} else if now.Sub(e.began) < emptyReadInterval && len(e.batch.Records) == 0 {
		t.due = now.Add(emptyReadInterval)
	}
}

// finishNewest finishes a read of the newest records: endpoints without a record
// are gone.
func (s *state) finishNewest(now wick.Instant, t *topic, e topicRead) {
	t.loaded = true
	if t.id != wick.TopicRunners {
		return
	}
	known := make(map[wick.EndpointName]bool)
	for _, rec := range e.batch.Records {
		known[wick.EndpointName(rec.Key)] = true
	}
	for _, f := range s.facts.ApplyListing(now, known, e.batch.Next) {
		s.log.Info("endpoint gone", "endpoint", f.RemovedEndpoint, "cause", "no record")
		s.relayRemoval(f)
		s.syncEndpoints(now)
	}
}

func (s *state) readFailed(now wick.Instant, t *topic, err error) {
	t.due = now.Add(failPause)
	s.probe.fail(now)
	s.facts.SetReachable(now, false)
	if t.id == wick.TopicDaemons {
		s.terms.SetUnreachable()
	}
	if !t.failing {
		t.failing = true
		s.log.Warn("store unreachable", "topic", t.id.String(), "err", err)
	}
}
