package crash

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"currantwick"
)

// daemon is a daemon of the model. All daemons share the endpoints.
type daemon struct {
	suspects *Suspects
	// inbox holds the evidence in transit.
	inbox []*wick.CrashReport
	// pending are its requests at each endpoint, by endpoint.
	pending map[int][]wick.PendingRequest
	// known are the reports that it knows.
	known map[*wick.CrashReport]bool
}

// fleet is a model of daemons that share endpoints, with evidence that arrives in any
// order, repeatedly and late.
type fleet struct {
	t       *rapid.T
	daemons []*daemon
	trials  Trials
	starts  map[int]int
	crashes int
	reports int
	// uninformed counts the sends by daemons that did not know all reports.
	uninformed int
	// shared counts the crashes at which a suspect was pending that had been sent
	// before it became one.
	shared int
	trial  wick.TrialID
	// deadly reports whether a request crashes its endpoint.
	deadly func(p wick.PendingRequest) bool
}

// endpoints is the number of endpoints of the model.
const endpoints = 3

func newFleet(t *rapid.T, deadly func(p wick.PendingRequest) bool) *fleet {
	f := &fleet{t: t, starts: make(map[int]int), deadly: deadly}
	for range rapid.IntRange(1, 5).Draw(t, "daemons") {
		f.daemons = append(f.daemons, &daemon{suspects: NewSuspects(Config{}), pending: make(map[int][]wick.PendingRequest), known: make(map[*wick.CrashReport]bool)})
	}
	return f
}

func (f *fleet) anyDaemon(t *rapid.T) *daemon {
	return f.daemons[rapid.IntRange(0, len(f.daemons)-1).Draw(t, "daemon")]
}

func anyEndpoint(t *rapid.T) int { return rapid.IntRange(0, endpoints-1).Draw(t, "endpoint") }

// informed reports whether a daemon knows all reports.
func (f *fleet) informed(d *daemon) bool { return len(d.known) == f.reports }

// send sends a request to an endpoint if the verdict allows it; a deadly one crashes
// the endpoint at once.
func (f *fleet) send(d *daemon, at int, p wick.PendingRequest) {
	verdict, suspects := d.suspects.Verdicts(0).Of(p.Request, p.Parts)
	switch verdict {
	case Stopped:
		if !f.deadly(p) && f.informed(d) {
			f.t.Fatalf("innocent %+v is stopped", p)
		}
		return
	case RunAlone:
		f.trial++
		if !f.trials.Grant(0, wick.TrialRequest{Trial: f.trial, Suspects: suspects}, endpoints) {
			return
		}
		p.Trial = true
	}
	if !f.informed(d) {
		f.uninformed++
	}
	d.pending[at] = append(d.pending[at], p)
	if f.deadly(p) {
		f.crash(at)
	}
}

// crash ends an endpoint. Each daemon that had requests there reports them.
func (f *fleet) crash(at int) {
	f.crashes++
	f.starts[at]++
	if f.earlierSuspect(at) {
		f.shared++
	}
	f.trials = Trials{}
	id := wick.EndpointStart{Endpoint: wick.EndpointName(fmt.Sprint(at)), Started: wick.Started(f.starts[at])}
	for _, d := range f.daemons {
		if len(d.pending[at]) == 0 {
			continue
		}
		r := &wick.CrashReport{Crash: id, Pending: d.pending[at]}
		f.reports++
		delete(d.pending, at)
		d.apply(r)
		for _, other := range f.daemons {
			if other != d {
				other.inbox = append(other.inbox, r)
			}
		}
	}
}

// earlierSuspect reports whether a suspect that is neither on trial nor deadly is
// pending at an endpoint.
func (f *fleet) earlierSuspect(at int) bool {
	for _, d := range f.daemons {
		for _, p := range d.pending[at] {
			for _, other := range f.daemons {
				if v, _ := other.suspects.Verdicts(0).Of(p.Request, p.Parts); !p.Trial && !f.deadly(p) && v == RunAlone {
					return true
				}
			}
		}
	}
	return false
}

func (d *daemon) apply(r *wick.CrashReport) {
	d.suspects.AddCrash(0, *r)
	d.known[r] = true
}

// answer answers a daemon's requests at an endpoint, which all daemons learn.
func (f *fleet) answer(d *daemon, at int) {
	for _, p := range d.pending[at] {
		if p.Trial {
			f.trials = Trials{}
		}
		for _, other := range f.daemons {
			for _, key := range append([]wick.Fingerprint{p.Request}, p.Parts...) {
				other.suspects.Answered(0, key)
			}
		}
	}
	delete(d.pending, at)
}

// deliver delivers all evidence to a daemon, in random order and some of it twice.
func (f *fleet) deliver(d *daemon) {
	for len(d.inbox) > 0 {
		i := rapid.IntRange(0, len(d.inbox)-1).Draw(f.t, "report")
		d.apply(d.inbox[i])
		if rapid.IntRange(0, 3).Draw(f.t, "twice") > 0 {
			d.inbox = slices.Delete(d.inbox, i, i+1)
		}
	}
}

// checkCrashes fails if there were more than n crashes that nothing explains.
func (f *fleet) checkCrashes(n int) {
	if f.crashes > n+f.uninformed+f.shared {
		f.t.Fatalf("%d crashes, but only %d sends by uninformed daemons and %d crashes shared with suspects", f.crashes, f.uninformed, f.shared)
	}
}

// A request that crashes every endpoint causes two crashes, plus at most one for
// each request sent by a daemon that did not know all reports of earlier ones, and
// for each crash that another suspect may have caused as well. No other request is
// stopped.
func TestSharedCrashesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, func(p wick.PendingRequest) bool { return p.Request == killer })
		t.Repeat(map[string]func(*rapid.T){
			"innocent": func(t *rapid.T) {
				f.send(f.anyDaemon(t), anyEndpoint(t), pending(wick.Fingerprint(rapid.IntRange(2, 6).Draw(t, "request"))))
			},
			"killer":  func(t *rapid.T) { f.send(f.anyDaemon(t), anyEndpoint(t), pending(killer)) },
			"answer":  func(t *rapid.T) { f.answer(f.anyDaemon(t), anyEndpoint(t)) },
			"deliver": func(t *rapid.T) { f.deliver(f.anyDaemon(t)) },
			"":        func(*rapid.T) { f.checkCrashes(crashesToStop) },
		})
	})
}

// The same for requests of which no two are alike and that share a deadly part,
// beside sound ones that share the other parts. It takes three crashes.
func TestSharedCrashesOfAPartAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, func(p wick.PendingRequest) bool { return slices.Contains(p.Parts, deadlyPart) })
		next := wick.Fingerprint(0)
		unlike := func(parts ...wick.Fingerprint) wick.PendingRequest {
			next++
			return prompt(next, parts...)
		}
		t.Repeat(map[string]func(*rapid.T){
			"sound": func(t *rapid.T) {
				part := rapid.SampledFrom([]wick.Fingerprint{besidePart, otherPart}).Draw(t, "part")
				f.send(f.anyDaemon(t), anyEndpoint(t), unlike(commonPart, part))
			},
			"deadly":  func(t *rapid.T) { f.send(f.anyDaemon(t), anyEndpoint(t), unlike(commonPart, besidePart, deadlyPart)) },
			"answer":  func(t *rapid.T) { f.answer(f.anyDaemon(t), anyEndpoint(t)) },
			"deliver": func(t *rapid.T) { f.deliver(f.anyDaemon(t)) },
			"":        func(*rapid.T) { f.checkCrashes(partCrashesToStop) },
		})
	})
}
