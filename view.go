package wick

import (
	"fmt"
)

// Member is one daemon of a view.
type Member struct {
	Host        HostName    `json:"Host"`
	Incarnation Incarnation `json:"Incarnation"`
	Domain      Domain      `json:"Domain"`
	// Peer is where other daemons reach this one.
	Peer Address `json:"Peer"`
	// Entry is where callers reach this one.
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

// ViewChange proposes the next view. It takes effect if it is the first on the
// log to name the then current view as its base.
type ViewChange struct {
	// Base is the view the proposer saw; 0 before the first view.
	Base ViewNumber `json:"Base"`
	// Members is sorted by host and names each host once.
	Members []Member `json:"Members"`
	// Proposer is the host that wrote the record.
	Proposer HostName `json:"Proposer"`
}

// Check implements Checker.
func (c ViewChange) Check() error {
	if len(c.Members) == 0 {
		return badField("Members", "must not be empty")
	}
	for i, m := range c.Members {
		if err := m.Check(); err != nil {
			return fmt.Errorf("member %s: %w", m.Host, err)
		}
		if i > 0 && c.Members[i-1].Host >= m.Host {
			return badField("Members", "must be sorted by host, each once")
		}
	}
	return checkName("Proposer", c.Proposer)
}

// ViewClosed tells that no member of the view, nor of any view before it, can
// still act as an owner under it.
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
	// Number is the offset of the record that made the view; 0 means none.
	Number ViewNumber `json:"Number"`
	// Members is sorted by host and names each host once.
	Members []Member `json:"Members"`
}

// Member returns the member on the named host.
func (v View) Member(host HostName) (Member, bool) {
	for _, m := range v.Members {
		if m.Host == host {
			return m, true
		}
	}
	return Member{}, false
}
