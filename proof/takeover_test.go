package proof

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"currantwick"
	"currantwick/fault"
)

// TestKilledDaemon kills a daemon under load. Answers through the other daemons
// must be complete, and those must take over its endpoints in time.
func TestKilledDaemon(t *testing.T) {
	b := startCluster(t, defaultSizes())
	killed := b.owner(0)
	rest := b.others(killed)
	long := &callerGroup{}
	for i := range 12 {
		long.wg.Go(func() {
			r := i % b.sizes.adapters
			prompt := fmt.Sprintf("long %d want:%s now", i, ref(r))
			long.add(b.request(rest[i%2].entry, routeName(r), prompt, 400))
		})
	}
	steady, stop := b.steady(4, 20, func(i int) wick.Address { return rest[i%2].entry })
	eventually(t, "the engines run requests", func() bool { return totalRuns(b.engineStats()) > 30 })
	killed.signal(syscall.SIGKILL)
	eventually(t, "the others no longer list the daemon", func() bool { return len(b.entries(rest[0].entry).Entries) == 2 })
	before := totalRuns(b.engineStats())
	eventually(t, "requests are served again", func() bool { return totalRuns(b.engineStats()) > before+100 })
	stop()
	for _, c := range []*callerGroup{long, steady} {
		if _, incomplete := c.collect(t); incomplete > 0 {
			t.Errorf("%d requests through the others failed", incomplete)
		}
	}
	if most := steady.slowest(); most > maxLatencyInTakeover {
		t.Errorf("a request took %v, want at most %v", most, maxLatencyInTakeover)
	}
}

// maxLatencyInTakeover is how long a request may take while the endpoints of a
// killed daemon are taken over.
const maxLatencyInTakeover = 5 * time.Second

// TestLeaseComesBack cuts daemons off from each other and from the log for longer
// than a lease. When only the links between daemons are back, the same view must
// serve again without the log.
func TestLeaseComesBack(t *testing.T) {
	b := startCluster(t, defaultSizes())
	peers := b.links("peer", len(b.daemons))
	b.control(b.proxy.Control, fault.Control{Links: []fault.LinkName{"log"}, Mode: fault.Cut})
	b.control(b.proxy.Control, fault.Control{Links: peers, Mode: fault.Blackhole})
	sleep(4 * time.Second)
	b.control(b.proxy.Control, fault.Control{Links: peers, Mode: fault.Pass})
	start := time.Now()
	for i, d := range b.daemons {
		for r := range b.sizes.adapters {
			eventually(t, fmt.Sprintf("%s serves route %d", d.host, r), func() bool {
				return b.request(d.entry, routeName(r), fmt.Sprintf("after %d %d", i, r), 5).complete
			})
		}
	}
	t.Logf("all routes served through all entries %v after the links were back", time.Since(start).Round(time.Millisecond))
}
