package tally

import (
	"time"

	"currantwick"
)

const (
	// workRise and workFall are the weights of a new measurement that is above and
	// below the average. Equal weights make the average follow the queue of a busy
	// service, and daemons then leave and refill it together.
	workRise = 0.1
	workFall = 0.3
	// workRiseTime and workFallTime bound the weights of measurements that come often, as
	// in daemons of a small deployment, which would follow the queue in the same way.
	workRiseTime = 4 * time.Second
	workFallTime = 1200 * time.Millisecond
	// workTTL is how long a measurement is used. A service that is avoided is tried
	// again afterwards.
	workTTL = 10 * time.Second
)

// workTime estimates the time that a request takes at a plain service without waiting
// there, by an average that falls faster than it rises. Unlike the lag it does not decay
// towards 0 between requests: a daemon of a large deployment sends a service less than
// one request a second.
type workTime struct {
	average time.Duration
	at      wick.Instant
}

func (w *workTime) observe(now wick.Instant, d time.Duration) {
	if w.read(now) == 0 {
		w.average = d
	}
	weight, span := workRise, workRiseTime
	if d < w.average {
		weight, span = workFall, workFallTime
	}
	weight = min(weight, now.Sub(w.at).Seconds()/span.Seconds())
	w.average += time.Duration(weight * float64(d-w.average))
	w.at = now
}

func (w *workTime) read(now wick.Instant) time.Duration {
	if now.Sub(w.at) > workTTL {
		return 0
	}
	return w.average
}

// ObserveWork records that a plain service answered a request after d.
func (m *Meter) ObserveWork(now wick.Instant, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.work.observe(now, d)
}
