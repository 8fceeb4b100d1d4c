package wick

import (
	"errors"
	"fmt"
	"net/netip"
)

// Daemon says what one daemon is told at its start about itself and about the
// platform that it runs on.
type Daemon struct {
	Host   HostName
	Domain Domain
	// Callers, Ready and Directory are the addresses to listen on: for
	// requests, for the platform's question whether the daemon is ready, and
	// for the question which addresses to use. Ready and Directory may be empty.
	Callers, Ready, Directory Address
	// Peers is the address to listen on for other daemons.
	Peers Address
	// Seeds are addresses at which other daemons may be reached. They may be
	// stale.
	Seeds []Address
	// Store is the address of the platform's store.
	Store Address
	// Cores and Memory bound what the process may use.
	Cores  int
	Memory Bytes
	// Power compares the machine with others; positive.
	Power  Power
	Bounds Bounds
}

// Bounds are the times and limits that the platform's operators set.
type Bounds struct {
	// Lease is the least time between orders of two holders to one endpoint.
	Lease Duration
	// Fenced tells that endpoints refuse orders with an old fencing token.
	Fenced bool
	// Grace is the time between the request to stop and the kill.
	Grace Duration
	// Revision is the time in which a new adapter version is used.
	Revision Duration
	// RetryRatio and RetrySlack bound the sends beyond the first of each
	// request over all daemons: a part of the requests, and a number more.
	RetryRatio float64
	RetrySlack int
	// EntriesTTL is the longest time for which callers keep an answer about
	// which addresses to use.
	EntriesTTL Duration
}

// Check reports every field that breaks an invariant.
func (d Daemon) Check() error {
	var errs []error
	add := func(field string, err error) {
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", field, err))
		}
	}
	add("Host", d.Host.Check())
	add("Domain", d.Domain.Check())
	add("Callers", d.Callers.Check())
	add("Peers", d.Peers.Check())
	add("Store", d.Store.Check())
	for _, a := range []Address{d.Ready, d.Directory} {
		if a != "" {
			add("Listen", a.Check())
		}
	}
	for _, a := range d.Seeds {
		add("Seeds", a.Check())
	}
	if d.Cores < 1 {
		errs = append(errs, badField("Cores", "must be at least 1, not %d", d.Cores))
	}
	if d.Power <= 0 {
		errs = append(errs, badField("Power", "must be positive, not %v", d.Power))
	}
	if d.Memory <= 0 {
		errs = append(errs, badField("Memory", "must be positive, not %d bytes", d.Memory))
	}
	errs = append(errs, d.Bounds.check()...)
	return errors.Join(errs...)
}

func (b Bounds) check() []error {
	var errs []error
	times := []struct {
		field string
		value Duration
	}{
		{"Lease", b.Lease},
		{"Grace", b.Grace},
		{"Revision", b.Revision},
		{"EntriesTTL", b.EntriesTTL},
	}
	for _, t := range times {
		if t.value <= 0 {
			errs = append(errs, badField("Bounds."+t.field, "must be positive, not %v", t.value))
		}
	}
	if b.RetryRatio < 0 || b.RetrySlack < 0 {
		errs = append(errs, badField("Bounds.RetryRatio, RetrySlack", "must not be negative"))
	}
	return errs
}

// IP returns the address without its port.
func (a Address) IP() (netip.Addr, error) {
	ap, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return netip.Addr{}, fmt.Errorf("address %q: want IP:port", string(a))
	}
	return ap.Addr(), nil
}
