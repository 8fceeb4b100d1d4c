// Package terms decides which daemon gives orders to which endpoints. Endpoints
// are grouped into shards; the holder of a shard's term is the only daemon that
// gives orders to its endpoints. A term begins with a record on the platform's
// store that is appended only if nothing follows the last record its writer has
// read. One record therefore begins one term, and the record's offset yields
// the fencing token.
package terms

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"currantwick"

	"github.com/cespare/xxhash/v2"
)

const (
	// Shards is the number of groups of endpoints. It must be the same on all
	// daemons. The holder of a shard receives reports from every daemon, so the
	// number also bounds the connections between daemons.
	Shards = 4
	// vacancyTimeout is how long a shard must have had no live holder before
	// other daemons claim it: four heartbeats.
	vacancyTimeout = time.Second
	// rankDelay is the extra delay per rank of a candidate, so that the first
	// one's record is read before the second one writes. It covers one write
	// and one read of the store with their network time.
	rankDelay = 150 * time.Millisecond
	// maxRank is the highest rank that adds delay.
	maxRank = 8
	// takeoverMargin is added to the lease between two holders. It covers the
	// transit time of an order that the former holder sent at the last moment,
	// and of the record of the new term.
	takeoverMargin = 400 * time.Millisecond
	// maxReadAge is the maximum age of the last complete read of the store by
	// which a holder may assume that its term is still the newest: the longest
	// wait of a read for a record, its timeout, and the pause of a slow
	// process.
	maxReadAge = 3200 * time.Millisecond
	// maxReadAgeUnfenced is maxReadAge where endpoints do not check fencing
	// tokens; it must be shorter than the lease, for which a new holder waits.
	maxReadAgeUnfenced = 1200 * time.Millisecond
)

// ShardOf returns the shard of an endpoint.
func ShardOf(e wick.EndpointName) wick.Shard {
	return wick.Shard(xxhash.Sum64String(string(e)) % Shards)
}

// Claim is the record that begins a term or, if Left is set, gives one up.
type Claim struct {
	Shard       wick.Shard       `json:"Shard"`
	Holder      wick.HostName    `json:"Holder"`
	Incarnation wick.Incarnation `json:"Incarnation"`
	// Left is set if the holder gave the term up and gives no more orders.
	Left bool `json:"Left,omitempty"`
}

// Check implements wick.Checker.
func (c Claim) Check() error {
	if c.Shard < 0 || c.Shard >= Shards {
		return fmt.Errorf("shard %d is out of range", c.Shard)
	}
	return c.Holder.Check()
}

// Term is the newest term of a shard.
type Term struct {
	Claim
	// Fence is the fencing token; 0 if the shard has had no term.
	Fence wick.Fence
	// From is the instant from which the holder may give orders, on this
	// daemon's clock.
	From wick.Instant
}

// Config sets up a Table.
type Config struct {
	Self        wick.HostName
	Incarnation wick.Incarnation
	Lease       time.Duration
	// RequireFencing is set if endpoints refuse orders of former holders.
	RequireFencing bool
}

// Table is one daemon's view of the terms. It is not safe for concurrent use.
type Table struct {
	cfg   Config
	terms [Shards]Term
	// vacantSince is when each shard was first seen without a live holder; -1
	// while it has one.
	vacantSince [Shards]wick.Instant
	// confirmedAt is the instant up to which the daemons' records were last read
	// completely; unreachable is set while the store does not answer.
	confirmedAt wick.Instant
	unreachable bool
	// unconfirmed is set at start and after the process was paused: its terms
	// must be confirmed by a read of the store before it gives orders.
	unconfirmed bool
}

// New returns a table without terms.
func New(cfg Config) *Table {
	t := &Table{cfg: cfg, unconfirmed: true}
	for i := range t.vacantSince {
		t.vacantSince[i] = -1
	}
	return t
}

// Begin applies a term that was read from the store at an offset, and reports
// whether it is newer than the one known.
func (t *Table) Begin(now wick.Instant, at wick.Offset, c Claim) bool {
	old := t.terms[c.Shard]
	fence := wick.Fence(at + 1)
	if fence <= old.Fence {
		return false
	}
	term := Term{Claim: c, Fence: fence, From: now}
	// A holder need not wait for its own lease. Nor need the successor of one
	// that gave up its term, if endpoints check fencing tokens, which protect
	// against the former holder's last orders. Where they do not, an earlier run of
	// the same holder may have waited for the lease of the holder before it, of
	// which the store keeps no record.
	sameRun := old.Holder == c.Holder && (old.Incarnation == c.Incarnation || t.cfg.RequireFencing)
	mustWait := old.Fence > 0 && !sameRun && !(old.Left && t.cfg.RequireFencing)
	if mustWait {
		term.From = now.Add(t.cfg.Lease + takeoverMargin)
		if !t.cfg.RequireFencing && !old.Left {
			// The former holder may have read the store just before this term
			// began and give orders until that read is too old.
			term.From = term.From.Add(maxReadAgeUnfenced)
		}
	}
	if sameRun {
		term.From = max(now, old.From)
	}
	t.terms[c.Shard] = term
	t.vacantSince[c.Shard] = -1
	return true
}

// Holder returns the newest term of a shard.
func (t *Table) Holder(s wick.Shard) Term { return t.terms[s] }

