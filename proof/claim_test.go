package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/fault"

	"github.com/valyala/fasthttp"
)

// command is one non-idempotent command and the outcomes its caller received.
type command struct {
	key      wick.ClaimKey
	attempts int
	answered bool
	// unknown and notRun count the attempts with these outcomes.
	unknown, notRun int
	codes           map[wick.Code]int
}

// sendCommandWithCode sends a command once and returns its outcome and error code.
// If the connection broke or the answer has no valid error body, the outcome is
// Unknown and the code is made up for the log.
func (b *cluster) sendCommandWithCode(addr wick.Address, key wick.ClaimKey) (wick.Outcome, wick.Code) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/v1/calls/confirm")
	req.Header.Set("Idempotency-Key", string(key))
	req.SetBodyString(`{"Slot":12}`)
	if err := b.http.Do(ctx, addr, req, resp); err != nil {
		return wick.Unknown, "Connection"
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return wick.Answered, ""
	}
	var e event
	if err := json.Unmarshal(resp.Body(), &e); err != nil || e.Error == nil {
		return wick.Unknown, wick.Code(fmt.Sprint("Status ", resp.StatusCode()))
	}
	return e.Error.Type, e.Error.Code
}

// commandLoad sends commands from several callers. Each command is retried
// through another entry until it is answered or the limit of attempts is reached.
type commandLoad struct {
	b    *cluster
	wg   sync.WaitGroup
	mu   sync.Mutex
	all  []*command
	next atomic.Int64
}

func (b *cluster) startCommands(callers, limit int) (*commandLoad, func()) {
	d := &commandLoad{b: b}
	done := make(chan struct{})
	for range callers {
		d.wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					d.run(int(d.next.Add(1)), limit)
				}
			}
		})
	}
	return d, sync.OnceFunc(func() { close(done) })
}

func (d *commandLoad) run(n, limit int) {
	c := &command{key: wick.ClaimKey(fmt.Sprint("order-", n)), codes: make(map[wick.Code]int)}
	for c.attempts < limit && !c.answered {
		outcome, code := d.b.sendCommandWithCode(d.b.anyEntry(n+c.attempts), c.key)
		c.attempts++
		c.codes[code]++
		switch outcome {
		case wick.Answered:
			c.answered = true
		case wick.NotRun:
			c.notRun++
			sleep(50 * time.Millisecond)
		default:
			c.unknown++
			sleep(50 * time.Millisecond)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = append(d.all, c)
}

// report compares the outcomes that callers received with what the services
// ran.
func (d *commandLoad) report() {
	d.wg.Wait()
	t := d.b.t
	ran := make(map[wick.ClaimKey]int)
	for _, a := range d.b.fakes.Services {
		var s fakes.ServiceStats
		eventually(t, "a service returns its stats", func() bool { return d.b.get(a, "/stats", &s) == nil })
		for key, n := range s.RunsOf {
			ran[key] += n
		}
	}
	answered, unknown, notRun, retried := 0, 0, 0, 0
	codes := make(map[wick.Code]int)
	for _, c := range d.all {
		for code, n := range c.codes {
			codes[code] += n
		}
		if c.attempts > 1 {
			retried++
		}
		switch {
		case c.answered:
			answered++
		case c.unknown > 0:
			unknown++
		default:
			notRun++
		}
		switch n := ran[c.key]; {
		case n > 1:
			t.Errorf("%s ran %d times", c.key, n)
		case n == 0 && c.answered:
			t.Errorf("%s was answered but never ran", c.key)
		case n == 1 && !c.answered && c.unknown == 0:
			t.Errorf("%s ran, but its caller got %d times the outcome NotRun and no other", c.key, c.notRun)
		}
	}
	t.Logf("%d commands, %d retried: %d answered, %d unknown, %d not run; codes of attempts %v",
		len(d.all), retried, answered, unknown, notRun, codes)
	if answered == 0 {
		t.Error("no command was answered")
	}
}

// TestAtMostOnceUnderDaemonFaults checks that no command runs twice when callers
// retry it through other entries, for each kind of failure.
func TestAtMostOnceUnderDaemonFaults(t *testing.T) {
	yes, no, some := true, false, 5
	tests := []struct {
		name string
		fail func(b *cluster, w *watcher)
	}{
		{"owner killed", func(b *cluster, w *watcher) {
			i := w.owner("service-1")
			b.daemons[i].kill()
			w.waitOwned(daemonsExcept(3, i)...)
			b.restart(i)
			w.waitOwned(daemonsExcept(3)...)
		}},
		{"owner frozen past its lease", func(b *cluster, w *watcher) {
			i := w.owner("service-1")
			b.daemons[i].signal(syscall.SIGSTOP)
			w.waitOwned(daemonsExcept(3, i)...)
			sleep(time.Second)
			b.daemons[i].signal(syscall.SIGCONT)
			w.waitOwned(daemonsExcept(3)...)
		}},
		{"daemons cut off from each other", func(b *cluster, w *watcher) {
			var links []fault.LinkName
			for i := range 3 {
				links = append(links, linkName("peer", i))
			}
			b.control(b.proxy.Control, fault.Control{Links: links, Mode: fault.Cut})
			sleep(pastLease)
			b.control(b.proxy.Control, fault.Control{Links: links, Mode: fault.Pass})
			w.waitOwned(daemonsExcept(3)...)
		}},
		{"entry killed", func(b *cluster, w *watcher) {
			i := (w.owner("service-1") + 1) % 3
			b.daemons[i].kill()
			b.restart(i)
			w.waitOwned(daemonsExcept(3)...)
		}},
		{"service crashes and loses answers", func(b *cluster, _ *watcher) {
			b.control(b.fakes.Services[0], fakes.ServiceControl{CrashAfter: true, DownFor: ms(300)})
			sleep(time.Second)
			b.control(b.fakes.Services[0], fakes.ServiceControl{LoseAnswers: &some})
			sleep(time.Second)
		}},
		{"log down and an owner killed", func(b *cluster, w *watcher) {
			b.control(b.fakes.Log, fakes.LogControl{Down: &yes})
			sleep(2 * time.Second)
			i := w.owner("service-1")
			b.daemons[i].kill()
			sleep(2 * time.Second)
			b.control(b.fakes.Log, fakes.LogControl{Down: &no})
			b.restart(i)
			w.waitOwned(daemonsExcept(3)...)
		}},
		{"answers of the log lost", func(b *cluster, _ *watcher) {
			for range 5 {
				b.control(b.fakes.Log, fakes.LogControl{LoseAnswers: &some})
				sleep(300 * time.Millisecond)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := startCluster(t, defaultSizes())
			w := b.watch()
			w.waitOwned(daemonsExcept(3)...)
			d, stop := b.startCommands(8, 40)
			sleep(500 * time.Millisecond)
			test.fail(b, w)
			sleep(500 * time.Millisecond)
			stop()
			d.report()
			w.report()
		})
	}
}
