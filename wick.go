// Package wick holds the domain of currantwick: ids and units as named types,
// the objects operators publish, the messages daemons exchange, the typed
// outcomes callers see, and the ports behind which behaviour varies.
//
// The package does no I/O, starts no goroutine and reads no clock. Decisions
// live in packages below it (config, lease, claim, route, place, sched,
// limit, eject, crash), the one control thread of a daemon in ctrl, and everything that
// talks to the outside in adapter packages.
package wick

// Checker is a value that can tell whether its own invariants hold. Every wire
// type implements it, and package codec calls Check on all it decodes.
type Checker interface {
	Check() error
}
