package wick

import "time"

// EndpointIndex is the index of an endpoint in a router's table. It does not
// change while the endpoint is configured.
type EndpointIndex int32

// RouteInput describes a request to a router.
type RouteInput struct {
	Pool PoolName
	// Ref is the requested adapter and version; the zero Ref for the base model
	// and for plain services.
	Ref Ref
	// Avoid lists endpoints that earlier attempts used.
	Avoid []EndpointName
	// Prefix identifies the prompt prefix, so that requests with the same one
	// can share an endpoint's prefix cache; 0 means none.
	Prefix Fingerprint
	Cost   Cost
	// Probe is set for a short idempotent request, which may be used to test an
	// ejected endpoint.
	Probe bool
	// Random is a new random number for each request.
	Random uint64
	// RequestNumber is the running number of the request on this daemon.
	RequestNumber uint64
	// InFlight has this daemon's requests in flight; nil means none.
	InFlight InFlight
}

// InFlight reports how much work this daemon has in flight at endpoints. Unlike
// digests, these values are current. Implementations are safe for concurrent use.
type InFlight interface {
	// Cost returns the total cost of the requests that were sent to the endpoint
	// and have not ended.
	Cost(EndpointIndex) Cost
}

// Target is the endpoint to which a request is routed.
type Target struct {
	Index    EndpointIndex
	Endpoint EndpointName
	// Owner is the daemon that dispatches for the endpoint, and Peer its
	// address; both are empty while no owner is known.
	Owner HostName
	Peer  Address
	// Ready is set if the endpoint had the adapter loaded according to its last
	// digest.
	Ready bool
}

// Router selects the endpoint of a request. Implementations are immutable and
// safe for concurrent use.
type Router interface {
	// Pick returns the endpoint for a request, or false if no endpoint of the
	// pool may take it.
	Pick(in *RouteInput) (Target, bool)
}

// RoutePolicy names an implementation of Router in the settings.
type RoutePolicy string

// The implementations of Router.
const (
	// RouteAffinity prefers endpoints that have the adapter loaded, within
	// limits on their load.
	RouteAffinity RoutePolicy = "Affinity"
	// RouteLeastLoaded takes the less loaded of two random endpoints.
	RouteLeastLoaded RoutePolicy = "LeastLoaded"
	// RouteRoundRobin takes endpoints in turn.
	RouteRoundRobin RoutePolicy = "RoundRobin"
)

// RetryBudget limits retries to a fraction of the requests, so that they do not
// amplify the overload that caused them. The implementations in package limit
// leave the locking to package tally; all others are safe for concurrent use.
type RetryBudget interface {
	// Earn adds the credit of a first attempt.
	Earn()
	// Spend reports whether another retry is allowed, and takes it from the
	// budget if so.
	Spend() bool
}

// SharedBudget is one daemon's part of a retry budget that all daemons share. The
// implementation in package limit leaves the locking to package tally.
type SharedBudget interface {
	// Earn adds the credit of a request; daemons is the number of running
	// daemons.
	Earn(daemons int)
	// Spend reports whether another retry is allowed, and takes it from the
	// budget if so.
	Spend(daemons int) bool
	// SpendSpare is like Spend, for an attempt that can be left out. It also
	// refuses while the budget is low, so that enough is left for retries.
	SpendSpare(daemons int) bool
}

// MemoryBudget bounds the memory of what requests hold. Implementations are safe for
// concurrent use.
type MemoryBudget interface {
	// Take takes memory out of the budget. It returns false, and takes nothing, if not
	// enough is left.
	Take(n Bytes) bool
	// Give returns what was taken.
	Give(n Bytes)
}

// RetryPolicy names an implementation of RetryBudget in the settings.
type RetryPolicy string

// The implementations of RetryBudget.
const (
	// RetryShare allows retries for a fraction of the first attempts.
	RetryShare RetryPolicy = "Share"
	// RetryUnlimited allows every retry.
	RetryUnlimited RetryPolicy = "Unlimited"
)

// Hedger decides whether to start a second attempt of a short idempotent request
// in parallel to the first. The first answer is used and the other attempt is
// canceled. The implementations in package limit leave the locking to package
// tally.
type Hedger interface {
	// RequestStarted records the start of a request that may be hedged.
	RequestStarted()
	// ObserveLatency records the time that one attempt took until its first token or
	// reply.
	ObserveLatency(d time.Duration)
	// Delay returns how long to wait for the first attempt, or false if there
	// must be no second one.
	Delay() (time.Duration, bool)
	// TryHedge reports whether a second attempt may start now, and counts it if so.
	TryHedge() bool
}

// HedgeKey identifies the requests of a gateway that are expected to take similar
// times.
type HedgeKey struct {
	Route RouteName
	Pool  PoolName
}

