package coord

import (
	"strconv"
	"strings"

	"currantwick"
	"currantwick/codec"
	"currantwick/facts"
	"currantwick/terms"
)

// Keys of the records that daemons write.
const (
	keyTerm   = "term/"
	keyDaemon = "daemon/"
)

// source is how a record reached this daemon.
type source uint8

const (
	// fromStore marks a record that this daemon read from the store.
	fromStore source = iota
	// fromHolder marks a record that a holder relayed; fromHolderConfirmed marks
	// one that a holder has confirmed.
	fromHolder
	fromHolderConfirmed
)

// applyRecord applies a record and, if it had an effect, retains it for daemons
// that link later. Of the records that this daemon read itself, it queues for
// the linked daemons those that they need, and all removals of endpoints. It reports
// whether another holder relayed the record before.
func (s *state) applyRecord(now wick.Instant, r wick.RelayedRecord, from source) (relayedBefore bool) {
	if old, ok := s.relayed[r.Topic][r.Key]; ok && from != fromHolderConfirmed && r.Offset <= old.Offset {
		return r.Offset == old.Offset
	}
	effect := facts.Unchanged
	if r.Topic == wick.TopicDaemons {
		effect = s.daemonRecord(now, r)
	} else {
		effect = s.factRecord(now, r, from)
	}
	removed := r.Topic == wick.TopicRunners && len(r.Value) == 0
	if from == fromStore {
		r.Confirmed = effect == facts.Return || removed && effect == facts.Change
	}
	if removed {
		delete(s.held, r.Key)
		if from == fromStore && r.Confirmed {
			r.Started, r.Sequence, _ = s.facts.Removed(wick.EndpointName(r.Key))
		}
	}
	switch effect {
	case facts.Unchanged:
	case facts.Outdated:
		s.keepNewer(r, from)
	case facts.Held:
		s.held[r.Key] = r
	default:
		s.relayed[r.Topic][r.Key] = r
		if r.Topic == wick.TopicConfig && from != fromHolderConfirmed {
			delete(s.kept.late, r.Key)
		}
	}
	if from == fromStore && (effect == facts.Change || effect == facts.Return || effect == facts.Held || removed) {
		s.out.records = append(s.out.records, r)
	}
	return false
}

// keepNewer handles a record that the store wrote late, behind the newest one of its
// key. A daemon that starts now finds the late one in the store, so it is sent the
// newest one whatever offsets it knows. Removals are always sent.
func (s *state) keepNewer(late wick.RelayedRecord, from source) {
	s.cfg.Observer.LateRecord(late.Topic)
	s.log.Warn("record ignored: the store wrote it late", "topic", late.Topic.String(), "key", late.Key, "offset", late.Offset)
	if newest, ok := s.relayed[late.Topic][late.Key]; ok && len(newest.Value) > 0 {
		newest.Confirmed = true
		s.relayed[late.Topic][late.Key] = newest
		if late.Topic == wick.TopicConfig && from == fromStore {
			s.kept.late[late.Key] = true
		}
	}
}

// relayRemoval queues the removal of an endpoint for the linked daemons.
func (s *state) relayRemoval(f wick.Fact) {
	relayed := wick.RelayedRecord{
		Topic: wick.TopicRunners, Offset: f.Offset, Key: string(f.RemovedEndpoint), Confirmed: true,
		Started: f.RemovedStart, Sequence: f.RemovedSequence,
	}
	s.relayed[wick.TopicRunners][relayed.Key] = relayed
	s.out.records = append(s.out.records, relayed)
}

// relayReturns puts endpoints into use again whose entries came back and stayed.
func (s *state) relayReturns(now wick.Instant) {
	for _, f := range s.facts.Returned(now) {
		s.log.Info("endpoint is back", "endpoint", f.Runner.Name, "offset", f.Offset, "cause", "its entry stayed")
		if r, ok := s.held[string(f.Runner.Name)]; ok {
			delete(s.held, r.Key)
			r.Confirmed = true
			s.relayed[wick.TopicRunners][r.Key] = r
			s.out.records = append(s.out.records, r)
		}
		s.syncEndpoints(now)
	}
}

// factRecord applies a record of the configuration, of an adapter's version or
// of an endpoint.
func (s *state) factRecord(now wick.Instant, r wick.RelayedRecord, from source) facts.Effect {
	f, err := s.cfg.Decoder.Decode(r.Topic, wick.KeyedRecord{Offset: r.Offset, Key: r.Key, Value: r.Value})
	if err != nil {
		s.log.Warn("record refused", "topic", r.Topic.String(), "key", r.Key, "offset", r.Offset, "err", err)
		return facts.Unchanged
	}
	effect := facts.Unchanged
	if from == fromHolderConfirmed {
		f.RemovedStart, f.RemovedSequence = r.Started, r.Sequence
		effect = s.facts.Confirm(now, f)
	} else {
		effect = s.facts.Apply(now, f)
	}
	switch effect {
	case facts.CacheChange:
		s.setInfo(now, s.endpoints[f.Runner.Name], f.Runner)
		s.dirty = true
	case facts.Change, facts.Return:
		s.factChanged(now, f)
	case facts.Held:
		s.cfg.Observer.LateRecord(r.Topic)
		s.log.Info("entry of a removed endpoint held", "endpoint", f.Runner.Name, "offset", f.Offset,
			"started", f.Runner.Started, "sequence", f.Runner.Sequence)
	}
	return effect
}

