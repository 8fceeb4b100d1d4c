package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case long-ids.
const (
	idsServers = 12
	idsDaemons = 7
	// idsCrowd is the number of channels of the crowd, all at one daemon. Each carries one
	// request after the other.
	idsCrowd = 600
	idsTime  = 10 * time.Second
	// idsBytes is the size of an identifier. The whole head stays within the 16,384 bytes that
	// the configuration allows.
	idsBytes  = 15_800
	idsEvents = 35
	// idsPace is the time of each event: a pause of 250 ms is still on time.
	idsPace = 240 * time.Millisecond
	// unknownPath is a path without a route.
	unknownPath = "/nowhere/2f"
)

// ask sends a request without a route until end and counts the answers.
func (c *caller) ask(id string, end time.Time, answers *atomic.Int32) error {
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 600\r\n\r\n", unknownPath, callersHost, names.Attempt, id, names.Left)
	for time.Now().Before(end) {
		if err := c.conn.SetDeadline(time.Now().Add(idsTime)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		if _, err := io.WriteString(c.conn, head); err != nil {
			return fmt.Errorf("send: %w", err)
		}
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err := errors.Join(err, resp.Body.Close()); err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		answers.Add(1)
	}
	return nil
}

// playLongIDs sends requests with long identifiers to one daemon, beside ordinary callers
// that keep their channels. The platform kills a daemon whose memory exceeds its limit.
func playLongIDs(w *world) (int, error) {
	servers, err := w.startSmall(idsServers, shape{events: idsEvents, eventBytes: 40, pace: idsPace}, idsDaemons)
	if err != nil {
		return 0, err
	}
	w.guardAll()
	time.Sleep(touchTime)
	id := newID()
	if w.trouble {
		// Bytes that are no text are allowed in a field of a head.
		id = strings.Repeat("\xff", idsBytes)
	}
	to := w.net.at(firstDaemon, portFront)
	tally := &ordinary{begun: servers[0].begun}
	var crowd, callers errgroup.Group
	begin := time.Now().Add(time.Second)
	end := begin.Add(idsTime)
	for range ordinaryCallers {
		callers.Go(func() error { return w.playOrdinary(to, end, tally) })
	}
	time.Sleep(time.Until(begin))
	var answers atomic.Int32
	for range idsCrowd {
		crowd.Go(func() error {
			c, err := w.dial(to, 0)
			if err == nil {
				defer c.conn.Close()
				err = c.ask(id, end, &answers)
			}
			if err != nil {
				w.record.add("a caller of the crowd leaves: %v", err)
			}
			return nil
		})
	}
	if err := callers.Wait(); err != nil {
		return 0, err
	}
	_ = crowd.Wait() // No caller of the crowd returns an error.
	w.record.say("%d answers to the crowd", answers.Load())
	return tally.breaks(w), nil
}
