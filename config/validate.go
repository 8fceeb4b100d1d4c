package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"currantwick"
)

const (
	// maxReferrers is how many of the objects that refer to a deleted one a
	// violation lists.
	maxReferrers = 3
	// maxViolations is how many violations a verdict lists, besides a last one
	// that counts the rest, so that it fits into a log record.
	maxViolations = 200
	// keyChange stands for the change itself in a violation's key.
	keyChange wick.ObjectKind = "Change"
)

// Validate validates a change against t and returns all its violations; none if
// the change would be accepted.
func Validate(t *Table, c wick.Change) []wick.Violation {
	_, vs := next(t, c, t.offset+1)
	return vs
}

// transition validates one change and builds the table that results from it.
type transition struct {
	old  *Table
	next *Table
	// change is the change under validation, and offset its offset on the log.
	change wick.Change
	offset wick.Offset
	// named holds every key that the change puts or deletes, and deleted those
	// it deletes.
	named   map[wick.ObjectKey]bool
	deleted map[wick.ObjectKey]bool
	// malformed holds the puts that are malformed; they are not checked further.
	malformed map[wick.ObjectKey]bool
	// violations holds each violation once, and reported the same as a set.
	violations []wick.Violation
	reported   map[wick.Violation]bool
}

// next returns the table after a change, and the violations. The table is valid
// only if there are no violations.
func next(t *Table, c wick.Change, at wick.Offset) (*Table, []wick.Violation) {
	table := *t
	table.offset = at
	tr := newTransition(t, &table, c, at)
	tr.checkWellFormed()
	tr.checkRevisions()
	tr.applyPuts()
	tr.countRefs()
	tr.checkPuts()
	tr.applyDeletes()
	if tr.mayInvalidateReferrers() {
		tr.checkReferrers()
	}
	tr.checkAddresses()
	return tr.next, tr.violations
}

func newTransition(old, next *Table, c wick.Change, offset wick.Offset) *transition {
	return &transition{
		old:       old,
		next:      next,
		change:    c,
		offset:    offset,
		named:     make(map[wick.ObjectKey]bool),
		deleted:   make(map[wick.ObjectKey]bool, len(c.Deletes)),
		malformed: make(map[wick.ObjectKey]bool),
		reported:  make(map[wick.Violation]bool),
	}
}

func (tr *transition) add(key wick.ObjectKey, rule wick.Rule, format string, args ...any) {
	v := wick.Violation{Key: key, Rule: rule, Text: fmt.Sprintf(format, args...)}
	if !tr.reported[v] {
		tr.reported[v] = true
		tr.violations = append(tr.violations, v)
	}
}

// checkWellFormed checks the change and each of its objects in isolation.
func (tr *transition) checkWellFormed() {
	c := tr.change
	self := wick.ObjectKey{Kind: keyChange, Name: string(c.ID)}
	if err := checkHeader(c); err != nil {
		tr.add(self, wick.RuleWellFormed, "%v", err)
	}
	for o := range c.Puts.All {
		key := o.Key()
		if err := o.Check(); err != nil {
			tr.malformed[key] = true
			tr.add(key, wick.RuleWellFormed, "%v", err)
		}
		tr.checkOnce(key)
	}
	for _, key := range c.Deletes {
		tr.checkOnce(key)
		tr.deleted[key] = true
	}
	if len(tr.named) == 0 {
		tr.add(self, wick.RuleWellFormed, "puts and deletes nothing")
	}
}

// checkHeader checks the fields of a change other than its objects.
func checkHeader(c wick.Change) error {
	bare := wick.Change{ID: c.ID, Operator: c.Operator, Deletes: make([]wick.ObjectKey, 1)}
	return bare.Check()
}

func (tr *transition) checkOnce(key wick.ObjectKey) {
	if tr.named[key] {
		tr.add(key, wick.RuleWellFormed, "named twice in one change")
	}
	tr.named[key] = true
}

// checkRevisions checks that the objects the operator had read are unchanged.
func (tr *transition) checkRevisions() {
	for _, b := range tr.change.Based {
		now := tr.old.Revision(b.Key)
		if now == b.Revision {
			continue
		}
		tr.add(b.Key, wick.RuleConflict, "read at %s, now at %s", revisionText(b.Revision), revisionText(now))
	}
}

func revisionText(o wick.Offset) string {
	if o == 0 {
		return "no revision"
	}
	return fmt.Sprintf("revision %d", o)
}

// applyPuts adds the puts to the next table.
func (tr *transition) applyPuts() {
	for o := range tr.change.Puts.All {
		key := o.Key()
		n := &node{name: key.Name, object: o, revision: tr.offset}
		if old := tr.next.node(key); old != nil {
			n.refCount = old.refCount
			tr.checkImmutable(key, old.object, o)
		}
		tr.next.set(kindIndex(key.Kind), n)
	}
}

