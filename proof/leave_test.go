package proof

import (
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
)

// leaveWithin is the time after which a leaving endpoint must get no new
// requests.
const leaveWithin = 3 * time.Second

// TestLeavingGetsNoWork marks an endpoint as leaving under load. After 3 s no new
// request may run on it, while the others continue.
func TestLeavingGetsNoWork(t *testing.T) {
	tests := []struct {
		name  string
		leave func(b *cluster, i int)
	}{
		{"by the list of hosts", func(b *cluster, i int) {
			b.control(b.fakes.Hosts, fakes.HostsControl{Set: []wick.HostStatus{
				{Host: b.objects.Endpoints[i].Host, State: wick.HostLeaving},
			}})
		}},
		{"by configuration", func(b *cluster, i int) {
			e := b.objects.Endpoints[i]
			e.Leaving = true
			b.publish(wick.Objects{Endpoints: []wick.Endpoint{e}})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			z := defaultSizes()
			z.hostLag = ms(1000)
			b := startCluster(t, z)
			c, stop := b.steady(12, 10, b.anyEntry)
			eventually(t, "the engines run requests", func() bool { return totalRuns(b.engineStats()) > 100 })
			i := busiest(b.engineStats())
			test.leave(b, i)
			sleep(leaveWithin)
			before := b.engineStats()
			eventually(t, "the others run further requests", func() bool {
				return totalRuns(b.engineStats()) > totalRuns(before)+200
			})
			after := b.engineStats()
			stop()
			if _, incomplete := c.collect(t); incomplete > 0 {
				t.Errorf("%d requests failed", incomplete)
			}
			if fresh := runs(after[i]) - runs(before[i]); fresh > 0 {
				t.Errorf("%d requests ran on the leaving endpoint after %v", fresh, leaveWithin)
			}
			t.Logf("the leaving endpoint had run %d requests; afterwards the others ran %d", runs(before[i]), totalRuns(after)-totalRuns(before))
		})
	}
}

// sleep pauses the test for d.
func sleep(d time.Duration) { <-time.After(d) }

func runs(s fakes.EngineStats) int {
	n := 0
	for _, r := range s.Runs {
		n += r
	}
	return n
}

func totalRuns(all []fakes.EngineStats) int {
	n := 0
	for _, s := range all {
		n += runs(s)
	}
	return n
}

// busiest returns the engine that ran the most requests.
func busiest(all []fakes.EngineStats) int {
	best := 0
	for i, s := range all {
		if runs(s) > runs(all[best]) {
			best = i
		}
	}
	return best
}
