// Package coord is the control thread of a gateway. Endpoints are grouped into
// shards; the daemon that holds a shard's term, its holder, gives orders to the
// shard's endpoints (see package terms). Package ctrl is the control thread of
// a daemon that owns endpoints by lease instead. One goroutine owns all control
// state: the records of the platform's store, the holder of each term, the
// adapters at the endpoints of this daemon's terms, and the state of the other
// daemons. It receives events, starts I/O through wick.GatewayIO, and publishes
// an immutable View for the traffic goroutines.
package coord

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"currantwick"
	"currantwick/share"
)

const (
	// eventBuffer is the capacity of the event queue; senders block when it is
	// full.
	eventBuffer = 4096
	// maxBatch bounds the queued events that are applied together with the
	// first one before a view is published.
	maxBatch = 256
	// tickInterval is the interval of time-driven decisions: a fifth of
	// heartbeat.
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is the time between two ticks above which the process is
	// assumed to have been paused.
	pauseThreshold = 500 * time.Millisecond
)

// Config sets up a Thread.
type Config struct {
	Self   wick.Instance
	Seeds  []wick.Address
	Bounds wick.Bounds
	// Clock keeps running while the process is paused.
	Clock wick.Clock
	// Wall dates what is stored for later runs of the daemons.
	Wall     wick.WallClock
	IO       wick.GatewayIO
	Decoder  wick.RecordDecoder
	Log      *slog.Logger
	Observer wick.GatewayObserver
	Pauses   wick.EndpointPauses
	// AnsweredParts are the parts of prompts that this daemon saw answered.
	AnsweredParts wick.AnsweredParts
	// Shares are the units of allotments that this daemon holds; used only if the
	// configuration limits teams. ShareLimits are the tolerances of allotments.
	Shares      wick.ShareSource
	ShareLimits share.Config
}

// event is a change of the control state that the control thread applies.
type event interface {
	apply(s *state, now wick.Instant)
}

// Thread runs the control state. Its methods are safe for concurrent use.
type Thread struct {
	cfg    Config
	events chan event
	view   atomic.Pointer[View]
	// state belongs to Run once Run has started.
	state *state
	done  chan struct{}
}

// New returns a thread; Run starts it.
func New(cfg Config) *Thread {
	t := &Thread{
		cfg:    cfg,
		events: make(chan event, eventBuffer),
		done:   make(chan struct{}),
		state:  newState(cfg),
	}
	t.view.Store(t.state.buildView(cfg.Clock.Now()))
	return t
}

// View returns the newest published view. A view never changes.
func (t *Thread) View() *View { return t.view.Load() }

// post queues an event. It blocks while the queue is full, and drops the event
// once the thread has ended.
func (t *Thread) post(e event) {
	select {
	case t.events <- e:
	case <-t.done:
	}
}

// Run owns the control state until ctx ends.
func (t *Thread) Run(ctx context.Context) error {
	defer close(t.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	s := t.state
	s.tick(t.cfg.Clock.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-t.events:
			t.applyBatch(e)
		case <-tick.C:
			s.tick(t.cfg.Clock.Now())
		}
		now := t.cfg.Clock.Now()
		s.step(now)
		if s.dirty {
			old := t.view.Load()
			t.view.Store(s.buildView(now))
			close(old.changed)
		}
		for _, c := range s.judged {
			close(c)
		}
		s.judged = nil
	}
}

// applyBatch applies an event and up to maxBatch events that are queued behind
// it.
func (t *Thread) applyBatch(e event) {
	for range maxBatch {
		e.apply(t.state, t.cfg.Clock.Now())
		select {
		case e = <-t.events:
		default:
			return
		}
	}
	e.apply(t.state, t.cfg.Clock.Now())
}

// RequestAdapter forwards a request for an adapter at an endpoint to the holder
// of the endpoint's shard.
func (t *Thread) RequestAdapter(w wick.AdapterRequest) { t.post(adapterRequested{w}) }

// ReportCachedPrefix reports that an endpoint has processed a long prompt prefix.
func (t *Thread) ReportCachedPrefix(k wick.CachedPrefix) { t.post(prefixCached{k}) }

// ReportBroken reports an attempt whose answer broke off.
func (t *Thread) ReportBroken(b wick.BrokenAttempt) { t.post(attemptBroken{b}) }

// ReportAnswered reports suspects in a request whose answer an endpoint began.
func (t *Thread) ReportAnswered(suspects []wick.Fingerprint) { t.post(suspectsAnswered{suspects}) }

// RequestTrial requests a trial of a suspect; a view lists it once it is granted.
func (t *Thread) RequestTrial(r wick.TrialRequest) { t.post(trialRequested{r}) }

// EndTrial gives up a trial.
func (t *Thread) EndTrial(id wick.TrialID) { t.post(trialEnded{id}) }

// ReportLeaving reports an endpoint that said that it is about to end.
func (t *Thread) ReportLeaving(id wick.EndpointStart) { t.post(endpointLeaving{id}) }

// RequestUnits makes the thread ask for the units that requests wait for.
func (t *Thread) RequestUnits() { t.post(unitsNeeded{}) }

// Stop starts the shutdown: callers are sent to other daemons and this daemon's
// terms are released.
func (t *Thread) Stop() { t.post(stopping{}) }

// TopicRead receives the result of Read and ReadNewest of wick.GatewayIO.
func (t *Thread) TopicRead(topic wick.Topic, newest bool, began wick.Instant, wait wick.Duration, b wick.RecordBatch, err error) {
	t.post(topicRead{topic, newest, began, wait, b, err})
}

// PutDone receives the result of Put of wick.GatewayIO.
func (t *Thread) PutDone(key string, ok bool, err error) { t.post(putDone{key, ok, err}) }

// OrderDone receives the result of Order of wick.GatewayIO.
func (t *Thread) OrderDone(o wick.RunnerOrder, r wick.OrderReply, err error) {
	t.post(orderDone{o, r, err})
}

// ReportRead receives the result of Inspect of wick.GatewayIO.
func (t *Thread) ReportRead(e wick.EndpointName, r wick.RunnerReport, err error) {
	t.post(reportRead{e, r, err})
}

// ProbeDone receives the result of Probe of wick.GatewayIO.
func (t *Thread) ProbeDone(id wick.EndpointStart, err error) { t.post(probeDone{id, err}) }

var _ wick.LinkHandler = (*Thread)(nil)

// LinkUp implements wick.LinkHandler.
func (t *Thread) LinkUp(l wick.Link, to wick.Instance, dialed wick.Address) {
	t.post(linkUp{l, to, dialed})
}

// LinkMessage implements wick.LinkHandler.
func (t *Thread) LinkMessage(l wick.Link, msg wick.LinkMessage) { t.post(linkMessage{l, msg}) }

// LinkDown implements wick.LinkHandler.
func (t *Thread) LinkDown(l wick.Link, err error) { t.post(linkDown{l, err}) }

// DialFailed implements wick.LinkHandler.
func (t *Thread) DialFailed(to wick.Address, err error) { t.post(dialFailed{to, err}) }
