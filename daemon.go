package wick

import (
	"errors"
	"fmt"
	"net/netip"
)

// DaemonConfig is the startup configuration of a daemon: its own identity and
// addresses, and the limits of the platform that it runs on.
type DaemonConfig struct {
	Host   HostName
	Domain Domain
	// CallerAddress, ReadyAddress and DirectoryAddress are the addresses to listen
	// on for requests, for the platform's readiness probes, and for queries of the
	// addresses that callers should use. ReadyAddress and DirectoryAddress may be
	// empty.
	CallerAddress, ReadyAddress, DirectoryAddress Address
	// PeerAddress is the address to listen on for other daemons.
	PeerAddress Address
	// Seeds are addresses of other daemons to contact. They may be stale.
	Seeds []Address
	// StoreAddress is the address of the platform's store.
	StoreAddress Address
	// Cores and Memory limit the resources of the process.
	Cores  int
	Memory Bytes
	// Descriptors is the number of descriptors that the process may open; 0 if only the
	// limit of the operating system holds.
	Descriptors int
	// Capacity is the relative capacity of the machine; positive.
	Capacity Capacity
	Bounds   Bounds
}

// Bounds are the durations and limits that the platform's operators set.
type Bounds struct {
	// Lease is the minimum time between the orders of two successive holders to
	// one endpoint.
	Lease Duration
	// RequireFencing is set if endpoints refuse orders with an old fencing token.
	RequireFencing bool
	// Grace is the time between the stop signal and the kill.
	Grace Duration
	// RevisionDeadline is the time within which a new adapter version must be in use.
	RevisionDeadline Duration
	// ChangeDeadline is the time within which a change at the store must be in use
	// on every daemon.
	ChangeDeadline Duration
	// Heartbeat is how often an endpoint renews its entry in the store, which removes
	// it after three heartbeats of silence. 0 if it is not known.
	Heartbeat Duration
	// RetryRatio and RetrySlack limit the retries of all daemons together: in
	// each window of time in which the platform counts them, they must not exceed
	// RetryRatio times the requests plus RetrySlack.
	RetryRatio float64
	RetrySlack int
	// RevocationDeadline is the time after which a withdrawn access key must not be
	// accepted, also by a daemon that can't learn of it; 0 if there is none.
	RevocationDeadline Duration
	// AllotmentWindow, AllotmentOvershoot and AllotmentSlack are how far the units of a
	// team may exceed its allotment: in any window of that length by a part of what is
	// allotted, plus a number of tokens.
	AllotmentWindow    Duration
	AllotmentOvershoot float64
	AllotmentSlack     Units
	// EntriesTTL is the longest time for which callers may cache the list of
	// addresses to use.
	EntriesTTL Duration
}

// Check returns an error that joins the violations of all fields.
func (d DaemonConfig) Check() error {
	var errs []error
	add := func(field string, err error) {
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", field, err))
		}
	}
	add("Host", d.Host.Check())
	add("Domain", d.Domain.Check())
	add("Callers", d.CallerAddress.Check())
	add("Peers", d.PeerAddress.Check())
	add("Store", d.StoreAddress.Check())
	for _, a := range []Address{d.ReadyAddress, d.DirectoryAddress} {
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
	if d.Capacity <= 0 {
		errs = append(errs, badField("Power", "must be positive, not %v", d.Capacity))
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
		{"Revision", b.RevisionDeadline},
		{"EntriesTTL", b.EntriesTTL},
		{"ChangeDeadline", b.ChangeDeadline},
	}
	for _, t := range times {
		if t.value <= 0 {
			errs = append(errs, badField("Bounds."+t.field, "must be positive, not %v", t.value))
		}
	}
	if b.Heartbeat < 0 {
		errs = append(errs, badField("Bounds.Heartbeat", "must not be negative"))
	}
	if b.RevocationDeadline < 0 {
		errs = append(errs, badField("Bounds.RevocationDeadline", "must not be negative"))
	}
	if b.AllotmentWindow < 0 || b.AllotmentOvershoot < 0 || b.AllotmentSlack < 0 {
		errs = append(errs, badField("Bounds.AllotmentWindow, AllotmentOvershoot, AllotmentSlack", "must not be negative"))
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