// factChanged acts on a fact that had an effect.
func (s *state) factChanged(now wick.Instant, f wick.Fact) {
	switch {
	case f.ServingConfig != nil:
		s.log.Info("configuration in force", "version", f.ServingConfig.Version, "offset", f.Offset, "routes", len(f.ServingConfig.Routes))
		s.cfg.Observer.ConfigApplied(f.ServingConfig.Version)
	case f.NewRevision != nil:
		s.log.Info("adapter version announced", "weights", f.NewRevision.Weights.String(), "version", f.NewRevision.Revision, "offset", f.Offset)
		s.requestNewer(now, *f.NewRevision)
	case f.Runner != nil:
		s.log.Info("endpoint updated", "endpoint", f.Runner.Name, "offset", f.Offset, "draining", f.Runner.Draining, "started", f.Runner.Started,
			"loaded", len(f.Runner.Loaded), "cached", len(f.Runner.Cached))
	default:
		s.log.Info("endpoint gone", "endpoint", f.RemovedEndpoint, "offset", f.Offset, "cause", "record removed")
	}
	if f.NewRevision == nil {
		s.syncEndpoints(now)
	}
	s.dirty = true
}

// daemonRecord applies a record that a daemon wrote.
func (s *state) daemonRecord(now wick.Instant, rec wick.RelayedRecord) facts.Effect {
	if name, ok := strings.CutPrefix(rec.Key, keyDaemon); ok {
		var d wick.Instance
		if err := codec.DecodeJSON(rec.Value, &d); err != nil || string(d.Host) != name {
			s.log.Warn("record refused", "topic", wick.TopicDaemons.String(), "key", rec.Key, "offset", rec.Offset, "err", err)
			return facts.Unchanged
		}
		s.checkAnnounced(rec.Offset, d)
		old, known := s.daemons[d.Host]
		if known && old.instance == d {
			return facts.Unchanged
		}
		s.daemons[d.Host] = daemonRecord{instance: d, readAt: now}
		s.daemonsChanged()
		return facts.Change
	}
	if rec.Key == keyProofs {
		if err := s.readProofs(now, rec.Value); err != nil {
			s.log.Warn("record refused", "topic", wick.TopicDaemons.String(), "key", rec.Key, "offset", rec.Offset, "err", err)
			return facts.Unchanged
		}
		return facts.Change
	}
	if key, ok := strings.CutPrefix(rec.Key, keyKept); ok {
		s.readKept(now, key, rec.Value)
		return facts.Change
	}
	var c terms.Claim
	if err := codec.DecodeJSON(rec.Value, &c); err != nil || keyTerm+strconv.Itoa(int(c.Shard)) != rec.Key {
		s.log.Warn("record refused", "topic", wick.TopicDaemons.String(), "key", rec.Key, "offset", rec.Offset, "err", err)
		return facts.Unchanged
	}
	if !s.startTerm(now, rec.Offset, c) {
		return facts.Unchanged
	}
	return facts.Change
}

// maxReannounced bounds how often a daemon appends its own record again.
const maxReannounced = 3

// checkAnnounced compares a record of a daemon with this daemon. One of an earlier run
// of it that the store wrote late, behind its own, hides its address from others, and
// its own is appended again.
func (s *state) checkAnnounced(at wick.Offset, d wick.Instance) {
	switch {
	case d.Host != s.cfg.Self.Host:
	case d == s.cfg.Self:
		s.announced, s.announcedRead, s.announcedAt = true, true, at
	case s.announcedRead && at > s.announcedAt && s.reannounced < maxReannounced:
		s.log.Warn("record of an earlier run was written late", "offset", at, "incarnation", d.Incarnation)
		s.announced, s.announcedRead = false, false
		s.reannounced++
	}
}

// putDone is the result of an append; current is false if the store held records
// that this daemon had not read, so that nothing was appended.
type putDone struct {
	key     string
	current bool
	err     error
}

func (e putDone) apply(s *state, now wick.Instant) {
	if e.key == s.memos.pending {
		s.memosPut(now, e)
		return
	}
	s.pendingPut = ""
	switch {
	case e.err != nil:
		s.log.Warn("append failed", "key", e.key, "err", e.err)
		s.nextPut = now.Add(failPause)
	case !e.current:
		s.log.Info("append refused: store has newer records", "key", e.key)
	case strings.HasPrefix(e.key, keyDaemon):
		s.announced = true
		return
	}
	// The store is read again before the next append is decided.
	t := &s.topics[wick.TopicDaemons]
	t.holderCurrent, t.current, t.due = -1, -1, now
}
