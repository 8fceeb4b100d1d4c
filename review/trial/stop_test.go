package trial

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// eventTime is the time between two events of a stream.
	eventTime = 200 * time.Millisecond
	// longStream is how long the streams last that keep all places for adapters in use.
	longStream, shortStream = 10 * time.Second, 400 * time.Millisecond
	// stopRunners are the runners, with stopPlaces adapters each.
	stopRunners, stopPlaces = 5, 2
	// longStreams is more than there are places, so that none is free if one stream fails.
	longStreams = stopRunners*stopPlaces + 3
	// lateClients are the clients that send a request lateBy after the SIGTERM.
	lateClients = 4
	lateBy      = 2 * time.Second
)

// stopConfig has the times of the drafts of the heating oil deployment: the first event
// within 2 s, and 12 s for the whole.
const stopConfig = `{"version":3,"routes":[
{"name":"r-draft","host":"desk.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":12000,"objectiveMs":2000,"gapTargetMs":300,"priority":0,"service":"llm","attempts":1,"sessionAffinity":true,"resumable":false}],
"services":[{"name":"llm","healthPath":"/health","connectionLimit":230,"protocol":"h1","transportSecurity":false,
"engine":{"slots":32,"kvCacheTokens":200000,"models":[{"name":"base","weightsMb":65500.0,"loadS":1.9,"adapters":3000,"adapterMb":40.0}],"weightsMb":67400.0,"adapterSlots":2,"loadsPerS":6.8}}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000}}`

// stopWaiting stops a daemon while requests wait there for an adapter: all places for
// adapters are in use by streams that go through the other daemon.
func stopWaiting(d *deployment) (bool, error) {
	var runners []*runner
	for i := range stopRunners {
		r := newRunner(d, i, "llm", 32, stopPlaces)
		r.answer = streamEvents
		runners = append(runners, r)
	}
	if err := d.start(stopConfig, runners, 2); err != nil {
		return false, err
	}
	leaving, staying := d.daemons[0], d.daemons[1]
	late := make([]*channel, lateClients)
	for i := range late {
		c, err := d.openChannel(leaving, fmt.Sprintf("%016x", 0xb000+i))
		if err != nil {
			return false, err
		}
		defer c.conn.Close()
		if err := c.exchange("short", "base", "-1"); err != nil {
			return false, fmt.Errorf("first request: %w", err)
		}
		late[i] = c
	}
	var group sync.WaitGroup
	for i := range longStreams {
		c, err := d.openChannel(staying, fmt.Sprintf("%016x", 0xc000+i))
		if err != nil {
			return false, err
		}
		defer c.conn.Close()
		group.Go(func() { _ = c.exchange("long", fmt.Sprintf("base/a%d", i+1), "-1") }) // Its end is not judged.
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if d.trouble {
		d.stop(leaving)
	}
	time.Sleep(lateBy)
	var mu sync.Mutex
	lost := 0
	for _, c := range late {
		group.Go(func() {
			err := c.exchange("short", "base/a99", "-2")
			var status statusError
			if err != nil && !errors.As(err, &status) {
				mu.Lock()
				defer mu.Unlock()
				lost++
			}
		})
	}
	group.Wait()
	for i := range late {
		id := fmt.Sprintf("%016x-2", 0xb000+i)
		ran := 0
		for _, r := range runners {
			ran += r.runs(id)
		}
		d.notef("request %s ran at %d runners", id, ran)
	}
	d.notef("%d of %d requests were read, and their channels ended without a complete answer", lost, lateClients)
	return lost > 0, nil
}

// streamEvents answers with a stream.
func streamEvents(w http.ResponseWriter, q *http.Request, id string) {
	duration := shortStream
	if strings.HasSuffix(q.URL.Path, "/long") {
		duration = longStream
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := 1; n <= int(duration/eventTime) && q.Context().Err() == nil; n++ {
		time.Sleep(eventTime)
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = control.Flush() // A failure shows in the context.
	}
}

// channel is a client's channel to a daemon.
type channel struct {
	d    *deployment
	to   *daemon
	id   string
	conn net.Conn
	in   *bufio.Reader
	// quiet leaves the exchanges out of the record.
	quiet bool
}

func (d *deployment) openChannel(p *daemon, id string) (*channel, error) {
	c, err := net.Dial("tcp", p.front)
	if err != nil {
		return nil, err
	}
	return &channel{d: d, to: p, id: id, conn: c, in: bufio.NewReader(c)}, nil
}

// statusError is an answer other than a success.
type statusError int

func (s statusError) Error() string { return fmt.Sprintf("status %d", int(s)) }

// exchange sends a request for a stream and reads the answer.
func (c *channel) exchange(path, model, suffix string) error {
	id := c.id + suffix
	const body = `{"prompt":"draft"}`
	_, err := fmt.Fprintf(c.conn, "POST /draft/%s HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\nCurrantwick-Attempt-Identifier: %s\r\n"+
		"Currantwick-Model: %s\r\nCurrantwick-Token-Counts: 491,20\r\nCurrantwick-Prompt-Prefix: 5c1e07a2:400,%s:91\r\nCurrantwick-Time-Remaining: 12000\r\n\r\n%s",
		path, len(body), id, model, c.id, body)
	c.notef("request %s for %s sent whole to %s", id, model, c.to.name)
	if err != nil {
		c.notef("request %s could not be sent: %v", id, err)
		return err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.notef("request %s has no answer, its channel ended: %v", id, err)
		return err
	}
	data, err := io.ReadAll(resp.Body)
	c.notef("request %s: status %d, %d bytes, error: %v", id, resp.StatusCode, len(data), err)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode)
	}
	return nil
}

func (c *channel) notef(format string, args ...any) {
	if !c.quiet {
		c.d.notef(format, args...)
	}
}
