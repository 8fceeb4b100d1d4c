// Package soak tests gateway daemons against fakes of the platform's store and
// runners, which speak its protocol, simulate its faults, and record violated
// guarantees. TestSoak is randomized: it runs daemons as separate processes,
// injects faults from outside them, and checks what callers and runners see.
// The package contains tests only.
package soak
