package share

import (
	"fmt"
	"testing"
	"time"

	"currantwick"
)

// ideal is the token bucket that all daemons together stand for.
type ideal struct {
	level float64
	at    wick.Instant
}

func (b *ideal) take(now wick.Instant, a wick.Allotment, units float64) bool {
	b.level = min(b.level+float64(a.Rate)*now.Sub(b.at).Seconds(), a.Burst)
	b.at = now
	if units > b.level {
		return false
	}
	b.level -= units
	return true
}

// A team that stays under its limit must not be refused, wherever its requests arrive.
// The callers of the test send a request only if one bucket for all daemons has room.
func TestNoFalseRefusals(t *testing.T) {
	const start = 3 * time.Second
	steady := func(time.Duration) float64 { return 0.9 }
	anywhere := func(m *model, _ time.Duration) int { return m.random.IntN(len(m.daemons)) }
	tests := []struct {
		name  string
		teams int
		rates []wick.PerSecond
		// load is the part of the limit that is sent some time after the start, and
		// where picks the daemon.
		load  func(time.Duration) float64
		where func(*model, time.Duration) int
	}{
		{"one daemon", 1, []wick.PerSecond{29_000}, steady, func(*model, time.Duration) int { return 7 }},
		{"one daemon, large team", 1, []wick.PerSecond{504_000}, steady, func(*model, time.Duration) int { return 7 }},
		{"all daemons", 1, []wick.PerSecond{29_000}, steady, anywhere},
		{"all daemons, large team", 1, []wick.PerSecond{504_000}, steady, anywhere},
		{"a request to each daemon at once", 1, []wick.PerSecond{40_000}, func(at time.Duration) float64 {
			if at%(3*time.Second) == 0 {
				return 180 // 60 requests or more in one step.
			}
			return 0
		}, func(m *model, _ time.Duration) int { return m.taken % len(m.daemons) }},
		{"from one domain to another", 1, []wick.PerSecond{29_000}, steady, func(m *model, at time.Duration) int {
			return int(at/(3*time.Second))%3*20 + m.random.IntN(20)
		}},
		{"seven times the usual load", 1, []wick.PerSecond{29_000}, func(at time.Duration) float64 {
			if at%(6*time.Second) < 3*time.Second {
				return 0.13
			}
			return 0.91
		}, anywhere},
		{"sixteen teams", 16, []wick.PerSecond{29_000, 40_000, 60_000, 504_000}, steady, anywhere},
	}
	for _, test := range tests {
		for _, large := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/large requests %v", test.name, large), func(t *testing.T) {
				for seed := range *seeds {
					m := newModel(seed, 60, teamsOf(test.teams, test.rates...))
					buckets := make(map[wick.TeamName]*ideal)
					for team, a := range m.teams {
						buckets[team] = &ideal{level: a.Burst}
					}
					for m.now < wick.Instant(start+20*time.Second) {
						m.step()
						at := m.now.Sub(wick.Instant(start))
						if at < 0 {
							continue
						}
						for _, team := range m.names {
							a := m.teams[team]
							// A step sends requests until their expected sum is reached.
							for most := test.load(at) * float64(a.Rate) * modelStep.Seconds(); most > 0; {
								units := 650.0
								if large {
									units = m.drawUnits()
								}
								if most < units && m.random.Float64() > most/units {
									break
								}
								most -= units
								if buckets[team].take(m.now, a, units) {
									m.request(m.daemons[test.where(m, at)], team, units)
								}
							}
						}
					}
					if m.refused != [wick.NumAllotmentResults]int{} || m.taken < 100 {
						t.Errorf("seed %d: %d requests got units, %d were refused as over the limit and %d for want of an answer", seed, m.taken, m.refused[wick.UnitsExceeded], m.refused[wick.UnitsUnknown])
					}
				}
			})
		}
	}
}

// The empty buckets of a new holder do not show that a team is over its limit.
func TestNewHolder(t *testing.T) {
	tests := []struct {
		name string
		rate wick.PerSecond
		load float64
	}{
		{"small team", 29_000, 0.5},
		{"large team", 504_000, 0.5},
		{"large team near its limit", 504_000, 0.9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newModel(1, 60, teamsOf(1, test.rate))
			due := 0.0
			for m.now < ms(16_000) {
				if m.step(); m.now == ms(4000) || m.now == ms(9000) {
					m.restart(m.term)
				}
				if m.now < ms(2000) {
					continue
				}
				for due += test.load * float64(test.rate) * modelStep.Seconds(); due > 650; due -= 650 {
					m.request(m.daemons[m.random.IntN(60)], m.names[0], 650)
				}
			}
			if m.refused[wick.UnitsExceeded] > 0 {
				t.Errorf("%d of %d requests were refused as over the limit", m.refused[wick.UnitsExceeded], m.taken)
			}
			t.Logf("%d requests got units, %d found no holder that granted them in time", m.taken, m.refused[wick.UnitsUnknown])
		})
	}
}
