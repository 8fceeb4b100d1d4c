package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"currantwick"

	"pgregory.net/rapid"
)

// history is a stream as it was written, with the result of each record.
type history struct {
	entries  []wick.Entry
	verdicts map[wick.Offset]wick.Verdict
	// checkpoints holds the state as of each offset.
	checkpoints []wick.Checkpoint
	// complete are the checkpoints that are complete on the log, each with the
	// offset of its last part.
	complete []complete
}

type complete struct{ asOf, lastPart wick.Offset }

var names = []string{"a", "b", "c"}

func pick(t *rapid.T, label string) string { return rapid.SampledFrom(names).Draw(t, label) }

// drawObjects draws a few objects, many of which have broken references or are
// inconsistent.
func drawObjects(t *rapid.T) wick.Objects {
	var o wick.Objects
	for range rapid.IntRange(1, 4).Draw(t, "puts") {
		name := pick(t, "name")
		switch rapid.IntRange(0, 7).Draw(t, "kind") {
		case 0:
			o.Models = append(o.Models, wick.Model{Name: wick.ModelName(name), Context: wick.Tokens(rapid.IntRange(0, 3).Draw(t, "context"))})
		case 1, 2:
			o.Adapters = append(o.Adapters, wick.Adapter{Name: wick.AdapterName(name), Model: wick.ModelName(pick(t, "model"))})
		case 3, 4:
			o.Versions = append(o.Versions, wick.Version{
				Adapter: wick.AdapterName(name), Name: "v", Source: pick(t, "source"), Size: 1,
			})
		case 5:
			o.Pools = append(o.Pools, wick.Pool{Name: wick.PoolName(name), Kind: wick.ServiceEndpoint})
			if rapid.Bool().Draw(t, "runners") {
				o.Pools[len(o.Pools)-1] = wick.Pool{
					Name: wick.PoolName(name), Kind: wick.RunnerEndpoint, Model: wick.ModelName(pick(t, "model")), Store: "weights",
				}
			}
		default:
			o.Routes = append(o.Routes, wick.Route{
				Name: wick.RouteName(name), Pool: wick.PoolName(pick(t, "pool")), Priority: "short",
				Ref: wick.Ref{Adapter: wick.AdapterName(pick(t, "adapter")), Version: "v"},
			})
		}
	}
	return o
}

func drawChange(t *rapid.T, now *Table) wick.Change {
	c := wick.Change{ID: wick.ChangeID(pick(t, "id")), Operator: "op"}
	if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
		for range rapid.IntRange(1, 3).Draw(t, "deletes") {
			k := key(rapid.SampledFrom(kinds[:]).Draw(t, "kind"), pick(t, "name"))
			if k.Kind == wick.KindVersion {
				k.Name += "/v"
			}
			c.Deletes = append(c.Deletes, k)
		}
	} else {
		c.Puts = drawObjects(t)
	}
	if rapid.IntRange(0, 3).Draw(t, "conditional") == 0 {
		k := key(wick.KindAdapter, pick(t, "name"))
		by := wick.Offset(rapid.IntRange(0, 1).Draw(t, "moved"))
		c.Based = []wick.Based{{Key: k, Revision: now.Revision(k) + by}}
	}
	return c
}

// drawHistory draws a stream of changes, checkpoints in parts, checkpoints of a
// different state, and records that can't be decoded.
func drawHistory(t *rapid.T) *history {
	h := &history{verdicts: make(map[wick.Offset]wick.Verdict)}
	s := New()
	add := func(r wick.Record, bad bool) {
		e := wick.Entry{Offset: wick.Offset(len(h.entries) + 1), Record: r, Bad: bad}
		h.entries = append(h.entries, e)
		if v, ok := s.Apply(e); ok {
			h.verdicts[e.Offset] = v
		}
		h.checkpoints = append(h.checkpoints, s.Checkpoint())
	}
	base := change(wick.Objects{
		Models:     []wick.Model{{Name: "a", Context: 2}},
		Stores:     []wick.Store{{Name: "weights", Rate: 1, FullSpeed: 1, Knee: 1}},
		Priorities: []wick.Priority{{Name: "short", Level: 1, Deadline: 1}},
	})
	add(wick.Record{Change: &base}, false)
	for range rapid.IntRange(5, 25).Draw(t, "records") {
		switch rapid.IntRange(0, 9).Draw(t, "record") {
		case 0:
			add(wick.Record{}, true)
		case 1, 2:
			of := h.checkpoints[len(h.checkpoints)-1-rapid.IntRange(0, min(3, len(h.checkpoints)-1)).Draw(t, "age")]
			parts := splitBy(of, rapid.IntRange(1, 3).Draw(t, "objects"))
			for i, p := range parts {
				if i > 0 && rapid.IntRange(0, 3).Draw(t, "between") == 0 {
					c := drawChange(t, s.Table())
					add(wick.Record{Change: &c}, false)
				}
				add(wick.Record{Checkpoint: &p}, false)
			}
			h.complete = append(h.complete, complete{of.AsOf, wick.Offset(len(h.entries))})
		case 3:
			mismatched := wick.Checkpoint{AsOf: wick.Offset(rapid.IntRange(1, len(h.entries)+2).Draw(t, "as of")), Sum: 7}
			add(wick.Record{Checkpoint: &mismatched}, false)
		default:
			c := drawChange(t, s.Table())
			add(wick.Record{Change: &c}, false)
		}
	}
	return h
}

// reader applies a stream to a state and checks that its offset never goes
// back.
type reader struct {
	t        *rapid.T
	s        *State
	verdicts map[wick.Offset]wick.Verdict
	last     wick.Offset
}

func newReader(t *rapid.T) *reader {
	return &reader{t: t, s: New(), verdicts: make(map[wick.Offset]wick.Verdict)}
}

