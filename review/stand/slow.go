package main

import "time"

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
	servers, err := w.startSmall(slowServers, shape{events: slowEvents, eventBytes: slowBytes, pace: slowPace}, slowDaemons)
	if err != nil {
		return 0, err
	}
	time.Sleep(touchTime)
	play := keptPlay{
		callers: slowCallers, daemons: slowDaemons, path: berthPath, left: slowLeft, body: shortBody, window: slowWindow,
		ran: servers[0].ended,
	}
	if w.trouble {
		play.pause = slowPause
	}
	return w.playKept(play)
}
