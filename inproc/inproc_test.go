package inproc

import (
	"context"
	"fmt"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/setup"
)

// TestRestartAtNewAddresses checks that a deployment in which all daemons were
// stopped restarts at other addresses with its configuration. No running daemon
// can confirm that the daemons of the last view have ended; only the records they
// wrote to the log themselves can.
func TestRestartAtNewAddresses(t *testing.T) {
	tests := []struct{ before, after int }{{1, 1}, {3, 3}, {2, 1}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d then %d", test.before, test.after), func(t *testing.T) {
			set, err := fakes.StartSet(fakes.SetConfig{
				Log:     &fakes.LogConfig{Address: anyPort},
				Hosts:   &fakes.HostsConfig{Address: anyPort},
				Engines: []fakes.EngineConfig{{Address: anyPort, Model: "m", BatchSlots: 1, AdapterSlots: 1}},
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = set.Close() })
			for _, size := range []int{test.before, test.after} {
				runDeployment(t, set, size)
			}
		})
	}
}

// runDeployment runs daemons until one of them has served a request, then stops
// them.
func runDeployment(t *testing.T, set *fakes.Set, size int) {
	t.Helper()
	f, err := New(Config{
		Daemons: size, Domains: []wick.Domain{"d1", "d2", "d3"},
		Log: set.Log.Address(), Hosts: set.Hosts.Address(), Policy: setup.Default().Policy,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	f.Start(ctx)
	began := time.Now()
	if v, err := f.Nodes()[0].Publish(ctx, sampleChange(set.Engines[0].Address())); err != nil || len(v.Violations) > 1 {
		t.Errorf("publish: %v, %v", v.Violations, err)
	}
	if err := f.WaitReady(ctx, 1); err != nil {
		t.Error(err)
	}
	req := wick.CallerRequest{Request: "q", Route: "draft", Prompt: "p", MaxTokens: 2}
	if err := f.Nodes()[0].Complete(ctx, req, func(wick.Frame) error { return nil }); err != nil {
		t.Errorf("deployment of %d: %v", size, err)
	}
	t.Logf("deployment of %d served after %v", size, time.Since(began).Round(time.Millisecond))
	if err := f.Close(); err != nil {
		t.Error(err)
	}
}

// sampleChange returns a change that puts a configuration with one endpoint. The
// second deployment publishes it again, and both publications are accepted.
func sampleChange(engine wick.Address) wick.Change {
	return wick.Change{ID: "c", Operator: "o", Puts: wick.Objects{
		Models:     []wick.Model{{Name: "m", Context: 100}},
		Stores:     []wick.Store{{Name: "s", Rate: 1, FullSpeed: 1, Knee: 1}},
		Priorities: []wick.Priority{{Name: "p", Deadline: wick.Duration(time.Minute)}},
		Pools:      []wick.Pool{{Name: "runners", Kind: wick.RunnerEndpoint, Model: "m", Store: "s"}},
		Endpoints: []wick.Endpoint{{
			Name: "r1", Pool: "runners", Host: "g1", Domain: "d1", Address: engine, BatchSlots: 1, AdapterSlots: 1,
		}},
		Routes: []wick.Route{{Name: "draft", Pool: "runners", Priority: "p"}},
	}}
}
