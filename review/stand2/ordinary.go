package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryLimit is memoryMb of the settings, in KiB.
const memoryLimit = 284 << 10

// residentKB returns the resident memory of a process, in KiB.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				return 0
			}
			return n
		}
	}
	return 0
}

// guard kills a daemon whose memory exceeds its limit, as the platform does.
func (w *world) guard(d *daemon) {
	most := 0
	for range time.Tick(20 * time.Millisecond) {
		select {
		case <-d.exited:
			return
		default:
		}
		n := residentKB(d.cmd.Process.Pid)
		if n > memoryLimit {
			w.record.say("%s: memory of %d MiB is over its limit of %d MiB", d.name, n>>10, memoryLimit>>10)
			d.signal(w, syscall.SIGKILL)
			return
		}
		if n > most+16<<10 {
			most = n
			w.record.add("%s: memory %d MiB", d.name, n>>10)
		}
	}
}

const (
	// ordinaryCallers confirm a booking and then send usual prompts, one after the other on
	// one channel each.
	ordinaryCallers = 40
	confirmLeft     = 600 * time.Millisecond
	ordinaryLeft    = 10 * time.Second
)

// ordinary counts what ordinary callers get.
type ordinary struct {
	servers                    []*server
	kept, whole, refused, lost atomic.Int32
}

// playOrdinary is an ordinary caller of a daemon until end or until it loses its channel.
func (w *world) playOrdinary(to string, end time.Time, o *ordinary) error {
	c, err := w.dial(to, 0)
	if err != nil {
		return err
	}
	defer c.conn.Close()
	if r := c.send(request{path: confirmPath, left: confirmLeft, body: []byte("body")}); r.status != http.StatusOK {
		w.record.add("%s: the first request on the channel failed", r.id)
		return nil
	}
	o.kept.Add(1)
	for time.Now().Before(end) {
		switch r := c.send(request{path: berthPath, left: ordinaryLeft, body: []byte("body")}); {
		case r.status == http.StatusOK:
			o.whole.Add(1)
		case r.status != 0:
			o.refused.Add(1)
		case hasBegun(o.servers, r.id):
			o.lost.Add(1)
			w.record.say("LOST: %s ran; its channel was closed after %d bytes: %v", r.id, len(r.body), r.err)
			return nil
		default:
			return nil
		}
	}
	return nil
}

// breaks reports the counts and returns the number of breaks of the rule.
func (o *ordinary) breaks(w *world) int {
	w.record.say("%d ordinary callers kept their channels: %d requests answered, %d refused or failed, %d lost, %d are allowed",
		o.kept.Load(), o.whole.Load(), o.refused.Load(), o.lost.Load(), maxLost)
	return max(int(o.lost.Load())-maxLost, 0)
}
