package share

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"currantwick"
)

var seeds = flag.Uint64("seeds", 2, "number of random runs for each row of TestUpperBound and TestNoFalseRefusals")

// teamsOf returns n teams of one shard, with the given limits in turn.
func teamsOf(n int, rates ...wick.PerSecond) map[wick.TeamName]wick.Allotment {
	teams := make(map[wick.TeamName]wick.Allotment)
	for i := 0; len(teams) < n; i++ {
		if name := wick.TeamName(fmt.Sprintf("team-%d", i)); ShardOf(name) == 0 {
			r := rates[len(teams)%len(rates)]
			teams[name] = wick.Allotment{Unit: wick.UnitTokens, Rate: r, Burst: float64(r)}
		}
	}
	return teams
}

// disturbance is a fault of the model that begins now and then.
type disturbance func(m *model, d *modelDaemon, until wick.Instant)

// A team that sends three times its limit must not get more than the bound in any window,
// whatever fails meanwhile.
func TestUpperBound(t *testing.T) {
	none := func(*model, *modelDaemon, wick.Instant) {}
	freezeHolder := func(m *model, _ *modelDaemon, until wick.Instant) {
		if m.term != nil {
			m.term.frozen = until
		}
	}
	freezeDaemon := func(_ *model, d *modelDaemon, until wick.Instant) { d.frozen = until }
	restartHolder := func(m *model, _ *modelDaemon, _ wick.Instant) {
		if m.term != nil {
			m.restart(m.term)
		}
	}
	restartDaemon := func(m *model, d *modelDaemon, _ wick.Instant) { m.restart(d) }
	// The holder believes that it is the only one, and so does the next one.
	cutHolder := func(m *model, _ *modelDaemon, until wick.Instant) {
		if m.term != nil {
			m.term.cut = until
		}
	}
	partition := func(m *model, _ *modelDaemon, _ wick.Instant) {
		half := m.random.IntN(len(m.daemons))
		for i, o := range m.daemons {
			o.side = 0
			if i < half {
				o.side = 1
			}
		}
	}
	heal := func(m *model, _ *modelDaemon, _ wick.Instant) {
		for _, o := range m.daemons {
			o.side = 0
		}
	}
	lose := func(m *model, _ *modelDaemon, _ wick.Instant) { m.lossy = !m.lossy }
	tests := []struct {
		name   string
		faults []disturbance
	}{
		{"no fault", []disturbance{none}},
		{"frozen holder", []disturbance{freezeHolder}},
		{"frozen daemons", []disturbance{freezeDaemon}},
		{"restarted holder", []disturbance{restartHolder}},
		{"restarted daemons", []disturbance{restartDaemon}},
		{"two holders", []disturbance{cutHolder}},
		{"partitions", []disturbance{partition, heal}},
		{"lost messages", []disturbance{lose}},
		{"all of them", []disturbance{freezeHolder, freezeDaemon, restartHolder, restartDaemon, cutHolder, partition, heal, lose}},
	}
	for _, test := range tests {
		for _, daemons := range []int{7, 60} {
			for _, rate := range []wick.PerSecond{29_000, 504_000} {
				t.Run(fmt.Sprintf("%s/%d daemons/%v", test.name, daemons, rate), func(t *testing.T) {
					highest := 0.0
					for seed := range *seeds {
						m := newModel(seed, daemons, teamsOf(1, rate))
						next := ms(3000)
						for m.now < ms(40_000) {
							m.step()
							if m.now >= next {
								next = m.now.Add(time.Duration(500+m.random.IntN(5000)) * time.Millisecond)
								fault := test.faults[m.random.IntN(len(test.faults))]
								fault(m, m.daemons[m.random.IntN(daemons)], m.now.Add(time.Duration(m.random.IntN(6000))*time.Millisecond))
							}
							for team := range m.teams {
								for sent := 0.0; sent < 3*float64(rate)*modelStep.Seconds(); {
									units := m.drawUnits()
									sent += units
									m.request(m.daemons[m.random.IntN(daemons)], team, units)
								}
							}
						}
						for team := range m.teams {
							highest = max(highest, m.worst(team))
							if w := m.worst(team); w > 1 {
								t.Errorf("seed %d: %s used %.3f of its bound", seed, team, w)
							}
						}
					}
					t.Logf("at most %.3f of the bound", highest)
				})
			}
		}
	}
}

// A lowered limit must hold 3 s after the store has it. Its holder reads it within 2.5 s.
func TestLoweredLimit(t *testing.T) {
	tests := []struct {
		name    string
		daemons int
		load    float64
	}{
		{"7 daemons, at the limit", 7, 1},
		{"7 daemons, over the limit", 7, 3},
		{"60 daemons, at the limit", 60, 1},
		{"60 daemons, over the limit", 60, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newModel(1, test.daemons, teamsOf(1, 504_000))
			for team, a := range m.teams {
				for m.now < ms(30_000) {
					if m.step(); m.now == ms(12_500) {
						m.teams[team] = wick.Allotment{Unit: wick.UnitTokens, Rate: a.Rate / 8, Burst: a.Burst / 8}
					}
					if m.now == ms(13_000) {
						m.used[team] = nil
					}
					for sent := 0.0; sent < test.load*float64(a.Rate)*modelStep.Seconds(); sent += 650 {
						m.request(m.daemons[m.random.IntN(test.daemons)], team, 650)
					}
				}
				if w := m.worst(team); w > 1 {
					t.Errorf("used %.3f of the lower bound", w)
				}
			}
		})
	}
}

func ms(n int) wick.Instant { return wick.Instant(time.Duration(n) * time.Millisecond) }
