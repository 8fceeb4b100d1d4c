package share

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"currantwick"
)

var (
	tokens   = wick.Allotment{Unit: wick.UnitTokens, Rate: 1000, Burst: 1000}
	requests = wick.Allotment{Rate: 10, Burst: 10}
	exact    = Config{Window: 8 * time.Second}
)

// Two sides of a partition got the whole rate each, and a few daemons that restart must
// not lower the limit of a large deployment.
func TestPart(t *testing.T) {
	tests := []struct {
		known, linked int
		want          float64
	}{
		{60, 60, 1},
		{60, 57, 1},
		{60, 56, 56.0 / 60},
		{60, 3, 3.0 / 60},
		{7, 7, 1},
		{7, 6, 6.0 / 7},
		{1, 1, 1},
		{1, 3, 1},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d of %d", test.linked, test.known), func(t *testing.T) {
			h := NewHolder(0, modelLimits)
			h.Tick(0, test.known)
			for i := range test.linked {
				h.Join(0, wick.HostName(fmt.Sprint(i)))
			}
			if got := h.Part(); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, test.want)
			}
			h.Tick(ms(900), test.known)
			if got := h.Part(); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("got %v after 900 ms, want %v", got, test.want)
			}
			if h.Tick(ms(1001), test.known); h.Part() != 0 {
				t.Errorf("got %v for silent daemons, want 0", h.Part())
			}
		})
	}
}

// holderAt returns a holder with one member at the given instant, whose buckets were
// empty at 0.
func holderAt(at wick.Instant, cfg Config) *Holder {
	h := NewHolder(0, cfg)
	for now := wick.Instant(0); now <= at; now = now.Add(100 * time.Millisecond) {
		h.Join(now, "d")
		h.Tick(now, 1)
	}
	return h
}

func TestAnswer(t *testing.T) {
	type ask = wick.AllotmentAsk
	full := ms(3000)
	tests := []struct {
		name string
		// at is the instant of the first ask; the others follow every 100 ms.
		at        wick.Instant
		cfg       Config
		allotment wick.Allotment
		asks      []ask
		// want is the answer to the last ask, and over whether a need did not fit.
		want wick.Units
		over bool
	}{
		{"new holder", 0, exact, tokens, []ask{{Needs: []wick.Units{100}}}, 0, false},
		{"new holder, more than the burst", 0, exact, tokens, []ask{{Needs: []wick.Units{1100}}}, 0, true},
		{"after 500 ms", ms(500), exact, tokens, []ask{{Needs: []wick.Units{499}}}, 499, false},
		{"more than the burst in all", full, exact, tokens, []ask{{Needs: []wick.Units{800, 300, 200}}}, 1000, true},
		{"again after 100 ms", full, exact, tokens, []ask{{Needs: []wick.Units{1000}}, {Needs: []wick.Units{101, 99}}}, 99, true},
		{"ahead of requests", full, exact, tokens, []ask{{Want: 500}}, 140, false},
		{"ahead of requests, half empty", full, exact, tokens, []ask{{Needs: []wick.Units{600}}, {Want: 500}}, 0, false},
		{"ahead of requests, while others hold much", full, exact, tokens, []ask{{Want: 100}, {Held: 100, Want: 150}}, 40, false},
		{"larger than the burst", full, Config{Window: 8 * time.Second, Slack: 1000}, tokens, []ask{{Needs: []wick.Units{1400}}}, 1400, false},
		{"much larger than the burst", full, Config{Window: 8 * time.Second, Slack: 1000}, tokens, []ask{{Needs: []wick.Units{1600}}}, 0, true},
		{"the debt of a large request", full, Config{Window: 8 * time.Second, Slack: 1000}, tokens, []ask{{Needs: []wick.Units{1500}}, {Needs: []wick.Units{1}}}, 0, true},
		{"returned", full, exact, tokens, []ask{{Needs: []wick.Units{1000}}, {Returned: 500, Age: wick.Duration(50 * time.Millisecond), Needs: []wick.Units{590}}}, 590, false},
		{"returned, but full since", full, exact, tokens, []ask{{Needs: []wick.Units{1000}}, {Returned: 500, Age: wick.Duration(time.Second), Needs: []wick.Units{590}}}, 0, true},
		{"requests have no slack", full, modelLimits, requests, []ask{{Needs: slices.Repeat([]wick.Units{1}, 14)}}, 10, true},
		{"no burst", full, exact, wick.Allotment{Rate: 10}, []ask{{Needs: []wick.Units{1, 1}}}, 1, true},
		{"no limit", 0, exact, wick.Allotment{}, []ask{{Needs: []wick.Units{1e9}}}, 1e9, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := holderAt(test.at, test.cfg)
			now := test.at
			var g wick.AllotmentGrant
			for i, a := range test.asks {
				if i > 0 {
					now = now.Add(100 * time.Millisecond)
				}
				a.Team = "t"
				g = h.Answer(now, "d", a, test.allotment)
			}
			if g.Units != test.want || g.Over != test.over {
				t.Errorf("got %d units, over %v; want %d, %v", g.Units, g.Over, test.want, test.over)
			}
			if !g.Over || g.Rate == 0 {
				return
			}
			// What does not fit now fits when the holder says so.
			need := test.asks[len(test.asks)-1].Needs[0]
			if float64(need) > test.allotment.Burst {
				return
			}
			wait := untilRoom(float64(need), g.Room, float64(g.Rate)) + time.Millisecond
			for end := now.Add(wait); now < end; {
				now = min(now.Add(100*time.Millisecond), end)
				h.Join(now, "d")
			}
			if g := h.Answer(now, "d", ask{Team: "t", Needs: []wick.Units{need}}, test.allotment); g.Over {
				t.Errorf("no room after %v, as stated", wait)
			}
		})
	}
}

