package ctrl

import (
	"sync/atomic"

	"currantwick"
)

// gate closes the time between a decision of the control thread and its
// execution on a traffic goroutine: what was decided under an older view is no
// longer carried out once the daemon has told anybody of a later one.
type gate struct {
	view atomic.Uint64
}

func (g *gate) move(v wick.ViewNumber) { g.view.Store(uint64(v)) }

func (g *gate) open(v wick.ViewNumber) bool { return g.view.Load() == uint64(v) }
