package main

import (
	"bytes"
	"time"
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
	servers, err := w.startSmall(earlyServers, shape{events: earlyEvents, eventBytes: 40, pace: earlyPace}, earlyDaemons)
	if err != nil {
		return 0, err
	}
	time.Sleep(touchTime)
	for _, s := range servers {
		s.readsLate.Store(w.trouble)
	}
	return w.playKept(keptPlay{
		callers: earlyCalls, daemons: earlyDaemons, path: digestPath, left: earlyLeft, body: bytes.Repeat([]byte("a"), earlyBody),
		ran: servers[0].begun,
	})
}
