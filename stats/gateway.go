package stats

import (
	"time"

	"currantwick"

	"github.com/prometheus/client_golang/prometheus"
)

// Gateway implements wick.GatewayObserver.
type Gateway struct {
	requests      *prometheus.CounterVec
	firstPart     *prometheus.HistogramVec
	duration      *prometheus.HistogramVec
	adapterWait   prometheus.Histogram
	attempts      *prometheus.CounterVec
	orders        *prometheus.CounterVec
	reports       *prometheus.CounterVec
	store         *prometheus.CounterVec
	retriesDenied prometheus.Counter
	termsStarted  *prometheus.CounterVec
	connections   prometheus.Counter
	crashes       prometheus.Counter
	stopped       prometheus.Counter
	pauses        prometheus.Counter
	leaving       prometheus.Counter
	copies        prometheus.Counter
	hedgesSent    prometheus.Counter
	hedgesWon     prometheus.Counter
	hedgesDenied  *prometheus.CounterVec
	teams         teamLabels
	teamRequests  *prometheus.CounterVec
	teamUnits     *prometheus.CounterVec
	configVersion prometheus.Gauge
	heldShards    prometheus.Gauge
	poolWait      prometheus.Histogram
	poolRefused   prometheus.Counter
	limited       *prometheus.CounterVec
	lateRecords   *prometheus.CounterVec
	memos         *prometheus.CounterVec
	unstated      prometheus.Counter
}

var _ wick.GatewayObserver = (*Gateway)(nil)

// NewGateway registers the metrics of a gateway. They must not be in the
// registry yet. dropped returns the number of dropped log lines.
func NewGateway(registry *prometheus.Registry, dropped func() int64) *Gateway {
	g := &Gateway{
		requests:      newCounterVec("passed_total", "Finished requests, by kind and failure code; empty for answers of endpoints.", "kind", "code"),
		firstPart:     newLatencyVec("passed_first_seconds", "Time from a request to the first part of its answer."),
		duration:      newLatencyVec("passed_seconds", "Time from a request to the end of its answer."),
		adapterWait:   newHistogram("adapter_wait_seconds", "Time that requests waited for their adapter."),
		attempts:      newCounterVec("sends_total", "Sends to endpoints; repeat tells those after the first of a request.", "repeat"),
		orders:        newCounterVec("orders_total", "Orders to endpoints, by answer.", "kind", "result"),
		reports:       newCounterVec("inspections_total", "Reports that endpoints were asked for.", "result"),
		store:         newCounterVec("store_calls_total", "Calls to the platform's store.", "call", "result"),
		retriesDenied: newCounter("repeats_denied_total", "Repeats for which the budget of all daemons was spent."),
		termsStarted:  newCounterVec("terms_begun_total", "New terms of shards; own tells those of this daemon.", "own"),
		connections:   newCounter("connections_opened_total", "New connections to endpoints for requests."),
		crashes:       newCounter("endpoint_crashes_total", "Crashes of endpoints under requests of this daemon."),
		stopped:       newCounter("requests_stopped_total", "Requests stopped because they crashed endpoints."),
		pauses:        newCounter("endpoint_pauses_total", "Pauses that endpoints asked for."),
		leaving:       newCounter("endpoints_leaving_total", "Endpoints that said that they are about to end."),
		copies:        newCounter("adapter_copies_requested_total", "Copies of busy adapters that this daemon asked for as a holder."),
		hedgesSent:    newCounter("hedges_sent_total", "Second attempts beside slow ones."),
		hedgesWon:     newCounter("hedges_won_total", "Second attempts whose answer came first."),
		hedgesDenied:  newCounterVec("hedges_denied_total", "Second attempts that were not sent beside slow ones, by cause.", "cause"),
		teamRequests:  newCounterVec("team_requests_total", "Requests of teams with a limit, by team and whether they got their units.", "team", "result"),
		teamUnits:     newCounterVec("team_units_total", "Units of the requests of teams with a limit, by team and whether they got them.", "team", "result"),
		configVersion: newGauge("configuration_version", "Version of the configuration in force."),
		heldShards:    newGauge("held_shards", "Shards whose endpoints take orders from this daemon."),
	}
	g.poolWait = newHistogram("pool_wait_seconds", "Time that requests waited for room in a pool of plain services.")
	g.poolRefused = newCounter("pool_refused_total", "Requests refused because a pool of plain services would have no room in time.")
	g.limited = newCounterVec("connections_limited_total", "Requests that waited for a connection because of the limit of their endpoint; over tells those that then exceeded it.", "over")
	g.lateRecords = newCounterVec("late_records_total", "Records that the store wrote late and that were ignored or held, by topic.", "topic")
	g.memos = newCounterVec("memos_written_total", "Writes of what must outlive all daemons; ok tells those that succeeded.", "ok")
	g.unstated = newCounter("unstated_refusals_total", "Answers replaced because their status promises what the endpoint had not stated.")
	registry.MustRegister(g.poolWait, g.poolRefused, g.limited, g.lateRecords, g.memos, g.unstated)
	lines := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines that found the queue full.",
	}, func() float64 { return float64(dropped()) })
	registry.MustRegister(g.requests, g.firstPart, g.duration, g.adapterWait, g.attempts, g.orders, g.reports, g.store, g.retriesDenied, g.termsStarted, g.connections, g.crashes, g.stopped, g.pauses, g.leaving, g.copies, g.hedgesSent, g.hedgesWon, g.hedgesDenied, g.teamRequests, g.teamUnits, g.configVersion, g.heldShards, lines)
	return g
}

