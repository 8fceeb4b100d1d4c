package procs

import (
	"testing"

	"currantwick"
)

// A daemon was given one port twice and exited at its start.
func TestFreeAddresses(t *testing.T) {
	const draws = 20_000
	ip := Loopback()
	for range draws {
		a := FreeAddresses(t, ip)
		seen := map[wick.Address]bool{a.Callers: true, a.Ready: true, a.Directory: true, a.Peers: true}
		if len(seen) != 4 {
			t.Fatalf("drew %+v, with one address twice", a)
		}
	}
}
