// Package sched schedules one endpoint: which request it runs next, which
// adapter its engine loads or unloads, and which requests it refuses.
//
// An Endpoint is the state of one endpoint at its owner. It is pure and not
// safe for concurrent use: the owner's control thread passes it events with the
// time at which they happened, and carries out the actions it returns.
//
// Invariants: each request passed to Submit ends in exactly one Refuse or
// Dispatch, and the caller ends each Dispatch with exactly one Done. Between
// Dispatch and Done the request holds a pin on its adapter. An adapter with a
// pin is never unloaded.
package sched

import (
	"time"

	"currantwick"
	"currantwick/evict"
)

// Config describes an endpoint and the policies that schedule it.
type Config struct {
	Endpoint wick.Endpoint
	Kind     wick.EndpointKind
	// Order, Evict and Admit are the policies; none is nil.
	Order wick.Orderer
	Evict wick.Evictor
	Admit wick.Admitter
	// OrderTTL is how long an order stays valid: engines ignore it
	// afterwards. 0 means 1 s.
	OrderTTL time.Duration
	// ReportEvery is the interval between reports while the engine's state is
	// uncertain; 0 means 200 ms.
	ReportEvery time.Duration
	// ReportIdle is the interval between reports otherwise; 0 means 2 s.
	ReportIdle time.Duration
	// DeniedRetryPause is the pause before permission for a denied load is
	// requested again; 0 means 100 ms.
	DeniedRetryPause time.Duration
	// MaxFailedLoads is how many consecutive failed loads cause the waiting
	// requests to be refused, so that they are retried on another endpoint; 0
	// means 2.
	MaxFailedLoads int
	// PerPromptToken and PerAnswerToken are the initial estimates of the time
	// per token of a prompt and of an answer; 0 means 0.1 ms and 20 ms.
	PerPromptToken time.Duration
	PerAnswerToken time.Duration
}

// Defaults of a Config.
const (
	defaultOrderTTL         = time.Second
	defaultReportEvery      = 200 * time.Millisecond
	defaultReportIdle       = 2 * time.Second
	defaultDeniedRetryPause = 100 * time.Millisecond
	defaultMaxFailedLoads   = 2
	defaultPrompt           = 100 * time.Microsecond
	defaultAnswer           = 20 * time.Millisecond
)

func (c *Config) setDefaults() {
	c.OrderTTL = durationOr(c.OrderTTL, defaultOrderTTL)
	c.ReportEvery = durationOr(c.ReportEvery, defaultReportEvery)
	c.ReportIdle = durationOr(c.ReportIdle, defaultReportIdle)
	c.DeniedRetryPause = durationOr(c.DeniedRetryPause, defaultDeniedRetryPause)
	c.PerPromptToken = durationOr(c.PerPromptToken, defaultPrompt)
	c.PerAnswerToken = durationOr(c.PerAnswerToken, defaultAnswer)
	if c.MaxFailedLoads <= 0 {
		c.MaxFailedLoads = defaultMaxFailedLoads
	}
}

func durationOr(d, def time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return def
}

// Endpoint is the state of one endpoint at its owner.
type Endpoint struct {
	cfg Config
	// spec is the configured endpoint; Update replaces it.
	spec wick.Endpoint
	// owned is set while this daemon owns the endpoint and takes requests for
	// it. draining is set while no new ones are taken.
	owned    bool
	draining bool
	view     wick.ViewNumber
	sequence wick.Sequence

	// queue holds the waiting requests in order of arrival.
	queue []*pendingRequest
	// inFlight holds the dispatched requests until their Done.
	inFlight map[wick.RequestID]*pendingRequest
	// longInFlight counts the long requests in flight. suspectInFlight is set
	// while a suspect is in flight; no other request is dispatched until it
	// ends.
	longInFlight    wick.Slots
	suspectInFlight bool
	// inheritedSlots is an upper bound on the batch slots still used by
	// requests of earlier owners.
	inheritedSlots wick.Slots

	// adapters holds every adapter that is remembered, resident or not. held
	// lists those of them that take a slot, and wanted those to be loaded.
	adapters map[wick.Ref]*adapter
	held     []*adapter
	wanted   []*adapter
	// unloading counts the adapters of held that are being unloaded.
	unloading int
	// clock counts the requests for adapters.
	clock evict.Clock

	// unsynced is set until a report made at or after ordersExpire is
	// received. The ownership began at takeoverAt; at ordersExpire all orders
	// of earlier owners have expired. No adapter is loaded or unloaded while
	// unsynced.
	unsynced     bool
	takeoverAt   wick.Instant
	ordersExpire wick.Instant
	// reportRequestedAt is when a report was last requested.
	// newestReportRequest is when the newest report received so far was
	// requested; reports requested earlier are ignored.
	reportRequestedAt   wick.Instant
	newestReportRequest wick.Instant
	// boot identifies the engine's last reported start; empty if unknown.
	boot string
	// lastStep is when step last ran; Next returns a later time.
	lastStep wick.Instant
	// shortCount is the number of short requests as of the last step, and
	// shortMean its recent average.
	shortCount float64
	shortMean  float64

	prefixes map[wick.Fingerprint]*prefix
	costs    costs
	// runnable, runnablePending and idle are buffers of step; the first two are
	// parallel.
	runnable        []*wick.QueuedRequest
	runnablePending []*pendingRequest
	idle            []wick.AdapterUsage
}