// latencyBuckets are in seconds. They range from the duration of a call to a
// plain service to the longest deadline.
var latencyBuckets = []float64{.005, .01, .02, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4, 15}

func newLatencyVec(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets,
	}, []string{"kind"})
}

// RequestFinished implements wick.GatewayObserver.
func (g *Gateway) RequestFinished(kind wick.Kind, code wick.Code, firstPart, duration time.Duration) {
	name := kind.String()
	g.requests.WithLabelValues(name, string(code)).Inc()
	if firstPart > 0 {
		g.firstPart.WithLabelValues(name).Observe(firstPart.Seconds())
	}
	g.duration.WithLabelValues(name).Observe(duration.Seconds())
}

// AdapterWaited implements wick.GatewayObserver.
func (g *Gateway) AdapterWaited(d time.Duration) { g.adapterWait.Observe(d.Seconds()) }

// AttemptSent implements wick.GatewayObserver.
func (g *Gateway) AttemptSent(again bool) {
	g.attempts.WithLabelValues(yesNo(again)).Inc()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// RetryDenied implements wick.GatewayObserver.
func (g *Gateway) RetryDenied() { g.retriesDenied.Inc() }

// TermStarted implements wick.GatewayObserver.
func (g *Gateway) TermStarted(own bool) { g.termsStarted.WithLabelValues(yesNo(own)).Inc() }

// OrderFinished implements wick.GatewayObserver.
func (g *Gateway) OrderFinished(kind wick.OrderKind, result wick.OrderResult) {
	g.orders.WithLabelValues(string(kind), result.String()).Inc()
}

// ReportFinished implements wick.GatewayObserver.
func (g *Gateway) ReportFinished(err error) { g.reports.WithLabelValues(result(err)).Inc() }

// StoreCallFinished implements wick.GatewayObserver.
func (g *Gateway) StoreCallFinished(call string, err error) {
	g.store.WithLabelValues(call, result(err)).Inc()
}

// ConnectionOpened implements wick.GatewayObserver.
func (g *Gateway) ConnectionOpened() { g.connections.Inc() }

// ConnectionLimited implements wick.GatewayObserver.
func (g *Gateway) ConnectionLimited(over bool) { g.limited.WithLabelValues(yesNo(over)).Inc() }

// EndpointCrashed implements wick.GatewayObserver.
func (g *Gateway) EndpointCrashed() { g.crashes.Inc() }

// RequestStopped implements wick.GatewayObserver.
func (g *Gateway) RequestStopped() { g.stopped.Inc() }

// EndpointPaused implements wick.GatewayObserver.
func (g *Gateway) EndpointPaused() { g.pauses.Inc() }

// EndpointLeaving implements wick.GatewayObserver.
func (g *Gateway) EndpointLeaving() { g.leaving.Inc() }

// LateRecord implements wick.GatewayObserver.
func (g *Gateway) LateRecord(topic wick.Topic) { g.lateRecords.WithLabelValues(topic.String()).Inc() }

// MemoStored implements wick.GatewayObserver.
func (g *Gateway) MemoStored(ok bool) { g.memos.WithLabelValues(yesNo(ok)).Inc() }

// UnstatedRefusal implements wick.GatewayObserver.
func (g *Gateway) UnstatedRefusal() { g.unstated.Inc() }

// CopyRequested implements wick.GatewayObserver.
func (g *Gateway) CopyRequested() { g.copies.Inc() }

// HedgeSent implements wick.GatewayObserver.
func (g *Gateway) HedgeSent() { g.hedgesSent.Inc() }

// HedgeWon implements wick.GatewayObserver.
func (g *Gateway) HedgeWon() { g.hedgesWon.Inc() }

// HedgeDenied implements wick.GatewayObserver.
func (g *Gateway) HedgeDenied(why wick.HedgeDenial) {
	g.hedgesDenied.WithLabelValues(string(why)).Inc()
}

// ConfigApplied implements wick.GatewayObserver.
func (g *Gateway) ConfigApplied(version uint64) { g.configVersion.Set(float64(version)) }

// PoolWaited implements wick.GatewayObserver.
func (g *Gateway) PoolWaited(d time.Duration) { g.poolWait.Observe(d.Seconds()) }

// PoolRefused implements wick.GatewayObserver.
func (g *Gateway) PoolRefused() { g.poolRefused.Inc() }

// ShardsHeld implements wick.GatewayObserver.
func (g *Gateway) ShardsHeld(n int) { g.heldShards.Set(float64(n)) }

func result(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}
