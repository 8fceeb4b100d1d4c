package wick

import (
	"fmt"
)

// The streams of the platform's log.
const (
	// ConfigStream holds changes and checkpoints of the configuration.
	ConfigStream StreamName = "Config"
	// ViewStream holds view changes, closed views, ended runs and checkpoints.
	ViewStream StreamName = "Views"
	// ClaimStream holds claims on commands and checkpoints of them.
	ClaimStream StreamName = "Claims"
	// AuditStream holds the verdicts on changes, for operators.
	AuditStream StreamName = "Audit"
)

// ClaimStep is a step in the life cycle of a claim.
type ClaimStep string

// The steps of a claim.
const (
	// ClaimTaken acquires the claim on a key before its command is dispatched.
	ClaimTaken ClaimStep = "Taken"
	// ClaimReleased releases a claim whose command was never dispatched.
	ClaimReleased ClaimStep = "Released"
	// ClaimAnswered records that the command ran and was answered.
	ClaimAnswered ClaimStep = "Answered"
)

// Claim is a step of a claim on a key.
type Claim struct {
	Step ClaimStep `json:"Step"`
	Key  ClaimKey  `json:"Key"`
	// Request is the attempt that claims the key.
	Request RequestID `json:"Request"`
	// Holder and Incarnation name the daemon that may dispatch the command.
	Holder      HostName    `json:"Holder"`
	Incarnation Incarnation `json:"Incarnation"`
	// Fingerprint identifies the command, so that a key is not reused for another
	// one.
	Fingerprint Fingerprint `json:"Print"`
	// At is the platform's time when the key was claimed, in Unix seconds; it is
	// set only in a ClaimState.
	At int64 `json:"At,omitempty"`
	// Life is how long the key stays claimed, by the platform's time.
	Life Duration `json:"Life"`
}

// Check implements Checker.
func (c Claim) Check() error {
	switch c.Step {
	case ClaimTaken, ClaimReleased, ClaimAnswered:
	default:
		return badField("Step", "%q is no step of a claim", string(c.Step))
	}
	if err := checkName("Key", c.Key); err != nil {
		return err
	}
	if err := checkName("Request", c.Request); err != nil {
		return err
	}
	if c.Life <= 0 {
		return badField("Life", "must be positive")
	}
	return checkName("Holder", c.Holder)
}

// Claims is a batch of claim steps in one record, in order.
type Claims struct {
	Steps []Claim `json:"Steps"`
}

// Check implements Checker.
func (c Claims) Check() error {
	if len(c.Steps) == 0 {
		return badField("Steps", "must not be empty")
	}
	for _, s := range c.Steps {
		if err := s.Check(); err != nil {
			return fmt.Errorf("claim on %s: %w", s.Key, err)
		}
	}
	return nil
}

// ClaimState is one part of a checkpoint of all live claims. A reader needs all
// parts and then applies the records after AsOf.
type ClaimState struct {
	// AsOf is the offset of the last record that the checkpoint includes.
	AsOf Offset `json:"AsOf"`
	// Time is the latest platform time up to AsOf, in Unix milliseconds.
	Time int64 `json:"Time"`
	// By and Incarnation identify the daemon that wrote all the parts.
	By          HostName    `json:"By"`
	Incarnation Incarnation `json:"Incarnation"`
	// Part is the number of this part, from 1 to Parts.
	Part  int `json:"Part"`
	Parts int `json:"Parts"`
	// Claims are live claims with At set; their steps are Taken or Answered.
	Claims []Claim `json:"Claims,omitempty"`
}

// Check implements Checker.
func (s ClaimState) Check() error {
	if s.Part < 1 || s.Part > s.Parts {
		return badField("Part", "must be from 1 to Parts")
	}
	for _, c := range s.Claims {
		if err := c.Check(); err != nil {
			return fmt.Errorf("claim on %s: %w", c.Key, err)
		}
		if c.Step == ClaimReleased {
			return badField("Claims", "must be live")
		}
	}
	return checkName("By", s.By)
}

// Run identifies one run of a daemon on a host.
type Run struct {
	Host        HostName    `json:"Host"`
	Incarnation Incarnation `json:"Incarnation"`
}

// RunsEnded records that runs of daemons have ended permanently, so that no
// daemon waits for their leases to expire. A run writes it about itself as its
// last action if it is still a member of the view; an operator has it written
// for lost hosts.
type RunsEnded struct {
	Runs []Run `json:"Runs"`
}

// Check implements Checker.
func (r RunsEnded) Check() error {
	if len(r.Runs) == 0 {
		return badField("Runs", "must not be empty")
	}
	for _, run := range r.Runs {
		if err := checkName("Host", run.Host); err != nil {
			return err
		}
		if run.Incarnation == 0 {
			return badField("Incarnation", "must not be 0")
		}
	}
	return nil
}

// Record is the content of a log record. Exactly one field is set.
type Record struct {
	Change     *Change     `json:"Change,omitempty"`
	Checkpoint *Checkpoint `json:"Checkpoint,omitempty"`
	ViewChange *ViewChange `json:"ViewChange,omitempty"`
	ViewClosed *ViewClosed `json:"ViewClosed,omitempty"`
	ViewState  *ViewState  `json:"ViewState,omitempty"`
	RunsEnded  *RunsEnded  `json:"RunsEnded,omitempty"`
	Claims     *Claims     `json:"Claims,omitempty"`
	ClaimState *ClaimState `json:"ClaimState,omitempty"`
	Verdict    *Verdict    `json:"Verdict,omitempty"`
}

// Check implements Checker.
func (r Record) Check() error {
	return oneOf("record",
		unionField{set: r.Change != nil}, // A malformed change is rejected by its verdict.
		checkedField(r.Checkpoint),
		checkedField(r.ViewChange),
		checkedField(r.ViewClosed),
		checkedField(r.ViewState),
		checkedField(r.RunsEnded),
		checkedField(r.Claims),
		checkedField(r.ClaimState),
		unionField{set: r.Verdict != nil},
	)
}

// Entry is a log record with its offset.
type Entry struct {
	Offset Offset `json:"Offset"`
	// Time is the platform's time of the append, in Unix milliseconds.
	Time   int64  `json:"Time"`
	Record Record `json:"Record"`
	// Bad is set if the record could not be decoded; all readers skip it.
	Bad bool `json:"Bad,omitempty"`
}
