package main

import (
	"bytes"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case early-answers.
const (
	earlyServers = 12
	earlyDaemons = 7
	earlyCalls   = 42
	// earlyBody is the size of the longest request for a summary on the sheet.
	earlyBody = 110_000
	// earlyEvents is the mean number of events of a summary, and earlyPace the time of
	// each: a pause of 250 ms is still on time.
	earlyEvents = 26
	earlyPace   = 120 * time.Millisecond
	// earlyLeft is the deadline of a summary.
	earlyLeft = 8 * time.Second
)

// playEarlyAnswers sends streams with long bodies on channels that have carried a request
// before. The servers answer before they have read the bodies, and read them afterwards.
func playEarlyAnswers(w *world) (int, error) {
	if err := w.putConfig(); err != nil {
		return 0, err
	}
	servers, err := w.startServers(earlyServers, answer{events: earlyEvents, eventBytes: 40, pace: earlyPace})
	if err != nil {
		return 0, err
	}
	if err := w.startDaemons(earlyDaemons, w.storeAddress()); err != nil {
		return 0, err
	}
	time.Sleep(touchTime)
	for _, s := range servers {
		s.readsLate.Store(w.trouble)
	}
	body := bytes.Repeat([]byte("a"), earlyBody)
	var kept, whole, refused, lost atomic.Int32
	var callers errgroup.Group
	for n := range earlyCalls {
		callers.Go(func() error {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			c, err := w.dial(w.net.at(firstDaemon+n%earlyDaemons, portFront), 0)
			if err != nil {
				return err
			}
			defer c.conn.Close()
			if r := c.send(request{path: digestPath, left: earlyLeft, body: []byte("short")}); r.status != http.StatusOK {
				w.record.add("%s: the first request on the channel failed", r.id)
				return nil
			}
			kept.Add(1)
			switch r := c.send(request{path: digestPath, left: earlyLeft, body: body}); {
			case r.status == http.StatusOK:
				whole.Add(1)
			case r.status != 0:
				refused.Add(1)
			case hasBegun(servers, r.id):
				lost.Add(1)
				w.record.say("LOST: %s: its channel was closed after %d bytes of the answer: %v", r.id, len(r.body), r.err)
			}
			return nil
		})
	}
	if err := callers.Wait(); err != nil {
		return 0, err
	}
	w.record.say("%d channels carried a first request; of the second ones %d were answered, %d refused or failed, %d were lost, %d are allowed",
		kept.Load(), whole.Load(), refused.Load(), lost.Load(), maxLost)
	return max(int(lost.Load())-maxLost, 0), nil
}
