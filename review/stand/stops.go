package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the trial stops.
const (
	stopsDaemons   = 3
	stopsTime      = 100 * time.Second
	stopsPerSecond = 1000
)

// playStops stops and starts the daemons in turn under load, and counts the requests that
// ran or were waited for and got no answer.
func playStops(w *world) (int, error) {
	config, err := plainConfig()
	if err != nil {
		return 0, err
	}
	w.store.put(names.ConfigTopic, -1, entry{"config", config})
	runs := newLedger()
	zones := []string{"addis-a", "addis-b", "adama"}
	for i := range 3 {
		p := &plain{addr: w.net.at(firstServer+i, portServer), zone: zones[i%3], service: "booking-desk", world: w, ledger: runs, slots: 100}
		if err := p.start(&w.group); err != nil {
			return 0, err
		}
	}
	if err := w.startDaemons(stopsDaemons, w.storeAddress()); err != nil {
		return 0, err
	}
	time.Sleep(touchTime)
	begin := time.Now()
	stops := 0
	var tasks errgroup.Group
	tasks.Go(func() error {
		for n := 0; w.trouble && time.Since(begin) < stopsTime; n++ {
			d := w.daemons[n%stopsDaemons]
			d.signal(w, syscall.SIGTERM)
			stops++
			<-d.exited
			if err := d.start(w); err != nil {
				return err
			}
			time.Sleep(500 * time.Millisecond)
		}
		return nil
	})
	clients := make([]*http.Client, 4)
	for i := range clients {
		clients[i] = newCaller()
	}
	var lost, answered, unsent atomic.Int32
	var calls errgroup.Group
	for n := 0; time.Since(begin) < stopsTime; n++ {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * time.Second / stopsPerSecond)))
		calls.Go(func() error {
			sent := time.Now()
			r := w.send(clients[n%len(clients)], call{
				method: http.MethodPost, host: "ficu95.example", path: "/puxa403/2f", left: 2 * time.Second, to: w.net.at(firstDaemon+n%stopsDaemons, portFront),
				body: fmt.Appendf(nil, "book berth %d", n),
			})
			runs.mu.Lock()
			ran := len(runs.runs[r.id]) > 0
			runs.mu.Unlock()
			switch {
			case r.status != 0:
				answered.Add(1)
			case ran:
				lost.Add(1)
				w.record.say("LOST: %s: ran and got no answer after %v: %v", r.id, time.Since(sent), r.err)
			default:
				unsent.Add(1)
			}
			return nil
		})
	}
	_ = calls.Wait() // No caller returns an error.
	if err := tasks.Wait(); err != nil {
		return 0, fmt.Errorf("play: %w", err)
	}
	w.record.say("%d stops, %d answers, %d requests that ran without one, %d that did not run", stops, answered.Load(), lost.Load(), unsent.Load())
	return int(lost.Load()) + runs.check(w.record), nil
}
