package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"currantwick"
	"currantwick/terms"
)

const (
	// aheadTime is the time for which a daemon asks ahead: two reports and their
	// answers.
	aheadTime = 300 * time.Millisecond
	// demandTime is the time over which the demand for units is averaged.
	demandTime = time.Second
	// quietTime is the longest time between two checks of a team that needs nothing, and
	// the time before a daemon asks ahead again if the holder granted less than it asked.
	quietTime = 500 * time.Millisecond
	// askPause is the time before a daemon asks again for requests that the holder did
	// not decide on.
	askPause = 20 * time.Millisecond
	// idleTime is how long a daemon holds units for a team without requests, and
	// forgetTime how long it remembers the team.
	idleTime   = 10 * time.Second
	forgetTime = 30 * time.Second
	// exceededTime is how long the holder's statement that a team is over its limit
	// is used for further requests. It bounds what a team that is far over its limit
	// can make a daemon ask.
	exceededTime = 100 * time.Millisecond
	// maxNeeds bounds the requests in one ask, and maxAsks the asks in one report.
	maxNeeds = 32
	maxAsks  = 64
	// notableInterval is the least time between two refusals of a team that get a log
	// line, and maxNotable bounds those of all teams in that time.
	notableInterval = time.Second
	maxNotable      = 16
	// maxAloneRetry bounds the time after which a request that found no holder is worth
	// trying again: a daemon is seldom without one for longer.
	maxAloneRetry = time.Second
)

// Client is what one daemon may use of the allotments of all teams. It is not safe for
// concurrent use.
type Client struct {
	cfg     Config
	daemons int
	shards  [terms.Shards]shard
	// notable counts the refusals with a log line since notableAt.
	notable   int
	notableAt wick.Instant
}

// shard is what a daemon has of the teams of one shard.
type shard struct {
	// present is set while a holder answers; since is when that began or ended.
	present  bool
	since    wick.Instant
	accounts map[wick.TeamName]*account
	// urgent are the accounts for which requests wait.
	urgent map[wick.TeamName]*account
}

// Waiter is a request that waits for the answer of a holder.
type Waiter struct {
	// Done is closed when Verdict is set.
	Done    chan struct{}
	Verdict wick.AllotmentVerdict
	units   float64
	// asked is the number of the report that names it; 0 for none.
	asked uint64
}

func (w *Waiter) decide(v wick.AllotmentVerdict) {
	w.Verdict = v
	close(w.Done)
}

// NewClient returns a client without units and without holders.
func NewClient(now wick.Instant, cfg Config) *Client {
	c := &Client{cfg: cfg}
	for i := range c.shards {
		c.shards[i] = shard{since: now, accounts: make(map[wick.TeamName]*account), urgent: make(map[wick.TeamName]*account)}
	}
	return c
}

// SetDaemons sets the number of daemons that share the allotments.
func (c *Client) SetDaemons(n int) { c.daemons = n }

// SetHolder records that a holder answers for a shard from now on, or that none does.
// What was granted before may still be used, but it is not given back to the new holder.
func (c *Client) SetHolder(now wick.Instant, sh wick.Shard, present bool) {
	s := &c.shards[sh]
	s.present, s.since = present, now
	for _, a := range s.accounts {
		a.asked, a.exceeded, a.returned = 0, false, 0
		for _, w := range a.waiting {
			w.asked = 0
		}
		if present {
			continue
		}
		for _, w := range a.waiting {
			w.decide(c.takeAlone(now, s, a, w.units))
		}
		a.waiting = nil
	}
	if !present {
		clear(s.urgent)
	}
}

