package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// drainBound is the bound within which daemons must learn that a runner is gone.
	drainBound = 2 * time.Second
	// lingers is how long a runner whose entry was removed goes on serving.
	lingers = 8 * time.Second
)

// caseLeave has seven daemons. The entry of a runner is removed, and the runner goes on
// serving for a while, as some do. With trouble, the daemons that give orders to runners
// are killed just before, all at once, and started again.
func caseLeave(s *system) (bool, error) {
	const (
		machines = 7
		// killed is the most machines that are killed at once, killAfter the time from a
		// read of the runners' entries to there, removeAfter that from there to the removal of
		// the entry, and restartAfter that to the start of the processes.
		killed       = 4
		killAfter    = 260 * time.Millisecond
		removeAfter  = 100 * time.Millisecond
		restartAfter = 200 * time.Millisecond
		work         = 80 * time.Millisecond
		every        = 15 * time.Millisecond
		length       = 12 * time.Second
	)
	ran := new(runs)
	err := s.startPlain(3, work, ran, func(w http.ResponseWriter, id string) {
		io.WriteString(w, "done "+id) // The daemon may have left.
	})
	if err != nil {
		return false, err
	}
	leaving := s.plain[0]
	if err := s.startDaemons(machines); err != nil {
		return false, err
	}
	holders, err := s.holders()
	if err != nil {
		return false, err
	}
	if len(holders) > killed {
		return false, fmt.Errorf("%d daemons give orders: %w", len(holders), errNotRun)
	}
	var survivors []*daemon
	for _, d := range s.daemons {
		if !holders[d.name] {
			survivors = append(survivors, d)
		}
	}
	<-s.store.nextRead(names.RunnerTopic)
	sleep(killAfter)
	if s.trouble {
		for _, d := range s.daemons {
			if holders[d.name] {
				s.record.line("daemon %s is killed", d.name)
				if err := d.kill(); err != nil {
					return false, err
				}
			}
		}
	}
	sleep(removeAfter)
	removed := leaving.leave()
	sleep(restartAfter - removeAfter)
	if s.trouble {
		for _, d := range s.daemons {
			if holders[d.name] {
				if err := s.startDaemon(d); err != nil {
					return false, err
				}
			}
		}
	}
	lost, sent := s.commands(survivors, ran, removed, every, length)
	late := leaving.arrivedAfter(removed.Add(drainBound))
	s.record.line("result: of %d commands to %d daemons that ran all the while, %d reached the runner later than %v after the removal of its entry; %d commands that it had begun ended without an answer of it",
		sent, len(survivors), late, drainBound, lost)
	return late > 0, nil
}

// holders returns the names of the daemons that give orders to runners.
func (s *system) holders() (map[string]bool, error) {
	resp, err := http.Get("http://" + s.daemons[0].ip + ":9464/state")
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	defer resp.Body.Close()
	var state struct {
		Shards []struct{ Holder string }
	}
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	list := make(map[string]bool)
	for _, sh := range state.Shards {
		list[sh.Holder] = true
	}
	s.record.line("holders: %v", list)
	return list, nil
}

// commands sends commands to daemons in turn until a time after an instant. It returns how
// many of those that runners began got no answer of a runner, and how many it sent.
func (s *system) commands(to []*daemon, ran *runs, from time.Time, every, length time.Duration) (lost, sent int) {
	var mu sync.Mutex
	var group errgroup.Group
	for ; time.Since(from) < length; sent++ {
		at, n := to[sent%len(to)], sent
		group.Go(func() error {
			c, err := connect(at.front, 0)
			if err != nil {
				s.record.line("caller: %v", err)
				return nil
			}
			defer c.conn.Close()
			r := request{method: http.MethodPost, path: fmt.Sprintf("/switch/%d", n), id: newID(), body: "red", timeLeft: 3 * time.Second}
			if err := c.send(r); err != nil {
				s.record.line("caller: %v", err)
				return nil
			}
			resp, _, err := c.answer(nil)
			status := 0
			if err == nil {
				status = resp.StatusCode
			}
			s.record.line("caller: command %d, %s, to %s: status %d, ran %d times", n, r.id, at.name, status, ran.of(r.id))
			if status != http.StatusOK && ran.of(r.id) > 0 {
				mu.Lock()
				defer mu.Unlock()
				lost++
			}
			return nil
		})
		sleep(every)
	}
	_ = group.Wait() // No command returns an error.
	return lost, sent
}
