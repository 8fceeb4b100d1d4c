package proof

import (
	"fmt"
	"testing"

	"currantwick"
	"currantwick/fakes"
)

// TestKillerRequest sends a request that crashes each engine that runs it,
// again and again, beside innocent ones. It must be stopped everywhere after
// two crashes, and no innocent one may be.
func TestKillerRequest(t *testing.T) {
	b := startBench(t, defaultSizes())
	marker := "KILLER"
	for _, e := range b.fakes.Engines {
		b.control(e, fakes.EngineControl{KillMarker: &marker, KillDown: ms(300)})
	}
	innocent := b.burst(4, 150)
	prompt := "the one with the KILLER word"
	var last *answer
	for turn := range 8 {
		last = b.ask(b.anyEntry(turn), routeName(0), prompt, 10)
		t.Logf("try %d: %s", turn, last.why())
		if last.whole {
			t.Fatal("the killer was answered")
		}
	}
	if last.fail == nil || last.fail.Code != wick.CodeKilled {
		t.Errorf("the last try ended with %s, want %s", last.why(), wick.CodeKilled)
	}
	crashes := 0
	for _, s := range b.engineStats() {
		crashes += s.Crashes
	}
	if crashes > 2 {
		t.Errorf("%d crashes, want at most 2", crashes)
	}
	t.Logf("%d crashes", crashes)
	if _, broken := innocent.tally(t); broken > 0 {
		t.Errorf("%d innocent requests failed", broken)
	}
	for i := range 6 {
		if a := b.ask(b.anyEntry(i), routeName(i%4), fmt.Sprintf("innocent %d", i), 5); !a.whole {
			t.Errorf("innocent %d afterwards: %s", i, a.why())
		}
	}
}
