package wick

import (
	"fmt"
)

// Renewal is what a member sends its witnesses a few times within its lease.
// It carries what daemons must know of one another.
type Renewal struct {
	From        HostName    `json:"From"`
	Incarnation Incarnation `json:"Incarnation"`
	// View is the newest view the sender has adopted, as a member or not; 0
	// while it knows none. The sender acts in no earlier view any more.
	View ViewNumber `json:"View"`
	// Self describes a sender that its View does not name: it wants to join,
	// or it has left.
	Self *Member `json:"Self,omitempty"`
	// Lapsed tells that the sender is a member without a lease.
	Lapsed bool `json:"Lapsed,omitempty"`
	// Silent are the members of View that the sender has not heard from for
	// too long, or that have told of no lease for as long.
	Silent []HostName `json:"Silent,omitempty"`
	// State is set for a receiver that is known to be behind.
	State *ViewState `json:"State,omitempty"`
	// Sequence numbers the renewals of one incarnation; it rises.
	Sequence Sequence `json:"Sequence"`
	// Config and Claims are the newest offsets the sender has applied.
	Config Offset `json:"Config"`
	Claims Offset `json:"Claims"`
	// Digests tell how the sender's own endpoints are.
	Digests []Digest `json:"Digests,omitempty"`
	// Stopping tells that the sender is shutting down gracefully.
	Stopping bool `json:"Stopping,omitempty"`
}

// Check implements Checker.
func (r Renewal) Check() error {
	if err := checkName("From", r.From); err != nil {
		return err
	}
	if r.Incarnation == 0 {
		return badField("Incarnation", "must not be 0")
	}
	if r.Self != nil {
		if err := r.Self.Check(); err != nil {
			return fmt.Errorf("self: %w", err)
		}
		if r.Self.Host != r.From || r.Self.Incarnation != r.Incarnation {
			return badField("Self", "must be the sender")
		}
	}
	if r.State != nil {
		if err := r.State.Check(); err != nil {
			return fmt.Errorf("state: %w", err)
		}
	}
	for _, d := range r.Digests {
		if err := d.Check(); err != nil {
			return fmt.Errorf("digest of %s: %w", d.Endpoint, err)
		}
	}
	return nil
}

// RenewalAck answers a renewal.
type RenewalAck struct {
	From        HostName    `json:"From"`
	Incarnation Incarnation `json:"Incarnation"`
	// Sequence echoes the renewal.
	Sequence Sequence `json:"Sequence"`
	// Vouched is the view for which the witness vouches; it equals the
	// renewal's view, or is 0 if the witness has adopted a later one.
	Vouched ViewNumber `json:"Vouched,omitempty"`
	// View is the newest view the witness has adopted.
	View ViewNumber `json:"View"`
	// Later is the state of the witness, if its view is later than the
	// sender's.
	Later *ViewState `json:"Later,omitempty"`
	// Lapsed tells that the witness is a member without a lease.
	Lapsed bool `json:"Lapsed,omitempty"`
	// Silent are the members of View that the witness has not heard from.
	Silent []HostName `json:"Silent,omitempty"`
	// Config and Claims are the newest offsets of the witness.
	Config Offset `json:"Config"`
	Claims Offset `json:"Claims"`
}

// Check implements Checker.
func (a RenewalAck) Check() error {
	if err := checkName("From", a.From); err != nil {
		return err
	}
	if a.Incarnation == 0 {
		return badField("Incarnation", "must not be 0")
	}
	if a.Later != nil {
		if err := a.Later.Check(); err != nil {
			return fmt.Errorf("later state: %w", err)
		}
	}
	return nil
}

// Digest is how an owner describes one of its endpoints to routers.
type Digest struct {
	Endpoint EndpointName `json:"Endpoint"`
	// Queued is the estimated cost of the work that waits.
	Queued Cost `json:"Queued"`
	// Running counts the requests in the batch.
	Running Slots `json:"Running"`
	// Pace is the endpoint's time per token, or per call of a plain service;
	// 0 means not known. Owners compare it with that of their own endpoints.
	Pace Duration `json:"Pace,omitempty"`
	// Slow is the pace relative to the endpoint's peers; 1 is ordinary and 0
	// means not known.
	Slow float64 `json:"Slow,omitempty"`
	// Ejected tells that the endpoint gets no ordinary work for now.
	Ejected bool `json:"Ejected,omitempty"`
	// Ready lists the adapters that are resident and not closing.
	Ready []Ref `json:"Ready,omitempty"`
	// Brief tells that Ready is left out, because it is as the receiver was
	// told before.
	Brief bool `json:"Brief,omitempty"`
}

