package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"currantwick"
	"currantwick/fault"
	"currantwick/pause"
	"currantwick/procs"
)

// injector is one kind of fault.
type injector struct {
	name string
	// weight is the relative frequency of the fault.
	weight int
	// inject returns a function that undoes the fault, or nil if there is
	// nothing to undo.
	inject func(t *testing.T, s *system, r *rand.Rand) func()
}

var injectors = []injector{
	{"kill a daemon", 3, func(t *testing.T, s *system, r *rand.Rand) func() {
		d := pick(r, s.daemons)
		s.logEvent("%s", d.Settings.Host)
		d.Kill()
		return func() { d.Start(t) }
	}},
	{"kill all daemons", 1, func(t *testing.T, s *system, _ *rand.Rand) func() {
		restartAll(t, s)
		return nil
	}},
	{"stop a daemon", 3, func(t *testing.T, s *system, r *rand.Rand) func() {
		d := pick(r, s.daemons)
		s.logEvent("%s", d.Settings.Host)
		// An overlapping fault may have frozen the daemon, and a frozen process
		// doesn't handle SIGTERM.
		d.Signal(syscall.SIGCONT)
		d.Stop(t)
		d.Start(t)
		return nil
	}},
	{"freeze a daemon", 3, func(_ *testing.T, s *system, r *rand.Rand) func() {
		d := pick(r, s.daemons)
		s.logEvent("%s", d.Settings.Host)
		d.Signal(syscall.SIGSTOP)
		return func() { d.Signal(syscall.SIGCONT) }
	}},
	{"change the mode of the store", 3, func(_ *testing.T, s *system, r *rand.Rand) func() {
		mode := pick(r, []procs.StoreMode{procs.StoreFails, procs.StoreDropsAnswers, procs.StoreLags})
		s.logEvent("store %s", mode)
		s.store.SetMode(mode)
		return func() { s.store.SetMode(procs.StoreServes) }
	}},
	{"change a link to the store", 4, func(t *testing.T, s *system, r *rand.Rand) func() {
		return s.faultLink(t, r, storeLink(r.IntN(*daemonsFlag)))
	}},
	{"change a link between daemons", 4, func(t *testing.T, s *system, r *rand.Rand) func() {
		return s.faultLink(t, r, peerLink(r.IntN(*daemonsFlag)))
	}},
	{"change a link to a runner", 4, func(t *testing.T, s *system, r *rand.Rand) func() {
		return s.faultLink(t, r, pick(r, s.runners).link)
	}},
	{"silence all connections", 1, func(t *testing.T, s *system, _ *rand.Rand) func() {
		s.setProxy(t, fault.Control{Silence: true})
		return nil
	}},
	{"reset all connections", 1, func(t *testing.T, s *system, _ *rand.Rand) func() {
		s.setProxy(t, fault.Control{Reset: true})
		return nil
	}},
	{"change the mode of a runner", 4, func(_ *testing.T, s *system, r *rand.Rand) func() {
		run, mode := pick(r, s.runners).current(), pick(r, []runnerMode{
			runnerSlow, runnerFails, runnerFull, runnerBreaks, runnerDropsAnswers, runnerLags,
		})
		s.logEvent("%s %s", run.cfg.Name, mode)
		run.setMode(mode)
		return func() { run.setMode(runnerServes) }
	}},
	{"restart a runner", 2, func(t *testing.T, s *system, r *rand.Rand) func() {
		run := pick(r, s.runners)
		s.logEvent("%s", run.current().cfg.Name)
		if err := s.restartRunner(run); err != nil {
			t.Error(err)
		}
		return nil
	}},
	{"drop a runner's entry", 2, func(_ *testing.T, s *system, r *rand.Rand) func() {
		run := pick(r, s.runners)
		s.logEvent("%s", run.current().cfg.Name)
		s.store.PutRunner(run.current().cfg.Name, "")
		return func() { s.publishRunner(run, "ready") }
	}},
	{"drain a runner", 2, func(_ *testing.T, s *system, r *rand.Rand) func() {
		run := pick(r, s.runners)
		s.logEvent("%s", run.current().cfg.Name)
		s.publishRunner(run, "draining")
		return func() { s.publishRunner(run, "ready") }
	}},
	{"publish a configuration", 2, func(_ *testing.T, s *system, _ *rand.Rand) func() {
		s.publishConfig()
		return nil
	}},
	{"publish an adapter's version", 2, func(_ *testing.T, s *system, _ *rand.Rand) func() {
		s.publishRevision()
		return nil
	}},
}

