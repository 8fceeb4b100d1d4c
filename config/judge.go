package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"currantwick"
)

const (
	// maxUsers is how many users of a deleted object a violation names.
	maxUsers = 3
	// maxViolations is how many violations a verdict lists, so that it fits
	// into a record of the log.
	maxViolations = 200
	// keyChange stands for the change itself in a violation's key.
	keyChange wick.ObjectKind = "Change"
)

// Judge returns everything that is wrong with a change to t, or nothing if it
// would be accepted.
func Judge(t *Table, c wick.Change) []wick.Violation {
	_, vs := next(t, c, t.offset+1)
	return vs
}

// trial is a change on its way into the next table.
type trial struct {
	old  *Table
	next *Table
	// change is what is tried, and at is its offset.
	change wick.Change
	at     wick.Offset
	// named holds every key of the change, and deleted those it deletes.
	named   map[wick.ObjectKey]bool
	deleted map[wick.ObjectKey]bool
	// bad holds the puts that are malformed; their references are not judged.
	bad map[wick.ObjectKey]bool
	// violations holds each violation once, and known the same as a set.
	violations []wick.Violation
	known      map[wick.Violation]bool
}

// next returns the table after a change, and the violations. The table is
// meaningful only if there is no violation.
func next(t *Table, c wick.Change, at wick.Offset) (*Table, []wick.Violation) {
	table := *t
	table.offset = at
	tr := newTrial(t, &table, c, at)
	tr.checkForm()
	tr.checkBased()
	tr.put()
	tr.countUses()
	tr.checkPuts()
	tr.delete()
	if tr.shakesUsers() {
		tr.checkUsers()
	}
	tr.checkAddresses()
	return tr.next, tr.violations
}

func newTrial(old, next *Table, c wick.Change, at wick.Offset) *trial {
	return &trial{
		old:     old,
		next:    next,
		change:  c,
		at:      at,
		named:   make(map[wick.ObjectKey]bool),
		deleted: make(map[wick.ObjectKey]bool, len(c.Deletes)),
		bad:     make(map[wick.ObjectKey]bool),
		known:   make(map[wick.Violation]bool),
	}
}

func (tr *trial) add(key wick.ObjectKey, rule wick.Rule, format string, args ...any) {
	v := wick.Violation{Key: key, Rule: rule, Text: fmt.Sprintf(format, args...)}
	if !tr.known[v] {
		tr.known[v] = true
		tr.violations = append(tr.violations, v)
	}
}