// Take takes units for a request. If the verdict depends on the holder's answer, it
// returns a Waiter, which ends by its Done channel or by Cancel.
func (c *Client) Take(now wick.Instant, team wick.TeamName, allotment wick.Allotment, units float64) (wick.AllotmentVerdict, *Waiter) {
	s := &c.shards[ShardOf(team)]
	a := s.accounts[team]
	if a == nil {
		a = &account{}
		s.accounts[team] = a
	}
	if a.allotment.Unit != allotment.Unit {
		// What was counted in another unit means nothing.
		a.lots, a.own, a.returned, a.demand, a.size, a.exceeded = nil, 0, 0, 0, 0, false
	}
	a.allotment = allotment
	a.expire(now, s.since)
	a.observe(now, units)
	if a.spend(units) {
		return wick.AllotmentVerdict{}, nil
	}
	if !s.present {
		return c.takeAlone(now, s, a, units), nil
	}
	if v := a.predict(now, units); v.Result != wick.UnitsTaken {
		v.Notable = c.isNotable(now, a)
		return v, nil
	}
	w := &Waiter{units: units, Done: make(chan struct{})}
	a.waiting, s.urgent[team] = append(a.waiting, w), a
	return wick.AllotmentVerdict{}, w
}

// Cancel ends a wait. It returns the verdict, which is UnitsUnknown if the holder has not
// answered.
func (c *Client) Cancel(now wick.Instant, team wick.TeamName, w *Waiter) wick.AllotmentVerdict {
	select {
	case <-w.Done:
		return w.Verdict
	default:
	}
	s := &c.shards[ShardOf(team)]
	a := s.urgent[team]
	i := slices.Index(a.waiting, w)
	if a.waiting = slices.Delete(a.waiting, i, i+1); len(a.waiting) == 0 {
		delete(s.urgent, team)
	}
	w.decide(wick.AllotmentVerdict{Result: wick.UnitsUnknown, RetryAfter: wick.Duration(aheadTime), Notable: c.isNotable(now, a)})
	return w.Verdict
}

// Give takes back units that a request took at an instant and did not use.
func (c *Client) Give(now wick.Instant, team wick.TeamName, units float64, taken wick.Instant) {
	s := &c.shards[ShardOf(team)]
	a := s.accounts[team]
	switch {
	case a == nil || taken < s.since:
		// Another holder granted them.
	case s.present:
		a.giveBack(units, taken)
	default:
		a.own = min(a.own+units, c.ownCapacity(a))
	}
}

// Asks returns what to ask of a shard's holder, in the report with the given number. If
// urgent is set, it returns only what requests wait for.
func (c *Client) Asks(now wick.Instant, sh wick.Shard, number uint64, urgent bool) []wick.AllotmentAsk {
	s := &c.shards[sh]
	if !s.present {
		return nil
	}
	var list []wick.AllotmentAsk
	add := func(team wick.TeamName, a *account) {
		if ask, ok := a.ask(now, number); ok {
			ask.Team = team
			list = append(list, ask)
		}
	}
	for team, a := range s.urgent {
		a.forgetLostAsk(now)
		if a.asked == 0 && now >= a.askAfter && len(list) < maxAsks {
			add(team, a)
		}
	}
	if !urgent {
		for team, a := range s.accounts {
			a.forgetLostAsk(now)
			switch {
			case a.asked != 0 || len(list) >= maxAsks || now < a.quietUntil:
			case len(a.waiting) == 0 && now.Sub(a.usedAt) > forgetTime:
				delete(s.accounts, team)
			default:
				a.expire(now, s.since)
				add(team, a)
			}
		}
	}
	slices.SortFunc(list, func(a, b wick.AllotmentAsk) int { return cmp.Compare(a.Team, b.Team) })
	return list
}

