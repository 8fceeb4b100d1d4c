package sched

import (
	"math"
	"slices"
	"strings"
	"time"

	"currantwick"
)

// Never is returned by Next when no timer is pending.
const Never = wick.Instant(math.MaxInt64)

// Tick performs a scheduling step and requests a report if one is due. The
// caller calls it at Next or later.
func (e *Endpoint) Tick(now wick.Instant) []Action {
	e.forget(now)
	out := e.step(now, nil)
	if now >= e.reportDue() {
		e.reportRequestedAt = now
		out = append(out, ReadReport{})
	}
	return out
}

// Next returns when Tick is due, or Never.
func (e *Endpoint) Next() wick.Instant {
	next := e.reportDue()
	for _, t := range e.queue {
		next = min(next, t.Due)
		if t.suspect {
			next = min(next, e.suspectDue(t))
		}
	}
	for _, a := range e.wanted {
		next = min(next, e.wantDue(a))
	}
	if next == Never {
		return next
	}
	return max(next, e.lastStep.Add(minTickInterval))
}

// minTickInterval is the minimum time from one step to the next Tick, so that a
// caller that waits for Next never busy-loops.
const minTickInterval = time.Millisecond

func (e *Endpoint) suspectDue(t *pendingRequest) wick.Instant {
	due := t.Arrived + wick.Instant(suspectWaitShare*float64(t.Due-t.Arrived)) + 1
	if due <= e.lastStep {
		return Never
	}
	return due
}

// wantDue returns when the permission or the wait for a wanted adapter must be
// checked next.
func (e *Endpoint) wantDue(a *adapter) wick.Instant {
	due := max(a.retryAfter, max(a.permitUpdated, e.lastStep).Add(e.cfg.DeniedRetryPause))
	if a.permit == permitGranted {
		due = a.permitUpdated.Add(grantTTL)
	}
	if a.queued == 0 {
		due = min(due, max(a.prefetchUntil, 0))
	}
	return due
}

// reportDue returns when the next report is due: soon while something is
// uncertain, and otherwise every ReportIdle, since an engine may restart
// unnoticed.
func (e *Endpoint) reportDue() wick.Instant {
	if !e.owned || e.cfg.Kind != wick.RunnerEndpoint {
		return Never
	}
	due := e.reportRequestedAt.Add(e.cfg.ReportIdle)
	if e.unsynced || e.inheritedSlots > 0 {
		due = e.takeoverAt
	}
	for _, a := range e.held {
		switch {
		case a.state == unknown:
			due = min(due, a.orderExpiry)
		case a.state == ready && !a.noInheritedRequests:
			due = min(due, e.ordersExpire)
		}
	}
	return max(due, e.reportRequestedAt.Add(e.cfg.ReportEvery))
}

// Digest describes the endpoint to routers. TimePerToken, Slowdown and Ejected
// are not set here; Slowdown and Ejected result from comparing endpoints.
func (e *Endpoint) Digest(wick.Instant) wick.Digest {
	d := wick.Digest{
		Endpoint: e.spec.Name,
		Queued:   e.queuedCost(),
		Running:  wick.Slots(len(e.inFlight)) + e.inheritedSlots,
	}
	for _, a := range e.held {
		if a.state == ready {
			d.Ready = append(d.Ready, a.ref)
		}
	}
	slices.SortFunc(d.Ready, func(a, b wick.Ref) int {
		if c := strings.Compare(string(a.Adapter), string(b.Adapter)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Version), string(b.Version))
	})
	return d
}
