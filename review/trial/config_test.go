package trial

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["late-config"] = lateConfig }

// movedConfig is the format of a configuration. Its arguments are the version, the time-out
// of the route, and the service that it leads to.
const movedConfig = `{"version":%d,"routes":[
{"name":"r-book","host":"desk.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":%d,"objectiveMs":100,"priority":2,"service":%q,"attempts":1}],
"services":[{"name":"desk","healthPath":"/health","connectionLimit":100,"protocol":"h1","transportSecurity":false},
{"name":"merged","healthPath":"/health","connectionLimit":100,"protocol":"h1","transportSecurity":false}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000}}`

const (
	// lateWrite is how much later a write without an answer is done.
	lateWrite = 6 * time.Second
	// propagationTime is the bound within which an acknowledged configuration is in force.
	propagationTime = 2 * time.Second
	// nextConfigAfter is the time from the first change to the second one. The store is
	// stable again then, which takes 3 s.
	nextConfigAfter = 3500 * time.Millisecond
	// watchTime is how long requests are sent after the second change.
	watchTime = 8 * time.Second
)

// lateConfig changes the configuration twice; the second change moves a route to another
// service. With trouble, the store leaves the write of the first one without an answer, and
// does it late, after the second one.
func lateConfig(d *deployment) (bool, error) {
	var runners []*runner
	// ackedAt is when the store acknowledged the second change.
	var ackedAt atomic.Int64
	var old, moved atomic.Int32
	for i := range 4 {
		service := []string{"desk", "merged"}[i/2]
		r := newRunner(d, i, service, 6, 0)
		r.quiet = true
		r.answer = func(w http.ResponseWriter, _ *http.Request, id string) {
			time.Sleep(workTime / 4)
			// A request is at a runner within a few ms; the margin covers those under way.
			if at := ackedAt.Load(); at > 0 && time.Since(d.began)-time.Duration(at) > propagationTime+time.Second/2 {
				if service == "desk" {
					old.Add(1)
					d.notef("%s of the old service has run request %s", r.name, id)
				} else {
					moved.Add(1)
				}
			}
			fmt.Fprintf(w, "confirmed %s", id)
		}
		runners = append(runners, r)
	}
	if err := d.start(fmt.Sprintf(movedConfig, 4, 600, "desk"), runners, 2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range bookers {
		group.Go(func() { d.bookOn(d.daemons[i%2], i, stop) })
	}
	time.Sleep(time.Second)
	change := fmt.Sprintf(movedConfig, 7, 900, "desk")
	if d.trouble {
		d.notef("operator: version 7 gets no answer")
		time.AfterFunc(lateWrite, func() {
			d.notef("store: the write of version 7 is done, offset %d", d.store.put(topicConfig, "config", change))
		})
	} else {
		d.notef("operator: version 7 acknowledged, offset %d", d.store.put(topicConfig, "config", change))
	}
	time.Sleep(nextConfigAfter)
	offset := d.store.put(topicConfig, "config", fmt.Sprintf(movedConfig, 12, 900, "merged"))
	ackedAt.Store(int64(time.Since(d.began)))
	d.notef("operator: version 12, which moves the route to another service, acknowledged, offset %d", offset)
	time.Sleep(watchTime)
	close(stop)
	group.Wait()
	d.notef("later than %v after version 12 was acknowledged, %d requests ran at the old service and %d at the new one", propagationTime+time.Second/2, old.Load(), moved.Load())
	return old.Load() > 0, nil
}
