package main

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case parts.
const (
	partsServers = 12
	partsCrowd   = 1600
	// partsInterval is the time between two requests of the crowd: the 158 requests a
	// second of the sheet.
	partsInterval = 6300 * time.Microsecond
	// partsEvents is the mean number of events of an answer, and partsPace the time of
	// each: a pause of 250 ms is still on time.
	partsEvents = 35
	partsPace   = 240 * time.Millisecond
	partsLeft   = 10 * time.Second
	// emptyPart is a part without a name and without tokens, and lastPart the last one of a
	// usual prompt.
	emptyPart = ",:0"
	lastPart  = ",91bd3f06:398"
	// partsBytes is the size of the header field that lists the parts. The whole head stays
	// within the 16,384 bytes that the configuration allows.
	partsBytes = 15_800
)

// manyParts returns the parts of a usual prompt with many empty ones between them.
func manyParts() string {
	var b strings.Builder
	b.WriteString("5c1e07a2:93")
	for b.Len() < partsBytes-len(emptyPart)-len(lastPart) {
		b.WriteString(emptyPart)
	}
	b.WriteString(lastPart)
	return b.String()
}

// playParts sends streams whose prompts have many parts, beside ordinary callers that keep
// their channels. One daemon is left. The platform kills it if its memory exceeds its
// limit.
func playParts(w *world) (int, error) {
	servers, err := w.startSmall(partsServers, shape{events: partsEvents, eventBytes: 40, pace: partsPace}, 1)
	if err != nil {
		return 0, err
	}
	w.guardAll()
	time.Sleep(touchTime)
	r := request{path: berthPath, left: partsLeft, body: shortBody}
	if w.trouble {
		r.parts = manyParts()
	}
	to := w.net.at(firstDaemon, portFront)
	tally := &ordinary{begun: servers[0].begun}
	var sent, answered atomic.Int32
	var crowd, callers errgroup.Group
	for n := range partsCrowd {
		crowd.Go(func() error {
			time.Sleep(time.Duration(n) * partsInterval)
			c, err := w.dial(to, 0)
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
		callers.Go(func() error { return w.playOrdinary(to, end, tally) })
	}
	if err := callers.Wait(); err != nil {
		return 0, err
	}
	_ = crowd.Wait() // No caller of the crowd returns an error.
	w.record.say("%d requests of the crowd, %d answered", sent.Load(), answered.Load())
	return tally.breaks(w), nil
}
