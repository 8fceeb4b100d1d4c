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

	"golang.org/x/sync/errgroup"
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

// Figures of the case parts.
const (
	partsServers = 12
	partsCrowd   = 1600
	// ordinaryCallers confirm a booking and then send usual prompts, one after the other on
	// one channel each.
	ordinaryCallers = 40
	// partsInterval is the time between two requests of the crowd: the 158 requests a second of the sheet.
	partsInterval = 6300 * time.Microsecond
	// partsEvents is the mean number of events of an answer, and partsPace the time of
	// each: a pause of 250 ms is still on time.
	partsEvents = 35
	partsPace   = 240 * time.Millisecond
	partsLeft   = 10 * time.Second
	confirmLeft = 600 * time.Millisecond
	// partIDs is the number of different parts.
	partIDs = 16
	// partsBytes is the size of the header field that lists the parts. The whole head stays
	// within the 16,384 bytes that the configuration allows.
	partsBytes = 15_800
)

// manyParts returns the parts of a usual prompt with many empty ones between them.
func manyParts() string {
	var b strings.Builder
	b.WriteString("5c1e07a2:93")
	for n := 0; b.Len() < partsBytes-len(",f:0"); n++ {
		fmt.Fprintf(&b, ",%x:0", n%partIDs)
	}
	b.WriteString(",91bd3f06:398")
	return b.String()
}

// playParts sends streams whose prompts have many parts, beside ordinary callers that keep
// their channels. One daemon is left. The platform kills it if its memory exceeds its
// limit.
func playParts(w *world) (int, error) {
	if err := w.putConfig(); err != nil {
		return 0, err
	}
	servers, err := w.startServers(partsServers, answer{events: partsEvents, eventBytes: 40, pace: partsPace})
	if err != nil {
		return 0, err
	}
	if err := w.startDaemons(1, w.storeAddress()); err != nil {
		return 0, err
	}
	d := w.daemons[0]
	w.group.Go(func() error {
		w.guard(d)
		return nil
	})
	time.Sleep(touchTime)
	r := request{path: berthPath, left: partsLeft, body: []byte("body")}
	if w.trouble {
		r.parts = manyParts()
	}
	var sent, answered, kept, whole, refused, lost atomic.Int32
	var crowd, callers errgroup.Group
	for n := range partsCrowd {
		crowd.Go(func() error {
			time.Sleep(time.Duration(n) * partsInterval)
			c, err := w.dial(w.net.at(firstDaemon, portFront), 0)
			if err != nil {
				w.record.add("no channel: %v", err)
				return nil
			}
			defer c.conn.Close()
			sent.Add(1)
			if c.send(r).status == http.StatusOK {
				answered.Add(1)
			}
			return nil
		})
	}
	end := time.Now().Add(partsCrowd * partsInterval)
	for range ordinaryCallers {
		callers.Go(func() error {
			c, err := w.dial(w.net.at(firstDaemon, portFront), 0)
			if err != nil {
				return err
			}
			defer c.conn.Close()
			if r := c.send(request{path: confirmPath, left: confirmLeft, body: []byte("body")}); r.status != http.StatusOK {
				w.record.add("%s: the first request on the channel failed", r.id)
				return nil
			}
			kept.Add(1)
			for time.Now().Before(end) {
				switch r := c.send(request{path: berthPath, left: partsLeft, body: []byte("body")}); {
				case r.status == http.StatusOK:
					whole.Add(1)
				case r.status != 0:
					refused.Add(1)
				case hasBegun(servers, r.id):
					lost.Add(1)
					w.record.say("LOST: %s ran; its channel was closed after %d bytes: %v", r.id, len(r.body), r.err)
					return nil
				default:
					return nil
				}
			}
			return nil
		})
	}
	if err := callers.Wait(); err != nil {
		return 0, err
	}
	_ = crowd.Wait() // No caller of the crowd returns an error.
	w.record.say("%d requests of the crowd, %d answered; %d ordinary callers kept their channels: %d requests answered, %d refused or failed, %d lost, %d are allowed",
		sent.Load(), answered.Load(), kept.Load(), whole.Load(), refused.Load(), lost.Load(), maxLost)
	return max(int(lost.Load())-maxLost, 0), nil
}
