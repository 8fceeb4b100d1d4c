package wick

import (
	"errors"
	"fmt"
	"net/netip"
)

// Names of the objects that operators publish.
type (
	// ModelName names a base model.
	ModelName string
	// AdapterName names a LoRA adapter.
	AdapterName string
	// VersionName names one version of an adapter, unique within it.
	VersionName string
	// RouteName names a route; callers send it in the "model" field of a
	// request.
	RouteName string
	// PriorityName names a priority class.
	PriorityName string
	// PoolName names a pool of interchangeable endpoints.
	PoolName string
	// EndpointName names a runner or a plain service.
	EndpointName string
	// StoreName names a weight store, whose load budget all its runners share.
	StoreName string
)

// Names of machines, failure domains and operators.
type (
	// HostName names a machine.
	HostName string
	// Domain names a failure domain.
	Domain string
	// OperatorName names the operator who published a change.
	OperatorName string
)

// Check returns an error if the name is empty, too long, or has a character
// other than letters, digits, '-', '_', '.' and ':'.
func (h HostName) Check() error { return checkName("host", h) }

// Check applies the rules of HostName.Check.
func (d Domain) Check() error { return checkName("failure domain", d) }

// Ids that the system assigns.
type (
	// Incarnation distinguishes the runs of a daemon on one host. It is drawn
	// at random at start and never reused.
	Incarnation uint64
	// Offset is a position in one stream of the platform's log. The first
	// record has offset 1, so 0 means "before the first record".
	Offset uint64
	// ViewNumber is the offset of the record that created the view. It is also
	// part of the fencing token on orders.
	ViewNumber uint64
	// Sequence numbers the messages of one sender, starting at 1.
	Sequence uint64
	// RequestID identifies one request of a caller across all hops.
	RequestID string
	// ClaimKey is the caller's idempotency key for a command, a call that must
	// run at most once (Call.NonIdempotent).
	ClaimKey string
	// ChangeID identifies one published change; its publisher generates it.
	ChangeID string
	// Fingerprint is a hash of the content of a request; it is the same when
	// the caller sends the request again.
	Fingerprint uint64
	// StreamName names a stream of the platform's log.
	StreamName string
)

// String returns the fingerprint as it appears in log lines.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Address is an IP address and port, such as "127.0.0.1:7000".
type Address string

// Check returns an error if the address is not an IP address with a port.
func (a Address) Check() error {
	if _, err := netip.ParseAddrPort(string(a)); err != nil {
		return fmt.Errorf("address %q: want IP:port", string(a))
	}
	return nil
}

// Ref identifies one version of one adapter. The zero Ref is the base model
// without an adapter.
type Ref struct {
	Adapter AdapterName `json:"Adapter,omitempty"`
	Version VersionName `json:"Version,omitempty"`
}

// IsBase reports whether r is the base model without an adapter.
func (r Ref) IsBase() bool { return r == Ref{} }

// String returns "adapter@version", or "base" for the zero Ref.
func (r Ref) String() string {
	if r.IsBase() {
		return "base"
	}
	return string(r.Adapter) + "@" + string(r.Version)
}

// Check returns an error if only one of the two names is set.
func (r Ref) Check() error {
	if (r.Adapter == "") != (r.Version == "") {
		return errors.New("reference needs both adapter and version")
	}
	return nil
}

// maxNameBytes bounds the length of every name.
const maxNameBytes = 128

// checkName returns an error if the name is empty, too long, or has a character
// other than letters, digits, '-', '_', '.' and ':'.
func checkName[T ~string](field string, name T) error {
	if name == "" {
		return fmt.Errorf("%s: must not be empty", field)
	}
	if len(name) > maxNameBytes {
		return fmt.Errorf("%s: longer than %d bytes", field, maxNameBytes)
	}
	for _, r := range name {
		if !isNameRune(r) {
			return fmt.Errorf("%s: %q holds %q", field, string(name), r)
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '-' || r == '_' || r == '.' || r == ':'
}

// Check returns an error if the request id is not a valid name.
func (r RequestID) Check() error { return checkName("RequestID", r) }

// Check returns an error if the key is not a valid name.
func (k ClaimKey) Check() error { return checkName("ClaimKey", k) }
