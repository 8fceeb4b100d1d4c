package wick

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Member is a daemon that is a member of a view.
type Member struct {
	Host        HostName    `json:"Host"`
	Incarnation Incarnation `json:"Incarnation"`
	Domain      Domain      `json:"Domain"`
	// Peer is the address for other daemons.
	Peer Address `json:"Peer"`
	// Entry is the address for callers.
	Entry Address `json:"Entry"`
}

// Check implements Checker.
func (m Member) Check() error {
	if err := checkName("Host", m.Host); err != nil {
		return err
	}
	if m.Incarnation == 0 {
		return badField("Incarnation", "must not be 0")
	}
	if err := checkName("Domain", m.Domain); err != nil {
		return err
	}
	if err := m.Peer.Check(); err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	if err := m.Entry.Check(); err != nil {
		return fmt.Errorf("entry address: %w", err)
	}
	return nil
}

// Terms are the lease parameters that all members of a view must agree on for
// its leases to be safe. They are part of the view, so that a change of settings
// that is rolled out daemon by daemon never mixes two sets of them.
type Terms struct {
	// Witnesses is the maximum number of other members that vouch for a
	// member's lease.
	Witnesses int `json:"Witnesses"`
	// TTL is how long a lease lasts from when its renewal is sent.
	TTL Duration `json:"TTL"`
	// Drift is how much longer than TTL other members wait, to allow for clocks
	// that run at different rates.
	Drift Duration `json:"Drift"`
}

// Check implements Checker.
func (t Terms) Check() error {
	if t.Witnesses < 1 {
		return badField("Witnesses", "must be positive")
	}
	if t.TTL <= 0 || t.Drift <= 0 {
		return badField("TTL, Drift", "must be positive")
	}
	return nil
}

// SafeExpiry returns the time after which a lease has ended by every member's
// clock, counted from the last renewal that was vouched for.
func (t Terms) SafeExpiry() time.Duration { return (t.TTL + t.Drift).Std() }

// ViewChange proposes the next view. It takes effect if it is the first record on
// the log whose base is the view that is current at that point.
type ViewChange struct {
	// Base is the view that the proposer saw; 0 before the first view.
	Base ViewNumber `json:"Base"`
	// Members is sorted by host and has each host once. A member that is not in
	// the base was running after the base was on the log.
	Members []Member `json:"Members"`
	// Terms apply to the new view.
	Terms Terms `json:"Terms"`
	// Proposer is the host whose daemon wrote the record.
	Proposer HostName `json:"Proposer"`
}

// Check implements Checker.
func (c ViewChange) Check() error {
	if err := checkMembers(c.Members); err != nil {
		return err
	}
	if err := c.Terms.Check(); err != nil {
		return fmt.Errorf("terms: %w", err)
	}
	return checkName("Proposer", c.Proposer)
}

func checkMembers(members []Member) error {
	if len(members) == 0 {
		return badField("Members", "must not be empty")
	}
	for i, m := range members {
		if err := m.Check(); err != nil {
			return fmt.Errorf("member %s: %w", m.Host, err)
		}
		if i > 0 && members[i-1].Host >= m.Host {
			return badField("Members", "must be sorted by host, each once")
		}
	}
	return nil
}

// ViewClosed records that no member of the view or of any earlier view can still
// act as an owner under it.
type ViewClosed struct {
	View ViewNumber `json:"View"`
	By   HostName   `json:"By"`
}

// Check implements Checker.
func (c ViewClosed) Check() error {
	if c.View == 0 {
		return badField("View", "must not be 0")
	}
	return checkName("By", c.By)
}

// View is an agreed set of members.
type View struct {
	// Number is the offset of the record that created the view; 0 means none.
	Number ViewNumber `json:"Number"`
	// Members is sorted by host and has each host once.
	Members []Member `json:"Members"`
	// Terms apply to all members.
	Terms Terms `json:"Terms"`
}

// Check implements Checker.
func (v View) Check() error {
	if v.Number == 0 {
		return badField("Number", "must not be 0")
	}
	if err := checkMembers(v.Members); err != nil {
		return err
	}
	if err := v.Terms.Check(); err != nil {
		return fmt.Errorf("terms: %w", err)
	}
	return nil
}

// Has reports whether v has a member with m's host and incarnation.
func (v View) Has(m Member) bool {
	n, ok := v.Member(m.Host)
	return ok && n.Incarnation == m.Incarnation
}

// Member returns the member on the named host.
func (v View) Member(host HostName) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, host, func(m Member, h HostName) int {
		return cmp.Compare(m.Host, h)
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// ViewState is the state built by applying the records of the view stream up to
// an offset. It is written to the log as a checkpoint, and peers send it to each
// other.
type ViewState struct {
	// AsOf is the offset of the last record that the state includes.
	AsOf Offset `json:"AsOf"`
	// View is the current view.
	View View `json:"View"`
	// Open are the earlier views that are not closed, oldest first.
	Open []View `json:"Open,omitempty"`
}

// Check implements Checker.
func (s ViewState) Check() error {
	if err := s.View.Check(); err != nil {
		return fmt.Errorf("view: %w", err)
	}
	if Offset(s.View.Number) > s.AsOf {
		return badField("AsOf", "must not be before the view")
	}
	last := ViewNumber(0)
	for _, v := range s.Open {
		if err := v.Check(); err != nil {
			return fmt.Errorf("open view: %w", err)
		}
		if v.Number <= last || v.Number >= s.View.Number {
			return badField("Open", "must rise and stay below the view")
		}
		last = v.Number
	}
	return nil
}