// Holds reports whether this daemon holds a shard.
func (t *Table) Holds(s wick.Shard) bool {
	term := t.terms[s]
	return term.Fence > 0 && !term.Left && term.Holder == t.cfg.Self && term.Incarnation == t.cfg.Incarnation
}

// HoldsAny reports whether this daemon holds any shard.
func (t *Table) HoldsAny() bool {
	for s := range wick.Shard(Shards) {
		if t.Holds(s) {
			return true
		}
	}
	return false
}

// Confirm records that a read of the daemons' records is complete up to the
// instant upTo.
func (t *Table) Confirm(upTo wick.Instant) {
	t.confirmedAt = max(t.confirmedAt, upTo)
	t.unreachable, t.unconfirmed = false, false
}

// SetUnreachable records that the store does not answer.
func (t *Table) SetUnreachable() { t.unreachable = true }

// SetUnconfirmed records that the process was paused, so that others may have taken
// over its terms.
func (t *Table) SetUnconfirmed() { t.unconfirmed = true }

// Revoke gives up a term because an endpoint refused its order in favor of a
// later holder's. The shard gets no orders from this daemon until a later term.
func (t *Table) Revoke(s wick.Shard) { t.terms[s].Left = true }

// MayOrder reports whether this daemon may give orders to a shard's endpoints
// now, and under which fencing token.
func (t *Table) MayOrder(now wick.Instant, s wick.Shard) (wick.Fence, bool) {
	if !t.Holds(s) || t.unconfirmed || now < t.terms[s].From {
		return 0, false
	}
	age := now.Sub(t.confirmedAt)
	switch {
	case !t.cfg.RequireFencing:
		return t.terms[s].Fence, age < maxReadAgeUnfenced
	case t.unreachable:
		// Other daemons claim a term only if they receive no messages from its
		// holder. Where one does so anyway, the endpoints refuse this daemon's
		// orders by their fencing token.
		return t.terms[s].Fence, true
	}
	return t.terms[s].Fence, age < maxReadAge
}

// Candidate is a daemon that may hold terms.
type Candidate struct {
	Host        wick.HostName
	Incarnation wick.Incarnation
	Capacity    wick.Capacity
}

// Claims returns the shards that this daemon should claim now. alive lists the
// daemons that are known to run, including this one.
func (t *Table) Claims(now wick.Instant, alive []Candidate) []wick.Shard {
	held := make(map[wick.HostName]int)
	for _, term := range t.terms {
		if isLive(term, alive) {
			held[term.Holder]++
		}
	}
	var claims []wick.Shard
	for s := range wick.Shard(Shards) {
		if isLive(t.terms[s], alive) {
			t.vacantSince[s] = -1
			continue
		}
		if t.vacantSince[s] < 0 {
			t.vacantSince[s] = now
		}
		rank, host := t.rank(s, alive, held)
		held[host]++
		if now.Sub(t.vacantSince[s]) >= t.claimDelay(s)+time.Duration(min(rank, maxRank))*rankDelay {
			claims = append(claims, s)
		}
	}
	return claims
}

// claimDelay is how long a shard must have been without a live holder before it
// is claimed. It is 0 if the shard had no term, if the holder gave its term up,
// and for a former holder that restarts. The lease is waited for after the claim
// (see Begin).
func (t *Table) claimDelay(s wick.Shard) time.Duration {
	term := t.terms[s]
	if term.Fence == 0 || term.Left || term.Holder == t.cfg.Self {
		return 0
	}
	return vacancyTimeout
}

func isLive(term Term, alive []Candidate) bool {
	return term.Fence > 0 && !term.Left && slices.ContainsFunc(alive, func(c Candidate) bool {
		return c.Host == term.Holder && c.Incarnation == term.Incarnation
	})
}

// rank returns this daemon's position among the candidates for a shard, and the
// host of the first one. Machines with at least half the capacity of the best
// come first. Among equals, a former holder that has not left comes first,
// since it need not wait for its own lease, and then the ones with fewer
// shards.
func (t *Table) rank(s wick.Shard, alive []Candidate, held map[wick.HostName]int) (int, wick.HostName) {
	order := slices.Clone(alive)
	var best wick.Capacity
	for _, c := range order {
		best = max(best, c.Capacity)
	}
	weak := func(c Candidate) int {
		if 2*c.Capacity < best {
			return 1
		}
		return 0
	}
	slices.SortFunc(order, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(weak(a), weak(b)),
			cmp.Compare(t.claimCost(s, a, held), t.claimCost(s, b, held)),
			cmp.Compare(tiebreak(s, a.Host), tiebreak(s, b.Host)),
			cmp.Compare(a.Host, b.Host),
		)
	})
	if len(order) == 0 {
		return 0, ""
	}
	i := slices.IndexFunc(order, func(c Candidate) bool { return c.Host == t.cfg.Self })
	if i < 0 {
		i = len(order)
	}
	return i, order[0].Host
}

func (t *Table) claimCost(s wick.Shard, c Candidate, held map[wick.HostName]int) int {
	term := t.terms[s]
	if term.Fence > 0 && !term.Left && term.Holder == c.Host {
		return -1
	}
	return held[c.Host]
}

func tiebreak(s wick.Shard, h wick.HostName) uint64 {
	d := xxhash.New()
	d.WriteString(string(h)) // Digest.WriteString never fails.
	d.Write([]byte{byte(s)})
	return d.Sum64()
}
