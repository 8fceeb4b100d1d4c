package fakes

import (
	"time"

	"currantwick"
)

// EngineControl sets faults of an engine. Fields that are not set change
// nothing.
type EngineControl struct {
	// CrashFor drops all connections and brings the engine back cold after
	// the time.
	CrashFor wick.Duration `json:"CrashFor,omitempty"`
	// FreezeFor stops the engine for the time, its connections open.
	FreezeFor wick.Duration `json:"FreezeFor,omitempty"`
	// Silence makes all open connections silent for good.
	Silence bool `json:"Silence,omitempty"`
	// LoseAnswers loses the answers to the next orders that take effect.
	LoseAnswers *int `json:"LoseAnswers,omitempty"`
	// DelayOrders holds each order back before the engine looks at it.
	DelayOrders *wick.Duration `json:"DelayOrders,omitempty"`
	// FailLoads fails the next loads.
	FailLoads *int `json:"FailLoads,omitempty"`
	// KillMarker crashes the engine for KillDown when a request whose prompt
	// contains it enters the batch; empty for none.
	KillMarker *string       `json:"KillMarker,omitempty"`
	KillDown   wick.Duration `json:"KillDown,omitempty"`
	// Slow multiplies the time of each step; positive.
	Slow float64 `json:"Slow,omitempty"`
}

// faults are the faults in force.
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
		e.gate.silence()
	}
	if c.FreezeFor > 0 {
		e.gate.freeze(c.FreezeFor.Std())
	}
	if c.CrashFor > 0 {
		e.crash(c.CrashFor.Std())
	}
}
