package proof

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"currantwick"
	"currantwick/codec"
	"currantwick/fakes"
	"currantwick/fault"

	"github.com/valyala/fasthttp"
)

const (
	// takeoverWithin is how soon a killed owner's endpoints are served again.
	takeoverWithin = 5 * time.Second
	// pastLease is longer than a lease and its takeover.
	pastLease = 5 * time.Second
	// statusWithin bounds a question to a daemon that may be frozen.
	statusWithin = 300 * time.Millisecond
)

// settingsOf reads back the settings that a daemon was started with.
func settingsOf(t *testing.T, d *daemon) daemonSettings {
	t.Helper()
	data, err := os.ReadFile(d.cmd.Args[len(d.cmd.Args)-1])
	if err != nil {
		t.Fatal(err)
	}
	var s daemonSettings
	if err := json.Unmarshal(data, &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// restart starts the next run of a daemon that has ended.
func (b *bench) restart(i int) {
	b.t.Helper()
	d := b.daemons[i]
	args := d.cmd.Args[1:]
	p, _ := startProcess(b.t, d.name, "currantwick", args...)
	d.process = p
	p.wait()
}

// status asks a daemon what it knows.
func (b *bench) status(s daemonSettings) (wick.Status, bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + string(s.Admin.Address) + "/v1/status")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+s.Admin.Token)
	var st wick.Status
	if err := fasthttp.DoTimeout(req, resp, statusWithin); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return st, false
	}
	return st, codec.DecodeJSON(resp.Body(), &st) == nil
}

// watcher asks all daemons in turn, again and again, for what they act on.
type watcher struct {
	b        *bench
	settings []daemonSettings
	done     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	// last are the newest rounds; old is the one before.
	last, old []map[wick.EndpointName]bool
	rounds    int
	doubled   []string
}

func (b *bench) watch() *watcher {
	n := len(b.daemons)
	w := &watcher{
		b: b, done: make(chan struct{}),
		last: make([]map[wick.EndpointName]bool, n), old: make([]map[wick.EndpointName]bool, n),
	}
	for _, d := range b.daemons {
		w.settings = append(w.settings, settingsOf(b.t, d))
	}
	w.wg.Go(func() {
		tick := time.NewTicker(lookEach)
		defer tick.Stop()
		for {
			select {
			case <-w.done:
				return
			case <-tick.C:
				w.round()
			}
		}
	})
	b.t.Cleanup(w.stop)
	return w
}

func (w *watcher) stop() {
	select {
	case <-w.done:
	default:
		close(w.done)
	}
	w.wg.Wait()
}

