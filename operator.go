package wick

import "context"

// Operator serves operators. Driving adapters translate a protocol to and from
// it. Implementations are safe for concurrent use.
type Operator interface {
	// Publish appends a change to the configuration's stream and waits for
	// the verdict. After an error of outcome Unknown the change may still take
	// effect; the audit trail tells.
	Publish(ctx context.Context, c Change) (Verdict, error)
	// Judge returns what would be wrong with a change now.
	Judge(c Change) []Violation
	// Select returns the objects of a kind and name with their revisions. An
	// empty kind or name stands for all.
	Select(kind ObjectKind, name string) Checkpoint
	// Audit returns up to limit entries of the audit trail from an offset on,
	// waiting for the first one until ctx ends; it then returns none.
	Audit(ctx context.Context, from Offset, limit int) ([]Entry, error)
	// Status returns what the daemon knows of itself and the others.
	Status(ctx context.Context) (Status, error)
	// Drain starts a graceful stop of the daemon and returns at once.
	Drain(ctx context.Context) error
	// Gone takes the operator's word that hosts are lost for good, and returns
	// the runs of daemons there that nobody waits for any more. It must never
	// be given for a host whose daemon may still run.
	Gone(ctx context.Context, hosts []HostName) ([]Run, error)
	// Ready returns why callers should not turn to the daemon now, or nil.
	Ready() *Error
}

// Status is what one daemon knows at one moment.
type Status struct {
	Self Member `json:"Self"`
	// View is the view the daemon has adopted.
	View ViewNumber `json:"View"`
	// Lease is how long the daemon may act on without a renewal; 0 if it may
	// not act.
	Lease Duration `json:"Lease"`
	// Stale tells that the configuration may be older than it ought to be.
	Stale bool `json:"Stale,omitempty"`
	// Stopping tells that the daemon is stopping gracefully.
	Stopping bool `json:"Stopping,omitempty"`
	// Config and Claims are the newest offsets the daemon has applied.
	Config Offset `json:"Config"`
	Claims Offset `json:"Claims"`
	// Objects counts the configuration's objects by kind.
	Objects []KindCount `json:"Objects"`
	// Daemons are the members of the view, sorted by host.
	Daemons []DaemonStatus `json:"Daemons"`
	// Endpoints is sorted by name.
	Endpoints []EndpointStatus `json:"Endpoints"`
}

// KindCount is how many objects there are of a kind.
type KindCount struct {
	Kind  ObjectKind `json:"Kind"`
	Count int        `json:"Count"`
}

// DaemonStatus is what one daemon knows of a member.
type DaemonStatus struct {
	Member Member `json:"Member"`
	// Config and Claims are the newest offsets of which the member has told;
	// 0 if it has told of none.
	Config Offset `json:"Config"`
	Claims Offset `json:"Claims"`
	// Owns counts the endpoints the member owns in the view.
	Owns int `json:"Owns"`
	// Leaving tells that callers are sent elsewhere.
	Leaving bool `json:"Leaving,omitempty"`
}

// EndpointStatus is what one daemon knows of an endpoint.
type EndpointStatus struct {
	Name    EndpointName `json:"Name"`
	Pool    PoolName     `json:"Pool"`
	Domain  Domain       `json:"Domain"`
	Address Address      `json:"Address"`
	// Owner is the endpoint's owner in the view; empty if there is none.
	Owner HostName `json:"Owner,omitempty"`
	// Acting tells that the daemon asked acts for the endpoint now.
	Acting bool `json:"Acting,omitempty"`
	// Leaving tells that the endpoint receives no new work.
	Leaving bool `json:"Leaving,omitempty"`
	// Digest is the newest that the owner told; nil if it told nothing yet.
	Digest *Digest `json:"Digest,omitempty"`
}

// Check implements Checker.
func (s Status) Check() error {
	for _, e := range s.Endpoints {
		if err := checkName("Name", e.Name); err != nil {
			return err
		}
	}
	return checkName("Host", s.Self.Host)
}
