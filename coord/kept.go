package coord

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"currantwick"
)

// When the store writes an older configuration or version of an adapter late, behind the
// newest one, a daemon that starts finds the older one in the operator's topic. Holders
// that run tell it the newer one; for the case that none does, the holders that read the
// late record keep the newer one in a memo. The arbiter removes the memo once the
// operator's topic has a record that is newer still.

const (
	// keyKept precedes the key of the record that a memo keeps.
	keyKept = "kept/"
	// keptDelay is how long a record has had no memo before that is written: what the
	// store writes late comes together, and may take several reads.
	keptDelay = 100 * time.Millisecond
	// maxKeptPerCall bounds the memos that are written in one call.
	maxKeptPerCall = 256
)

// keptRecords is what this daemon knows of memos that keep records of TopicConfig, by the
// keys of these.
type keptRecords struct {
	// stored are the kept records as they are in the memos.
	stored map[string][]byte
	// late are the keys whose newest record in the store is older than what is known.
	late map[string]bool
	// lacking is set while memos are missing, and lackingSince is since when.
	lacking      bool
	lackingSince wick.Instant
}

// storeKept writes the memos that are missing, and removes those that are obsolete.
func (s *state) storeKept(now wick.Instant) {
	k := &s.kept
	missing := k.missing(s.relayed[wick.TopicConfig])
	if lacking := len(missing) > 0; lacking != k.lacking {
		k.lacking, k.lackingSince = lacking, now
	}
	if len(k.late) == 0 && len(k.stored) == 0 || !s.mayPutMemos(now) {
		return
	}
	if k.lacking && s.terms.HoldsAny() && now.Sub(k.lackingSince) >= keptDelay {
		s.putKept(now, missing)
		return
	}
	if h, ok := s.arbiter(); !ok || h != nil {
		return
	}
	if obsolete := k.obsolete(s.relayed[wick.TopicConfig]); len(obsolete) > 0 {
		s.putKept(now, obsolete)
	}
}

// putKept writes records to their memos, and removes the memos of those without a value.
func (s *state) putKept(now wick.Instant, list []wick.KeyedRecord) {
	memos := make([]wick.KeyedRecord, len(list))
	for i, r := range list {
		memos[i] = wick.KeyedRecord{Key: keyKept + r.Key, Value: r.Value}
	}
	s.putMemos(now, func() {
		for _, r := range list {
			s.kept.set(r.Key, r.Value)
		}
	}, memos...)
}

// missing returns the first records that have no memo and need one, by key.
func (k *keptRecords) missing(newest map[string]wick.RelayedRecord) []wick.KeyedRecord {
	var list []wick.KeyedRecord
	for _, key := range slices.Sorted(maps.Keys(k.late)) {
		value := newest[key].Value
		if len(list) < maxKeptPerCall && len(keyKept+key) <= wick.MaxRecordKey && !bytes.Equal(k.stored[key], value) {
			list = append(list, wick.KeyedRecord{Key: key, Value: value})
		}
	}
	return list
}

// obsolete returns the keys of the first memos that are not needed any more.
func (k *keptRecords) obsolete(newest map[string]wick.RelayedRecord) []wick.KeyedRecord {
	var list []wick.KeyedRecord
	for _, key := range slices.Sorted(maps.Keys(k.stored)) {
		// What is known is at least as new as the memo, which was applied to it.
		if len(list) < maxKeptPerCall && !k.late[key] && !bytes.Equal(k.stored[key], newest[key].Value) {
			list = append(list, wick.KeyedRecord{Key: key})
		}
	}
	return list
}

// set notes what the memo of a key is, empty for none.
func (k *keptRecords) set(key string, value []byte) {
	if len(value) == 0 {
		delete(k.stored, key)
		return
	}
	k.stored[key] = value
}

// readKept applies a memo that keeps a record.
func (s *state) readKept(now wick.Instant, key string, value []byte) {
	s.kept.set(key, value)
	if len(value) > 0 {
		s.applyRecord(now, wick.RelayedRecord{Topic: wick.TopicConfig, Key: key, Value: value, Confirmed: true}, fromHolderConfirmed)
	}
}
