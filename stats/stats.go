// Package stats counts what a daemon does, for Prometheus, and logs its changes
// of state.
package stats

import (
	"log/slog"
	"time"

	"currantwick"

	"github.com/prometheus/client_golang/prometheus"
)

// namespace starts the name of every metric.
const namespace = "currantwick"

// histogramFactor is the growth from one bucket of a native histogram to the
// next.
const histogramFactor = 1.1

// Config sets up Stats.
type Config struct {
	// Log takes the lines on changes of state.
	Log *slog.Logger
	// Registry takes the metrics.
	Registry *prometheus.Registry
}

// Stats implements wick.ControlNote and wick.TrafficNote.
type Stats struct {
	log *slog.Logger

	requests *prometheus.CounterVec
	first    prometheus.Histogram
	whole    prometheus.Histogram
	tries    prometheus.Counter
	resumes  prometheus.Counter
	hedges   prometheus.Counter

	calls    prometheus.Counter
	sent     prometheus.Counter
	received prometheus.Counter

	view     prometheus.Gauge
	members  prometheus.Gauge
	acting   prometheus.Gauge
	crashes  prometheus.Counter
	verdicts *prometheus.CounterVec
	refused  *prometheus.CounterVec
	reads    *prometheus.CounterVec
	appends  *prometheus.CounterVec
}

var (
	_ wick.ControlNote = (*Stats)(nil)
	_ wick.TrafficNote = (*Stats)(nil)
	_ wick.PeerNote    = (*Stats)(nil)
)

// New registers the metrics. The registry must not hold them yet.
func New(cfg Config) *Stats {
	s := &Stats{
		log:      cfg.Log,
		requests: counters("requests_total", "Finished requests of callers, by failure code; empty for answers.", "code"),
		first:    seconds("first_token_seconds", "Time from a request to its first token."),
		whole:    seconds("request_seconds", "Time from a request to the end of its answer."),
		tries:    counter("tries_total", "Requests handed to owners, retries included."),
		resumes:  counter("resumes_total", "Streams that went on after a break."),
		hedges:   counter("hedges_total", "Second tries beside slow first ones."),
		calls:    counter("peer_calls_total", "Control messages to and from other daemons, with their answers."),
		sent:     counter("peer_sent_bytes_total", "Bytes of control messages to other daemons."),
		received: counter("peer_received_bytes_total", "Bytes of control messages from other daemons."),
		view:     gauge("view_number", "Number of the adopted view."),
		members:  gauge("view_members", "Daemons in the adopted view."),
		acting:   gauge("acting_endpoints", "Endpoints this daemon acts for."),
		crashes:  counter("endpoint_crashes_total", "Crashes of endpoints with requests in flight."),
		verdicts: counters("verdicts_total", "Judged changes of the configuration.", "result"),
		refused:  counters("refused_inputs_total", "Inputs from outside that could not be used.", "input"),
		reads:    counters("log_read_failures_total", "Failed reads of the platform's log.", "stream"),
		appends:  counters("log_appends_total", "Appends to the platform's log.", "stream", "result"),
	}
	cfg.Registry.MustRegister(s.requests, s.first, s.whole, s.tries, s.resumes, s.hedges, s.calls, s.sent, s.received, s.view,
		s.members, s.acting, s.crashes, s.verdicts, s.refused, s.reads, s.appends)
	return s
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func seconds(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace:                   namespace,
		Name:                        name,
		Help:                        help,
		NativeHistogramBucketFactor: histogramFactor,
	})
}

// View implements wick.ControlNote.
func (s *Stats) View(v wick.View) {
	s.view.Set(float64(v.Number))
	s.members.Set(float64(len(v.Members)))
	hosts := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		hosts = append(hosts, string(m.Host))
	}
	s.log.Info("view adopted", "number", v.Number, "members", hosts)
}

// Acting implements wick.ControlNote.
func (s *Stats) Acting(e wick.EndpointName, acts bool) {
	if acts {
		s.acting.Inc()
	} else {
		s.acting.Dec()
	}
	s.log.Info("acting changed", "endpoint", e, "acts", acts)
}

// Crashed implements wick.ControlNote.
func (s *Stats) Crashed(e wick.EndpointName, inFlight int) {
	s.crashes.Inc()
	s.log.Warn("endpoint crashed", "endpoint", e, "in_flight", inFlight)
}

// Verdict implements wick.ControlNote.
func (s *Stats) Verdict(v wick.Verdict) {
	result := "accepted"
	if !v.Accepted() {
		result = "rejected"
	}
	s.verdicts.WithLabelValues(result).Inc()
	s.log.Info("change judged", "change", v.Change, "operator", v.Operator, "offset", v.Offset, "result", result)
}

// Refused implements wick.ControlNote.
func (s *Stats) Refused(what string, _ error) { s.refused.WithLabelValues(what).Inc() }

// LogFailed implements wick.ControlNote.
func (s *Stats) LogFailed(stream wick.StreamName) {
	s.reads.WithLabelValues(string(stream)).Inc()
}

// Appended implements wick.ControlNote.
func (s *Stats) Appended(stream wick.StreamName, err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	s.appends.WithLabelValues(string(stream), result).Inc()
}

// Call implements wick.PeerNote.
func (s *Stats) Call(sent, received wick.Bytes) {
	s.calls.Inc()
	s.sent.Add(float64(sent))
	s.received.Add(float64(received))
}

// Try implements wick.TrafficNote.
func (s *Stats) Try() { s.tries.Inc() }

// Resume implements wick.TrafficNote.
func (s *Stats) Resume() { s.resumes.Inc() }

// Hedge implements wick.TrafficNote.
func (s *Stats) Hedge() { s.hedges.Inc() }

// Ended implements wick.TrafficNote.
func (s *Stats) Ended(code wick.Code, first, whole time.Duration) {
	s.requests.WithLabelValues(string(code)).Inc()
	if code != "" {
		return
	}
	s.first.Observe(first.Seconds())
	s.whole.Observe(whole.Seconds())
}
