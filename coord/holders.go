package coord

import (
	"fmt"
	"strconv"
	"time"

	"currantwick"
	"currantwick/codec"
	"currantwick/terms"
)

// maxClaimAge bounds the age of the last read of the daemons' records when a term
// is claimed.
const maxClaimAge = 300 * time.Millisecond

// startTerm applies a term record from the store. It reports whether a new term
// started.
func (s *state) startTerm(now wick.Instant, at wick.Offset, c terms.Claim) bool {
	old := s.terms.Holder(c.Shard)
	if !s.terms.Begin(now, at, c) {
		return false
	}
	s.log.Info("term started", "shard", c.Shard, "holder", c.Holder, "fence", s.terms.Holder(c.Shard).Fence,
		"before", old.Holder, "left", c.Left, "orders_in_ms", s.terms.Holder(c.Shard).From.Sub(now).Milliseconds())
	s.cfg.Observer.TermStarted(c.Holder == s.cfg.Self.Host && !c.Left)
	held := 0
	for sh := range wick.Shard(terms.Shards) {
		if s.terms.Holds(sh) {
			held++
		}
	}
	s.cfg.Observer.ShardsHeld(held)
	for name, e := range s.endpoints {
		if e.shard == c.Shard {
			delete(s.ledgers, name)
			e.view = nil
		}
	}
	s.dirty, s.out.shards = true, true
	return true
}

// ownShards lists the shards that this daemon holds.
func (s *state) ownShards() []wick.Shard {
	var list []wick.Shard
	for sh := range wick.Shard(terms.Shards) {
		if s.terms.Holds(sh) {
			list = append(list, sh)
		}
	}
	return list
}

// announce appends this daemon's own record.
func (s *state) announce(now wick.Instant) {
	if s.announced || s.pendingPut != "" || s.stopping || now < s.nextPut {
		return
	}
	s.put(wick.AnyOffset, keyDaemon+string(s.cfg.Self.Host), s.cfg.Self)
}

// put appends a record on behalf of this daemon.
func (s *state) put(at wick.Offset, key string, v any) {
	data, err := codec.EncodeJSON(v)
	if err != nil {
		s.log.Error("record could not be encoded", "key", key, "err", err)
		return
	}
	s.pendingPut = key
	s.cfg.IO.Put(at, wick.KeyedRecord{Key: key, Value: data})
}

// claimTerms claims the terms of shards without a live holder, and releases this
// daemon's terms when it stops.
func (s *state) claimTerms(now wick.Instant) {
	t := &s.topics[wick.TopicDaemons]
	if !t.loaded && t.holderCurrent < 0 || s.pendingPut != "" || now < s.nextPut {
		return
	}
	var claims []terms.Claim
	if s.stopping {
		for _, sh := range s.ownShards() {
			claims = append(claims, terms.Claim{Shard: sh, Holder: s.cfg.Self.Host, Incarnation: s.cfg.Self.Incarnation, Left: true})
		}
	} else if s.announced {
		for _, sh := range s.terms.Claims(now, s.roster.candidates) {
			claims = append(claims, terms.Claim{Shard: sh, Holder: s.cfg.Self.Host, Incarnation: s.cfg.Self.Incarnation})
		}
	}
	if len(claims) == 0 {
		return
	}
	if !t.loaded || t.current < 0 || now.Sub(t.current) > maxClaimAge {
		t.holderCurrent, t.current, t.due = -1, -1, now // Forces a read before the claim.
		return
	}
	c := claims[0]
	s.log.Info("claiming term", "shard", c.Shard, "left", c.Left, "read_age_ms", now.Sub(t.current).Milliseconds())
	// The append fails if the store holds records that this daemon has not
	// read.
	s.put(t.next, keyTerm+strconv.Itoa(int(c.Shard)), c)
}

// instanceText formats the name of a daemon for log lines.
func instanceText(d wick.Instance) string { return fmt.Sprintf("%s/%x", d.Host, uint64(d.Incarnation)) }
