package wick

import (
	"errors"
	"fmt"
)

// Objects is a set of configuration objects, with one list per kind.
type Objects struct {
	Models     []Model    `json:"Models,omitempty"`
	Adapters   []Adapter  `json:"Adapters,omitempty"`
	Versions   []Version  `json:"Versions,omitempty"`
	Priorities []Priority `json:"Priorities,omitempty"`
	Stores     []Store    `json:"Stores,omitempty"`
	Pools      []Pool     `json:"Pools,omitempty"`
	Endpoints  []Endpoint `json:"Endpoints,omitempty"`
	Routes     []Route    `json:"Routes,omitempty"`
}

// All calls yield for every object, in the order of the fields.
func (o Objects) All(yield func(Object) bool) {
	_ = yieldAll(o.Models, yield) &&
		yieldAll(o.Adapters, yield) &&
		yieldAll(o.Versions, yield) &&
		yieldAll(o.Priorities, yield) &&
		yieldAll(o.Stores, yield) &&
		yieldAll(o.Pools, yield) &&
		yieldAll(o.Endpoints, yield) &&
		yieldAll(o.Routes, yield)
}

func yieldAll[T Object](list []T, yield func(Object) bool) bool {
	for _, v := range list {
		if !yield(v) {
			return false
		}
	}
	return true
}

// Based is an object and its revision: the one that a change expects, or the one
// that a checkpoint contains.
type Based struct {
	Key ObjectKey `json:"Key"`
	// Revision is the offset of the last change that put the object; 0 means
	// that the object did not exist.
	Revision Offset `json:"Revision"`
}

// Change is an atomic change of the configuration.
type Change struct {
	ID       ChangeID     `json:"ID"`
	Operator OperatorName `json:"Operator"`
	Puts     Objects      `json:"Puts,omitzero"`
	Deletes  []ObjectKey  `json:"Deletes,omitempty"`
	// Based lists the object revisions that the operator had read. The change
	// is rejected if any of these objects has changed since.
	Based []Based `json:"Based,omitempty"`
}

// Check implements Checker. It validates each object by itself; package config
// validates references against the whole configuration.
func (c Change) Check() error {
	if err := checkName("ID", c.ID); err != nil {
		return err
	}
	if err := checkName("Operator", c.Operator); err != nil {
		return err
	}
	seen := make(map[ObjectKey]bool)
	for o := range c.Puts.All {
		if err := o.Check(); err != nil {
			return fmt.Errorf("%s: %w", o.Key(), err)
		}
		if seen[o.Key()] {
			return fmt.Errorf("%s: named twice in one change", o.Key())
		}
		seen[o.Key()] = true
	}
	for _, k := range c.Deletes {
		if seen[k] {
			return fmt.Errorf("%s: named twice in one change", k)
		}
		seen[k] = true
	}
	if len(seen) == 0 {
		return errors.New("change puts and deletes nothing")
	}
	return nil
}

// Rule names a rule that a rejected change violated.
type Rule string

// The rules of the configuration.
const (
	RuleWellFormed Rule = "WellFormed" // an object violates its own invariant
	RuleReference  Rule = "Reference"  // a referenced object does not exist
	RuleInUse      Rule = "InUse"      // a deleted object is still referenced
	RuleConflict   Rule = "Moved"      // an object changed since it was read
	RuleImmutable  Rule = "Immutable"  // a version's weights must not change
	RuleMatch      Rule = "Match"      // two objects are incompatible
)

// Violation reports that an object of a change violates a rule.
type Violation struct {
	Key  ObjectKey `json:"Key"`
	Rule Rule      `json:"Rule"`
	Text string    `json:"Text"`
}

// Error implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("%s: %s: %s", v.Key, v.Rule, v.Text)
}

// Verdict is the result of validating a change. All daemons reach the same one.
type Verdict struct {
	Change   ChangeID     `json:"Change"`
	Operator OperatorName `json:"Operator"`
	// Offset is the offset of the change on the log.
	Offset Offset `json:"Offset"`
	// Violations is empty if and only if the change was accepted.
	Violations []Violation `json:"Violations,omitempty"`
}

// Accepted reports whether the change took effect.
func (v Verdict) Accepted() bool { return len(v.Violations) == 0 }

// Checkpoint is the whole configuration as of one offset, so that readers need
// no older records. A large one is split into parts on the log.
type Checkpoint struct {
	// AsOf is the offset of the last record that is part of the state.
	AsOf Offset `json:"AsOf"`
	// Sum is a checksum of the objects and revisions of the whole checkpoint,
	// by which readers detect an incomplete one.
	Sum uint64 `json:"Sum,omitempty"`
	// Part is the number of this part, from 1 to Parts; both are 0 for a
	// checkpoint that is not split.
	Part    int     `json:"Part,omitempty"`
	Parts   int     `json:"Parts,omitempty"`
	Objects Objects `json:"Objects"`
	// Revisions has the revision of every object.
	Revisions []Based `json:"Revisions"`
}

// maxCheckpointParts bounds the parts of a checkpoint.
const maxCheckpointParts = 10_000

// Check implements Checker.
func (c Checkpoint) Check() error {
	if c.Part < 0 || c.Part > c.Parts || c.Parts > 0 && c.Part == 0 || c.Parts > maxCheckpointParts {
		return badField("Part, Parts", "%d of %d", c.Part, c.Parts)
	}
	n := 0
	for o := range c.Objects.All {
		if err := o.Check(); err != nil {
			return fmt.Errorf("%s: %w", o.Key(), err)
		}
		n++
	}
	if n != len(c.Revisions) {
		return badField("Revisions", "%d for %d objects", len(c.Revisions), n)
	}
	return nil
}
