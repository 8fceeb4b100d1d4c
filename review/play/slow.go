package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// caseSlow sends commands on kept channels, and stops one daemon in between. With trouble,
// callers read the heads of their last answers, pause once, and read on.
func caseSlow(s *system) (bool, error) {
	const (
		perDaemon = 4
		// before is the number of commands of each caller before the stop.
		before = 3
		// receive is the smallest buffer that the kernel gives to a connection.
		receive = 2304
		size    = 4800
		pause   = 2500 * time.Millisecond
	)
	ran := new(runs)
	err := s.startPlain(3, 15*time.Millisecond, ran, func(w http.ResponseWriter, id string) {
		text := "done " + id + " "
		io.WriteString(w, text+strings.Repeat("x", size-len(text))) // The daemon may have left.
	})
	if err != nil {
		return false, err
	}
	if err := s.startDaemons(3); err != nil {
		return false, err
	}
	// channels are those of the callers of each daemon.
	channels := make([][]*channel, len(s.daemons))
	for i, d := range s.daemons {
		for range perDaemon {
			c, err := connect(d.front, receive)
			if err != nil {
				return false, err
			}
			defer c.conn.Close()
			for n := range before {
				if err := s.command(c, ran, fmt.Sprintf("/switch/%d", n), nil); err != nil {
					return false, err
				}
			}
			channels[i] = append(channels[i], c)
		}
	}
	stopped := s.daemons[0]
	s.record.line("daemon %s gets SIGTERM", stopped.name)
	if err := stopped.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return false, fmt.Errorf("stop: %w", err)
	}
	sleep(200 * time.Millisecond)
	var read func()
	if s.trouble {
		read = func() { sleep(pause) }
	}
	var mu sync.Mutex
	cut := make([]int, len(s.daemons))
	var group errgroup.Group
	for i, list := range channels {
		for _, c := range list {
			group.Go(func() error {
				if err := s.command(c, ran, "/switch/last", read); err != nil {
					mu.Lock()
					defer mu.Unlock()
					cut[i]++
				}
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return false, err
	}
	s.record.line("result: channels that ended without the complete answer to a command that a runner had run: %d of %d at the daemon that was stopped, %d of %d at the others",
		cut[0], perDaemon, cut[1]+cut[2], 2*perDaemon)
	return cut[0] > 0, nil
}

// command sends a command and reads its answer.
func (s *system) command(c *channel, ran *runs, path string, pause func()) error {
	r := request{method: http.MethodPost, path: path, id: newID(), body: "red", timeLeft: 5 * time.Second}
	if err := c.send(r); err != nil {
		return err
	}
	begun := time.Now()
	resp, body, err := c.answer(pause)
	if err != nil {
		s.record.line("caller: %s, which ran %d times: %v, %d ms after it was sent", r.id, ran.of(r.id), err, time.Since(begun).Milliseconds())
		return err
	}
	s.record.line("caller: %s, which ran %d times: status %d, %d bytes, %d ms after it was sent", r.id, ran.of(r.id), resp.StatusCode, len(body), time.Since(begun).Milliseconds())
	return nil
}
