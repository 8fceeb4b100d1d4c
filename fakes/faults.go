package fakes

import (
	"time"

	"currantwick"
)

// EngineControl sets faults of an engine. Fields that are not set change
// nothing.
type EngineControl struct {
	// CrashFor drops all connections and all state, and restarts the engine
	// after this time.
	CrashFor wick.Duration `json:"CrashFor,omitempty"`
	// FreezeFor stops the engine for this time with its connections open.
	FreezeFor wick.Duration `json:"FreezeFor,omitempty"`
	// Silence makes all open connections permanently silent.
	Silence bool `json:"Silence,omitempty"`
	// LoseAnswers is how many of the next answers to successful orders are
	// lost.
	LoseAnswers *int `json:"LoseAnswers,omitempty"`
	// DelayOrders delays each order before the engine processes it.
	DelayOrders *wick.Duration `json:"DelayOrders,omitempty"`
	// FailLoads is how many of the next loads fail.
	FailLoads *int `json:"FailLoads,omitempty"`
	// KillMarker crashes the engine for KillDown when a request whose prompt
	// contains the marker enters the batch; empty for none.
	KillMarker *string       `json:"KillMarker,omitempty"`
	KillDown   wick.Duration `json:"KillDown,omitempty"`
	// Slow is a factor on the duration of each step; positive.
	Slow float64 `json:"Slow,omitempty"`
}

// faults holds the active faults of an engine.
type faults struct {
	loseAnswers int
	failLoads   int
	delayOrders time.Duration
	killMarker  string
	killDown    time.Duration
	slow        float64
}

// Control sets faults.
func (e *Engine) Control(c EngineControl) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.LoseAnswers != nil {
		e.faults.loseAnswers = *c.LoseAnswers
	}
	if c.FailLoads != nil {
		e.faults.failLoads = *c.FailLoads
	}
	if c.DelayOrders != nil {
		e.faults.delayOrders = c.DelayOrders.Std()
	}
	if c.KillMarker != nil {
		e.faults.killMarker = *c.KillMarker
	}
	if c.KillDown > 0 {
		e.faults.killDown = c.KillDown.Std()
	}
	if c.Slow > 0 {
		e.faults.slow = c.Slow
	}
	if c.Silence {
		e.server.silence()
	}
	if c.FreezeFor > 0 {
		e.server.freeze(c.FreezeFor.Std())
	}
	if c.CrashFor > 0 {
		e.crash(c.CrashFor.Std())
	}
}