// Check implements Checker.
func (d Digest) Check() error {
	if d.Queued < 0 || d.Running < 0 || d.Pace < 0 || d.Slow < 0 {
		return badField("Queued, Running, Pace, Slow", "must not be negative")
	}
	if d.Brief && len(d.Ready) > 0 {
		return badField("Ready", "must be empty in a brief digest")
	}
	return checkName("Endpoint", d.Endpoint)
}

// Fetch asks a peer for log records the sender misses.
type Fetch struct {
	Stream StreamName `json:"Stream"`
	// From is the first offset wanted.
	From Offset `json:"From"`
}

// Fetched answers a Fetch.
type Fetched struct {
	Entries []Entry `json:"Entries,omitempty"`
	// Checkpoint replaces the entries where the peer no longer has them.
	Checkpoint *Checkpoint `json:"Checkpoint,omitempty"`
}

// Check implements Checker.
func (f Fetched) Check() error {
	if f.Checkpoint != nil {
		return f.Checkpoint.Check()
	}
	return nil
}

// Grant is the share of a store's load budget that its owner gives to another
// owner of runners, and the question for it. A question ends what earlier
// answers to the same asker left unused.
type Grant struct {
	Store StoreName `json:"Store"`
	// From and Incarnation are who asks.
	From        HostName    `json:"From"`
	Incarnation Incarnation `json:"Incarnation"`
	// View is the view in which the asker computed the owner of the budget.
	View ViewNumber `json:"View"`
	// Sequence numbers the questions of one incarnation; it rises. The answer
	// echoes it.
	Sequence Sequence `json:"Sequence"`
	// Wanted is the cost of the work that waits for loads, at the asker.
	Wanted Cost `json:"Wanted"`
	// Loads is how many loads the asker would start at once for that work, and
	// Prefetch how many besides for work that is only expected.
	Loads    Slots `json:"Loads,omitempty"`
	Prefetch Slots `json:"Prefetch,omitempty"`
	// Loading is how many granted loads the asker has in flight.
	Loading Slots `json:"Loading,omitempty"`
	// Given is how many loads may start, in the answer.
	Given Slots `json:"Given,omitempty"`
}

// Check implements Checker.
func (g Grant) Check() error {
	if g.Wanted < 0 || min(g.Loads, g.Prefetch, g.Loading, g.Given) < 0 {
		return badField("Wanted, Loads, Prefetch, Loading, Given", "must not be negative")
	}
	return checkName("Store", g.Store)
}

// Suspect tells peers of a request that was in flight at an endpoint's crash.
type Suspect struct {
	Print Fingerprint `json:"Print"`
	// Crashes is how many crashes the request was suspected of; positive.
	Crashes int `json:"Crashes"`
	// Alone tells that it was the only request in flight at one of them. With
	// two crashes the request is stopped.
	Alone bool `json:"Alone,omitempty"`
	// Age is how long ago the last crash was, or the last try once stopped.
	Age Duration `json:"Age,omitempty"`
}

// Check implements Checker.
func (s Suspect) Check() error {
	if s.Crashes <= 0 {
		return badField("Crashes", "must be positive")
	}
	if s.Age < 0 {
		return badField("Age", "must not be negative")
	}
	return nil
}

// PeerMessage is one control message between daemons, question or answer.
// Exactly one field is set.
type PeerMessage struct {
	Renewal    *Renewal    `json:"Renewal,omitempty"`
	RenewalAck *RenewalAck `json:"RenewalAck,omitempty"`
	Fetch      *Fetch      `json:"Fetch,omitempty"`
	Fetched    *Fetched    `json:"Fetched,omitempty"`
	Grant      *Grant      `json:"Grant,omitempty"`
	Suspects   []Suspect   `json:"Suspects,omitempty"`
	Error      *Error      `json:"Error,omitempty"`
}

// Check implements Checker.
func (m PeerMessage) Check() error {
	return oneOf("peer message",
		some(m.Renewal),
		some(m.RenewalAck),
		option{set: m.Fetch != nil},
		some(m.Fetched),
		some(m.Grant),
		option{set: m.Suspects != nil, check: func() error { return checkSuspects(m.Suspects) }},
		option{set: m.Error != nil, check: m.Error.Check},
	)
}

func checkSuspects(all []Suspect) error {
	for _, s := range all {
		if err := s.Check(); err != nil {
			return fmt.Errorf("suspect: %w", err)
		}
	}
	return nil
}
