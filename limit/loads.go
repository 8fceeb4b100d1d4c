package limit

import (
	"time"

	"currantwick"
)

// Loads is one daemon's side of a weight store's budget: whether it may start a
// load now. It uses its static share first, then what the owner of the budget
// granted, and works on with the static share alone while no owner answers.
type Loads struct {
	config StoreConfig
	from   wick.HostName
	run    wick.Incarnation
	// static is the share that needs no grant; own are the loads in flight
	// under it.
	static Share
	bucket bucket
	own    wick.Slots
	// left is what remains of the last grant, until asked plus TTL; loading
	// are the loads in flight under grants.
	left     wick.Slots
	loading  wick.Slots
	asked    wick.Instant
	sequence wick.Sequence
	// owner is the run of a daemon to which the last question went, 0 if it
	// was not answered.
	owner wick.Incarnation
	// reports tells that a question is due although nothing is wanted.
	reports bool
}

// Pass is the permission under which a load runs; Loads.End wants it back.
type Pass uint8

// The permissions for loads.
const (
	// PassNone means that the load must wait.
	PassNone Pass = iota
	// PassStatic is a part of the static share.
	PassStatic
	// PassGrant is a part of a grant.
	PassGrant
)

// NewLoads returns the side of one daemon, without a share.
func NewLoads(cfg StoreConfig, from wick.HostName, run wick.Incarnation) *Loads {
	return &Loads{config: cfg.withDefaults(), from: from, run: run}
}

// SetStatic sets the static share, see LeastShare.
func (l *Loads) SetStatic(now wick.Instant, s Share) {
	l.bucket.fill(now, l.static.Rate, 1)
	l.static = s
}

// Want is what a daemon would load, had it the permission.
type Want struct {
	// Cost is the work that waits for loads, and Loads how many that needs.
	Cost  wick.Cost
	Loads wick.Slots
	// Prefetch is how many loads are wanted for work that is only expected.
	Prefetch wick.Slots
}

// Ask returns the question for the owner of the budget, if one is due: a new
// owner is told what is in flight, and is then asked while there is something
// to want or to report. It ends what earlier grants left. owner is the owner of
// the budget in the given view.
func (l *Loads) Ask(now wick.Instant, view wick.ViewNumber, owner wick.Member, w Want) (wick.Grant, bool) {
	due := owner.Incarnation != l.owner || l.reports || w.Loads > 0 || w.Prefetch > 0
	if !due {
		return wick.Grant{}, false
	}
	l.owner = owner.Incarnation
	l.left = 0
	l.asked = now
	l.sequence++
	l.reports = l.loading > 0
	return wick.Grant{
		Store:       l.config.Store.Name,
		From:        l.from,
		Incarnation: l.run,
		View:        view,
		Sequence:    l.sequence,
		Wanted:      w.Cost,
		Loads:       w.Loads,
		Prefetch:    w.Prefetch,
		Loading:     l.loading,
	}, true
}

// Answer takes in the answer to the last question; one to an earlier question
// is void.
func (l *Loads) Answer(g wick.Grant) {
	if g.Sequence == l.sequence && g.Incarnation == l.run {
		l.left = g.Given
	}
}

// Failed notes that the last question got no answer, so that the next one is
// due.
func (l *Loads) Failed() { l.owner = 0 }

// Start returns the permission for one load that starts now, or PassNone.
func (l *Loads) Start(now wick.Instant) Pass {
	l.bucket.fill(now, l.static.Rate, 1)
	if l.own < l.static.Slots && l.bucket.take() {
		l.own++
		return PassStatic
	}
	if l.left > 0 && now.Sub(l.asked) < l.config.TTL {
		l.left--
		l.loading++
		l.reports = true
		return PassGrant
	}
	return PassNone
}

// End gives the permission of a load back that has ended.
func (l *Loads) End(p Pass) {
	switch p {
	case PassStatic:
		l.own--
	case PassGrant:
		l.loading--
		l.reports = true
	}
}

// Interval returns how often a question that is due should be asked, of an
// owner that answers so many daemons. It is well within the TTL of a grant.
func (l *Loads) Interval(members int) time.Duration {
	d := time.Duration(members) * askEach
	return max(l.config.TTL/mostAsks, min(d, l.config.TTL/leastAsks))
}

const (
	// askEach is the time between two questions to one owner, if all that ask
	// it do.
	askEach = 12 * time.Millisecond
	// mostAsks and leastAsks bound the questions within the TTL of a grant.
	mostAsks, leastAsks = 20, 2
)
