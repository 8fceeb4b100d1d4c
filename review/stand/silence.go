package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case silence.
const (
	silenceServers = 12
	silenceDaemons = 7
	// silentServers is the number of engines that preempt what they run: at most the
	// share of slow ones that the site file has.
	silentServers = 2
	// silenceTime is shorter than the gap after which callers abandon a stream, four
	// times the objective.
	silenceTime     = 3700 * time.Millisecond
	silenceCalls    = 60
	silenceInterval = 25 * time.Millisecond
)

// playSilence sends resumable streams to one daemon and then stops it with SIGTERM. Some
// engines fall silent in the middle of their streams and go on before callers give up.
func playSilence(w *world) (int, error) {
	config, err := engineConfig(adapterWeight)
	if err != nil {
		return 0, err
	}
	w.store.put(names.ConfigTopic, -1, entry{"config", config})
	runs := newLedger()
	zones := []string{"addis-a", "addis-b", "adama"}
	for i := range silenceServers {
		p := &plain{
			addr: w.net.at(firstServer+i, portServer), zone: zones[i%3], service: "draft-models", world: w, ledger: runs, engine: true,
			events: largeEvents, pace: eventTime, slots: 128,
		}
		if w.trouble && i < silentServers {
			p.pause = silenceTime
		}
		if err := p.start(&w.group); err != nil {
			return 0, err
		}
	}
	if err := w.startDaemons(silenceDaemons, w.storeAddress()); err != nil {
		return 0, err
	}
	time.Sleep(touchTime)
	var lost, whole atomic.Int32
	var callers errgroup.Group
	for n := range silenceCalls {
		callers.Go(func() error {
			time.Sleep(time.Duration(n) * silenceInterval)
			r := w.send(newCaller(), call{
				method: http.MethodPost, host: "ficu95.example", path: "/pufi791/2f", model: modelName, left: 15 * time.Second,
				to: w.net.at(firstDaemon, portFront), body: fmt.Appendf(nil, "delay notice %d", n),
			})
			switch {
			case r.status == http.StatusOK && strings.Count(string(r.body), "id: ") == largeEvents:
				whole.Add(1)
			case r.status == 0:
				lost.Add(1)
				w.record.say("LOST: %s: %v after %d events", r.id, r.err, strings.Count(string(r.body), "id: "))
			}
			return nil
		})
	}
	time.Sleep(silenceCalls*silenceInterval + 200*time.Millisecond)
	w.daemons[0].signal(w, syscall.SIGTERM)
	_ = callers.Wait() // No caller returns an error.
	w.record.say("%d answers were whole, %d ended early at the daemon that was stopped", whole.Load(), lost.Load())
	return int(lost.Load()), nil
}