// New returns an endpoint that this daemon does not own yet.
func New(cfg Config) *Endpoint {
	cfg.setDefaults()
	return &Endpoint{
		cfg:                 cfg,
		spec:                cfg.Endpoint,
		inFlight:            map[wick.RequestID]*pendingRequest{},
		adapters:            map[wick.Ref]*adapter{},
		prefixes:            map[wick.Fingerprint]*prefix{},
		costs:               newCosts(cfg),
		newestReportRequest: -1,
		clock:               evict.NewClock(cfg.Endpoint.AdapterSlots),
	}
}

// Submit takes a request. Its id must not be that of a request already queued
// or in flight; see Has.
func (e *Endpoint) Submit(now wick.Instant, it Item) []Action {
	sub := it.Sub
	if e.Has(sub.Request) {
		err := wick.Unknownf(wick.CodeInternal, "request %s is already here", sub.Request)
		return []Action{Refuse{sub.Request, err}}
	}
	if err := e.unavailable(); err != nil {
		return []Action{Refuse{sub.Request, err}}
	}
	t := e.newPending(now, it)
	if t.adapter != nil {
		e.clock.Touch(&t.adapter.uses, now)
	}
	var out []Action
	switch b := e.backlog(now, t); e.cfg.Admit.Admit(b, &t.QueuedRequest) {
	case wick.Admit:
	case wick.Displace:
		if b.ShedCandidate == nil {
			return append(out, e.overload(t))
		}
		out = e.refuse(out, e.find(b.ShedCandidate.Request), e.overload(t).Err)
	default:
		return append(out, e.overload(t))
	}
	e.enqueue(t)
	return e.step(now, out)
}

// Has reports whether a request is queued or in flight.
func (e *Endpoint) Has(id wick.RequestID) bool {
	return e.inFlight[id] != nil || e.find(id) != nil
}

// unavailable returns the reason why no requests are taken now, or nil.
func (e *Endpoint) unavailable() *wick.Error {
	switch {
	case !e.owned:
		return wick.NotRunf(wick.CodeNotOwner, "endpoint %s has another owner", e.spec.Name)
	case e.draining || e.spec.Leaving:
		return wick.NotRunf(wick.CodeStopping, "endpoint %s is draining", e.spec.Name)
	}
	return nil
}

// Cancel ends a request whose caller has disconnected.
func (e *Endpoint) Cancel(now wick.Instant, id wick.RequestID) []Action {
	if e.inFlight[id] != nil {
		return []Action{CancelRun{id}}
	}
	t := e.find(id)
	if t == nil {
		return nil
	}
	err := wick.NotRunf(wick.CodeCanceled, "the caller went away")
	return e.step(now, e.refuse(nil, t, err))
}

// Progress records that a request in flight has generated n more tokens. Once
// its answer costs as much as a long request, it counts as long.
func (e *Endpoint) Progress(now wick.Instant, id wick.RequestID, n wick.Tokens) {
	t := e.inFlight[id]
	if t == nil {
		return
	}
	if t.firstProgress < 0 {
		t.firstProgress = now
	}
	t.tokens += n
	if !t.Long && e.costs.isLong(e.costs.answerCost(t.tokens)) {
		t.Long = true
		e.longInFlight++
	}
}

// Result is the outcome of a dispatched request.
type Result struct {
	// Tokens counts the tokens of the answer.
	Tokens wick.Tokens
	// Err is nil for a complete answer. With outcome NotRun and
	// CodeLoadFailed it means that the adapter is not resident at the engine.
	Err *wick.Error
}

// adapterMissing reports whether the engine refused the request because its
// adapter is not resident.
func (r Result) adapterMissing() bool {
	return r.Err != nil && r.Err.Outcome == wick.NotRun && r.Err.Code == wick.CodeLoadFailed
}

// Done ends a dispatched request.
func (e *Endpoint) Done(now wick.Instant, id wick.RequestID, r Result) []Action {
	t := e.inFlight[id]
	if t == nil {
		return nil
	}
	e.removeFromBatch(t)
	if r.Err == nil {
		e.costs.learn(t, now, r.Tokens)
	}
	var out []Action
	// The refusal of a request that was dispatched before the adapter was last
	// loaded is stale.
	if a := t.adapter; a != nil && r.adapterMissing() && a.state == ready && t.started >= a.since {
		e.setAbsent(now, a)
		out = append(out, ReadReport{})
		e.reportRequestedAt = now
	}
	return e.step(now, out)
}

// removeFromBatch removes a request from the batch.
func (e *Endpoint) removeFromBatch(t *pendingRequest) {
	delete(e.inFlight, t.Request)
	e.costs.running = max(0, e.costs.running-t.Cost)
	if t.Long {
		e.longInFlight--
	}
	if t.suspect {
		e.suspectInFlight = false
	}
	if t.adapter != nil {
		t.adapter.pins--
	}
	e.removePrefix(t)
}
