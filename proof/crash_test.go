package proof

import (
	"fmt"
	"testing"

	"currantwick"
	"currantwick/fakes"
)

// TestCrashingRequest retries a request that crashes each engine that runs it,
// while other requests run. After two crashes all daemons must reject it, and no
// other request may fail.
func TestCrashingRequest(t *testing.T) {
	b := startCluster(t, defaultSizes())
	marker := "KILLER"
	for _, e := range b.fakes.Engines {
		b.control(e, fakes.EngineControl{KillMarker: &marker, KillDown: ms(300)})
	}
	others := b.burst(4, 150)
	prompt := "the one with the KILLER word"
	var last *answer
	for turn := range 8 {
		last = b.request(b.anyEntry(turn), routeName(0), prompt, 10)
		t.Logf("attempt %d: %s", turn, last.reason())
		if last.complete {
			t.Fatal("the crashing request was answered")
		}
	}
	if last.fail == nil || last.fail.Code != wick.CodeKilled {
		t.Errorf("the last attempt ended with %s, want %s", last.reason(), wick.CodeKilled)
	}
	crashes := 0
	for _, s := range b.engineStats() {
		crashes += s.Crashes
	}
	if crashes > 2 {
		t.Errorf("%d crashes, want at most 2", crashes)
	}
	t.Logf("%d crashes", crashes)
	if _, incomplete := others.collect(t); incomplete > 0 {
		t.Errorf("%d other requests failed", incomplete)
	}
	for i := range 6 {
		if a := b.request(b.anyEntry(i), routeName(i%4), fmt.Sprintf("innocent %d", i), 5); !a.complete {
			t.Errorf("request %d after the crashes: %s", i, a.reason())
		}
	}
}