// After a configuration changed what a team's limit counts, a debt of tokens was a debt of
// as many requests, and tokens that were left paid for requests.
func TestChangedUnit(t *testing.T) {
	slack := Config{Window: 8 * time.Second, Slack: 100_000}
	h := holderAt(ms(3000), slack)
	h.Answer(ms(3000), "d", wick.AllotmentAsk{Team: "t", Needs: []wick.Units{1000, 10_000}}, tokens)
	h.Answer(ms(3000), "d", wick.AllotmentAsk{Team: "t"}, requests)
	for now := ms(3000); now < ms(4000); now = now.Add(100 * time.Millisecond) {
		h.Join(now, "d")
	}
	if g := h.Answer(ms(4000), "d", wick.AllotmentAsk{Team: "t", Needs: []wick.Units{1}}, requests); g.Units != 1 {
		t.Errorf("granted %d requests a second after the change, want 1", g.Units)
	}

	c := NewClient(0, slack)
	c.SetDaemons(1)
	if v, _ := c.Take(ms(1000), "t", tokens, 5000); v.Result != wick.UnitsTaken {
		t.Fatalf("5,000 tokens: %v", v)
	}
	if v, _ := c.Take(ms(2000), "t", requests, 1); v.Result != wick.UnitsTaken {
		t.Errorf("a request without a holder after the change: %v", v)
	}
	c = NewClient(0, slack)
	c.SetHolder(0, ShardOf("t"), true)
	c.Take(ms(1000), "t", tokens, 100)
	c.Asks(ms(1000), ShardOf("t"), 1, true)
	c.Granted(ms(1000), 1, []wick.AllotmentGrant{{Team: "t", Units: 1000}})
	if _, w := c.Take(ms(1100), "t", requests, 1); w == nil {
		t.Error("a request was paid for with tokens")
	}
}

// A holder whose process stood still does not know who takes units from it now.
func TestPausedHolder(t *testing.T) {
	h := holderAt(ms(3000), exact)
	h.Join(ms(8000), "d")
	if g := h.Answer(ms(8000), "d", wick.AllotmentAsk{Team: "t", Needs: []wick.Units{1}}, tokens); g.Units > 0 {
		t.Errorf("granted %d units at once after a pause", g.Units)
	}
}