func (r *reader) record(vs ...wick.Verdict) {
	for _, v := range append(vs, r.s.LateVerdicts()...) {
		r.verdicts[v.Offset] = v
	}
	if r.s.Offset() < r.last || r.s.Table().Offset() != r.s.Offset() {
		r.t.Fatalf("went from offset %d to %d", r.last, r.s.Offset())
	}
	r.last = r.s.Offset()
}

func (r *reader) apply(e wick.Entry) {
	if v, ok := r.s.Apply(e); ok {
		r.record(v)
	}
	r.record()
}

// readLog reads the log, whose oldest retained offset is from.
func (r *reader) readLog(h *history, from wick.Offset) {
	for {
		next := r.s.Next()
		at := int(max(next, from)) - 1
		if at >= len(h.entries) {
			return
		}
		n := rapid.IntRange(1, 5).Draw(r.t, "read")
		r.record(r.s.ApplyRead(next, h.entries[at:min(at+n, len(h.entries))])...)
	}
}

// readPaths are the ways in which a reader may receive a history.
var readPaths = []struct {
	name string
	run  func(r *reader, h *history)
}{
	{"complete log", func(r *reader, h *history) { r.readLog(h, 1) }},
	{"truncated log", func(r *reader, h *history) {
		u := rapid.SampledFrom(h.complete).Draw(r.t, "checkpoint")
		r.readLog(h, wick.Offset(rapid.IntRange(1, int(u.asOf)+1).Draw(r.t, "oldest")))
	}},
	{"twice and out of order, from peers", func(r *reader, h *history) {
		for _, e := range rapid.Permutation(slices.Concat(h.entries, h.entries)).Draw(r.t, "order") {
			r.apply(e)
		}
	}},
	{"a peer's checkpoint, then entries", func(r *reader, h *history) {
		c := rapid.SampledFrom(h.checkpoints).Draw(r.t, "checkpoint")
		for _, e := range h.entries[:rapid.IntRange(0, len(h.entries)).Draw(r.t, "before")] {
			r.apply(e)
		}
		if err := r.s.Restore(c); err != nil && c.AsOf > r.s.Offset() {
			r.t.Fatalf("restore: %v", err)
		}
		r.record()
		r.readLog(h, c.AsOf+1)
	}},
	{"first entries, an outage longer than retention, then the log", func(r *reader, h *history) {
		u := rapid.SampledFrom(h.complete).Draw(r.t, "checkpoint")
		for _, e := range h.entries[:rapid.IntRange(0, int(u.asOf)).Draw(r.t, "before")] {
			r.apply(e)
		}
		r.readLog(h, u.asOf+1)
	}},
}

func TestAllReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		want := h.checkpoints[len(h.checkpoints)-1]
		for _, path := range readPaths {
			if len(h.complete) == 0 && path.name != "complete log" {
				continue
			}
			r := newReader(t)
			path.run(r, h)
			if got := r.s.Checkpoint(); !reflect.DeepEqual(got, want) {
				t.Fatalf("%s: final state\n%+v\nwant\n%+v", path.name, got, want)
			}
			for at, v := range r.verdicts {
				if !reflect.DeepEqual(v, h.verdicts[at]) {
					t.Fatalf("%s: verdict %+v, want %+v", path.name, v, h.verdicts[at])
				}
			}
			if path.name == "complete log" && !maps.EqualFunc(r.verdicts, h.verdicts, func(a, b wick.Verdict) bool { return a.Offset == b.Offset }) {
				t.Fatalf("complete log: %d verdicts, want %d", len(r.verdicts), len(h.verdicts))
			}
			checkTable(t, r.s.Table())
		}
	})
}

// checkTable checks that no reference of a table is broken, and that its
// reference counts are correct.
func checkTable(t *rapid.T, table *Table) {
	refCount := make(map[wick.ObjectKey]int)
	for o := range table.Objects().All {
		if fs := checkObject(table, o); len(fs) > 0 {
			t.Fatalf("accepted %v: %v", o, fs)
		}
		for _, r := range objectRefs(o) {
			refCount[r.key]++
		}
	}
	for o := range table.Objects().All {
		if n := table.node(o.Key()); n.refCount != refCount[o.Key()] {
			t.Fatalf("%s: %d references counted, want %d", o.Key(), n.refCount, refCount[o.Key()])
		}
	}
}

// TestRacingOperators has operators change an object based on some earlier
// revision, and checks that at most one change of each base is accepted.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		k := key(wick.KindModel, "m")
		winners := make(map[wick.Offset]wick.Offset) // by base
		for i := range rapid.IntRange(2, 20).Draw(t, "changes") {
			read := wick.Offset(rapid.IntRange(0, i).Draw(t, "read at"))
			c := change(wick.Objects{Models: []wick.Model{{Name: "m", Context: 1}}})
			c.Based = []wick.Based{{Key: k, Revision: read}}
			now := s.Table().Revision(k)
			v, _ := s.Apply(entry(wick.Offset(i+1), c))
			if v.Accepted() {
				if by, ok := winners[read]; ok {
					t.Fatalf("changes at %d and %d both accepted on revision %d", by, v.Offset, read)
				}
				winners[read] = v.Offset
				continue
			}
			want := wick.Violation{Key: k, Rule: wick.RuleConflict, Text: fmt.Sprintf("read at %s, now at %s", revisionText(read), revisionText(now))}
			if !slices.Equal(v.Violations, []wick.Violation{want}) {
				t.Fatalf("violations %v, want %v", v.Violations, want)
			}
		}
		if _, ok := winners[0]; !ok && s.Table().Revision(k) != 0 {
			t.Fatal("the object exists, but no change that creates it was accepted")
		}
	})
}
