package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case large.
const (
	largeServers = 12
	largeDaemons = 3
	// largeCallers is the number of callers, each with one channel.
	largeCallers = 240
	// largeBody is the size of a body that the configuration still allows, usualBody
	// the usual one on the sheet.
	largeBody = 4 << 20
	usualBody = 1300
	// largeEvents and largePace are the number of events and the time of each.
	largeEvents = 35
	largePace   = 80 * time.Millisecond
	// memoryLimit is memoryMb of the settings, in KiB.
	memoryLimit = 284 << 10
	// maxLost is the number of requests that may end without an answer.
	maxLost = 3
)

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

// playLarge sends requests with bodies of the size that the configuration allows, each on
// a channel that has carried a request. The platform kills a daemon whose memory exceeds
// its limit.
func playLarge(w *world) (int, error) {
	config, err := engineConfig(adapterWeight)
	if err != nil {
		return 0, err
	}
	w.store.put(names.ConfigTopic, -1, entry{"config", config})
	runs := newLedger()
	zones := []string{"addis-a", "addis-b", "adama"}
	for i := range largeServers {
		p := &plain{
			addr: w.net.at(firstServer+i, portServer), zone: zones[i%3], service: "draft-models", world: w, ledger: runs, engine: true,
			events: largeEvents, pace: largePace, slots: 128,
		}
		if err := p.start(&w.group); err != nil {
			return 0, err
		}
	}
	if err := w.startDaemons(largeDaemons, w.storeAddress()); err != nil {
		return 0, err
	}
	for _, d := range w.daemons {
		w.group.Go(func() error {
			w.guard(d)
			return nil
		})
	}
	time.Sleep(touchTime)
	size := usualBody
	if w.trouble {
		size = largeBody
	}
	body := make([]byte, size)
	for i := range body {
		body[i] = 'a'
	}
	var lost atomic.Int32
	var callers errgroup.Group
	var mu sync.Mutex
	warm := 0
	for n := range largeCallers {
		callers.Go(func() error {
			client := newCaller()
			c := call{
				method: http.MethodPost, host: "ficu95.example", path: "/lohu930/2f", model: modelName, left: 10 * time.Second,
				to: w.net.at(firstDaemon+n%largeDaemons, portFront), body: []byte("warm"),
			}
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			if r := w.send(client, c); r.status == http.StatusOK {
				mu.Lock()
				warm++
				mu.Unlock()
			}
			c.body = body
			r := w.send(client, c)
			runs.mu.Lock()
			ran := len(runs.runs[r.id]) > 0
			runs.mu.Unlock()
			if r.status == 0 && ran {
				lost.Add(1)
			}
			return nil
		})
	}
	_ = callers.Wait() // No caller returns an error.
	w.record.say("%d of %d channels carried a first request; %d requests that ran got no whole answer, %d are allowed", warm, largeCallers, lost.Load(), maxLost)
	return max(int(lost.Load())-maxLost, 0), nil
}
