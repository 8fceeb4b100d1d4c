package tally

import (
	"context"
	"fmt"
	"testing"
	"time"

	"currantwick"
	"currantwick/share"
	"currantwick/terms"

	"golang.org/x/sync/errgroup"
)

// sharesClock implements wick.Clock.
type sharesClock struct{ start time.Time }

func (c sharesClock) Now() wick.Instant { return wick.Instant(time.Since(c.start)) }

var sharesLimits = share.Config{Window: 8 * time.Second}

// Requests that arrive at once are answered by one ask, and wait no longer than MaxWait
// for one that is not answered.
func TestSharesWait(t *testing.T) {
	const team, requests = wick.TeamName("t"), 5
	allotment := wick.Allotment{Rate: 10, Burst: 10}
	tests := []struct {
		name string
		// answer is the holder's answer, nil for none.
		answer *wick.AllotmentGrant
		want   [wick.NumAllotmentResults]int
	}{
		{"granted", &wick.AllotmentGrant{Team: team, Units: requests}, [wick.NumAllotmentResults]int{wick.UnitsTaken: requests}},
		{"granted in part", &wick.AllotmentGrant{Team: team, Units: 2, Over: true}, [wick.NumAllotmentResults]int{wick.UnitsTaken: 2, wick.UnitsExceeded: requests - 2}},
		{"no answer", nil, [wick.NumAllotmentResults]int{wick.UnitsUnknown: requests}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := sharesClock{time.Now()}
			asked := make(chan struct{}, requests)
			wait := time.Minute // The answer comes before, however slow the machine is.
			if test.answer == nil {
				wait = 10 * time.Millisecond
			}
			s := NewShares(SharesConfig{Clock: clock, Limits: sharesLimits, MaxWait: wait, Ask: func() { asked <- struct{}{} }})
			s.SetHolder(clock.Now(), share.ShardOf(team), true)
			var group errgroup.Group
			results := make(chan wick.AllotmentResult, requests)
			for range requests {
				group.Go(func() error {
					results <- s.Take(context.Background(), team, allotment, 1).Result
					return nil
				})
			}
			<-asked
			if test.answer != nil {
				for s.State()[0].Waiting < requests {
					time.Sleep(time.Millisecond)
				}
				s.Asks(clock.Now(), share.ShardOf(team), 1, true)
				s.Granted(clock.Now(), 1, []wick.AllotmentGrant{*test.answer})
			}
			if err := group.Wait(); err != nil {
				t.Fatal(err)
			}
			close(results)
			var got [wick.NumAllotmentResults]int
			for r := range results {
				got[r]++
			}
			if got != test.want || len(asked) > 0 {
				t.Errorf("got %v, want %v; %d more asks", got, test.want, len(asked))
			}
		})
	}
}

// benchShares returns shares in which each of n teams has got the given answer.
func benchShares(n int, g wick.AllotmentGrant) (*Shares, []wick.TeamName) {
	s := NewShares(SharesConfig{Clock: fixedSharesClock{}, Limits: sharesLimits, Ask: func() {}})
	for sh := range wick.Shard(terms.Shards) {
		s.SetHolder(0, sh, true)
	}
	teams := make([]wick.TeamName, n)
	for i := range teams {
		teams[i] = wick.TeamName(fmt.Sprintf("team-%d", i))
		s.client.Take(0, teams[i], benchAllotment, 1)
		s.Asks(0, share.ShardOf(teams[i]), uint64(i+1), true)
		g.Team = teams[i]
		s.Granted(0, uint64(i+1), []wick.AllotmentGrant{g})
	}
	return s, teams
}

var benchAllotment = wick.Allotment{Unit: wick.UnitTokens, Rate: 29_000, Burst: 29_000}

// BenchmarkSharesTake is the check of a request whose daemon has the units, or whose team
// was refused a moment ago.
func BenchmarkSharesTake(b *testing.B) {
	granted, refused := wick.AllotmentGrant{Units: 1 << 50}, wick.AllotmentGrant{Over: true, Room: -1}
	tests := []struct {
		name  string
		teams int
		grant wick.AllotmentGrant
	}{{"1 team", 1, granted}, {"16 teams", 16, granted}, {"10000 teams", 10_000, granted}, {"10000 teams, refused", 10_000, refused}}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			s, teams := benchShares(test.teams, test.grant)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Take(context.Background(), teams[i%len(teams)], benchAllotment, 650)
			}
		})
	}
}

// fixedSharesClock implements wick.Clock.
type fixedSharesClock struct{}

func (fixedSharesClock) Now() wick.Instant { return 0 }

// BenchmarkSharesAsks is what the control thread does for the regular reports of a daemon
// with many teams of which none needs anything.
func BenchmarkSharesAsks(b *testing.B) {
	for _, n := range []int{1, 16, 10_000} {
		b.Run(fmt.Sprintf("%d teams", n), func(b *testing.B) {
			s, _ := benchShares(n, wick.AllotmentGrant{Units: 1 << 20})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				for sh := range wick.Shard(terms.Shards) {
					s.Asks(0, sh, uint64(n+i+1), false)
				}
			}
		})
	}
}
