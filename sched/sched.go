// Package sched decides what one endpoint does: which request it runs next,
// which adapter its engine loads or unloads, and whom it refuses.
//
// An Endpoint is the state of one endpoint at its owner. It is pure and not
// safe for concurrent use: the owner's control thread hands it events with the
// time at which they happened, and carries out the actions it returns.
//
// Each request handed to Submit ends in exactly one Refuse or Dispatch, and
// the caller ends each Dispatch by exactly one Done. In between the request
// holds a pin on its adapter, and an adapter with a pin is never unloaded.
package sched

import (
	"time"

	"currantwick"
	"currantwick/evict"
)

// Config says what an Endpoint schedules and by which policies.
type Config struct {
	Endpoint wick.Endpoint
	Kind     wick.EndpointKind
	// Order, Evict and Admit are the policies; none is nil.
	Order wick.Orderer
	Evict wick.Evictor
	Admit wick.Admitter
	// OrderWithin is the time after which engines no longer act on an order;
	// 0 means 1 s.
	OrderWithin time.Duration
	// ReportEvery is the pause between two reports while the engine's state is
	// in doubt; 0 means 200 ms.
	ReportEvery time.Duration
	// ReportIdle is the pause between two reports otherwise; 0 means 2 s.
	ReportIdle time.Duration
	// AskEvery is the pause before a denied load is asked for again; 0 means
	// 100 ms.
	AskEvery time.Duration
	// LoadTries is how many failed loads in a row make the requests that wait
	// go elsewhere; 0 means 2.
	LoadTries int
	// Prompt and Answer are the times per token of a prompt and of an answer
	// that are assumed until they are learned; 0 means 0.1 ms and 20 ms.
	Prompt time.Duration
	Answer time.Duration
}

// Defaults of a Config.
const (
	defaultOrderWithin = time.Second
	defaultReportEvery = 200 * time.Millisecond
	defaultReportIdle  = 2 * time.Second
	defaultAskEvery    = 100 * time.Millisecond
	defaultLoadTries   = 2
	defaultPrompt      = 100 * time.Microsecond
	defaultAnswer      = 20 * time.Millisecond
)

