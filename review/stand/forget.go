package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case forgotten.
const (
	forgetServers = 12
	forgetDaemons = 7
	// forgetEvery is the time after which the deadly request comes again, and forgetTime
	// how long it does.
	forgetEvery = 2 * time.Second
	forgetTime  = 88 * time.Second
	// forgetDown is how long the daemons are down.
	forgetDown = 2 * time.Second
	// forgetInterval is the time between two sound requests: the 116 streams a second of
	// the sheet.
	forgetInterval = 8600 * time.Microsecond
	forgetEvents   = 35
	forgetPace     = 80 * time.Millisecond
)

// deadlyBody is the body of the request that crashes servers.
const deadlyBody = "draft the notice of berth 17"

// crashList are the times at which the deadly request reached servers.
type crashList struct {
	world *world
	mu    sync.Mutex
	times []time.Time
}

// deadly implements the field of endpoint.
func (l *crashList) deadly(id string, body []byte) bool {
	if string(body) != deadlyBody {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, time.Now())
	l.world.record.say("the deadly request %s reaches a server, crash %d", id, len(l.times))
	return true
}

// count returns the number of crashes.
func (l *crashList) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.times)
}

// retries returns how many crashes came later than touchTime after the third.
func (l *crashList) retries() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i, at := range l.times {
		if i > 2 && at.Sub(l.times[2]) > touchTime {
			n++
		}
	}
	return n
}

// restartAll kills all daemons at once and starts them again.
func (w *world) restartAll() error {
	for _, d := range w.daemons {
		d.signal(w, syscall.SIGKILL)
	}
	for _, d := range w.daemons {
		<-d.exited
	}
	time.Sleep(forgetDown)
	for _, d := range w.daemons {
		if err := d.start(w); err != nil {
			return err
		}
	}
	return nil
}

// playForgotten sends a request that crashes each server that begins to run it, again and
// again, beside sound ones. After the third crash it kills all daemons once. It counts the
// retries that reach servers from machines in touch.
func playForgotten(w *world) (int, error) {
	servers, err := w.startSmall(forgetServers, shape{events: forgetEvents, eventBytes: 40, pace: forgetPace}, forgetDaemons)
	if err != nil {
		return 0, err
	}
	crashes := &crashList{world: w}
	for _, s := range servers {
		s.deadly = crashes.deadly
	}
	time.Sleep(touchTime)
	end := time.Now().Add(forgetTime)
	var killed atomic.Bool // While the daemons are down, and not in touch afterwards.
	var whole, refused, lost atomic.Int32
	var sound, calls errgroup.Group
	sound.Go(func() error {
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(forgetInterval)
			wasDown := killed.Load()
			calls.Go(func() error {
				c, err := w.dial(w.net.at(firstDaemon+n%forgetDaemons, portFront), 0)
				if err != nil {
					return nil // The daemon is down.
				}
				defer c.conn.Close()
				switch r := c.send(request{path: berthPath, left: 10 * time.Second, body: fmt.Appendf(nil, "draft the notice of berth %d", 100+n)}); {
				case r.status == http.StatusOK:
					whole.Add(1)
				case !servers[0].begun.has(r.id):
					refused.Add(1)
				case !wasDown && !killed.Load():
					lost.Add(1)
				}
				return nil
			})
		}
		return calls.Wait()
	})
	restarted := false
	for n := 0; time.Now().Before(end); n++ {
		if w.trouble && !restarted && crashes.count() >= 3 {
			restarted = true
			killed.Store(true)
			if err := w.restartAll(); err != nil {
				return 0, err
			}
			time.Sleep(2 * touchTime) // The start, and until all machines are in touch.
			killed.Store(false)
		}
		if c, err := w.dial(w.net.at(firstDaemon+n%forgetDaemons, portFront), 0); err == nil {
			r := c.send(request{path: berthPath, left: 10 * time.Second, body: []byte(deadlyBody)})
			w.record.add("the deadly request, call %d: status %d, %v", n+1, r.status, r.err)
			c.conn.Close()
		}
		time.Sleep(forgetEvery)
	}
	if err := sound.Wait(); err != nil {
		return 0, err
	}
	counted := crashes.retries()
	w.record.say("%d sound requests answered, %d refused or failed before they ran, %d broken off", whole.Load(), refused.Load(), lost.Load())
	w.record.say("%d retries reached servers later than %v after the third crash, %d are allowed", counted, touchTime, maxRetries)
	return max(counted-maxRetries, 0), nil
}