// round asks each daemon once. A daemon that acts in two rounds in a row acts
// all the time in between.
func (w *watcher) round() {
	now := make([]map[wick.EndpointName]bool, len(w.settings))
	for i, s := range w.settings {
		now[i] = make(map[wick.EndpointName]bool)
		st, ok := w.b.status(s)
		for _, e := range st.Endpoints {
			if ok && e.Acting && st.Lease > 0 {
				now[i][e.Name] = true
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.old, w.last = w.last, now
	w.rounds++
	for i := range now {
		for e := range now[i] {
			for j := range now {
				if j == i || !w.old[i][e] {
					continue
				}
				if j > i && w.old[j][e] || j < i && now[j][e] {
					w.doubled = append(w.doubled, fmt.Sprintf("round %d: %s by daemons %d and %d", w.rounds, e, i+1, j+1))
				}
			}
		}
	}
}

// acting returns which daemon acts for each endpoint.
func (w *watcher) acting() map[wick.EndpointName]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[wick.EndpointName]int)
	for i, m := range w.last {
		for e := range m {
			out[e] = i
		}
	}
	return out
}

// all waits until each endpoint is acted on by one of the daemons, and returns
// how long that took.
func (w *watcher) all(daemons ...int) time.Duration {
	w.b.t.Helper()
	start := time.Now()
	eventually(w.b.t, fmt.Sprintf("daemons %v act on all endpoints", daemons), func() bool {
		acting := w.acting()
		for _, e := range w.b.objects.Endpoints {
			if i, ok := acting[e.Name]; !ok || !slices.Contains(daemons, i) {
				return false
			}
		}
		return true
	})
	return time.Since(start)
}

// verdict ends the watch and reports endpoints with two owners at once.
func (w *watcher) verdict() {
	w.b.t.Helper()
	w.stop()
	for _, text := range w.doubled {
		w.b.t.Error("two owners: " + text)
	}
	w.b.t.Logf("%d rounds of questions, %d times two owners", w.rounds, len(w.doubled))
}

// owner returns the daemon that acts for an endpoint.
func (w *watcher) owner(e wick.EndpointName) int {
	w.b.t.Helper()
	var i int
	eventually(w.b.t, fmt.Sprintf("somebody acts for %s", e), func() bool {
		var ok bool
		i, ok = w.acting()[e]
		return ok
	})
	return i
}

func without(n int, out ...int) []int {
	var in []int
	for i := range n {
		if !slices.Contains(out, i) {
			in = append(in, i)
		}
	}
	return in
}

func sevenDaemons() sizes {
	z := defaultSizes()
	z.daemons, z.engines, z.services = 7, 7, 1
	return z
}

// TestOwnerKilled kills the owner of an endpoint, and starts its next run once
// others have taken over.
func TestOwnerKilled(t *testing.T) {
	b := startBench(t, sevenDaemons())
	w := b.watch()
	w.all(without(7)...)
	i := w.owner("service-1")
	b.daemons[i].kill()
	took := w.all(without(7, i)...)
	t.Logf("all endpoints served again %v after the kill", took)
	if took > takeoverWithin {
		t.Errorf("took %v, want at most %v", took, takeoverWithin)
	}
	b.restart(i)
	eventually(t, "the next run acts", func() bool { return slices.Contains(actors(w), i) })
	w.all(without(7)...)
	w.verdict()
}

func actors(w *watcher) []int {
	var out []int
	for _, i := range w.acting() {
		out = append(out, i)
	}
	return out
}

// TestOwnerFrozen stops an owner's process past its lease, under load, and lets
// it go on. The engines ignore fencing.
func TestOwnerFrozen(t *testing.T) {
	b := startBench(t, sevenDaemons())
	w := b.watch()
	w.all(without(7)...)
	i := w.owner("service-1")
	others := func(n int) wick.Address { return b.daemons[without(7, i)[n%6]].entry }
	c, stop := b.steady(12, 10, others)
	b.daemons[i].signal(syscall.SIGSTOP)
	took := w.all(without(7, i)...)
	t.Logf("all endpoints served again %v after the freeze", took)
	if took > takeoverWithin {
		t.Errorf("took %v, want at most %v", took, takeoverWithin)
	}
	wait(pastLease - took)
	b.daemons[i].signal(syscall.SIGCONT)
	eventually(t, "the frozen daemon acts again", func() bool { return slices.Contains(actors(w), i) })
	stop()
	w.verdict()
	if _, broken := c.tally(t); broken > 0 {
		t.Logf("%d requests failed, each with an error", broken)
	}
	for n, s := range b.engineStats() {
		for r, count := range s.Runs {
			if count > 1 {
				t.Errorf("engine %d ran %s %d times", n+1, r, count)
			}
		}
	}
}

// TestDaemonCutOff cuts off what the other daemons send to one, which still
// reaches them and the log. The others must take over from it, and its joins
// must not make views come and go.
func TestDaemonCutOff(t *testing.T) {
	b := startBench(t, sevenDaemons())
	w := b.watch()
	w.all(without(7)...)
	i := w.owner("service-1")
	before, _ := b.status(w.settings[without(7, i)[0]])
	b.control(b.proxy.Control, fault.Control{Links: []fault.LinkName{linkName("peer", i)}, Mode: fault.Cut})
	took := w.all(without(7, i)...)
	t.Logf("the others act for all endpoints %v after the cut", took)
	if took > takeoverWithin {
		t.Errorf("took %v, want at most %v", took, takeoverWithin)
	}
	wait(2 * pastLease)
	after, _ := b.status(w.settings[without(7, i)[0]])
	t.Logf("the view went from %d to %d in %v", before.View, after.View, took+2*pastLease)
	if after.View > before.View+20 {
		t.Error("views come and go")
	}
	b.control(b.proxy.Control, fault.Control{Links: []fault.LinkName{linkName("peer", i)}, Mode: fault.Pass})
	eventually(t, "it acts again", func() bool { return slices.Contains(actors(w), i) })
	w.all(without(7)...)
	w.verdict()
}

// TestAllCutOff cuts all daemons off from each other for longer than a lease.
func TestAllCutOff(t *testing.T) {
	b := startBench(t, defaultSizes())
	w := b.watch()
	w.all(without(3)...)
	var links []fault.LinkName
	for i := range 3 {
		links = append(links, linkName("peer", i))
	}
	b.control(b.proxy.Control, fault.Control{Links: links, Mode: fault.Cut})
	wait(pastLease)
	b.control(b.proxy.Control, fault.Control{Links: links, Mode: fault.Pass})
	t.Logf("all endpoints served again %v after the cut", w.all(without(3)...))
	w.verdict()
}

// ownLog starts a daemon again with a link of its own to the log, and returns
// where that link is controlled.
func (b *bench) ownLog(i int) wick.Address {
	b.t.Helper()
	var at fault.Addresses
	link := fault.Link{Name: "own-log", Network: fault.TCP, Listen: anyPort, Target: b.fakes.Log}
	startFake(b.t, "proxy", fault.Config{Control: anyPort, Links: []fault.Link{link}}, &at)
	d := b.daemons[i]
	s := settingsOf(b.t, d)
	s.Log.Address = at.Links["own-log"]
	d.kill()
	d.process, _ = startProcess(b.t, d.name, "currantwick", "serve", "-settings", settings(b.t, s))
	d.wait()
	return at.Control
}

// TestOneOfPairIsolated cuts one of two daemons off from the other and from the
// log. It must have stopped acting when the other takes over.
func TestOneOfPairIsolated(t *testing.T) {
	z := defaultSizes()
	z.daemons = 2
	b := startBench(t, z)
	control := b.ownLog(0)
	w := b.watch()
	w.all(without(2)...)
	eventually(t, "both act", func() bool { return slices.Contains(actors(w), 0) })
	set := func(mode fault.Mode) {
		b.control(b.proxy.Control, fault.Control{Links: []fault.LinkName{linkName("peer", 0), linkName("peer", 1)}, Mode: mode})
		b.control(control, fault.Control{Mode: mode})
	}
	set(fault.Cut)
	t.Logf("the other acts for all %v after the cut", w.all(1))
	wait(time.Second)
	set(fault.Pass)
	eventually(t, "both act again", func() bool { return slices.Contains(actors(w), 0) })
	w.all(without(2)...)
	w.verdict()
}

// TestKilledInOutage kills an owner while the log is down. The others' leases
// go on; the dead one's endpoints wait for the log.
func TestKilledInOutage(t *testing.T) {
	b := startBench(t, sevenDaemons())
	w := b.watch()
	w.all(without(7)...)
	before := w.acting()
	yes, no := true, false
	b.control(b.fakes.Log, fakes.LogControl{Down: &yes})
	wait(pastLease)
	i := w.owner("service-1")
	b.daemons[i].kill()
	wait(pastLease)
	for e, owner := range w.acting() {
		if owner != before[e] {
			t.Errorf("%s went from daemon %d to %d without the log", e, before[e]+1, owner+1)
		}
		delete(before, e)
	}
	for e, owner := range before {
		if owner != i {
			t.Errorf("daemon %d acts for %s no more, because the log is down", owner+1, e)
		}
	}
	b.control(b.fakes.Log, fakes.LogControl{Down: &no})
	t.Logf("all endpoints served again %v after the outage", w.all(without(7, i)...))
	w.verdict()
}

// TestMostKilled kills most of a view at once and starts the next runs.
func TestMostKilled(t *testing.T) {
	tests := []struct {
		name string
		dead []int
	}{
		{"five of seven", []int{0, 2, 4, 5, 6}},
		{"all", without(7)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := startBench(t, sevenDaemons())
			w := b.watch()
			w.all(without(7)...)
			for _, i := range test.dead {
				b.daemons[i].kill()
			}
			wait(pastLease)
			for e, i := range w.acting() {
				t.Logf("meanwhile daemon %d acts for %s", i+1, e)
			}
			for _, i := range test.dead {
				b.restart(i)
			}
			t.Logf("all endpoints served again %v after the restarts", w.all(without(7)...))
			w.verdict()
		})
	}
}

// TestJoinsAndLeaves stops two daemons gracefully and kills two, all at once,
// and starts them again at once.
func TestJoinsAndLeaves(t *testing.T) {
	b := startBench(t, sevenDaemons())
	w := b.watch()
	w.all(without(7)...)
	b.daemons[0].signal(syscall.SIGTERM)
	b.daemons[1].signal(syscall.SIGTERM)
	b.daemons[2].kill()
	took := w.all(without(7, 0, 1, 2)...)
	t.Logf("all endpoints served again %v after two stops and a kill", took)
	if took > takeoverWithin {
		t.Errorf("took %v, want at most %v", took, takeoverWithin)
	}
	for i := range 2 {
		if err := b.daemons[i].ended(patience); err != nil {
			t.Errorf("daemon %d: %v", i+1, err)
		}
	}
	for i := range 3 {
		b.restart(i)
	}
	eventually(t, "all are members again", func() bool {
		return len(b.entries(b.daemons[6].entry).Entries) == 7
	})
	t.Logf("all endpoints served again %v after three joins", w.all(without(7)...))
	w.verdict()
}
