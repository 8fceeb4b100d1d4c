package proof

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"currantwick"
	"currantwick/fault"
)

// TestKilledDaemon kills a daemon under load. What runs through the others
// must be whole, and they must serve all again.
func TestKilledDaemon(t *testing.T) {
	b := startBench(t, defaultSizes())
	killed := b.owner(0)
	rest := b.others(killed)
	long := &crowd{}
	for i := range 12 {
		long.wg.Go(func() {
			r := i % b.sizes.adapters
			prompt := fmt.Sprintf("long %d want:%s now", i, ref(r))
			long.add(b.ask(rest[i%2].entry, routeName(r), prompt, 400))
		})
	}
	steady, stop := b.steady(4, 20, func(i int) wick.Address { return rest[i%2].entry })
	eventually(t, "the engines work", func() bool { return total(b.engineStats()) > 30 })
	killed.signal(syscall.SIGKILL)
	eventually(t, "the others name it no more", func() bool { return len(b.entries(rest[0].entry).Entries) == 2 })
	before := total(b.engineStats())
	eventually(t, "all is served again", func() bool { return total(b.engineStats()) > before+100 })
	stop()
	for _, c := range []*crowd{long, steady} {
		if _, broken := c.tally(t); broken > 0 {
			t.Errorf("%d requests through the others failed", broken)
		}
	}
	if most := steady.slowest(); most > takeoverBound {
		t.Errorf("a request took %v, want at most %v", most, takeoverBound)
	}
}

// takeoverBound is how soon the endpoints of a killed daemon are served again.
const takeoverBound = 5 * time.Second

// TestLeaseComesBack cuts daemons off from each other and from the log for
// longer than a lease. With the log still down the same view must serve again.
func TestLeaseComesBack(t *testing.T) {
	b := startBench(t, defaultSizes())
	peers := b.links("peer", len(b.daemons))
	b.control(b.proxy.Control, fault.Control{Links: []fault.LinkName{"log"}, Mode: fault.Cut})
	b.control(b.proxy.Control, fault.Control{Links: peers, Mode: fault.Blackhole})
	wait(4 * time.Second)
	b.control(b.proxy.Control, fault.Control{Links: peers, Mode: fault.Pass})
	start := time.Now()
	for i, d := range b.daemons {
		for r := range b.sizes.adapters {
			eventually(t, fmt.Sprintf("%s serves route %d", d.host, r), func() bool {
				return b.ask(d.entry, routeName(r), fmt.Sprintf("after %d %d", i, r), 5).whole
			})
		}
	}
	t.Logf("all routes served through all entries %v after the links were back", time.Since(start).Round(time.Millisecond))
}
