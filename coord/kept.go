package coord

import (
	"bytes"
	"maps"
	"slices"

	"currantwick"
)

// When the store writes an older configuration or version of an adapter late, behind the
// newest one, a daemon that starts finds the older one in the operator's topic. Holders
// that run tell it the newer one; for the case that none does, the holders that read the
// late record keep the newer one in a memo. The arbiter removes the memo once the
// operator's topic has a record that is newer still.

// keyKept precedes the key of the record that a memo keeps.
const keyKept = "kept/"

// keptRecords is what this daemon knows of memos that keep records of TopicConfig, by the
// keys of these.
type keptRecords struct {
	// stored are the kept records as they are in the memos.
	stored map[string][]byte
	// late are the keys whose newest record in the store is older than what is known.
	late map[string]bool
}

// storeKept writes the memos that are missing, and removes those that are obsolete.
func (s *state) storeKept(now wick.Instant) {
	k := &s.kept
	if len(k.late) == 0 && len(k.stored) == 0 || !s.mayPutMemo(now) {
		return
	}
	newest := s.relayed[wick.TopicConfig]
	if s.terms.HoldsAny() {
		for _, key := range slices.Sorted(maps.Keys(k.late)) {
			if value := newest[key].Value; !bytes.Equal(k.stored[key], value) {
				s.putMemo(now, keyKept+key, value, func() { k.stored[key] = value })
				return
			}
		}
	}
	if h, ok := s.arbiter(); !ok || h != nil {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(k.stored)) {
		// What is known is at least as new as the memo, which was applied to it.
		if value := newest[key].Value; !k.late[key] && !bytes.Equal(k.stored[key], value) {
			s.putMemo(now, keyKept+key, nil, func() { delete(k.stored, key) })
			return
		}
	}
}

// readKept applies a memo that keeps a record.
func (s *state) readKept(now wick.Instant, key string, value []byte) {
	if len(value) == 0 {
		delete(s.kept.stored, key)
		return
	}
	s.kept.stored[key] = value
	s.applyRecord(now, wick.RelayedRecord{Topic: wick.TopicConfig, Key: key, Value: value, Confirmed: true}, fromHolderConfirmed)
}
