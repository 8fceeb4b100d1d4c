package limit

import (
	"time"

	"currantwick"
)

// Client is one daemon's side of a weight store's budget: it decides whether the
// daemon may start a load now. It uses the daemon's static share first, then
// the permits that the budget's owner granted. While no owner answers it
// continues with the static share alone.
type Client struct {
	config StoreConfig
	from   wick.HostName
	run    wick.Incarnation
	// static is the share that needs no grant; staticLoads counts the loads in
	// flight under it.
	static      Share
	bucket      bucket
	staticLoads wick.Slots
	// granted is what remains of the last grant, valid until requestedAt plus
	// TTL; loading counts the loads in flight under grants.
	granted     wick.Slots
	loading     wick.Slots
	requestedAt wick.Instant
	sequence    wick.Sequence
	// ownerRun is the incarnation of the daemon that the last request went to,
	// 0 if the request failed.
	ownerRun wick.Incarnation
	// reportDue is set when a request is due although no load is wanted: the
	// loads in flight under grants have changed since the last request, or there
	// were some then, which have to be reported regularly.
	reportDue bool
}

// Permit is the permit under which a load runs; it is returned with Client.Release.
type Permit uint8

// Permits for loads.
const (
	// PermitNone means that the load has to wait.
	PermitNone Permit = iota
	// PermitStatic is a permit of the static share.
	PermitStatic
	// PermitGrant is a permit granted by the budget's owner.
	PermitGrant
)

// NewClient returns the Client of one daemon, without a static share.
func NewClient(cfg StoreConfig, from wick.HostName, run wick.Incarnation) *Client {
	return &Client{config: cfg.withDefaults(), from: from, run: run}
}

// SetStatic sets the static share; see MinShare.
func (l *Client) SetStatic(now wick.Instant, s Share) {
	l.bucket.refill(now, l.static.Rate, 1)
	l.static = s
}

// Demand is a daemon's demand for loads.
type Demand struct {
	// Cost is the work that waits for loads, and Loads the number of loads that
	// it needs.
	Cost  wick.Cost
	Loads wick.Slots
	// Prefetch is the number of loads wanted for work that is only expected.
	Prefetch wick.Slots
}

// Request returns a request to the budget's owner, if one is due. A new owner gets
// one that reports the loads in flight; after that a request is due whenever
// there is demand or something to report. A request voids what remains of
// earlier grants. owner is the owner of the budget in the given view.
func (l *Client) Request(now wick.Instant, view wick.ViewNumber, owner wick.Member, w Demand) (wick.Grant, bool) {
	due := owner.Incarnation != l.ownerRun || l.reportDue || w.Loads > 0 || w.Prefetch > 0
	if !due {
		return wick.Grant{}, false
	}
	l.ownerRun = owner.Incarnation
	l.granted = 0
	l.requestedAt = now
	l.sequence++
	l.reportDue = l.loading > 0
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

// HandleGrant handles the response to the last request. A response to an
// earlier one is ignored.
func (l *Client) HandleGrant(g wick.Grant) {
	if g.Sequence == l.sequence && g.Incarnation == l.run {
		l.granted = g.Given
	}
}

// RequestFailed records that the last request got no response, so that the next
// one is due.
func (l *Client) RequestFailed() { l.ownerRun = 0 }

// Acquire returns the permit for one load that starts now, or PermitNone.
func (l *Client) Acquire(now wick.Instant) Permit {
	l.bucket.refill(now, l.static.Rate, 1)
	if l.staticLoads < l.static.Slots && l.bucket.take() {
		l.staticLoads++
		return PermitStatic
	}
	if l.granted > 0 && now.Sub(l.requestedAt) < l.config.TTL {
		l.granted--
		l.loading++
		l.reportDue = true
		return PermitGrant
	}
	return PermitNone
}

// Release returns the permit of a load that has ended.
func (l *Client) Release(p Permit) {
	switch p {
	case PermitStatic:
		l.staticLoads--
	case PermitGrant:
		l.loading--
		l.reportDue = true
	}
}

// Interval returns the time between requests of this daemon while they are due,
// if the owner serves the given number of members. It is well within the TTL of
// a grant.
func (l *Client) Interval(members int) time.Duration {
	d := time.Duration(members) * requestSpacing
	return max(l.config.TTL/maxRequestsPerTTL, min(d, l.config.TTL/minRequestsPerTTL))
}

const (
	// requestSpacing is the time between two requests to one owner if all
	// members send them.
	requestSpacing = 12 * time.Millisecond
	// maxRequestsPerTTL and minRequestsPerTTL bound the number of requests
	// within the TTL of a grant.
	maxRequestsPerTTL, minRequestsPerTTL = 20, 2
)