// Hedgers gives access to the hedgers of a gateway. Implementations, and the
// hedgers that they return, are safe for concurrent use.
type Hedgers interface {
	// Of returns the hedger of the requests with a key, or nil if they must not be
	// hedged.
	Of(k HedgeKey) Hedger
}

// HedgeDenial is the reason why no second attempt was started beside a slow one.
type HedgeDenial string

// The reasons why a second attempt is denied.
const (
	// HedgeLimit: the limit on hedges of the route, or on all, was reached.
	HedgeLimit HedgeDenial = "limit"
	// HedgeBudget: the shared retry budget was low.
	HedgeBudget HedgeDenial = "budget"
	// HedgeRoom: the endpoints of the pool lacked room.
	HedgeRoom HedgeDenial = "room"
	// HedgeEndpoint: no other endpoint had the adapter ready.
	HedgeEndpoint HedgeDenial = "endpoint"
	// HedgeSuspect: the request was pending when an endpoint crashed.
	HedgeSuspect HedgeDenial = "suspect"
	// HedgeTime: too little time was left for a second attempt.
	HedgeTime HedgeDenial = "time"
)

// HedgePolicy names an implementation of Hedger in the settings.
type HedgePolicy string

// The implementations of Hedger.
const (
	// HedgePercentile hedges after a percentile of the observed latencies.
	HedgePercentile HedgePolicy = "Percentile"
	// HedgeNone never hedges.
	HedgeNone HedgePolicy = "None"
)

// Health is the performance of an endpoint relative to the others of its pool.
type Health struct {
	// TimePerToken, Slowdown and Ejected are as in Digest.
	TimePerToken Duration
	Slowdown     float64
	Ejected      bool
}

// Ejector detects endpoints that are slower than the others of their pool.
type Ejector interface {
	// Put adds an endpoint, of this daemon or of another one, or moves it to
	// another pool.
	Put(e EndpointName, pool PoolName)
	// Remove removes an endpoint.
	Remove(e EndpointName)
	// RecordProgress records the number of tokens that a request at an endpoint
	// produced since its last record, and the time this took; tokens is 0 while
	// the request stalls. A call of a plain service counts as one token.
	RecordProgress(now Instant, e EndpointName, tokens Tokens, took time.Duration)
	// ApplyDigest applies another owner's digest of its endpoint.
	ApplyDigest(now Instant, d Digest)
	// Evaluate evaluates the health of an endpoint of this daemon.
	Evaluate(now Instant, e EndpointName) Health
}

// EjectPolicy names an implementation of Ejector in the settings.
type EjectPolicy string

// The implementations of Ejector.
const (
	// EjectOutliers shifts work away from slow endpoints and ejects outliers.
	EjectOutliers EjectPolicy = "Outliers"
	// EjectNone treats every endpoint as normal.
	EjectNone EjectPolicy = "None"
)

// Prefetch is a load that is worth starting before any request waits for it.
type Prefetch struct {
	Endpoint EndpointName
	Ref      Ref
	// RequestRate is the rate of requests that the load would serve, in requests per
	// second seen by this daemon.
	RequestRate float64
}

// PlaceEndpoint describes an endpoint of this daemon to a Placer.
type PlaceEndpoint struct {
	Endpoint EndpointName
	// Slots is how many adapters it can have loaded.
	Slots Slots
	// Adapters are the adapters that are loaded or loading.
	Adapters []Ref
}

// PlacementTable gives a Placer the preferred and the current endpoints of
// adapters. A router's table implements it.
type PlacementTable interface {
	// PreferredEndpoints calls yield for the endpoints of a pool in the order of
	// an adapter's preference, at least once for each, until yield returns false.
	PreferredEndpoints(pool PoolName, ref Ref, yield func(EndpointName, Domain) bool)
	// ResidentCount returns how many endpoints of a pool have an adapter loaded.
	ResidentCount(pool PoolName, ref Ref) int
	// PoolSize returns how many endpoints of a pool accept work.
	PoolSize(pool PoolName) int
}

// Placer plans which adapters the endpoints of one pool have loaded. It sees a
// sample of the pool's requests: those that this daemon received from callers.
type Placer interface {
	// RecordRequest records a request.
	RecordRequest(now Instant, ref Ref)
	// RequestRate returns the rate of requests for an adapter, in requests per second
	// seen by this daemon.
	RequestRate(now Instant, ref Ref) float64
	// Plan returns the loads to start at this daemon's endpoints, the most useful
	// first.
	Plan(now Instant, places PlacementTable, own []PlaceEndpoint) []Prefetch
}

// PlacePolicy names an implementation of Placer in the settings.
type PlacePolicy string

// The implementations of Placer.
const (
	// PlaceByShare assigns each adapter a number of endpoints according to its
	// share of the requests.
	PlaceByShare PlacePolicy = "ByShare"
	// PlaceOnDemand loads adapters only when requests wait for them.
	PlaceOnDemand PlacePolicy = "OnDemand"
)
