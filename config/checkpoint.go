package config

import (
	"fmt"

	"currantwick"
)

// partObjects is how many objects one part of a checkpoint holds, so that it
// fits into a record of the log.
const partObjects = 1000

// partKey tells apart checkpoints whose parts may stand mixed on the log.
type partKey struct {
	asOf  wick.Offset
	sum   uint64
	parts int
}

// parts are the parts of one checkpoint that have come.
type parts struct {
	byNumber map[int]wick.Checkpoint
	// since is the platform's time of the first one.
	since int64
}

// Checkpoint returns the whole state in one piece.
func (s *State) Checkpoint() wick.Checkpoint {
	t := s.table
	c := wick.Checkpoint{AsOf: t.offset, Sum: t.sum, Objects: t.Objects()}
	c.Revisions = make([]wick.Based, 0, t.Len())
	for o := range c.Objects.All {
		c.Revisions = append(c.Revisions, wick.Based{Key: o.Key(), Revision: t.Revision(o.Key())})
	}
	return c
}

// Newest returns where the newest whole checkpoint on the log began.
func (s *State) Newest() Mark { return s.newest }

// Split cuts a checkpoint into parts that fit into records of the log. They
// may be appended in any order, and twice.
func Split(c wick.Checkpoint) []wick.Checkpoint { return splitBy(c, partObjects) }

func splitBy(c wick.Checkpoint, each int) []wick.Checkpoint {
	n := max(1, (len(c.Revisions)+each-1)/each)
	out := make([]wick.Checkpoint, n)
	for i := range out {
		out[i] = wick.Checkpoint{AsOf: c.AsOf, Sum: c.Sum, Part: i + 1, Parts: n}
	}
	i := 0
	for o := range c.Objects.All {
		p := &out[i/each]
		appendObject(&p.Objects, o)
		p.Revisions = append(p.Revisions, c.Revisions[i])
		i++
	}
	return out
}

// Join puts the parts of one checkpoint together again.
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

// collect takes in one part of a checkpoint from the log. A reader that knows
// the state at the checkpoint's offset only compares; any other one takes the
// state over once the last part has come.
func (s *State) collect(e wick.Entry) {
	p := *e.Record.Checkpoint
	if own, ok := s.sumAt(p.AsOf); ok && own != p.Sum {
		s.mismatches++
		return
	}
	key := partKey{p.AsOf, p.Sum, max(p.Parts, 1)}
	got := s.parts[key]
	if got == nil {
		got = &parts{make(map[int]wick.Checkpoint), e.Time}
		s.parts[key] = got
	}
	got.byNumber[max(p.Part, 1)] = s.lightened(p)
	if len(got.byNumber) < key.parts {
		return
	}
	delete(s.parts, key)
	s.complete(key, got)
}

// lightened drops the objects of a part that will never be needed.
func (s *State) lightened(p wick.Checkpoint) wick.Checkpoint {
	if p.AsOf > s.table.offset {
		return p
	}
	return wick.Checkpoint{AsOf: p.AsOf}
}

// complete takes in a whole checkpoint from the log.
func (s *State) complete(key partKey, got *parts) {
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
	if key.asOf >= s.newest.AsOf {
		s.newest = Mark{key.asOf, got.since}
	}
	for k := range s.parts {
		if k.asOf < key.asOf {
			delete(s.parts, k)
		}
	}
}

// Restore takes the state over from a whole checkpoint. It only goes forward:
// the error is ErrOlder if the checkpoint is not newer than the state. Held
// entries after it are applied at once.
func (s *State) Restore(c wick.Checkpoint) error {
	if c.AsOf <= s.table.offset {
		return fmt.Errorf("restore as of %d at %d: %w", c.AsOf, s.table.offset, ErrOlder)
	}
	t, err := load(c)
	if err != nil {
		return fmt.Errorf("restore as of %d: %w", c.AsOf, err)
	}
	s.table = t
	s.sums = s.sums[:0]
	s.remember()
	for o := range s.held {
		if o <= c.AsOf {
			delete(s.held, o)
		}
	}
	s.release()
	return nil
}

// load builds a table from a checkpoint and checks that it is whole and that
// its objects fit together.
func load(c wick.Checkpoint) (*Table, error) {
	if err := c.Check(); err != nil {
		return nil, fmt.Errorf("check: %w", err)
	}
	if c.Parts > 1 {
		return nil, fmt.Errorf("part %d of %d alone", c.Part, c.Parts)
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
		if !t.dicts[kindIndex(key.Kind)].fill(&node{name: key.Name, object: o, revision: at}) {
			return nil, fmt.Errorf("%s: stands twice", key)
		}
		t.sum += hash(key.Kind, key.Name, at)
	}
	if t.sum != c.Sum {
		return nil, fmt.Errorf("sum is %x, not %x", t.sum, c.Sum)
	}
	return t, t.link()
}

// link counts all references of t, which must not be shared yet.
func (t *Table) link() error {
	for _, d := range t.dicts {
		for n := range d.all {
			if fs := fits(t, n.object); len(fs) > 0 {
				return fmt.Errorf("%s: %s: %s", n.object.Key(), fs[0].Rule, fs[0].Text)
			}
			for _, r := range refs(n.object) {
				t.node(r.key).uses++ // The nodes are not shared yet.
			}
		}
	}
	return nil
}
