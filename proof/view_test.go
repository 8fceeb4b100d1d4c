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
	// takeoverTimeout is how long other daemons may take to act for the endpoints
	// of a daemon that fails.
	takeoverTimeout = 5 * time.Second
	// pastLease is longer than a lease and the takeover after its expiry.
	pastLease = 5 * time.Second
	// statusWithin is the timeout of a status request, as the daemon may be frozen.
	statusWithin = 300 * time.Millisecond
)

// settingsOf reads the settings file that a daemon was started with.
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

// restart starts a daemon again after its process has exited.
func (b *cluster) restart(i int) {
	b.t.Helper()
	d := b.daemons[i]
	args := d.cmd.Args[1:]
	p, _ := startProcess(b.t, d.name, "currantwick", args...)
	d.process = p
	p.watchExit()
}

// status returns a daemon's status, and whether it answered.
func (b *cluster) status(s daemonSettings) (wick.Status, bool) {
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

// watcher polls the status of all daemons, one after the other, for the
// endpoints that they act on.
type watcher struct {
	b        *cluster
	settings []daemonSettings
	done     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	// last is the result of the newest round of polls, and previous that of the
	// round before, each by daemon.
	last, previous []map[wick.EndpointName]bool
	rounds         int
	doubleOwners   []string
}

func (b *cluster) watch() *watcher {
	n := len(b.daemons)
	w := &watcher{
		b: b, done: make(chan struct{}),
		last: make([]map[wick.EndpointName]bool, n), previous: make([]map[wick.EndpointName]bool, n),
	}
	for _, d := range b.daemons {
		w.settings = append(w.settings, settingsOf(b.t, d))
	}
	w.wg.Go(func() {
		tick := time.NewTicker(pollInterval)
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

// round polls each daemon once and records endpoints with two owners at the same
// time. A daemon that acts in two consecutive rounds is taken to act all the time
// in between. Daemons are polled in order, so daemon j was polled between the two
// polls of daemon i in the previous round if j > i, and in this round if j < i.
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
	w.previous, w.last = w.last, now
	w.rounds++
	for i := range now {
		for e := range now[i] {
			for j := range now {
				if j == i || !w.previous[i][e] {
					continue
				}
				if j > i && w.previous[j][e] || j < i && now[j][e] {
					w.doubleOwners = append(w.doubleOwners, fmt.Sprintf("round %d: %s by daemons %d and %d", w.rounds, e, i+1, j+1))
				}
			}
		}
	}
}

// acting returns the index of the daemon that acts for each endpoint.
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

// waitOwned waits until each endpoint is acted on by one of the given daemons,
// and returns how long that took.
func (w *watcher) waitOwned(daemons ...int) time.Duration {
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

// report stops the watcher and reports endpoints with two owners at the same
// time.
func (w *watcher) report() {
	w.b.t.Helper()
	w.stop()
	for _, text := range w.doubleOwners {
		w.b.t.Error("two owners: " + text)
	}
	w.b.t.Logf("%d rounds of polls, %d times two owners", w.rounds, len(w.doubleOwners))
}

// owner waits until a daemon acts for an endpoint, and returns its index.
func (w *watcher) owner(e wick.EndpointName) int {
	w.b.t.Helper()
	var i int
	eventually(w.b.t, fmt.Sprintf("a daemon acts for %s", e), func() bool {
		var ok bool
		i, ok = w.acting()[e]
		return ok
	})
	return i
}

// daemonsExcept returns the indices 0 to n-1 but the excluded ones.
func daemonsExcept(n int, excluded ...int) []int {
	var in []int
	for i := range n {
		if !slices.Contains(excluded, i) {
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

// TestOwnerKilled kills the owner of an endpoint, and restarts it once others
// have taken over.
func TestOwnerKilled(t *testing.T) {
	b := startCluster(t, sevenDaemons())
	w := b.watch()
	w.waitOwned(daemonsExcept(7)...)
	i := w.owner("service-1")
	b.daemons[i].kill()
	took := w.waitOwned(daemonsExcept(7, i)...)
	t.Logf("all endpoints have acting owners again %v after the kill", took)
	if took > takeoverTimeout {
		t.Errorf("took %v, want at most %v", took, takeoverTimeout)
	}
	b.restart(i)
	eventually(t, "the restarted daemon acts", func() bool { return slices.Contains(actingDaemons(w), i) })
	w.waitOwned(daemonsExcept(7)...)
	w.report()
}

func actingDaemons(w *watcher) []int {
	var out []int
	for _, i := range w.acting() {
		out = append(out, i)
	}
	return out
}

// TestOwnerFrozen freezes an owner's process past its lease, under load, and
// resumes it. The engines ignore fencing tokens, so the daemon itself must notice
// that its lease has expired.
func TestOwnerFrozen(t *testing.T) {
	b := startCluster(t, sevenDaemons())
	w := b.watch()
	w.waitOwned(daemonsExcept(7)...)
	i := w.owner("service-1")
	others := func(n int) wick.Address { return b.daemons[daemonsExcept(7, i)[n%6]].entry }
	c, stop := b.steady(12, 10, others)
	b.daemons[i].signal(syscall.SIGSTOP)
	took := w.waitOwned(daemonsExcept(7, i)...)
	t.Logf("all endpoints have acting owners again %v after the freeze", took)
	if took > takeoverTimeout {
		t.Errorf("took %v, want at most %v", took, takeoverTimeout)
	}
	sleep(pastLease - took)
	b.daemons[i].signal(syscall.SIGCONT)
	eventually(t, "the frozen daemon acts again", func() bool { return slices.Contains(actingDaemons(w), i) })
	stop()
	w.report()
	if _, incomplete := c.collect(t); incomplete > 0 {
		t.Logf("%d requests failed, each with an error", incomplete)
	}
	for n, s := range b.engineStats() {
		for r, count := range s.Runs {
			if count > 1 {
				t.Errorf("engine %d ran %s %d times", n+1, r, count)
			}
		}
	}
}

// TestDaemonCutOff cuts the link over which the other daemons connect to one.
// Connections that it opens to them and to the log still work. The others must
// take over from it, and its attempts to rejoin must not cause a continuous
// series of view changes.
func TestDaemonCutOff(t *testing.T) {
	b := startCluster(t, sevenDaemons())
	w := b.watch()
	w.waitOwned(daemonsExcept(7)...)
	i := w.owner("service-1")
	before, _ := b.status(w.settings[daemonsExcept(7, i)[0]])
	b.control(b.proxy.Control, fault.Control{Links: []fault.LinkName{linkName("peer", i)}, Mode: fault.Cut})
	took := w.waitOwned(daemonsExcept(7, i)...)
	t.Logf("the others act for all endpoints %v after the cut-off", took)
	if took > takeoverTimeout {
		t.Errorf("took %v, want at most %v", took, takeoverTimeout)
	}
	sleep(2 * pastLease)
	after, _ := b.status(w.settings[daemonsExcept(7, i)[0]])
	t.Logf("the view went from %d to %d in %v", before.View, after.View, took+2*pastLease)
	if after.View > before.View+20 {
		t.Error("more than 20 view changes")
	}
	b.control(b.proxy.Control, fault.Control{Links: []fault.LinkName{linkName("peer", i)}, Mode: fault.Pass})
	eventually(t, "the daemon acts again", func() bool { return slices.Contains(actingDaemons(w), i) })
	w.waitOwned(daemonsExcept(7)...)
	w.report()
}

// TestAllCutOff cuts all daemons off from each other for longer than a lease.
func TestAllCutOff(t *testing.T) {
	b := startCluster(t, defaultSizes())
	w := b.watch()
	w.waitOwned(daemonsExcept(3)...)
	var links []fault.LinkName
	for i := range 3 {
		links = append(links, linkName("peer", i))
	}
	b.control(b.proxy.Control, fault.Control{Links: links, Mode: fault.Cut})
	sleep(pastLease)
	b.control(b.proxy.Control, fault.Control{Links: links, Mode: fault.Pass})
	t.Logf("all endpoints have acting owners again %v after the links were restored", w.waitOwned(daemonsExcept(3)...))
	w.report()
}

// restartWithLogLink restarts a daemon with a separate link to the log, and
// returns the control address of that link.
func (b *cluster) restartWithLogLink(i int) wick.Address {
	b.t.Helper()
	var at fault.Addresses
	link := fault.Link{Name: "own-log", Network: fault.TCP, Listen: anyPort, Target: b.fakes.Log}
	startFake(b.t, "proxy", fault.Config{Control: anyPort, Links: []fault.Link{link}}, &at)
	d := b.daemons[i]
	s := settingsOf(b.t, d)
	s.Log.Address = at.Links["own-log"]
	d.kill()
	d.process, _ = startProcess(b.t, d.name, "currantwick", "serve", "-settings", writeSettings(b.t, s))
	d.watchExit()
	return at.Control
}

// TestOneOfPairIsolated cuts one of two daemons off from the other and from the
// log. It must stop acting before the other takes over.
func TestOneOfPairIsolated(t *testing.T) {
	z := defaultSizes()
	z.daemons = 2
	b := startCluster(t, z)
	control := b.restartWithLogLink(0)
	w := b.watch()
	w.waitOwned(daemonsExcept(2)...)
	eventually(t, "the first daemon acts", func() bool { return slices.Contains(actingDaemons(w), 0) })
	set := func(mode fault.Mode) {
		b.control(b.proxy.Control, fault.Control{Links: []fault.LinkName{linkName("peer", 0), linkName("peer", 1)}, Mode: mode})
		b.control(control, fault.Control{Mode: mode})
	}
	set(fault.Cut)
	t.Logf("the other acts for all endpoints %v after the cut-off", w.waitOwned(1))
	sleep(time.Second)
	set(fault.Pass)
	eventually(t, "the first daemon acts again", func() bool { return slices.Contains(actingDaemons(w), 0) })
	w.waitOwned(daemonsExcept(2)...)
	w.report()
}

// TestKilledInOutage kills an owner while the log is down. The others must renew
// their leases and keep their endpoints. The killed daemon's endpoints can be
// taken over only when the log is back.
func TestKilledInOutage(t *testing.T) {
	b := startCluster(t, sevenDaemons())
	w := b.watch()
	w.waitOwned(daemonsExcept(7)...)
	before := w.acting()
	yes, no := true, false
	b.control(b.fakes.Log, fakes.LogControl{Down: &yes})
	sleep(pastLease)
	i := w.owner("service-1")
	b.daemons[i].kill()
	sleep(pastLease)
	for e, owner := range w.acting() {
		if owner != before[e] {
			t.Errorf("%s moved from daemon %d to %d without the log", e, before[e]+1, owner+1)
		}
		delete(before, e)
	}
	for e, owner := range before {
		if owner != i {
			t.Errorf("daemon %d no longer acts for %s while the log is down", owner+1, e)
		}
	}
	b.control(b.fakes.Log, fakes.LogControl{Down: &no})
	t.Logf("all endpoints have acting owners again %v after the outage", w.waitOwned(daemonsExcept(7, i)...))
	w.report()
}

// TestMostKilled kills most or all members of a view at once and restarts them.
func TestMostKilled(t *testing.T) {
	tests := []struct {
		name string
		dead []int
	}{
		{"five of seven", []int{0, 2, 4, 5, 6}},
		{"all", daemonsExcept(7)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := startCluster(t, sevenDaemons())
			w := b.watch()
			w.waitOwned(daemonsExcept(7)...)
			for _, i := range test.dead {
				b.daemons[i].kill()
			}
			sleep(pastLease)
			for e, i := range w.acting() {
				t.Logf("before the restarts daemon %d acts for %s", i+1, e)
			}
			for _, i := range test.dead {
				b.restart(i)
			}
			t.Logf("all endpoints have acting owners again %v after the restarts", w.waitOwned(daemonsExcept(7)...))
			w.report()
		})
	}
}

// TestJoinsAndLeaves stops two daemons gracefully and kills a third at the same
// time, and later restarts all three at the same time.
func TestJoinsAndLeaves(t *testing.T) {
	b := startCluster(t, sevenDaemons())
	w := b.watch()
	w.waitOwned(daemonsExcept(7)...)
	b.daemons[0].signal(syscall.SIGTERM)
	b.daemons[1].signal(syscall.SIGTERM)
	b.daemons[2].kill()
	took := w.waitOwned(daemonsExcept(7, 0, 1, 2)...)
	t.Logf("all endpoints have acting owners again %v after two stops and a kill", took)
	if took > takeoverTimeout {
		t.Errorf("took %v, want at most %v", took, takeoverTimeout)
	}
	for i := range 2 {
		if err := b.daemons[i].waitExit(waitTimeout); err != nil {
			t.Errorf("daemon %d: %v", i+1, err)
		}
	}
	for i := range 3 {
		b.restart(i)
	}
	eventually(t, "all are members again", func() bool {
		return len(b.entries(b.daemons[6].entry).Entries) == 7
	})
	t.Logf("all endpoints have acting owners again %v after three joins", w.waitOwned(daemonsExcept(7)...))
	w.report()
}
