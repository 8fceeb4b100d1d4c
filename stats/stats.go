// Package stats exports a daemon's metrics to Prometheus and logs its state
// changes.
package stats

import (
	"log/slog"
	"time"

	"currantwick"

	"github.com/prometheus/client_golang/prometheus"
)

// namespace is the prefix of every metric name.
const namespace = "currantwick"

// histogramFactor is the growth factor between the buckets of a native
// histogram.
const histogramFactor = 1.1

// Config configures Stats.
type Config struct {
	// Log receives a line for each state change.
	Log *slog.Logger
	// Registry is where the metrics are registered.
	Registry *prometheus.Registry
}

// Stats implements wick.ControlObserver, wick.TrafficObserver and
// wick.PeerObserver.
type Stats struct {
	log *slog.Logger

	requests   *prometheus.CounterVec
	firstToken prometheus.Histogram
	duration   prometheus.Histogram
	attempts   prometheus.Counter
	resumes    prometheus.Counter
	hedges     prometheus.Counter

	peerCalls prometheus.Counter
	sent      prometheus.Counter
	received  prometheus.Counter

	view            prometheus.Gauge
	members         prometheus.Gauge
	acting          prometheus.Gauge
	crashes         prometheus.Counter
	verdicts        *prometheus.CounterVec
	refusedInputs   *prometheus.CounterVec
	logReadFailures *prometheus.CounterVec
	logAppends      *prometheus.CounterVec
}

var (
	_ wick.ControlObserver = (*Stats)(nil)
	_ wick.TrafficObserver = (*Stats)(nil)
	_ wick.PeerObserver    = (*Stats)(nil)
)

// New registers the metrics. They must not be in the registry yet.
func New(cfg Config) *Stats {
	s := &Stats{
		log:             cfg.Log,
		requests:        newCounterVec("requests_total", "Finished requests of callers, by failure code; empty for answers.", "code"),
		firstToken:      newHistogram("first_token_seconds", "Time from a request to its first token."),
		duration:        newHistogram("request_seconds", "Time from a request to the end of its answer."),
		attempts:        newCounter("tries_total", "Requests handed to owners, retries included."),
		resumes:         newCounter("resumes_total", "Streams that went on after a break."),
		hedges:          newCounter("hedges_total", "Second tries beside slow first ones."),
		peerCalls:       newCounter("peer_calls_total", "Control messages to and from other daemons, with their answers."),
		sent:            newCounter("peer_sent_bytes_total", "Bytes of control messages to other daemons."),
		received:        newCounter("peer_received_bytes_total", "Bytes of control messages from other daemons."),
		view:            newGauge("view_number", "Number of the adopted view."),
		members:         newGauge("view_members", "Daemons in the adopted view."),
		acting:          newGauge("acting_endpoints", "Endpoints this daemon acts for."),
		crashes:         newCounter("endpoint_crashes_total", "Crashes of endpoints with requests in flight."),
		verdicts:        newCounterVec("verdicts_total", "Judged changes of the configuration.", "result"),
		refusedInputs:   newCounterVec("refused_inputs_total", "Inputs from outside that could not be used.", "input"),
		logReadFailures: newCounterVec("log_read_failures_total", "Failed reads of the platform's log.", "stream"),
		logAppends:      newCounterVec("log_appends_total", "Appends to the platform's log.", "stream", "result"),
	}
	cfg.Registry.MustRegister(s.requests, s.firstToken, s.duration, s.attempts, s.resumes, s.hedges, s.peerCalls, s.sent, s.received, s.view,
		s.members, s.acting, s.crashes, s.verdicts, s.refusedInputs, s.logReadFailures, s.logAppends)
	return s
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func newHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace:                   namespace,
		Name:                        name,
		Help:                        help,
		NativeHistogramBucketFactor: histogramFactor,
	})
}

// ViewAdopted implements wick.ControlObserver.
func (s *Stats) ViewAdopted(v wick.View) {
	s.view.Set(float64(v.Number))
	s.members.Set(float64(len(v.Members)))
	hosts := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		hosts = append(hosts, string(m.Host))
	}
	s.log.Info("view adopted", "number", v.Number, "members", hosts)
}

// ActingChanged implements wick.ControlObserver.
func (s *Stats) ActingChanged(e wick.EndpointName, acts bool) {
	if acts {
		s.acting.Inc()
	} else {
		s.acting.Dec()
	}
	s.log.Info("acting for endpoint changed", "endpoint", e, "acts", acts)
}

// EndpointCrashed implements wick.ControlObserver.
func (s *Stats) EndpointCrashed(e wick.EndpointName, inFlight int) {
	s.crashes.Inc()
	s.log.Warn("endpoint crashed", "endpoint", e, "in_flight", inFlight)
}

// VerdictReached implements wick.ControlObserver.
func (s *Stats) VerdictReached(v wick.Verdict) {
	result := "accepted"
	if !v.Accepted() {
		result = "rejected"
	}
	s.verdicts.WithLabelValues(result).Inc()
	s.log.Info("change validated", "change", v.Change, "operator", v.Operator, "offset", v.Offset, "result", result)
}

// InputRefused implements wick.ControlObserver.
func (s *Stats) InputRefused(what string, _ error) { s.refusedInputs.WithLabelValues(what).Inc() }

// LogReadFailed implements wick.ControlObserver.
func (s *Stats) LogReadFailed(stream wick.StreamName) {
	s.logReadFailures.WithLabelValues(string(stream)).Inc()
}

// AppendFinished implements wick.ControlObserver.
func (s *Stats) AppendFinished(stream wick.StreamName, err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	s.logAppends.WithLabelValues(string(stream), result).Inc()
}

// CallFinished implements wick.PeerObserver.
func (s *Stats) CallFinished(sent, received wick.Bytes) {
	s.peerCalls.Inc()
	s.sent.Add(float64(sent))
	s.received.Add(float64(received))
}

// AttemptStarted implements wick.TrafficObserver.
func (s *Stats) AttemptStarted() { s.attempts.Inc() }

// StreamResumed implements wick.TrafficObserver.
func (s *Stats) StreamResumed() { s.resumes.Inc() }

// HedgeStarted implements wick.TrafficObserver.
func (s *Stats) HedgeStarted() { s.hedges.Inc() }

// RequestFinished implements wick.TrafficObserver.
func (s *Stats) RequestFinished(code wick.Code, firstToken, duration time.Duration) {
	s.requests.WithLabelValues(string(code)).Inc()
	if code != "" {
		return
	}
	s.firstToken.Observe(firstToken.Seconds())
	s.duration.Observe(duration.Seconds())
}
