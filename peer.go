package wick

import (
	"fmt"
)

// Renewal is the message that a member sends to its witnesses a few times per
// lease duration. It also carries the state that daemons share with each other.
type Renewal struct {
	From        HostName    `json:"From"`
	Incarnation Incarnation `json:"Incarnation"`
	// View is the newest view that the sender has adopted, as a member or not;
	// 0 while it knows none. The sender no longer acts in any earlier view.
	View ViewNumber `json:"View"`
	// Self describes a sender that is not a member of View: it wants to join,
	// or it has left.
	Self *Member `json:"Self,omitempty"`
	// Lapsed is set if the sender is a member that holds no lease now.
	Lapsed bool `json:"Lapsed,omitempty"`
	// Silent are the members of View from which the sender has received nothing
	// for too long, or which have reported no lease for the same time.
	Silent []HostName `json:"Silent,omitempty"`
	// State is set if the receiver is known to have an older view.
	State *ViewState `json:"State,omitempty"`
	// Sequence increases with each renewal of one incarnation.
	Sequence Sequence `json:"Sequence"`
	// Config and Claims are the newest offsets that the sender has applied.
	Config Offset `json:"Config"`
	Claims Offset `json:"Claims"`
	// Digests describe the endpoints that the sender owns.
	Digests []Digest `json:"Digests,omitempty"`
	// Stopping is set while the sender is shutting down gracefully.
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

// RenewalAck is the response to a Renewal.
type RenewalAck struct {
	From        HostName    `json:"From"`
	Incarnation Incarnation `json:"Incarnation"`
	// Sequence is that of the renewal.
	Sequence Sequence `json:"Sequence"`
	// Vouched is the view for which the witness vouches: the view of the renewal,
	// or 0 if the witness has adopted a later one.
	Vouched ViewNumber `json:"Vouched,omitempty"`
	// View is the newest view that the witness has adopted.
	View ViewNumber `json:"View"`
	// Later is the view state of the witness if its view is later than the
	// sender's.
	Later *ViewState `json:"Later,omitempty"`
	// Lapsed is set if the witness is a member that holds no lease now.
	Lapsed bool `json:"Lapsed,omitempty"`
	// Silent are the members of View from which the witness has received nothing
	// for too long.
	Silent []HostName `json:"Silent,omitempty"`
	// Config and Claims are the newest offsets that the witness has applied.
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

// Digest is an owner's summary of one of its endpoints, for routers.
type Digest struct {
	Endpoint EndpointName `json:"Endpoint"`
	// Queued is the estimated cost of the queued requests.
	Queued Cost `json:"Queued"`
	// Running counts the requests in the batch.
	Running Slots `json:"Running"`
	// TimePerToken is the endpoint's time per token, or per call of a plain service; 0
	// means unknown. Other owners compare it with that of their endpoints.
	TimePerToken Duration `json:"Pace,omitempty"`
	// Slowdown is the time per token relative to the other endpoints of the pool; 1
	// is normal and 0 means unknown.
	Slowdown float64 `json:"Slow,omitempty"`
	// Ejected is set while the endpoint gets no regular work.
	Ejected bool `json:"Ejected,omitempty"`
	// Ready lists the adapters that are loaded and not about to be unloaded.
	Ready []Ref `json:"Ready,omitempty"`
	// Brief is set if Ready is omitted because it has not changed since it was
	// last sent to the receiver.
	Brief bool `json:"Brief,omitempty"`
}

// Check implements Checker.
func (d Digest) Check() error {
	if d.Queued < 0 || d.Running < 0 || d.TimePerToken < 0 || d.Slowdown < 0 {
		return badField("Queued, Running, Pace, Slow", "must not be negative")
	}
	if d.Brief && len(d.Ready) > 0 {
		return badField("Ready", "must be empty in a brief digest")
	}
	return checkName("Endpoint", d.Endpoint)
}

// Fetch asks a peer for log records that the sender has not read.
type Fetch struct {
	Stream StreamName `json:"Stream"`
	// From is the first offset to return.
	From Offset `json:"From"`
}

// Fetched is the response to a Fetch.
type Fetched struct {
	Entries []Entry `json:"Entries,omitempty"`
	// Checkpoint replaces the entries if the peer no longer has them.
	Checkpoint *Checkpoint `json:"Checkpoint,omitempty"`
}

// Check implements Checker.
func (f Fetched) Check() error {
	if f.Checkpoint != nil {
		return f.Checkpoint.Check()
	}
	return nil
}

// Grant is the message by which a daemon requests a share of a store's load budget
// from the budget's owner, and also the owner's response. A request cancels the
// unused part of earlier grants to the same requester.
type Grant struct {
	Store StoreName `json:"Store"`
	// From and Incarnation identify the requester.
	From        HostName    `json:"From"`
	Incarnation Incarnation `json:"Incarnation"`
	// View is the view in which the requester computed the owner of the budget.
	View ViewNumber `json:"View"`
	// Sequence increases with each request of one incarnation. The response
	// has the sequence of its request.
	Sequence Sequence `json:"Sequence"`
	// Wanted is the cost of the requests that wait for loads at the requester.
	Wanted Cost `json:"Wanted"`
	// Loads is how many loads the requester would start immediately for that
	// work, and Prefetch how many more for work that is only expected.
	Loads    Slots `json:"Loads,omitempty"`
	Prefetch Slots `json:"Prefetch,omitempty"`
	// Loading is how many granted loads the requester has in flight.
	Loading Slots `json:"Loading,omitempty"`
	// Given is how many loads may start; it is set in responses.
	Given Slots `json:"Given,omitempty"`
}

// Check implements Checker.
func (g Grant) Check() error {
	if g.Wanted < 0 || min(g.Loads, g.Prefetch, g.Loading, g.Given) < 0 {
		return badField("Wanted, Loads, Prefetch, Loading, Given", "must not be negative")
	}
	return checkName("Store", g.Store)
}

// Suspect reports to peers a request that was in flight when an endpoint crashed.
type Suspect struct {
	Fingerprint Fingerprint `json:"Print"`
	// Crashes is how many crashes the request may have caused; positive.
	Crashes int `json:"Crashes"`
	// Alone is set if the request was the only one in flight at one of the
	// crashes. A request with Alone set and two crashes is blocked.
	Alone bool `json:"Alone,omitempty"`
	// Age is the time since the last crash or, once the request is blocked,
	// since its last attempt.
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

// PeerMessage is a control message between daemons, a request or a response.
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
		checkedField(m.Renewal),
		checkedField(m.RenewalAck),
		unionField{set: m.Fetch != nil},
		checkedField(m.Fetched),
		checkedField(m.Grant),
		unionField{set: m.Suspects != nil, check: func() error { return checkSuspects(m.Suspects) }},
		unionField{set: m.Error != nil, check: m.Error.Check},
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