func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// Bounds of the pause between faults and of the duration of faults that are
// undone.
const (
	minPause    = 100 * time.Millisecond
	maxPause    = 700 * time.Millisecond
	minDuration = 100 * time.Millisecond
	maxDuration = 3 * time.Second
)

// undo is an active fault and when to undo it.
type undo struct {
	name string
	at   time.Time
	do   func()
}

// injectFaults injects overlapping random faults for d, then undoes all of them.
func (s *system) injectFaults(t *testing.T, seed uint64, d time.Duration) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 1))
	var list []injector
	for _, f := range injectors {
		for range f.weight {
			list = append(list, f)
		}
	}
	var active []undo
	for end := time.Now().Add(d); time.Now().Before(end); {
		f := pick(r, list)
		s.logEvent("%s", f.name)
		if do := f.inject(t, s, r); do != nil {
			active = append(active, undo{f.name, time.Now().Add(between(r, minDuration, maxDuration)), do})
		}
		active = s.undo(active, time.Now().Add(between(r, minPause, maxPause)))
	}
	s.undo(active, time.Now().Add(maxDuration))
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

// undo waits until the given time, undoes the faults that fall due before it,
// and returns the rest.
func (s *system) undo(active []undo, until time.Time) []undo {
	for {
		first := -1
		for i, u := range active {
			if !u.at.After(until) && (first < 0 || u.at.Before(active[first].at)) {
				first = i
			}
		}
		if first < 0 {
			sleep(time.Until(until))
			return active
		}
		u := active[first]
		active = append(active[:first], active[first+1:]...)
		sleep(time.Until(u.at))
		s.logEvent("end: %s", u.name)
		u.do()
	}
}

func (s *system) setProxy(t *testing.T, c fault.Control) {
	t.Helper()
	if err := s.proxy.Set(c); err != nil {
		t.Error(err)
	}
}

// faultLink injects a random fault on a link.
func (s *system) faultLink(t *testing.T, r *rand.Rand, link fault.LinkName) func() {
	t.Helper()
	links := []fault.LinkName{link}
	delay, none := wick.Duration(between(r, 10*time.Millisecond, 300*time.Millisecond)), wick.Duration(0)
	c := pick(r, []fault.Control{
		{Mode: fault.Cut},
		{Mode: fault.Blackhole},
		{Mode: fault.HoldTo},
		{Mode: fault.HoldFrom},
		{Silence: true},
		{Reset: true},
		{Delay: &delay},
	})
	c.Links = links
	s.logEvent("%s: mode %q, silence %v, reset %v, delay %v", link, c.Mode, c.Silence, c.Reset, c.Delay)
	s.setProxy(t, c)
	return func() { s.setProxy(t, fault.Control{Links: links, Mode: fault.Pass, Delay: &none}) }
}

func (s *system) publishConfig() {
	s.version++
	s.store.PutConfig(s.config())
}

func (s *system) publishRevision() {
	s.revision++
	for i := range adapters {
		s.store.PutRevision(wick.Loaded{Weights: weights(i), Revision: wick.Revision(s.revision)})
	}
}

func weights(i int) wick.Weights {
	return wick.Weights{Model: model, Adapter: wick.AdapterName(fmt.Sprintf("a%d", i+1))}
}

// publishNewest publishes a configuration and adapter versions that must be in
// use once all faults have ended.
func (s *system) publishNewest(t *testing.T) {
	t.Helper()
	s.logEvent("all faults have ended")
	s.publishConfig()
	s.publishRevision()
}

// sleep pauses the calling goroutine for d.
func sleep(d time.Duration) { pause.For(context.Background(), d) }