func (c *Config) setDefaults() {
	c.OrderWithin = durationOr(c.OrderWithin, defaultOrderWithin)
	c.ReportEvery = durationOr(c.ReportEvery, defaultReportEvery)
	c.ReportIdle = durationOr(c.ReportIdle, defaultReportIdle)
	c.AskEvery = durationOr(c.AskEvery, defaultAskEvery)
	c.Prompt = durationOr(c.Prompt, defaultPrompt)
	c.Answer = durationOr(c.Answer, defaultAnswer)
	if c.LoadTries <= 0 {
		c.LoadTries = defaultLoadTries
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
	// end is the configured endpoint; Update replaces it.
	end wick.Endpoint
	// owner tells that requests are taken; draining that no new ones are.
	owner    bool
	draining bool
	view     wick.ViewNumber
	sequence wick.Sequence

	// queue holds the requests that wait, in order of arrival.
	queue []*item
	// flying holds the dispatched requests until their Done.
	flying map[wick.RequestID]*item
	// long counts the long requests in flying; alone tells that a suspect is
	// in flight, beside which nothing is dispatched.
	long  wick.Slots
	alone bool
	// foreign bounds the requests of earlier owners in the batch.
	foreign wick.Slots

	// adapters holds what is known of adapters, resident or not; held those of
	// them that take a slot, and wanted those that should be loaded.
	adapters map[wick.Ref]*adapter
	held     []*adapter
	wanted   []*adapter
	// closing counts the adapters of held that are being unloaded.
	closing int
	// clock counts the requests for adapters.
	clock evict.Clock

	// blind tells that no report made after clear was seen since the takeover
	// at taken. No adapter is touched while blind.
	blind bool
	taken wick.Instant
	clear wick.Instant
	// asked is when a report was last asked for, and newest the latest such
	// time among the reports that came in.
	asked  wick.Instant
	newest wick.Instant
	boot   string
	// last is when step last ran; Next lies after it.
	last wick.Instant
	// short is the number of short requests since the last step, and shortMean
	// its recent average.
	short     float64
	shortMean float64

	prefixes map[wick.Fingerprint]*prefix
	costs    costs
	// runnable and idle are buffers of step.
	runnable []*wick.Queued
	picked   []*item
	idle     []wick.Holding
}

// New returns an endpoint that is not owned yet.
func New(cfg Config) *Endpoint {
	cfg.setDefaults()
	return &Endpoint{
		cfg:      cfg,
		end:      cfg.Endpoint,
		flying:   map[wick.RequestID]*item{},
		adapters: map[wick.Ref]*adapter{},
		prefixes: map[wick.Fingerprint]*prefix{},
		costs:    newCosts(cfg),
		newest:   -1,
		clock:    evict.NewClock(cfg.Endpoint.AdapterSlots),
	}
}

// Submit takes a request. Its id must be that of no request here; see Has.
func (e *Endpoint) Submit(now wick.Instant, it Item) []Action {
	sub := it.Sub
	if e.Has(sub.Request) {
		err := wick.Unknownf(wick.CodeInternal, "request %s is already here", sub.Request)
		return []Action{Refuse{sub.Request, err}}
	}
	if err := e.closed(); err != nil {
		return []Action{Refuse{sub.Request, err}}
	}
	t := e.newItem(now, it)
	if t.adapter != nil {
		e.clock.Touch(&t.adapter.uses, now)
	}
	var out []Action
	switch b := e.backlog(now, t); e.cfg.Admit.Admit(b, &t.Queued) {
	case wick.Admit:
	case wick.Displace:
		if b.Lowest == nil {
			return append(out, e.overload(t))
		}
		out = e.refuse(out, e.find(b.Lowest.Request), e.overload(t).Err)
	default:
		return append(out, e.overload(t))
	}
	e.enqueue(t)
	return e.step(now, out)
}

// Has reports whether a request is queued or in flight here.
func (e *Endpoint) Has(id wick.RequestID) bool {
	return e.flying[id] != nil || e.find(id) != nil
}

// closed returns why no request is taken now, or nil.
func (e *Endpoint) closed() *wick.Error {
	switch {
	case !e.owner:
		return wick.NotRunf(wick.CodeNotOwner, "endpoint %s has another owner", e.end.Name)
	case e.draining || e.end.Leaving:
		return wick.NotRunf(wick.CodeStopping, "endpoint %s is draining", e.end.Name)
	}
	return nil
}

// Cancel ends a request whose caller has gone.
func (e *Endpoint) Cancel(now wick.Instant, id wick.RequestID) []Action {
	if e.flying[id] != nil {
		return []Action{CancelRun{id}}
	}
	t := e.find(id)
	if t == nil {
		return nil
	}
	err := wick.NotRunf(wick.CodeCanceled, "the caller went away")
	return e.step(now, e.refuse(nil, t, err))
}

// Progress notes that a request in flight has generated tokens.
func (e *Endpoint) Progress(now wick.Instant, id wick.RequestID, n wick.Tokens) {
	t := e.flying[id]
	if t == nil {
		return
	}
	if t.seen < 0 {
		t.seen = now
	}
	t.tokens += n
	if !t.Long && e.costs.isLong(e.costs.answer(t.tokens)) {
		t.Long = true
		e.long++
	}
}

// Result is how a dispatched request ended.
type Result struct {
	// Tokens counts the tokens of the answer.
	Tokens wick.Tokens
	// Err is nil for a whole answer. With outcome NotRun and CodeLoadFailed it
	// says that the engine does not hold the request's adapter.
	Err *wick.Error
}

// absent reports whether the engine said that it has not the adapter.
func (r Result) absent() bool {
	return r.Err != nil && r.Err.Outcome == wick.NotRun && r.Err.Code == wick.CodeLoadFailed
}

// Done ends a dispatched request.
func (e *Endpoint) Done(now wick.Instant, id wick.RequestID, r Result) []Action {
	t := e.flying[id]
	if t == nil {
		return nil
	}
	e.land(t)
	if r.Err == nil {
		e.costs.learn(t, now, r.Tokens)
	}
	var out []Action
	if a := t.adapter; a != nil && r.absent() && a.state == ready && t.started >= a.since {
		e.empty(now, a)
		out = append(out, ReadReport{})
		e.asked = now
	}
	return e.step(now, out)
}

// land takes a request out of the batch.
func (e *Endpoint) land(t *item) {
	delete(e.flying, t.Request)
	e.costs.running = max(0, e.costs.running-t.Cost)
	if t.Long {
		e.long--
	}
	if t.suspect {
		e.alone = false
	}
	if t.adapter != nil {
		t.adapter.pins--
	}
	e.dropPrefix(t)
}
