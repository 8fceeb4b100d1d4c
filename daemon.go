package wick

import (
	"errors"
	"fmt"
	"net/netip"
)

// Daemon is the startup configuration of a daemon: its own identity and
// addresses, and the limits of the platform that it runs on.
type Daemon struct {
	Host   HostName
	Domain Domain
	// Callers, Ready and Directory are the addresses to listen on for requests,
	// for the platform's readiness probes, and for queries of the addresses
	// that callers should use. Ready and Directory may be empty.
	Callers, Ready, Directory Address
	// Peers is the address to listen on for other daemons.
	Peers Address
	// Seeds are addresses of other daemons to contact. They may be stale.
	Seeds []Address
	// Store is the address of the platform's store.
	Store Address
	// Cores and Memory limit the resources of the process.
	Cores  int
	Memory Bytes
	// Power is the relative capacity of the machine; positive.
	Power  Power
	Bounds Bounds
}

// Bounds are the durations and limits that the platform's operators set.
type Bounds struct {
	// Lease is the minimum time between the orders of two successive holders to
	// one endpoint.
	Lease Duration
	// Fenced is set if endpoints refuse orders with an old fencing token.
	Fenced bool
	// Grace is the time between the stop signal and the kill.
	Grace Duration
	// Revision is the time within which a new adapter version must be in use.
	Revision Duration
	// RetryRatio and RetrySlack limit the retries of all daemons together: a
	// ratio of the requests, plus a constant.
	RetryRatio float64
	RetrySlack int
	// EntriesTTL is the longest time for which callers may cache the list of
	// addresses to use.
	EntriesTTL Duration
}

// Check returns an error that joins the violations of all fields.
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
