package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the case weights.
const (
	weightsServers   = 12
	weightsDaemons   = 7
	weightsTime      = 25 * time.Second
	weightsPerSecond = 100
	// largeAdapter is the size of an adapter on the other small sheet, in MB.
	largeAdapter = 40
)

// playWeights sends requests for many adapters to engines that hold fewer of them than
// they have slots, since each takes its share of the memory for weights.
func playWeights(w *world) (int, error) {
	size := adapterWeight
	if w.trouble {
		size = largeAdapter
	}
	config, err := engineConfig(size)
	if err != nil {
		return 0, err
	}
	w.store.put(names.ConfigTopic, -1, entry{"config", config})
	var overfilled, lost atomic.Int32
	runs, onWay := newLedger(), new(transit)
	onWay.serve(&w.group)
	zones := []string{"addis-a", "addis-b", "adama"}
	for i := range weightsServers {
		s := &server{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), addr: w.net.at(firstServer+i, portServer), zone: zones[i%3], world: w, onWay: onWay, ledger: runs,
			adapterMb: size, overfilled: func() { overfilled.Add(1) },
		}
		if err := s.serve(&w.group); err != nil {
			return 0, err
		}
	}
	if err := w.startDaemons(weightsDaemons, w.storeAddress()); err != nil {
		return 0, err
	}
	time.Sleep(touchTime)
	var callers errgroup.Group
	client := newCaller()
	begin := time.Now()
	for n := 0; time.Since(begin) < weightsTime; n++ {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * time.Second / weightsPerSecond)))
		to := w.net.at(firstDaemon+n%weightsDaemons, portFront)
		adapter := fmt.Sprintf("a%d", zipf(modelAdapters))
		callers.Go(func() error {
			r := w.send(client, call{
				method: http.MethodPost, host: "ficu95.example", path: "/lohu930/2f", model: modelName + "/" + adapter, left: 10 * time.Second, to: to,
				body: []byte(adapter),
			})
			if r.status == 0 {
				lost.Add(1)
			}
			return nil
		})
	}
	_ = callers.Wait() // No caller returns an error.
	w.record.say("%d engines crashed on an order to load more than they hold; %d answers broke off", overfilled.Load(), lost.Load())
	return int(overfilled.Load()), nil
}
