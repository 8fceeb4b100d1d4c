package main

import (
	"embed"
	"encoding/json"
	"fmt"
)

// files are the names and the documents of the platform.
//
//go:embed names.json settings.json config.json
var files embed.FS

// platformNames are the names of the platform's protocol that the stand-ins use.
type platformNames struct {
	Request, TimeLeft, Endpoint, NotRun, Seal, Self string
	ReadyPath, AppendPath, ReadPath, NewestPath     string
	OperatorTopic, RunnerTopic, SettingsVariable    string
}

var names platformNames

// loadNames reads the names of the platform.
func loadNames() error {
	data, err := files.ReadFile("names.json")
	if err != nil {
		return fmt.Errorf("names: %w", err)
	}
	if err := json.Unmarshal(data, &names); err != nil {
		return fmt.Errorf("names: %w", err)
	}
	return nil
}
