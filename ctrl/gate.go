package ctrl

import (
	"sync/atomic"

	"currantwick"
)

// gate covers the gap between a decision of the control thread and its
// execution on a traffic goroutine: a decision made under an older view is no
// longer carried out once the daemon has told any peer or caller about a later
// view.
type gate struct {
	view atomic.Uint64
}

func (g *gate) setView(v wick.ViewNumber) { g.view.Store(uint64(v)) }

func (g *gate) allows(v wick.ViewNumber) bool { return g.view.Load() == uint64(v) }
