package config

import (
	"fmt"

	"currantwick"
)

// objectsPerPart is the number of objects in one part of a checkpoint, small
// enough for a part to fit into a log record.
const objectsPerPart = 1000

// partKey identifies the checkpoint that a part belongs to, since parts of
// several checkpoints may be interleaved on the log.
type partKey struct {
	asOf  wick.Offset
	sum   uint64
	parts int
}

// parts collects the parts of one checkpoint that have been read.
type parts struct {
	byNumber map[int]wick.Checkpoint
	// firstTime is the platform's time of the first part read.
	firstTime int64
}

// Checkpoint returns the whole state as a single part.
func (s *State) Checkpoint() wick.Checkpoint {
	t := s.table
	c := wick.Checkpoint{AsOf: t.offset, Sum: t.sum, Objects: t.Objects()}
	c.Revisions = make([]wick.Based, 0, t.Len())
	for o := range c.Objects.All {
		c.Revisions = append(c.Revisions, wick.Based{Key: o.Key(), Revision: t.Revision(o.Key())})
	}
	return c
}

// NewestCheckpoint returns the position of the newest complete checkpoint on
// the log.
func (s *State) NewestCheckpoint() CheckpointPosition { return s.newestCheckpoint }

// Split splits a checkpoint into parts that fit into log records. The parts may
// be appended in any order, and more than once.
func Split(c wick.Checkpoint) []wick.Checkpoint { return splitBy(c, objectsPerPart) }

func splitBy(c wick.Checkpoint, perPart int) []wick.Checkpoint {
	n := max(1, (len(c.Revisions)+perPart-1)/perPart)
	out := make([]wick.Checkpoint, n)
	for i := range out {
		out[i] = wick.Checkpoint{AsOf: c.AsOf, Sum: c.Sum, Part: i + 1, Parts: n}
	}
	i := 0
	for o := range c.Objects.All {
		p := &out[i/perPart]
		appendObject(&p.Objects, o)
		p.Revisions = append(p.Revisions, c.Revisions[i])
		i++
	}
	return out
}

// Join joins the parts of one checkpoint.
func Join(list []wick.Checkpoint) wick.Checkpoint {
	var c wick.Checkpoint
	for _, p := range list {
		c.AsOf, c.Sum = p.AsOf, p.Sum
		for o := range p.Objects.All {
			appendObject(&c.Objects, o)
		}
		c.Revisions = append(c.Revisions, p.Revisions...)
	}
	return c
}

func appendObject(to *wick.Objects, o wick.Object) {
	switch v := o.(type) {
	case wick.Model:
		to.Models = append(to.Models, v)
	case wick.Adapter:
		to.Adapters = append(to.Adapters, v)
	case wick.Version:
		to.Versions = append(to.Versions, v)
	case wick.Priority:
		to.Priorities = append(to.Priorities, v)
	case wick.Store:
		to.Stores = append(to.Stores, v)
	case wick.Pool:
		to.Pools = append(to.Pools, v)
	case wick.Endpoint:
		to.Endpoints = append(to.Endpoints, v)
	case wick.Route:
		to.Routes = append(to.Routes, v)
	}
}

// addPart handles one checkpoint part read from the log. A reader that has
// passed the checkpoint's offset compares the sums, and only tracks when the
// checkpoint is complete; any other reader restores the state once all parts
// have been read.
func (s *State) addPart(e wick.Entry) {
	p := *e.Record.Checkpoint
	if sum, ok := s.sumAt(p.AsOf); ok && sum != p.Sum {
		s.mismatches++
		return
	}
	key := partKey{p.AsOf, p.Sum, max(p.Parts, 1)}
	got := s.parts[key]
	if got == nil {
		got = &parts{make(map[int]wick.Checkpoint), e.Time}
		s.parts[key] = got
	}
	got.byNumber[max(p.Part, 1)] = s.dropUnneeded(p)
	if len(got.byNumber) < key.parts {
		return
	}
	delete(s.parts, key)
	s.finishCheckpoint(key, got)
}

// dropUnneeded drops the objects of a part if they will never be needed,
// because the state has already reached the checkpoint's offset.
func (s *State) dropUnneeded(p wick.Checkpoint) wick.Checkpoint {
	if p.AsOf > s.table.offset {
		return p
	}
	return wick.Checkpoint{AsOf: p.AsOf}
}

// finishCheckpoint handles a checkpoint whose parts have all been read from the
// log.
func (s *State) finishCheckpoint(key partKey, got *parts) {
	if key.asOf > s.table.offset {
		list := make([]wick.Checkpoint, key.parts)
		for i := range list {
			list[i] = got.byNumber[i+1]
		}
		if err := s.Restore(Join(list)); err != nil {
			s.mismatches++
			return
		}
	}
	if key.asOf >= s.newestCheckpoint.AsOf {
		s.newestCheckpoint = CheckpointPosition{key.asOf, got.firstTime}
	}
	for k := range s.parts {
		if k.asOf < key.asOf {
			delete(s.parts, k)
		}
	}
}

// Restore replaces the state by that of a complete checkpoint. The offset never
// goes back: the error is ErrNotNewer if the checkpoint is not newer than the
// state. Held entries that follow it are applied at once.
func (s *State) Restore(c wick.Checkpoint) error {
	if c.AsOf <= s.table.offset {
		return fmt.Errorf("restore as of %d at %d: %w", c.AsOf, s.table.offset, ErrNotNewer)
	}
	t, err := buildTable(c)
	if err != nil {
		return fmt.Errorf("restore as of %d: %w", c.AsOf, err)
	}
	s.table = t
	s.sums = s.sums[:0]
	s.recordSum()
	for o := range s.held {
		if o <= c.AsOf {
			delete(s.held, o)
		}
	}
	s.applyHeld()
	return nil
}

// buildTable builds a table from a checkpoint and checks that it is complete
// and that its objects are consistent.
func buildTable(c wick.Checkpoint) (*Table, error) {
	if err := c.Check(); err != nil {
		return nil, fmt.Errorf("check: %w", err)
	}
	if c.Parts > 1 {
		return nil, fmt.Errorf("only part %d of %d", c.Part, c.Parts)
	}
	revisions := make(map[wick.ObjectKey]wick.Offset, len(c.Revisions))
	for _, b := range c.Revisions {
		revisions[b.Key] = b.Revision
	}
	t := &Table{offset: c.AsOf}
	for o := range c.Objects.All {
		key := o.Key()
		at, ok := revisions[key]
		if !ok || at == 0 || at > c.AsOf {
			return nil, fmt.Errorf("%s: revision %d is not within 1 to %d", key, at, c.AsOf)
		}
		if !t.dicts[kindIndex(key.Kind)].insertInPlace(&node{name: key.Name, object: o, revision: at}) {
			return nil, fmt.Errorf("%s: listed twice", key)
		}
		t.sum += revisionHash(key.Kind, key.Name, at)
	}
	if t.sum != c.Sum {
		return nil, fmt.Errorf("checksum %x does not match %x", t.sum, c.Sum)
	}
	return t, t.checkAndCountRefs()
}

// checkAndCountRefs checks all objects of t and counts their references. t must
// not be shared yet.
func (t *Table) checkAndCountRefs() error {
	for _, d := range t.dicts {
		for n := range d.all {
			if fs := checkObject(t, n.object); len(fs) > 0 {
				return fmt.Errorf("%s: %s: %s", n.object.Key(), fs[0].Rule, fs[0].Text)
			}
			for _, r := range objectRefs(n.object) {
				t.node(r.key).refCount++ // The nodes are not shared yet.
			}
		}
	}
	return nil
}