func TestClient(t *testing.T) {
	const team = wick.TeamName("t")
	// linked is a client with a holder, which was granted 1,000 units at 0 and has used
	// 300 of them.
	linked := func() *Client {
		c := NewClient(-1, exact)
		c.SetDaemons(10)
		c.SetHolder(0, ShardOf(team), true)
		c.Take(0, team, tokens, 300)
		c.Asks(0, ShardOf(team), 1, true)
		c.Granted(0, 1, []wick.AllotmentGrant{{Team: team, Units: 1000}})
		return c
	}
	take := func(c *Client, at wick.Instant, units float64) string {
		v, w := c.Take(at, team, tokens, units)
		if w != nil {
			return "waits"
		}
		return v.Result.String()
	}
	// ask asks for what a request needs, and applies the answer.
	ask := func(c *Client, sent, got wick.Instant, g wick.AllotmentGrant) string {
		_, w := c.Take(sent, team, tokens, 5000)
		c.Asks(sent, ShardOf(team), 2, true)
		g.Team = team
		c.Granted(got, 2, []wick.AllotmentGrant{g})
		return c.Cancel(got, team, w).Result.String()
	}
	// returned is what the next report gives back.
	returned := func(c *Client, at wick.Instant) string {
		for _, a := range c.Asks(at, ShardOf(team), 3, false) {
			return fmt.Sprint(a.Returned)
		}
		return "nothing"
	}
	tests := []struct {
		name string
		do   func(c *Client) string
		want string
	}{
		{"enough units", func(c *Client) string { return take(c, ms(999), 700) }, "taken"},
		{"too few units", func(c *Client) string { return take(c, ms(999), 701) }, "waits"},
		{"expired units, as after a pause", func(c *Client) string { return take(c, ms(1000), 1) }, "waits"},
		{"expired units go back", func(c *Client) string { return returned(c, ms(1000)) }, "700"},
		{"an answer", func(c *Client) string { return ask(c, ms(10), ms(20), wick.AllotmentGrant{Units: 5000}) }, "taken"},
		{"no answer", func(c *Client) string { return ask(c, ms(10), ms(20), wick.AllotmentGrant{}) }, "unknown"},
		{"an answer that comes too late", func(c *Client) string { return ask(c, ms(10), ms(1010), wick.AllotmentGrant{Units: 5000}) }, "unknown"},
		{"a refusal", func(c *Client) string { return ask(c, ms(10), ms(20), wick.AllotmentGrant{Over: true}) }, "exceeded"},
		{"a moment after a refusal", func(c *Client) string {
			ask(c, ms(10), ms(20), wick.AllotmentGrant{Over: true, Room: 700, Rate: 1000})
			return take(c, ms(60), 750)
		}, "exceeded"},
		{"room after a refusal", func(c *Client) string {
			ask(c, ms(10), ms(20), wick.AllotmentGrant{Over: true, Room: 700, Rate: 1000})
			return take(c, ms(80), 750)
		}, "waits"},
		{"a while after a refusal", func(c *Client) string {
			ask(c, ms(10), ms(20), wick.AllotmentGrant{Over: true, Room: -1000, Rate: 1000})
			return take(c, ms(121), 750)
		}, "waits"},
		{"units of a request that did not run", func(c *Client) string {
			c.Give(ms(50), team, 300, 0)
			return returned(c, ms(100))
		}, "300"},
		{"units that another holder granted", func(c *Client) string {
			c.SetHolder(ms(10), ShardOf(team), false)
			c.SetHolder(ms(20), ShardOf(team), true)
			c.Give(ms(50), team, 300, 0)
			return returned(c, ms(1100))
		}, "0"},
		{"units that are left without a holder", func(c *Client) string {
			c.SetHolder(ms(10), ShardOf(team), false)
			return take(c, ms(20), 700)
		}, "taken"},
		{"waiting when the holder is lost", func(c *Client) string {
			_, w := c.Take(ms(10), team, tokens, 5000)
			c.SetHolder(ms(20), ShardOf(team), false)
			return c.Cancel(ms(30), team, w).Result.String()
		}, "unknown"},
		{"own part", func(c *Client) string {
			c.SetHolder(ms(1000), ShardOf(team), false)
			return take(c, ms(1900), 89) // A tenth of 1,000 per second, for 0.9 s.
		}, "taken"},
		{"more than the own part", func(c *Client) string {
			c.SetHolder(ms(1000), ShardOf(team), false)
			return take(c, ms(1900), 91)
		}, "unknown"},
		{"a request larger than the own part", func(c *Client) string {
			c.SetHolder(ms(1000), ShardOf(team), false)
			return take(c, ms(9000), 650)
		}, "unknown"},
		{"an idle team gets nothing ahead", func(c *Client) string {
			returned(c, ms(11_000))
			c.Granted(ms(11_000), 3, []wick.AllotmentGrant{{Team: team}})
			return returned(c, ms(11_100))
		}, "nothing"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.do(linked()); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// A team that is far over its limit, and many such teams, must not fill the log.
func TestNotableRefusals(t *testing.T) {
	c := NewClient(0, exact)
	notable := 0
	for i := range 2000 {
		v, _ := c.Take(ms(i), wick.TeamName(fmt.Sprint(i%100)), tokens, 1e6)
		if v.Notable {
			notable++
		}
	}
	if notable != 2*maxNotable {
		t.Errorf("%d refusals in 2 s deserve a line, want %d", notable, 2*maxNotable)
	}
}
