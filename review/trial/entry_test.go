package trial

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["late-entry"] = lateEntry }

const (
	// leaveAfter is the time from that write to the removal of the entry. The store is
	// stable again then, which takes 3 s.
	leaveAfter = 3700 * time.Millisecond
	// endsAfter is how long the runner serves after the removal.
	endsAfter = 5 * time.Second
	// silence is how long the store keeps the entry of a runner that is silent.
	silence = 3 * heartbeatTime
)

// lateEntry lets a runner leave without a notice: its entry is removed, and it serves for a
// while longer. With trouble, the store has left one of its earlier writes without an answer,
// and does it late, after the removal.
func lateEntry(d *deployment) (bool, error) {
	var runners []*runner
	var ackedAt atomic.Int64
	var late atomic.Int32
	for i := range 3 {
		r := newRunner(d, i, "desk", 6, 0)
		r.quiet = true
		r.answer = func(w http.ResponseWriter, _ *http.Request, id string) {
			if at := ackedAt.Load(); i == 2 && at > 0 {
				if since := time.Since(d.began) - time.Duration(at); since > drainTime {
					late.Add(1)
					d.notef("%s runs request %s, %d ms after the removal of its entry", r.name, id, since.Milliseconds())
				}
			}
			r.running.Add(1)
			defer r.running.Add(-1)
			time.Sleep(workTime)
			fmt.Fprintf(w, "confirmed %s", id)
		}
		runners = append(runners, r)
	}
	leaving := runners[2]
	if err := d.start(removalConfig, runners, 2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range bookers {
		group.Go(func() { d.bookOn(d.daemons[i%2], i, stop) })
	}
	time.Sleep(time.Second)
	if d.trouble {
		rec := leaving.recordText()
		d.notef("store: a write of %s gets no answer", leaving.name)
		time.AfterFunc(lateWrite, func() {
			offset := d.store.put(topicRunners, leaving.name, rec)
			d.notef("store: that write of %s is done, offset %d", leaving.name, offset)
		})
		time.AfterFunc(lateWrite+silence, func() {
			offset := d.store.put(topicRunners, leaving.name, "")
			d.notef("store: offset %d removes the entry of %s, which was silent", offset, leaving.name)
		})
	}
	// The heartbeats that follow have higher sequence numbers.
	end := time.Now().Add(leaveAfter)
	for time.Now().Before(end) {
		leaving.mu.Lock()
		leaving.sequence++
		leaving.mu.Unlock()
		leaving.publish()
		time.Sleep(min(heartbeatTime, time.Until(end)))
	}
	leaving.remove()
	ackedAt.Store(int64(time.Since(d.began)))
	time.Sleep(endsAfter)
	for range 100 {
		if leaving.running.Load() > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.notef("%s ends, %d requests run there", leaving.name, leaving.running.Load())
	leaving.server.Close()
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	d.notef("%d requests reached %s later than %v after the removal of its entry", late.Load(), leaving.name, drainTime)
	return late.Load() > 0, nil
}
