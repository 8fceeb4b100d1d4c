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
	// the removal of an endpoint that a holder has confirmed.
	fromHolder
	fromHolderConfirmed
)

// applyRecord applies a record and, if it had an effect, retains it for daemons
// that link later. Of the records that this daemon read itself, it queues for
// the linked daemons those whose effect is facts.Change, and all removals of
// endpoints. It reports whether another holder relayed the record before.
func (s *state) applyRecord(now wick.Instant, topic wick.Topic, rec wick.KeyedRecord, from source) (relayedBefore bool) {
	if old, ok := s.relayed[topic][rec.Key]; ok && from != fromHolderConfirmed && rec.Offset <= old.Offset {
		return rec.Offset == old.Offset
	}
	effect := facts.Unchanged
	if topic == wick.TopicDaemons {
		effect = s.daemonRecord(now, rec)
	} else {
		effect = s.factRecord(now, topic, rec, from)
	}
	removed := topic == wick.TopicRunners && len(rec.Value) == 0 && from == fromStore
	relayed := wick.RelayedRecord{Topic: topic, Offset: rec.Offset, Key: rec.Key, Value: rec.Value, Confirmed: removed && effect == facts.Change}
	if effect != facts.Unchanged {
		s.relayed[topic][rec.Key] = relayed
	}
	if from == fromStore && (effect == facts.Change || removed) {
		s.out.records = append(s.out.records, relayed)
	}
	return false
}

// relayRemoval queues the removal of an endpoint for the linked daemons.
func (s *state) relayRemoval(f wick.Fact) {
	relayed := wick.RelayedRecord{Topic: wick.TopicRunners, Offset: f.Offset, Key: string(f.RemovedEndpoint), Confirmed: true}
	s.relayed[wick.TopicRunners][relayed.Key] = relayed
	s.out.records = append(s.out.records, relayed)
}

// factRecord applies a record of the configuration, of an adapter's version or
// of an endpoint.
func (s *state) factRecord(now wick.Instant, topic wick.Topic, rec wick.KeyedRecord, from source) facts.Effect {
	f, err := s.cfg.Decoder.Decode(topic, rec)
	if err != nil {
		s.log.Warn("record refused", "topic", topic.String(), "key", rec.Key, "offset", rec.Offset, "err", err)
		return facts.Unchanged
	}
	effect := facts.Unchanged
	if from != fromHolderConfirmed {
		effect = s.facts.Apply(now, f)
	} else if s.facts.Remove(f) {
		effect = facts.Change
	}
	switch effect {
	case facts.CacheChange:
		s.setInfo(now, s.endpoints[f.Runner.Name], f.Runner)
		s.dirty = true
	case facts.Change:
		s.factChanged(now, f)
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
func (s *state) daemonRecord(now wick.Instant, rec wick.KeyedRecord) facts.Effect {
	if name, ok := strings.CutPrefix(rec.Key, keyDaemon); ok {
		var d wick.Instance
		if err := codec.DecodeJSON(rec.Value, &d); err != nil || string(d.Host) != name {
			s.log.Warn("record refused", "topic", wick.TopicDaemons.String(), "key", rec.Key, "offset", rec.Offset, "err", err)
			return facts.Unchanged
		}
		old, known := s.daemons[d.Host]
		if known && old.instance == d {
			return facts.Unchanged
		}
		s.daemons[d.Host] = daemonRecord{instance: d, readAt: now}
		s.daemonsChanged()
		s.announced = s.announced || d == s.cfg.Self
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

// putDone is the result of an append; current is false if the store held records
// that this daemon had not read, so that nothing was appended.
type putDone struct {
	key     string
	current bool
	err     error
}

func (e putDone) apply(s *state, now wick.Instant) {
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
