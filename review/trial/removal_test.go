package trial

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTime is the time after which a runner that is gone gets no new requests.
	drainTime = 2 * time.Second
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 200 * time.Millisecond
	// removalDelay is how long after the kill the runner's entry is removed.
	removalDelay = 100 * time.Millisecond
	// bookers is the number of clients.
	bookers = 8
	// servesOn is how long the runner serves after the removal.
	servesOn = 8 * time.Second
	// workTime is the time of a request at a runner, and sendTime that between two
	// requests of a client.
	workTime, sendTime = 60 * time.Millisecond, 50 * time.Millisecond
)

const removalConfig = `{"version":3,"routes":[
{"name":"r-book","host":"desk.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":600,"objectiveMs":100,"priority":2,"service":"desk","attempts":1}],
"services":[{"name":"desk","healthPath":"/health","connectionLimit":100,"protocol":"h1","transportSecurity":false}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000}}`

// lostRemoval removes a runner's entry while the daemon that reads the entries for all
// restarts. Requests go through the other daemon.
func lostRemoval(d *deployment) (bool, error) {
	var runners []*runner
	var ackedAt atomic.Int64
	var late atomic.Int32
	for i := range 3 {
		r := newRunner(d, i, "desk", 6, 0)
		r.quiet = true
		r.answer = func(w http.ResponseWriter, q *http.Request, id string) {
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
	reader, other := d.holderFirst()
	d.notef("%s holds shard 0 and reads the runners' entries for all", reader.name)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range bookers {
		group.Go(func() { d.bookOn(other, i, stop) })
	}
	time.Sleep(2 * time.Second)
	d.notef("%s has run %d requests so far", leaving.name, leaving.total())
	if d.trouble {
		d.notef("SIGKILL to %s", reader.name)
		_ = reader.cmd.Process.Kill()
		<-reader.exited
		time.AfterFunc(restartDelay, func() { _ = d.run(reader) })
	}
	time.Sleep(removalDelay)
	leaving.remove()
	ackedAt.Store(int64(time.Since(d.began)))
	time.Sleep(servesOn)
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

// holderFirst returns the daemon that holds shard 0, and the other one.
func (d *deployment) holderFirst() (holder, other *daemon) {
	a, b := d.daemons[0], d.daemons[1]
	list, _ := d.store.from(topicDaemons, 0)
	for _, r := range list {
		if r.key == "term/0" && strings.Contains(string(r.value), strconv.Quote(b.name)) {
			return b, a
		}
	}
	return a, b
}

// bookOn sends requests on one channel until stop is closed.
func (d *deployment) bookOn(p *daemon, client int, stop chan struct{}) {
	var c net.Conn
	var in *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(sendTime):
		}
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", p.front); err != nil {
				continue
			}
			in = bufio.NewReader(c)
		}
		id := fmt.Sprintf("%08x%08x", 0xd000+client, n)
		fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 4\r\nCurrantwick-Attempt-Identifier: %s\r\nCurrantwick-Time-Remaining: 600\r\n\r\nbook", id)
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil || resp.Close {
			c.Close()
			c = nil
		}
		switch {
		case err != nil:
			d.notef("request %s: error: %v", id, err)
		case resp.StatusCode != http.StatusOK:
			d.notef("request %s: status %d", id, resp.StatusCode)
		}
	}
}
