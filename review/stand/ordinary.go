package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// ordinaryCallers confirm a booking and then send usual prompts, one after the other on
	// one channel each.
	ordinaryCallers = 40
	confirmLeft     = 600 * time.Millisecond
	ordinaryLeft    = 10 * time.Second
)

// guardAll guards all daemons.
func (w *world) guardAll() {
	for _, d := range w.daemons {
		w.group.Go(func() error {
			w.guard(d)
			return nil
		})
	}
}

// ordinary counts what ordinary callers get.
type ordinary struct {
	begun                      *ledger
	kept, whole, refused, lost atomic.Int32
}

// playOrdinary is an ordinary caller of a daemon until end or until it loses its channel.
func (w *world) playOrdinary(to string, end time.Time, o *ordinary) error {
	c, err := w.dial(to, 0)
	if err != nil {
		return err
	}
	defer c.conn.Close()
	if r := c.send(request{path: confirmPath, left: confirmLeft, body: shortBody}); r.status != http.StatusOK {
		w.record.add("%s: the first request on the channel failed", r.id)
		return nil
	}
	o.kept.Add(1)
	for time.Now().Before(end) {
		switch r := c.send(request{path: berthPath, left: ordinaryLeft, body: shortBody}); {
		case r.status == http.StatusOK:
			o.whole.Add(1)
		case r.status != 0:
			o.refused.Add(1)
		case o.begun.has(r.id):
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
