package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case begun.
const (
	begunServers = 12
	begunDaemons = 7
	// begunEvery is the time after which the caller sends the deadly request again, and
	// begunCalls how often it sends it.
	begunEvery = 4 * time.Second
	begunCalls = 10
	// begunPerSecond is the rate of the sound requests.
	begunPerSecond = 60
	// touchTime is the time after which a machine, or the count of retries, is judged.
	touchTime = 3 * time.Second
	// maxRetries is the number of retries that may reach servers.
	maxRetries = 3
)

// engineConfig is a configuration with two streaming routes to engines whose adapters have
// the given size.
func engineConfig(adapterMb int) ([]byte, error) {
	data, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "berth-notice", "host": "ficu95.example", names.PrefixField: "/lohu930/", "kind": "streaming", "timeoutMs": 10000, "objectiveMs": 800,
			"gapTargetMs": 250, "priority": 0, "service": "draft-models", "attempts": 1, "resumable": false,
		}, {
			"name": "delay-notice", "host": "ficu95.example", names.PrefixField: "/pufi791/", "kind": "streaming", "timeoutMs": 15000, "objectiveMs": 1000,
			"gapTargetMs": 250, "priority": 0, "service": "draft-models", "attempts": 2, "resumable": true,
		}},
		"services": []map[string]any{{
			"name": "draft-models", "healthPath": "/health", "connectionLimit": 620,
			"engine": map[string]any{
				"slots": 128, "adapterSlots": adapterSlots, "loadsPerS": 4.3, "weightsMb": engineWeights,
				"models": []map[string]any{{"name": modelName, "weightsMb": modelWeights, "loadS": 1.3, "adapters": modelAdapters, "adapterMb": adapterMb}},
			},
		}},
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 5000, "idleMs": 15000},
	})
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return data, nil
}

// playBegun sends a request that crashes each engine after the first event of its answer,
// again and again. It counts the retries that reach engines later than touchTime after the
// third crash.
func playBegun(w *world) (int, error) {
	config, err := engineConfig(adapterWeight)
	if err != nil {
		return 0, err
	}
	w.store.put(names.ConfigTopic, -1, entry{"config", config})
	const deadlyBody = "draft the notice of berth 17"
	runs := newLedger()
	var mu sync.Mutex
	var crashes []time.Time
	lost := 0
	zones := []string{"addis-a", "addis-b", "adama"}
	for i := range begunServers {
		p := &plain{
			addr: w.net.at(firstServer+i, portServer), zone: zones[i%3], service: "draft-models", world: w, ledger: runs, engine: true,
			events: eventsPerRun, pace: eventTime,
			deadly: func(body []byte) bool { return w.trouble && string(body) == deadlyBody },
			arrived: func(id string) {
				mu.Lock()
				defer mu.Unlock()
				crashes = append(crashes, time.Now())
				w.record.say("the deadly request %s reaches an engine, crash %d", id, len(crashes))
			},
		}
		if err := p.start(&w.group); err != nil {
			return 0, err
		}
	}
	if err := w.startDaemons(begunDaemons, w.storeAddress()); err != nil {
		return 0, err
	}
	time.Sleep(touchTime)
	begin := time.Now()
	end := begin.Add(begunEvery * begunCalls)
	var tasks errgroup.Group
	tasks.Go(func() error {
		client := newCaller()
		var calls errgroup.Group
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(time.Until(begin.Add(time.Duration(n) * time.Second / begunPerSecond)))
			to := w.net.at(firstDaemon+n%begunDaemons, portFront)
			calls.Go(func() error {
				r := w.send(client, call{
					method: http.MethodPost, host: "ficu95.example", path: "/lohu930/2f", model: modelName, left: 10 * time.Second, to: to,
					body: fmt.Appendf(nil, "draft the notice of berth %d", 100+n),
				})
				if r.status != http.StatusOK {
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
	for n := range begunCalls {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * begunEvery)))
		r := w.send(client, call{
			method: http.MethodPost, host: "ficu95.example", path: "/lohu930/2f", model: modelName, left: 10 * time.Second,
			to: w.net.at(firstDaemon+n%begunDaemons, portFront), body: []byte(deadlyBody),
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
		if i > 2 && at.Sub(crashes[2]) > touchTime {
			counted++
		}
	}
	w.record.say("%d sound requests got no whole answer", lost)
	w.record.say("%d retries reached engines later than %v after the third crash, %d are allowed", counted, touchTime, maxRetries)
	return max(counted-maxRetries, 0), nil
}
