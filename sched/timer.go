package sched

import (
	"math"
	"slices"
	"strings"
	"time"

	"currantwick"
)

// Never is returned by Next where nothing will happen by itself.
const Never = wick.Instant(math.MaxInt64)

// Tick does what has become due. The caller calls it at Next, or later.
func (e *Endpoint) Tick(now wick.Instant) []Action {
	e.forget(now)
	out := e.step(now, nil)
	if now >= e.reportDue() {
		e.asked = now
		out = append(out, ReadReport{})
	}
	return out
}

// Next returns when Tick has something to do, or Never.
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
	return max(next, e.last.Add(tickLeast))
}

// tickLeast is the least time from one step to a Tick, so that a caller that
// waits for Next never spins.
const tickLeast = time.Millisecond

func (e *Endpoint) suspectDue(t *item) wick.Instant {
	due := t.Arrived + wick.Instant(suspectPatience*float64(t.Due-t.Arrived)) + 1
	if due <= e.last {
		return Never
	}
	return due
}

// wantDue returns when something is to be done about a wanted adapter.
func (e *Endpoint) wantDue(a *adapter) wick.Instant {
	due := max(a.retry, max(a.asked, e.last).Add(e.cfg.AskEvery))
	if a.want == wantGranted {
		due = a.asked.Add(grantKeep)
	}
	if a.queued == 0 {
		due = min(due, max(a.prefetch, 0))
	}
	return due
}

// reportDue returns when the next report is to be read: soon while something
// is in doubt, and else now and then, since an engine may restart unseen.
func (e *Endpoint) reportDue() wick.Instant {
	if !e.owner || e.cfg.Kind != wick.RunnerEndpoint {
		return Never
	}
	due := e.asked.Add(e.cfg.ReportIdle)
	if e.blind || e.foreign > 0 {
		due = e.taken
	}
	for _, a := range e.held {
		switch {
		case a.state == unknown:
			due = min(due, a.until)
		case a.state == ready && !a.proved:
			due = min(due, e.clear)
		}
	}
	return max(due, e.asked.Add(e.cfg.ReportEvery))
}

// Digest describes the endpoint to routers. Its Slow and Ejected are left to
// those who compare endpoints.
func (e *Endpoint) Digest(wick.Instant) wick.Digest {
	d := wick.Digest{
		Endpoint: e.end.Name,
		Queued:   e.queued(),
		Running:  wick.Slots(len(e.flying)) + e.foreign,
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
