package stats

import (
	"sync"

	"currantwick"
)

const (
	// maxTeamLabels bounds the teams that have series of their own.
	maxTeamLabels = 32
	// otherTeams is the label of the other teams.
	otherTeams = "other"
)

// teamLabels gives the first maxTeamLabels teams that send requests a label of their own.
// The zero value is ready to use.
type teamLabels struct {
	mu   sync.Mutex
	seen map[wick.TeamName]bool
}

func (t *teamLabels) label(team wick.TeamName) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.seen[team] {
		return string(team)
	}
	if len(t.seen) >= maxTeamLabels {
		return otherTeams
	}
	if t.seen == nil {
		t.seen = make(map[wick.TeamName]bool)
	}
	t.seen[team] = true
	return string(team)
}

// UnitsTaken implements wick.GatewayObserver.
func (g *Gateway) UnitsTaken(team wick.TeamName, units wick.Units, result wick.AllotmentResult) {
	label := g.teams.label(team)
	g.teamRequests.WithLabelValues(label, result.String()).Inc()
	g.teamUnits.WithLabelValues(label, result.String()).Add(float64(units))
}
