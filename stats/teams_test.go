package stats

import (
	"fmt"
	"testing"

	"currantwick"

	"github.com/prometheus/client_golang/prometheus"
)

// A deployment with thousands of teams must not make thousands of series.
func TestTeamLabels(t *testing.T) {
	registry := prometheus.NewRegistry()
	g := NewGateway(registry, func() int64 { return 0 })
	for range 2 {
		for i := range 100 {
			g.UnitsTaken(wick.TeamName(fmt.Sprint(i)), 650, wick.UnitsExceeded)
		}
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]float64)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == namespace+"_team_requests_total" {
				got[m.GetLabel()[1].GetValue()] = m.GetCounter().GetValue() // After "result".
			}
		}
	}
	tests := []struct {
		team string
		want float64
	}{{"0", 2}, {"31", 2}, {otherTeams, 2 * 68}}
	for _, test := range tests {
		if got[test.team] != test.want {
			t.Errorf("%s: %v requests, want %v", test.team, got[test.team], test.want)
		}
	}
	if len(got) != maxTeamLabels+1 {
		t.Errorf("%d series, want %d", len(got), maxTeamLabels+1)
	}
}
