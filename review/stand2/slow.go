package main

import (
	"errors"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case slow-readers.
const (
	slowServers = 12
	slowDaemons = 7
	slowCallers = 42
	// slowEvents and slowBytes are the size of an answer: fewer events than the 139 that the
	// longest one on the sheet has, of their largest size.
	slowEvents = 45
	slowBytes  = 240
	slowPace   = 20 * time.Millisecond
	// slowWindow is the receive buffer of a caller's socket.
	slowWindow = 4 << 10
	// slowPause is the time between two reads of a slow caller. It is shorter than the gap
	// of four objectives after which callers abandon a stream.
	slowPause = 2500 * time.Millisecond
	// slowLeft is the deadline on the sheet.
	slowLeft = 10 * time.Second
)

// playSlowReaders sends streams on channels that have carried one before, and reads their
// answers slowly.
func playSlowReaders(w *world) (int, error) {
	if err := w.putConfig(); err != nil {
		return 0, err
	}
	servers, err := w.startServers(slowServers, answer{events: slowEvents, eventBytes: slowBytes, pace: slowPace})
	if err != nil {
		return 0, err
	}
	if err := w.startDaemons(slowDaemons, w.storeAddress()); err != nil {
		return 0, err
	}
	time.Sleep(touchTime)
	var kept, whole, late, lost atomic.Int32
	var callers errgroup.Group
	for n := range slowCallers {
		callers.Go(func() error {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			c, err := w.dial(w.net.at(firstDaemon+n%slowDaemons, portFront), slowWindow)
			if err != nil {
				return err
			}
			defer c.conn.Close()
			if r := c.send(request{path: berthPath, left: slowLeft, body: []byte("body")}); r.status != http.StatusOK {
				w.record.add("%s: the first request on the channel failed", r.id)
				return nil
			}
			kept.Add(1)
			if w.trouble {
				c.source.pause = slowPause
			}
			switch r := c.send(request{path: berthPath, left: slowLeft, body: []byte("body")}); {
			case r.status == http.StatusOK:
				whole.Add(1)
			case errors.Is(r.err, os.ErrDeadlineExceeded):
				late.Add(1)
			case ranToEnd(servers, r.id):
				lost.Add(1)
				w.record.say("LOST: %s ran to its end; its channel was closed after %d bytes: %v", r.id, len(r.body), r.err)
			}
			return nil
		})
	}
	if err := callers.Wait(); err != nil {
		return 0, err
	}
	w.record.say("%d channels carried a first request; of the second ones %d were answered, %d passed their deadline, %d were lost, %d are allowed",
		kept.Load(), whole.Load(), late.Load(), lost.Load(), maxLost)
	return max(int(lost.Load())-maxLost, 0), nil
}
