package main

import (
	"encoding/json"
	"fmt"
)

func init() {
	cases["slow-readers"] = playSlowReaders
	cases["early-answers"] = playEarlyAnswers
	cases["forgotten"] = playForgotten
	cases["long-ids"] = playLongIDs
	cases["parts"] = playParts
}

// Host and paths of the routes.
const (
	callersHost = "ficu95.example"
	berthPath   = "/lohu930/2f"
	digestPath  = "/zafe118/2f"
	confirmPath = "/puxa403/2f"
)

// putConfig writes the configuration of a small deployment: streams that may not be resumed
// and an unsafe call.
func (w *world) putConfig() error {
	data, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "berth-notice", "host": callersHost, names.PrefixField: "/lohu930/", "kind": "streaming", "timeoutMs": 10000, "objectiveMs": 800,
			"gapTargetMs": 250, "priority": 0, "service": engineService, "attempts": 1, "resumable": false,
		}, {
			"name": "tender-digest", "host": callersHost, names.PrefixField: "/zafe118/", "kind": "streaming", "timeoutMs": 8000, "objectiveMs": 1000,
			"gapTargetMs": 250, "priority": 2, "service": engineService, "attempts": 1, "resumable": false,
		}, {
			"name": "book-confirm", "host": callersHost, names.PrefixField: "/puxa403/", "kind": "unsafe", "timeoutMs": 600, "objectiveMs": 100,
			"priority": 2, "service": plainService, "attempts": 1,
		}},
		"services": []map[string]any{{
			"name": engineService, "healthPath": "/health", "connectionLimit": 620,
			"engine": map[string]any{
				"slots": engineSlots, "kvCacheTokens": engineTokens, "adapterSlots": adapterSlots, "loadsPerS": 4.3, "weightsMb": engineWeights,
				"models": []map[string]any{{"name": modelName, "weightsMb": modelWeights, "loadS": 1.3, "adapters": modelAdapters, "adapterMb": adapterWeight}},
			},
		}, {"name": plainService, "healthPath": "/health", "connectionLimit": 100}},
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
	})
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	w.store.put(names.ConfigTopic, -1, entry{"config", data})
	return nil
}

// startSmall starts a small deployment with the given numbers of engines and daemons, and
// returns the engines.
func (w *world) startSmall(engines int, a shape, daemons int) ([]*endpoint, error) {
	if err := w.putConfig(); err != nil {
		return nil, err
	}
	list, err := w.startEndpoints(engines, a)
	if err != nil {
		return nil, err
	}
	return list, w.startDaemons(daemons, w.storeAddress())
}