// Granted applies the answers to the report with the given number. It reports whether
// requests wait that no report names.
func (c *Client) Granted(now wick.Instant, number uint64, grants []wick.AllotmentGrant) bool {
	more := false
	for _, g := range grants {
		s := &c.shards[ShardOf(g.Team)]
		a := s.accounts[g.Team]
		if a == nil || a.asked != number {
			continue
		}
		a.asked = 0
		if g.Units < a.wanted {
			a.wantAfter = now.Add(quietTime)
		}
		if g.Units > 0 {
			a.lots = append(a.lots, lot{units: float64(g.Units), granted: a.askedAt, expires: a.askedAt.Add(unitsTTL)})
		}
		a.expire(now, s.since) // Units of an answer that is too late are given back.
		if g.Over {
			a.room, a.rate, a.exceededAt, a.exceeded = g.Room, float64(g.Rate), now, true
		}
		c.serve(now, a, number, g.Over)
		if len(a.waiting) == 0 {
			delete(s.urgent, g.Team)
		}
		more = more || len(a.waiting) > 0 && now >= a.askAfter
	}
	return more
}

// serve decides on the requests that wait: those that the answered report named, and
// later ones that fit into what is left.
func (c *Client) serve(now wick.Instant, a *account, number uint64, over bool) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w *Waiter) bool {
		switch {
		case a.spend(math.Ceil(w.units)):
			w.decide(wick.AllotmentVerdict{})
		case w.asked == number && over:
			w.decide(wick.AllotmentVerdict{
				Result:     wick.UnitsExceeded,
				RetryAfter: wick.Duration(untilRoom(w.units, a.room, a.rate)),
				Notable:    c.isNotable(now, a),
			})
		default:
			if w.asked == number {
				// The answer was too late, or a new holder does not know.
				a.askAfter = now.Add(askPause)
			}
			w.asked = 0
			return false
		}
		return true
	})
}

// takeAlone takes units from the daemon's own part of the rate.
func (c *Client) takeAlone(now wick.Instant, s *shard, a *account, units float64) wick.AllotmentVerdict {
	n := float64(max(c.daemons, 1))
	rate, capacity := float64(a.allotment.Rate)/n, c.ownCapacity(a)
	if a.ownAt < s.since {
		// The bucket starts empty, but a link that comes and goes does not renew what
		// it may go below zero.
		if a.own = min(a.own, 0); s.since.Sub(a.ownAt) >= c.cfg.Window {
			a.own = 0
		}
		a.ownAt = s.since
	}
	a.own = min(a.own+rate*now.Sub(a.ownAt).Seconds(), capacity)
	a.ownAt = now
	slack := c.cfg.slack(a.allotment) / n
	reserve := c.cfg.reserve(a.allotment)/n + aloneSlack*slack
	if fits(units, a.own, capacity, reserve, 0) {
		a.own -= units
		return wick.AllotmentVerdict{}
	}
	return wick.AllotmentVerdict{
		Result:     wick.UnitsUnknown,
		RetryAfter: wick.Duration(min(untilRoom(units, a.own+reserve, rate), maxAloneRetry)),
		Notable:    c.isNotable(now, a),
	}
}

func (c *Client) ownCapacity(a *account) float64 {
	return a.allotment.Burst / float64(max(c.daemons, 1))
}

// isNotable reports whether a refusal of a team deserves a log line.
func (c *Client) isNotable(now wick.Instant, a *account) bool {
	if now.Sub(c.notableAt) >= notableInterval {
		c.notable, c.notableAt = 0, now
	}
	if a.noted && now.Sub(a.notableAt) < notableInterval || c.notable >= maxNotable {
		return false
	}
	a.noted, a.notableAt = true, now
	c.notable++
	return true
}

// State returns what the daemon has of each team.
func (c *Client) State(now wick.Instant) []wick.TeamShareState {
	var list []wick.TeamShareState
	for i := range c.shards {
		s := &c.shards[i]
		for team, a := range s.accounts {
			list = append(list, wick.TeamShareState{Team: team, Held: wick.Units(a.heldAt(now)), Waiting: len(a.waiting), Alone: !s.present})
		}
	}
	slices.SortFunc(list, func(a, b wick.TeamShareState) int { return cmp.Compare(a.Team, b.Team) })
	return list
}
