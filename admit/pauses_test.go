package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantwick"
)

var endpoint = wick.EndpointStart{Endpoint: "e", Started: 1}

func ms(n int) wick.Instant { return wick.Instant(time.Duration(n) * time.Millisecond) }

func TestPauses(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name string
		do   func(p *Pauses)
		at   wick.Instant
		// until is the end of the pause in force, share the share of requests.
		until wick.Instant
		share float64
	}{
		{"none", func(*Pauses) {}, 0, 0, 1},
		{"a pause", func(p *Pauses) { p.Pause(0, endpoint, second) }, ms(999), ms(1000), 0},
		{"a longer one later", func(p *Pauses) {
			p.Pause(0, endpoint, second)
			p.Pause(ms(500), endpoint, second)
		}, ms(1200), ms(1500), 0},
		{"a shorter one later", func(p *Pauses) {
			p.Pause(0, endpoint, 2*second)
			p.Pause(ms(500), endpoint, second/10)
		}, ms(1900), ms(2000), 0},
		{"its end", func(p *Pauses) { p.Pause(0, endpoint, second) }, ms(1000), 0, minShare},
		{"half of the way back", func(p *Pauses) { p.Pause(0, endpoint, second) }, ms(1250), 0, 0.5},
		{"all of it back", func(p *Pauses) { p.Pause(0, endpoint, second) }, ms(1500), 0, 1},
		{"a new start of the endpoint", func(p *Pauses) {
			p.Pause(0, wick.EndpointStart{Endpoint: "e", Started: 2}, second)
		}, ms(10), 0, 1},
		{"a pause without end", func(p *Pauses) { p.Pause(0, endpoint, time.Hour) }, ms(29_000), ms(30_000), 0},
		{"no time", func(p *Pauses) { p.Pause(0, endpoint, 0) }, 0, 0, 1},
		{"a negative time", func(p *Pauses) { p.Pause(0, endpoint, -second) }, 0, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p Pauses
			test.do(&p)
			if until, share := p.Until(test.at, endpoint), p.Share(test.at, endpoint); until != test.until || share != test.share {
				t.Errorf("until %v, share %v; want %v, %v", until, share, test.until, test.share)
			}
		})
	}
}

func TestPausesAreBounded(t *testing.T) {
	var p Pauses
	for n := range 3 * maxPauses {
		p.Pause(ms(n), wick.EndpointStart{Endpoint: wick.EndpointName(fmt.Sprint(n)), Started: 1}, time.Minute)
	}
	if len(p.byStart) > maxPauses {
		t.Errorf("%d pauses, want at most %d", len(p.byStart), maxPauses)
	}
}

// An endpoint that is asked by many daemons and pauses each of them, all at once or by
// turns, gets no request of a daemon in its pause, and not all of them at its end.
func TestPausesOfManyDaemons(t *testing.T) {
	tests := []struct {
		name    string
		daemons int
		// perSecond is the rate of all daemons, and turn the time after which the
		// endpoint pauses the next daemon.
		perSecond int
		turn      time.Duration
	}{
		{"one daemon", 1, 200, 0},
		{"two daemons", 2, 200, 0},
		{"195 daemons", 195, 2000, 0},
		{"195 daemons by turns", 195, 2000, 10 * time.Millisecond},
	}
	const pause = time.Second
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tables, paused := make([]Pauses, test.daemons), make([]wick.Instant, test.daemons)
			for d := range tables {
				paused[d] = wick.Instant(time.Duration(d) * test.turn)
			}
			random := rand.New(rand.NewPCG(1, 2))
			early, inRamp, usual := 0, 0, 0
			step := time.Second / time.Duration(test.perSecond)
			for n := range 4 * test.perSecond {
				now, d := wick.Instant(time.Duration(n)*step), n%test.daemons
				if now < paused[d] {
					continue
				}
				tables[d].Pause(paused[d], endpoint, pause)
				since := now.Sub(paused[d])
				draw := random.Float64()
				send := tables[d].Share(now, endpoint) > draw
				switch {
				case since < pause:
					if send {
						early++
					}
				case since < pause+pause/2:
					usual++
					if send {
						inRamp++
					}
				}
			}
			if early > 0 {
				t.Errorf("%d requests in a pause", early)
			}
			if share := float64(inRamp) / float64(usual); share < 0.25 || share > 0.75 {
				t.Errorf("%.2f of the usual requests within half a second after the pause, want about half", share)
			}
		})
	}
}
