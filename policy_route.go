package wick

import "time"

// EndpointIndex is the place of an endpoint in a router's table. It stays the
// same for as long as the endpoint is configured.
type EndpointIndex int32

// RouteInput is what a router is told of one request.
type RouteInput struct {
	Pool PoolName
	// Ref is the adapter and version the request names; the zero Ref for the
	// base model and for plain services.
	Ref Ref
	// Avoid lists endpoints that were tried already.
	Avoid []EndpointName
	// Prefix identifies the start of the prompt, so that requests that share
	// it can share an endpoint's prefix cache; 0 means none.
	Prefix Fingerprint
	Cost   Cost
	// Probe tells that the request is short and idempotent, so that it may try
	// out an ejected endpoint.
	Probe bool
	// Random is drawn afresh for each request.
	Random uint64
	// Turn counts the requests of this daemon.
	Turn uint64
	// InFlight gives this daemon's own work; nil means none.
	InFlight InFlight
}

// InFlight tells how much work this daemon itself has at endpoints right now.
// Digests lag; these figures do not. Implementations are safe for concurrent
// use.
type InFlight interface {
	// Cost returns the sum of the costs of what was sent to the endpoint and
	// has not ended.
	Cost(EndpointIndex) Cost
}

// Target is where a request goes.
type Target struct {
	Index    EndpointIndex
	Endpoint EndpointName
	// Owner is the daemon that dispatches for the endpoint, and Peer where it
	// is reached; both are empty while no owner is known.
	Owner HostName
	Peer  Address
	// Ready tells that the adapter was resident there by the last digest.
	Ready bool
}

// Router chooses the endpoint of a request. Implementations are immutable and
// safe for concurrent use.
type Router interface {
	// Pick returns the endpoint for a request, or false if the pool has none
	// that may take it.
	Pick(in *RouteInput) (Target, bool)
}

// RoutePolicy names an implementation of Router in the settings.
type RoutePolicy string

// The implementations of Router.
const (
	// RouteAffinity prefers endpoints that hold the adapter, within bounds on
	// their load.
	RouteAffinity RoutePolicy = "Affinity"
	// RouteLeastLoaded takes the less loaded of two endpoints at random.
	RouteLeastLoaded RoutePolicy = "LeastLoaded"
	// RouteRoundRobin takes endpoints in turn.
	RouteRoundRobin RoutePolicy = "RoundRobin"
)

// RetryBudget bounds retries to a share of the requests, so that they do not
// add to the overload that made them necessary. The implementations below
// limit leave the locking to package tally; all others are safe for concurrent
// use.
type RetryBudget interface {
	// Earn counts a first try.
	Earn()
	// Spend reports whether one more retry may be made.
	Spend() bool
}

// SharedBudget is one daemon's part of a budget of repeats that all daemons
// share. The implementation below limit leaves the locking to package tally.
type SharedBudget interface {
	// Earn counts a request, while so many daemons run.
	Earn(daemons int)
	// Spend reports whether one more repeat may be made.
	Spend(daemons int) bool
}

// RetryPolicy names an implementation of RetryBudget in the settings.
type RetryPolicy string

// The implementations of RetryBudget.
const (
	// RetryShare allows retries for a share of the first tries.
	RetryShare RetryPolicy = "Share"
	// RetryUnlimited allows every retry.
	RetryUnlimited RetryPolicy = "Unlimited"
)

// Hedger decides whether a second try of short idempotent work starts beside
// the first. Whichever answers first wins, and the other one is cancelled. The
// implementations below limit leave the locking to package tally.
type Hedger interface {
	// Began notes a request that could be hedged.
	Began()
	// Took notes how long one try took until its first token or reply.
	Took(d time.Duration)
	// Delay returns how long to wait for the first try, or false if there is
	// to be no second one.
	Delay() (time.Duration, bool)
	// Hedge reports whether a second try may start now, and counts it.
	Hedge() bool
}

// HedgePolicy names an implementation of Hedger in the settings.
type HedgePolicy string

// The implementations of Hedger.
const (
	// HedgePercentile hedges after a learned percentile.
	HedgePercentile HedgePolicy = "Percentile"
	// HedgeNone never hedges.
	HedgeNone HedgePolicy = "None"
)

// Health is how an endpoint does beside its peers.
type Health struct {
	// Pace, Slow and Ejected are those of Digest.
	Pace    Duration
	Slow    float64
	Ejected bool
}

// Ejector compares endpoints with their peers as they are now.
type Ejector interface {
	// Put adds an endpoint of this daemon or of another one, or moves it to
	// another pool.
	Put(e EndpointName, pool PoolName)
	// Remove forgets an endpoint.
	Remove(e EndpointName)
	// Progress notes that one request at an endpoint made so many tokens in
	// the time since it was last noted; none if it stalls. A call of a plain
	// service is one token.
	Progress(now Instant, e EndpointName, tokens Tokens, took time.Duration)
	// Heard takes in what another owner says about its endpoint.
	Heard(now Instant, d Digest)
	// Judge returns how an endpoint of this daemon does.
	Judge(now Instant, e EndpointName) Health
}

// EjectPolicy names an implementation of Ejector in the settings.
type EjectPolicy string

// The implementations of Ejector.
const (
	// EjectOutliers shifts work away from slow endpoints and ejects outliers.
	EjectOutliers EjectPolicy = "Outliers"
	// EjectNone takes every endpoint for ordinary.
	EjectNone EjectPolicy = "None"
)

// Prefetch is a load that is worth making before a request waits for it.
type Prefetch struct {
	Endpoint EndpointName
	Ref      Ref
	// Heat is the rate of requests, in requests a second seen by this daemon,
	// that the load would serve.
	Heat float64
}

// PlaceEnd is an endpoint of this daemon, as a Placer sees it.
type PlaceEnd struct {
	Endpoint EndpointName
	// Slots is how many adapters it holds at once.
	Slots Slots
	// Held are the adapters that are resident or on their way.
	Held []Ref
}

// Places tells a Placer where adapters belong and where they are. A router's
// table implements it.
type Places interface {
	// Homes calls yield for the endpoints of a pool in the order in which an
	// adapter prefers them, one or more times each, until yield returns false.
	Homes(pool PoolName, ref Ref, yield func(EndpointName, Domain) bool)
	// Holders returns how many endpoints of a pool hold an adapter.
	Holders(pool PoolName, ref Ref) int
	// Size returns how many endpoints of a pool take work.
	Size(pool PoolName) int
}

// Placer plans which adapters the endpoints of one pool hold. It sees a sample
// of the pool's requests, those that entered at this daemon.
type Placer interface {
	// Seen notes a request.
	Seen(now Instant, ref Ref)
	// Heat returns the rate of requests for an adapter, in requests a second
	// seen by this daemon.
	Heat(now Instant, ref Ref) float64
	// Plan returns loads for this daemon's endpoints, the most useful first.
	Plan(now Instant, places Places, own []PlaceEnd) []Prefetch
}

// PlacePolicy names an implementation of Placer in the settings.
type PlacePolicy string

// The implementations of Placer.
const (
	// PlaceByShare gives adapters homes and copies by their share of requests.
	PlaceByShare PlacePolicy = "ByShare"
	// PlaceOnDemand loads adapters only when requests wait for them.
	PlaceOnDemand PlacePolicy = "OnDemand"
)
