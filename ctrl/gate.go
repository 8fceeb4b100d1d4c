package ctrl

import (
	"sync/atomic"

	"currantwick"
)

// gate lets a traffic goroutine check, right before it acts, that the view of
// a decision is still current. The control thread updates it before any peer or
// caller receives anything about a later view.
type gate struct {
	view atomic.Uint64
}

func (g *gate) setView(v wick.ViewNumber) { g.view.Store(uint64(v)) }

func (g *gate) allows(v wick.ViewNumber) bool { return g.view.Load() == uint64(v) }
