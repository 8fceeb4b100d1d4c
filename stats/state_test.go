package stats

import (
	"testing"
	"time"

	"currantwick"

	"github.com/prometheus/client_golang/prometheus"
)

// TestStateMetrics checks that removed endpoints leave no stale series.
func TestStateMetrics(t *testing.T) {
	first := wick.EndpointState{Name: "i-1", Pool: "p", Running: 3, Waiting: 700, Adapters: 2, FailedShare: 0.25, Lag: wick.Duration(100 * time.Millisecond)}
	second := wick.EndpointState{Name: "i-2", Pool: "p", Running: 1}
	tests := []struct {
		name      string
		endpoints []wick.EndpointState
		running   map[string]float64
	}{
		{"two endpoints", []wick.EndpointState{first, second}, map[string]float64{"i-1": 3, "i-2": 1}},
		{"one removed", []wick.EndpointState{second}, map[string]float64{"i-2": 1}},
	}
	var state wick.GatewayState
	registry := prometheus.NewRegistry()
	registry.MustRegister(NewState(func() wick.GatewayState { return state }))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state = wick.GatewayState{Daemons: 7, Endpoints: test.endpoints}
			families, err := registry.Gather()
			if err != nil {
				t.Fatal(err)
			}
			got := make(map[string]float64)
			for _, f := range families {
				if f.GetName() != namespace+"_endpoint_running" {
					continue
				}
				for _, m := range f.GetMetric() {
					got[m.GetLabel()[0].GetValue()] = m.GetGauge().GetValue()
				}
			}
			if len(got) != len(test.running) {
				t.Fatalf("series %v, want %v", got, test.running)
			}
			for name, n := range test.running {
				if got[name] != n {
					t.Errorf("%s: %v running, want %v", name, got[name], n)
				}
			}
		})
	}
}
