package wick

import (
	"fmt"
)

// The streams of the platform's log that the system reads and writes.
const (
	// ConfigStream holds changes and checkpoints of the configuration.
	ConfigStream StreamName = "Config"
	// ViewStream holds view changes, closings and checkpoints of both.
	ViewStream StreamName = "Views"
	// ClaimStream holds claims on commands and checkpoints of them.
	ClaimStream StreamName = "Claims"
	// AuditStream holds the verdicts on changes, for operators.
	AuditStream StreamName = "Audit"
)

// ClaimStep is a step in the life of a claim.
type ClaimStep string

// The steps of a claim.
const (
	// ClaimTaken claims a key before its command is dispatched.
	ClaimTaken ClaimStep = "Taken"
	// ClaimReleased gives up a claim whose command was never dispatched.
	ClaimReleased ClaimStep = "Released"
	// ClaimAnswered says that the command ran and was answered.
	ClaimAnswered ClaimStep = "Answered"
)

// Claim is one step of one claim on a key.
type Claim struct {
	Step ClaimStep `json:"Step"`
	Key  ClaimKey  `json:"Key"`
	// Request is the try that claims the key.
	Request RequestID `json:"Request"`
	// Holder and Incarnation name the daemon that may dispatch the command.
	Holder      HostName    `json:"Holder"`
	Incarnation Incarnation `json:"Incarnation"`
	// Print identifies the command, so that a key is not used for two.
	Print Fingerprint `json:"Print"`
	// At is the platform's time in Unix seconds when the key was taken; it is
	// set in a ClaimState alone.
	At int64 `json:"At,omitempty"`
	// Life is how long the key stays taken, by the platform's time.
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

// Claims is a batch of steps in one record, in order.
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
// parts, and replays the records after AsOf.
type ClaimState struct {
	// AsOf is the offset of the last record that the checkpoint includes.
	AsOf Offset `json:"AsOf"`
	// Time is the latest time of the platform up to AsOf, in Unix
	// milliseconds.
	Time int64 `json:"Time"`
	// By and Incarnation name the writer of all the parts.
	By          HostName    `json:"By"`
	Incarnation Incarnation `json:"Incarnation"`
	// Part counts from 1 to Parts.
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

// Run names one run of a daemon on a host.
type Run struct {
	Host        HostName    `json:"Host"`
	Incarnation Incarnation `json:"Incarnation"`
}

// RunsEnded tells that runs of daemons have ended for good, so that nobody has
// to wait for them. A run writes it of itself as the last thing it does if the
// view still names it; an operator lets it be written of hosts that are lost.
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

// Record is what one log record holds. Exactly one field is set.
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
		option{set: r.Change != nil}, // A malformed change gets a verdict.
		some(r.Checkpoint),
		some(r.ViewChange),
		some(r.ViewClosed),
		some(r.ViewState),
		some(r.RunsEnded),
		some(r.Claims),
		some(r.ClaimState),
		option{set: r.Verdict != nil},
	)
}

// Entry is a record with its place on the log.
type Entry struct {
	Offset Offset `json:"Offset"`
	// Time is the platform's time of the append, in Unix milliseconds.
	Time   int64  `json:"Time"`
	Record Record `json:"Record"`
	// Bad tells that the record could not be decoded; readers skip it alike.
	Bad bool `json:"Bad,omitempty"`
}