func (tr *transition) checkImmutable(key wick.ObjectKey, old, now wick.Object) {
	v, ok := now.(wick.Version)
	if ok && old != wick.Object(v) {
		tr.add(key, wick.RuleImmutable, "Source and Size of a version never change")
	}
}

// countRefs subtracts the references of the objects that the change replaces or
// deletes from the reference counts, and adds those of the objects it puts.
func (tr *transition) countRefs() {
	counts := make(map[wick.ObjectKey]int)
	for key := range tr.named {
		if old, ok := tr.old.Object(key); ok {
			for _, r := range objectRefs(old) {
				counts[r.key]--
			}
		}
		if now, ok := tr.next.Object(key); ok && !tr.deleted[key] {
			for _, r := range objectRefs(now) {
				counts[r.key]++
			}
		}
	}
	for key, by := range counts {
		if n := tr.next.node(key); n != nil && by != 0 {
			updated := *n
			updated.refCount += by
			tr.next.set(kindIndex(key.Kind), &updated)
		}
	}
}

// checkPuts checks that the objects put by the change refer to existing objects
// and are consistent with them.
func (tr *transition) checkPuts() {
	for o := range tr.change.Puts.All {
		key := o.Key()
		if tr.malformed[key] {
			continue
		}
		for _, v := range checkObject(tr.next, o) {
			tr.add(key, v.Rule, "%s", v.Text)
		}
	}
}

// applyDeletes removes the deleted objects from the next table.
func (tr *transition) applyDeletes() {
	var used []wick.ObjectKey
	for _, key := range tr.change.Deletes {
		n := tr.next.node(key)
		if n == nil {
			tr.add(key, wick.RuleReference, "deleted, but does not exist")
			continue
		}
		if n.refCount > 0 {
			used = append(used, key)
		}
		tr.next.remove(kindIndex(key.Kind), key.Name)
	}
	if len(used) > 0 {
		tr.addInUse(used)
	}
}

// addInUse reports the deleted objects that others still reference.
func (tr *transition) addInUse(used []wick.ObjectKey) {
	referrers := make(map[wick.ObjectKey][]string)
	for _, d := range tr.next.dicts {
		for n := range d.all {
			for _, r := range objectRefs(n.object) {
				if tr.deleted[r.key] {
					referrers[r.key] = append(referrers[r.key], n.object.Key().String())
				}
			}
		}
	}
	for _, key := range used {
		tr.add(key, wick.RuleInUse, "still referred to by %s", joinFirst(referrers[key]))
	}
}

// joinFirst joins the first maxReferrers names and counts the rest.
func joinFirst(names []string) string {
	slices.Sort(names)
	if more := len(names) - maxReferrers; more > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxReferrers], ", "), more)
	}
	return strings.Join(names, ", ")
}

// mayInvalidateReferrers reports whether the change puts an object such that
// objects that refer to it may become invalid.
func (tr *transition) mayInvalidateReferrers() bool {
	for o := range tr.change.Puts.All {
		old, ok := tr.old.Object(o.Key())
		if ok && mayInvalidate(old, o) {
			return true
		}
	}
	return false
}

// mayInvalidate reports whether replacing old by now may make objects that
// refer to it invalid.
func mayInvalidate(old, now wick.Object) bool {
	switch n := now.(type) {
	case wick.Model:
		return n.Context < old.(wick.Model).Context
	case wick.Adapter:
		return n.Model != old.(wick.Adapter).Model
	case wick.Pool:
		o := old.(wick.Pool)
		return n.Kind != o.Kind || n.Model != o.Model
	}
	return false
}

// checkReferrers checks all objects that the change does not name. It reports
// only as many as fit under maxViolations.
func (tr *transition) checkReferrers() {
	for _, d := range tr.next.dicts {
		for _, n := range sortedNodes(d) {
			key := n.object.Key()
			if tr.named[key] {
				continue
			}
			for _, v := range checkObject(tr.next, n.object) {
				if v.Rule == wick.RuleMatch && len(tr.violations) < maxViolations {
					tr.add(key, v.Rule, "%s", v.Text)
				}
			}
		}
	}
}

// checkAddresses checks that no two endpoints share an address.
func (tr *transition) checkAddresses() {
	puts := tr.change.Puts.Endpoints
	if len(puts) == 0 {
		return
	}
	at := make(map[wick.Address][]wick.EndpointName, tr.next.Count(wick.KindEndpoint))
	for e := range tr.next.Endpoints() {
		at[e.Address] = append(at[e.Address], e.Name)
	}
	for _, e := range puts {
		names := at[e.Address]
		if len(names) < 2 {
			continue
		}
		slices.Sort(names)
		tr.add(e.Key(), wick.RuleMatch, "Address: %s is shared by endpoints %v", e.Address, names)
	}
}

// JoinViolations joins violations into one error; nil if there are none.
func JoinViolations(vs []wick.Violation) error {
	errs := make([]error, len(vs))
	for i, v := range vs {
		errs[i] = v
	}
	return errors.Join(errs...)
}
