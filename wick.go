// Package wick defines the domain types of currantwick: named types for ids and
// units, the configuration objects that operators publish, the messages that
// daemons exchange, the errors that callers see, and the interfaces (ports)
// that the packages below it implement.
//
// The package does no I/O, starts no goroutine and reads no clock. Decision
// logic is in packages below it (config, lease, claim, route, place, sched,
// limit, eject, crash), the single control thread of a daemon in ctrl, and all
// I/O in adapter packages.
package wick

// Checker is a value that validates its own invariants. Every wire type
// implements it, and package codec calls Check on each value that it decodes.
type Checker interface {
	Check() error
}
