package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case forgotten.
const (
	forgetServers = 12
	forgetDaemons = 7
	// forgetEvery is the time after which the caller sends the deadly request again, and
	// forgetCalls how often it sends it.
	forgetEvery = 8 * time.Second
	forgetCalls = 12
	// forgetKill is when all daemons are killed, and forgetDown how long they are down.
	forgetKill = 27 * time.Second
	forgetDown = 1600 * time.Millisecond
	// touchTime is the time after which a machine, or the count of retries, is judged.
	touchTime = 3 * time.Second
	// forgetPerSecond is the rate of the sound requests.
	forgetPerSecond = 60
	// maxRetries is the number of retries that may reach servers.
	maxRetries = 3
)

// plainConfig is a configuration with one unsafe route to a plain service.
func plainConfig() ([]byte, error) {
	data, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "book-confirm", "host": "ficu95.example", names.PrefixField: "/puxa403/", "kind": "unsafe", "timeoutMs": 2000, "objectiveMs": 100,
			"priority": 2, "service": "booking-desk", "attempts": 1, "resumable": false,
		}},
		"services": []map[string]any{{"name": "booking-desk", "healthPath": "/health", "connectionLimit": 100}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 5000, "idleMs": 15000},
	})
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return data, nil
}

// playForgotten sends a request that crashes each server that begins to run it, again
// and again, and kills all daemons once. It counts the retries that reach servers later
// than touchTime after the third crash, from machines in touch.
func playForgotten(w *world) (int, error) {
	config, err := plainConfig()
	if err != nil {
		return 0, err
	}
	w.store.put(names.ConfigTopic, -1, entry{"config", config})
	const deadlyBody = "book berth 17 for barge 4711"
	runs := newLedger()
	var mu sync.Mutex
	var crashes []time.Time
	lost := 0
	zones := []string{"addis-a", "addis-b", "adama"}
	for i := range forgetServers {
		p := &plain{
			addr: w.net.at(firstServer+i, portServer), zone: zones[i%3], service: "booking-desk", world: w, ledger: runs,
			deadly: func(body []byte) bool { return string(body) == deadlyBody },
			arrived: func(id string) {
				mu.Lock()
				defer mu.Unlock()
				crashes = append(crashes, time.Now())
				w.record.say("the deadly request %s reaches a server, crash %d", id, len(crashes))
			},
		}
		if err := p.start(&w.group); err != nil {
			return 0, err
		}
	}
	if err := w.startDaemons(forgetDaemons, w.storeAddress()); err != nil {
		return 0, err
	}
	time.Sleep(touchTime)
	begin := time.Now()
	end := begin.Add(forgetEvery*(forgetCalls-1) + 2*time.Second)
	var started time.Time
	var tasks errgroup.Group
	if w.trouble {
		tasks.Go(func() error {
			time.Sleep(time.Until(begin.Add(forgetKill)))
			for _, d := range w.daemons {
				d.signal(w, syscall.SIGKILL)
				<-d.exited
			}
			time.Sleep(forgetDown)
			for _, d := range w.daemons {
				if err := d.start(w); err != nil {
					return err
				}
			}
			mu.Lock()
			defer mu.Unlock()
			started = time.Now()
			return nil
		})
	}
	tasks.Go(func() error {
		client := newCaller()
		var calls errgroup.Group
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(time.Until(begin.Add(time.Duration(n) * time.Second / forgetPerSecond)))
			to := w.net.at(firstDaemon+n%forgetDaemons, portFront)
			calls.Go(func() error {
				r := w.send(client, call{
					method: http.MethodPost, host: "ficu95.example", path: "/puxa403/2f", left: 600 * time.Millisecond, to: to,
					body: fmt.Appendf(nil, "book berth %d", n),
				})
				if r.status == http.StatusBadGateway {
					mu.Lock()
					defer mu.Unlock()
					lost++
				}
				return nil
			})
		}
		return calls.Wait()
	})
	client := newCaller()
	for n := range forgetCalls {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * forgetEvery)))
		r := w.send(client, call{
			method: http.MethodPost, host: "ficu95.example", path: "/puxa403/2f", left: 2 * time.Second, to: w.net.at(firstDaemon+n%forgetDaemons, portFront),
			body: []byte(deadlyBody),
		})
		w.record.say("the deadly request, call %d: %s: status %d, %v", n+1, r.id, r.status, r.err)
	}
	if err := tasks.Wait(); err != nil {
		return 0, fmt.Errorf("play: %w", err)
	}
	mu.Lock()
	defer mu.Unlock()
	counted := 0
	for i, at := range crashes {
		inTouch := started.IsZero() || at.Before(begin.Add(forgetKill)) || at.After(started.Add(touchTime))
		if i > 2 && at.Sub(crashes[2]) > touchTime && inTouch {
			counted++
		}
	}
	w.record.say("%d sound requests were answered 502: a server crashed while it ran them", lost)
	w.record.say("%d retries reached servers later than %v after the third crash, %d are allowed", counted, touchTime, maxRetries)
	return max(counted-maxRetries, 0), nil
}
