package wick

import "context"

// Operator is the API for operators; admin front ends translate a protocol to and
// from it. Implementations are safe for concurrent use.
type Operator interface {
	// Publish appends a change to the configuration's stream and waits for the
	// verdict. After an error of outcome Unknown the change may still take
	// effect; the audit trail has the verdict then.
	Publish(ctx context.Context, c Change) (Verdict, error)
	// Validate validates a change against the current configuration without
	// publishing it.
	Validate(c Change) []Violation
	// Select returns the objects of a kind and name with their revisions. An
	// empty kind or name matches all.
	Select(kind ObjectKind, name string) Checkpoint
	// Audit returns up to limit entries of the audit trail from an offset on,
	// waiting for the first one until ctx ends; it then returns none.
	Audit(ctx context.Context, from Offset, limit int) ([]Entry, error)
	// Status returns what the daemon knows about itself and the cluster.
	Status(ctx context.Context) (Status, error)
	// Drain starts a graceful stop of the daemon and returns at once.
	Drain(ctx context.Context) error
	// DeclareLost declares hosts permanently lost and returns the runs of daemons
	// there that are now considered ended, so that no daemon waits for their
	// leases. It must never be called for a host whose daemon may still run.
	DeclareLost(ctx context.Context, hosts []HostName) ([]Run, error)
	// CheckReady returns nil if the daemon can serve callers, or else the reason why
	// not.
	CheckReady() *Error
}

// Status is a snapshot of what one daemon knows.
type Status struct {
	Self Member `json:"Self"`
	// View is the view the daemon has adopted.
	View ViewNumber `json:"View"`
	// Lease is how long the daemon may continue to act without a renewal; 0 if
	// it may not act.
	Lease Duration `json:"Lease"`
	// Stale is set if the configuration may be older than the allowed maximum
	// age.
	Stale bool `json:"Stale,omitempty"`
	// Stopping is set while the daemon is shutting down gracefully.
	Stopping bool `json:"Stopping,omitempty"`
	// Config and Claims are the newest offsets the daemon has applied.
	Config Offset `json:"Config"`
	Claims Offset `json:"Claims"`
	// Objects has the number of configuration objects of each kind.
	Objects []KindCount `json:"Objects"`
	// Daemons are the members of the view, sorted by host.
	Daemons []DaemonStatus `json:"Daemons"`
	// Endpoints is sorted by name.
	Endpoints []EndpointStatus `json:"Endpoints"`
}

// KindCount is the number of objects of a kind.
type KindCount struct {
	Kind  ObjectKind `json:"Kind"`
	Count int        `json:"Count"`
}

// DaemonStatus is what one daemon knows about a member.
type DaemonStatus struct {
	Member Member `json:"Member"`
	// Config and Claims are the newest offsets that the member has reported; 0
	// if it has reported none.
	Config Offset `json:"Config"`
	Claims Offset `json:"Claims"`
	// Owns is the number of endpoints that the member owns in the view.
	Owns int `json:"Owns"`
	// Leaving is set if callers are directed to other daemons.
	Leaving bool `json:"Leaving,omitempty"`
}

// EndpointStatus is what one daemon knows about an endpoint.
type EndpointStatus struct {
	Name    EndpointName `json:"Name"`
	Pool    PoolName     `json:"Pool"`
	Domain  Domain       `json:"Domain"`
	Address Address      `json:"Address"`
	// Owner is the owner in the view; empty if there is none.
	Owner HostName `json:"Owner,omitempty"`
	// Acting is set if the daemon that reports this status acts for the
	// endpoint now.
	Acting bool `json:"Acting,omitempty"`
	// Leaving is set if the endpoint receives no new work.
	Leaving bool `json:"Leaving,omitempty"`
	// Digest is the newest digest from the owner; nil if there is none yet.
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
