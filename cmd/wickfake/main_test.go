package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"currantwick/fakes"
)

func TestVerbs(t *testing.T) {
	tests := []struct {
		verb, settings string
		good           bool
	}{
		{"engine", `{"Address":"127.0.0.1:0","Model":"m","BatchSlots":1,"AdapterSlots":1,"Base":"1ms","PerSequence":"0s"}`, true},
		{"service", `{"Address":"127.0.0.1:0"}`, true},
		{"log", `{"Address":"127.0.0.1:0","KeepFor":"1h"}`, true},
		{"hosts", `{"Address":"127.0.0.1:0"}`, true},
		{"store", `{"Address":"127.0.0.1:0","Rate":4,"FullSpeed":2,"Knee":16,"LoadTime":"250ms"}`, true},
		{"all", `{"Log":{"Address":"127.0.0.1:0"},"Engines":[{"Address":"127.0.0.1:0","Model":"m"}]}`, true},
		{"proxy", `{"Control":"127.0.0.1:0","Links":[]}`, true},
		{"engine", `{"Adress":"127.0.0.1:0"}`, false},
		{"proxy", `{"Links":[{"Name":"a","Network":"TCP"}]}`, false},
		{"ghost", `{}`, false},
		{"log", `{"Address":"127.0.0.1:99999"}`, false},
	}
	for _, test := range tests {
		t.Run(test.verb, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.json")
			if err := os.WriteFile(file, []byte(test.settings), 0o600); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			r, w := io.Pipe()
			done := make(chan error, 1)
			go func() {
				err := run(ctx, []string{test.verb, "-settings", file}, w)
				w.CloseWithError(io.EOF)
				done <- err
			}()
			var ready fakes.Addresses
			err := json.NewDecoder(r).Decode(&ready)
			if good := err == nil; good != test.good {
				t.Errorf("ready: %v", err)
			}
			cancel()
			if err := <-done; (err == nil) != test.good {
				t.Errorf("run: %v", err)
			}
		})
	}
}
