package proof

import (
	"fmt"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
)

// TestDomainLost kills all daemons and engines of a failure domain at once,
// under load. The remaining daemons must act for every endpoint, and the remaining
// engines must serve every adapter.
func TestDomainLost(t *testing.T) {
	z := sevenDaemons()
	z.engines, z.services = 6, 2
	b := startCluster(t, z)
	w := b.watch()
	w.waitOwned(daemonsExcept(7)...)
	var dead []int
	for i := range z.daemons {
		if domainOf(i) == domainOf(w.owner("service-1")) {
			dead = append(dead, i)
		}
	}
	left := daemonsExcept(z.daemons, dead...)
	living := func(i int) wick.Address { return b.daemons[left[i%len(left)]].entry }
	load, stop := b.steady(8, 20, living)
	eventually(t, "the engines run requests", func() bool { return totalRuns(b.engineStats()) > 30 })
	for _, i := range dead {
		b.daemons[i].kill()
	}
	for i := range z.engines {
		if domainOf(i) == domainOf(dead[0]) {
			b.control(b.fakes.Engines[i], fakes.EngineControl{CrashFor: wick.Duration(time.Minute)})
		}
	}
	start := time.Now()
	took := w.waitOwned(left...)
	t.Logf("%d daemons lost", len(dead))
	t.Logf("all endpoints have owners again %v after the loss", took)
	if took > takeoverTimeout {
		t.Errorf("took %v, want at most %v", took, takeoverTimeout)
	}
	for r := range z.adapters {
		prompt := fmt.Sprintf("after the loss want:%s now", ref(r))
		a := b.request(living(r), routeName(r), prompt, 10)
		a.check(t, ref(r))
		if !a.complete {
			t.Errorf("route %d: %s", r, a.reason())
		}
	}
	t.Logf("all adapters served %v after the loss", time.Since(start))
	stop()
	_, incomplete := load.collect(t)
	if incomplete > 0 {
		t.Errorf("%d answers through the remaining entries were not completed", incomplete)
	}
	w.report()
}