// checkForm judges the change and each of its objects alone.
func (tr *trial) checkForm() {
	c := tr.change
	self := wick.ObjectKey{Kind: keyChange, Name: string(c.ID)}
	if err := header(c); err != nil {
		tr.add(self, wick.RuleWellFormed, "%v", err)
	}
	for o := range c.Puts.All {
		key := o.Key()
		if err := o.Check(); err != nil {
			tr.bad[key] = true
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

// header checks the fields of a change beside its objects.
func header(c wick.Change) error {
	bare := wick.Change{ID: c.ID, Operator: c.Operator, Deletes: make([]wick.ObjectKey, 1)}
	return bare.Check()
}

func (tr *trial) checkOnce(key wick.ObjectKey) {
	if tr.named[key] {
		tr.add(key, wick.RuleWellFormed, "named twice in one change")
	}
	tr.named[key] = true
}

// checkBased judges what the operator had read.
func (tr *trial) checkBased() {
	for _, b := range tr.change.Based {
		now := tr.old.Revision(b.Key)
		if now == b.Revision {
			continue
		}
		tr.add(b.Key, wick.RuleMoved, "read at %s, now at %s", revision(b.Revision), revision(now))
	}
}

func revision(o wick.Offset) string {
	if o == 0 {
		return "no revision"
	}
	return fmt.Sprintf("revision %d", o)
}

// put places the puts into the next table.
func (tr *trial) put() {
	for o := range tr.change.Puts.All {
		key := o.Key()
		n := &node{name: key.Name, object: o, revision: tr.at}
		if old := tr.next.node(key); old != nil {
			n.uses = old.uses
			tr.checkImmutable(key, old.object, o)
		}
		tr.next.set(kindIndex(key.Kind), n)
	}
}

func (tr *trial) checkImmutable(key wick.ObjectKey, old, now wick.Object) {
	v, ok := now.(wick.Version)
	if ok && old != wick.Object(v) {
		tr.add(key, wick.RuleImmutable, "Source and Size of a version never change")
	}
}

// countUses takes the references of what the change replaces or deletes off
// the counts, and adds those of what it puts.
func (tr *trial) countUses() {
	counts := make(map[wick.ObjectKey]int)
	for key := range tr.named {
		if old, ok := tr.old.Object(key); ok {
			for _, r := range refs(old) {
				counts[r.key]--
			}
		}
		if now, ok := tr.next.Object(key); ok && !tr.deleted[key] {
			for _, r := range refs(now) {
				counts[r.key]++
			}
		}
	}
	for key, by := range counts {
		if n := tr.next.node(key); n != nil && by != 0 {
			moved := *n
			moved.uses += by
			tr.next.set(kindIndex(key.Kind), &moved)
		}
	}
}

// checkPuts judges the references of what the change puts.
func (tr *trial) checkPuts() {
	for o := range tr.change.Puts.All {
		key := o.Key()
		if tr.bad[key] {
			continue
		}
		for _, v := range fits(tr.next, o) {
			tr.add(key, v.Rule, "%s", v.Text)
		}
	}
}

// delete takes the deleted objects out of the next table.
func (tr *trial) delete() {
	var used []wick.ObjectKey
	for _, key := range tr.change.Deletes {
		n := tr.next.node(key)
		if n == nil {
			tr.add(key, wick.RuleReference, "deleted, but does not exist")
			continue
		}
		if n.uses > 0 {
			used = append(used, key)
		}
		tr.next.drop(kindIndex(key.Kind), key.Name)
	}
	if len(used) > 0 {
		tr.addInUse(used)
	}
}

// addInUse reports the deleted objects that others still refer to.
func (tr *trial) addInUse(used []wick.ObjectKey) {
	users := make(map[wick.ObjectKey][]string)
	for _, d := range tr.next.dicts {
		for n := range d.all {
			for _, r := range refs(n.object) {
				if tr.deleted[r.key] {
					users[r.key] = append(users[r.key], n.object.Key().String())
				}
			}
		}
	}
	for _, key := range used {
		tr.add(key, wick.RuleInUse, "still referred to by %s", firstFew(users[key]))
	}
}

// firstFew names the first few of names.
func firstFew(names []string) string {
	slices.Sort(names)
	if more := len(names) - maxUsers; more > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxUsers], ", "), more)
	}
	return strings.Join(names, ", ")
}

// shakesUsers reports whether the change puts an object that its users may no
// longer fit.
func (tr *trial) shakesUsers() bool {
	for o := range tr.change.Puts.All {
		old, ok := tr.old.Object(o.Key())
		if ok && shakes(old, o) {
			return true
		}
	}
	return false
}

// shakes reports whether users of an object may no longer fit once old has
// become now.
func shakes(old, now wick.Object) bool {
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

// checkUsers judges all objects that the change does not name. The first few
// that no longer fit are reported.
func (tr *trial) checkUsers() {
	for _, d := range tr.next.dicts {
		for _, n := range sorted(d) {
			key := n.object.Key()
			if tr.named[key] {
				continue
			}
			for _, v := range fits(tr.next, n.object) {
				if v.Rule == wick.RuleMatch && len(tr.violations) < maxViolations {
					tr.add(key, v.Rule, "%s", v.Text)
				}
			}
		}
	}
}

// checkAddresses judges that no two endpoints share an address.
func (tr *trial) checkAddresses() {
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

// Wrong joins violations into one error, or nil.
func Wrong(vs []wick.Violation) error {
	errs := make([]error, len(vs))
	for i, v := range vs {
		errs[i] = v
	}
	return errors.Join(errs...)
}
