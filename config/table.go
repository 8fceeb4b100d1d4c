// Package config is the configuration as every daemon applies it: the same
// pure function of the same log, so that all daemons hold the same objects and
// reach the same verdicts, whichever way a record came to them.
package config

import (
	"cmp"
	"iter"
	"slices"

	"currantwick"

	"github.com/cespare/xxhash/v2"
)

// kinds lists the kinds of objects in the order of the fields of wick.Objects.
var kinds = [...]wick.ObjectKind{
	wick.KindModel, wick.KindAdapter, wick.KindVersion, wick.KindPriority,
	wick.KindStore, wick.KindPool, wick.KindEndpoint, wick.KindRoute,
}

// kindIndex returns the place of k among the kinds, or -1.
func kindIndex(k wick.ObjectKind) int { return slices.Index(kinds[:], k) }

// Table is the configuration as of one offset. It never changes, so any number
// of threads may read it.
type Table struct {
	// offset is the last record of the log that the table reflects.
	offset wick.Offset
	// sum is the sum of the hashes of all keys with their revisions. It tells
	// two states apart in any release.
	sum   uint64
	dicts [len(kinds)]dict
}

// Resolved is what a route stands for.
type Resolved struct {
	Route    wick.Route
	Priority wick.Priority
	Pool     wick.Pool
	// Model and Version are zero for pools of services, and Version also for
	// routes to the base model.
	Model   wick.Model
	Version wick.Version
	// Offset is the offset at which the route was resolved.
	Offset wick.Offset
}

// Offset returns the offset of the last record that t reflects.
func (t *Table) Offset() wick.Offset { return t.offset }

// Sum identifies the objects and revisions of t.
func (t *Table) Sum() uint64 { return t.sum }

// Resolve returns what a route stands for. It allocates nothing unless it
// fails.
func (t *Table) Resolve(name wick.RouteName) (Resolved, *wick.Error) {
	route, ok := typed[wick.Route](t, wick.KindRoute, string(name))
	if !ok {
		return Resolved{}, wick.NotRunf(wick.CodeNoRoute, "route %q is not configured", string(name))
	}
	res := Resolved{Route: route, Offset: t.offset}
	res.Priority, _ = t.Priority(route.Priority)
	res.Pool, _ = t.Pool(route.Pool)
	if res.Pool.Kind == wick.RunnerEndpoint {
		res.Model, _ = t.Model(res.Pool.Model)
	}
	if !route.Ref.IsBase() {
		res.Version, _ = t.Version(route.Ref)
	}
	return res, nil
}

// Model returns the named model.
func (t *Table) Model(name wick.ModelName) (wick.Model, bool) {
	return typed[wick.Model](t, wick.KindModel, string(name))
}

// Adapter returns the named adapter.
func (t *Table) Adapter(name wick.AdapterName) (wick.Adapter, bool) {
	return typed[wick.Adapter](t, wick.KindAdapter, string(name))
}

// Version returns the version that ref names.
func (t *Table) Version(ref wick.Ref) (wick.Version, bool) {
	var buf [keyBytes]byte
	name := append(buf[:0], ref.Adapter...)
	name = append(name, '/')
	name = append(name, ref.Version...)
	n := lookup(t.dicts[kindIndex(wick.KindVersion)], xxhash.Sum64(name), name)
	if n == nil {
		return wick.Version{}, false
	}
	return n.object.(wick.Version), true
}

// keyBytes holds any version's key without growing.
const keyBytes = 272

// Priority returns the named priority.
func (t *Table) Priority(name wick.PriorityName) (wick.Priority, bool) {
	return typed[wick.Priority](t, wick.KindPriority, string(name))
}

// Store returns the named store.
func (t *Table) Store(name wick.StoreName) (wick.Store, bool) {
	return typed[wick.Store](t, wick.KindStore, string(name))
}

// Pool returns the named pool.
func (t *Table) Pool(name wick.PoolName) (wick.Pool, bool) {
	return typed[wick.Pool](t, wick.KindPool, string(name))
}

// Endpoint returns the named endpoint.
func (t *Table) Endpoint(name wick.EndpointName) (wick.Endpoint, bool) {
	return typed[wick.Endpoint](t, wick.KindEndpoint, string(name))
}

// Endpoints yields all endpoints, in an order that depends only on their names.
func (t *Table) Endpoints() iter.Seq[wick.Endpoint] {
	return each[wick.Endpoint](t, wick.KindEndpoint)
}

// Stores yields all stores.
func (t *Table) Stores() iter.Seq[wick.Store] {
	return each[wick.Store](t, wick.KindStore)
}

// Routes yields all routes.
func (t *Table) Routes() iter.Seq[wick.Route] {
	return each[wick.Route](t, wick.KindRoute)
}

// Revision returns the offset of the change that last put the object, or 0 if
// there is none of that key.
func (t *Table) Revision(key wick.ObjectKey) wick.Offset {
	if n := t.node(key); n != nil {
		return n.revision
	}
	return 0
}

// Object returns the object of that key.
func (t *Table) Object(key wick.ObjectKey) (wick.Object, bool) {
	if n := t.node(key); n != nil {
		return n.object, true
	}
	return nil, false
}

// Len returns how many objects there are.
func (t *Table) Len() int {
	n := 0
	for _, d := range t.dicts {
		n += d.size
	}
	return n
}

// Count returns how many objects there are of a kind.
func (t *Table) Count(kind wick.ObjectKind) int {
	i := kindIndex(kind)
	if i < 0 {
		return 0
	}
	return t.dicts[i].size
}

// Counts returns how many objects there are of each kind.
func (t *Table) Counts() []wick.KindCount {
	out := make([]wick.KindCount, len(kinds))
	for i, k := range kinds {
		out[i] = wick.KindCount{Kind: k, Count: t.dicts[i].size}
	}
	return out
}

// Objects returns all objects, each list sorted by name.
func (t *Table) Objects() wick.Objects {
	return wick.Objects{
		Models:     list[wick.Model](t, wick.KindModel),
		Adapters:   list[wick.Adapter](t, wick.KindAdapter),
		Versions:   list[wick.Version](t, wick.KindVersion),
		Priorities: list[wick.Priority](t, wick.KindPriority),
		Stores:     list[wick.Store](t, wick.KindStore),
		Pools:      list[wick.Pool](t, wick.KindPool),
		Endpoints:  list[wick.Endpoint](t, wick.KindEndpoint),
		Routes:     list[wick.Route](t, wick.KindRoute),
	}
}

// Select returns the objects of a kind and name with their revisions. An empty
// kind or name stands for all.
func (t *Table) Select(kind wick.ObjectKind, name string) wick.Checkpoint {
	c := wick.Checkpoint{AsOf: t.offset}
	add := func(n *node) {
		appendObject(&c.Objects, n.object)
		c.Revisions = append(c.Revisions, wick.Based{Key: n.object.Key(), Revision: n.revision})
	}
	for i, k := range kinds {
		switch {
		case kind != "" && kind != k:
		case name == "":
			for _, n := range sorted(t.dicts[i]) {
				add(n)
			}
		default:
			if n := t.dicts[i].get(name); n != nil {
				add(n)
			}
		}
	}
	return c
}

// node returns the node of a key, or nil.
func (t *Table) node(key wick.ObjectKey) *node {
	i := kindIndex(key.Kind)
	if i < 0 {
		return nil
	}
	return t.dicts[i].get(key.Name)
}

func typed[T wick.Object](t *Table, kind wick.ObjectKind, name string) (T, bool) {
	n := t.dicts[kindIndex(kind)].get(name)
	if n == nil {
		var zero T
		return zero, false
	}
	return n.object.(T), true
}

func each[T wick.Object](t *Table, kind wick.ObjectKind) iter.Seq[T] {
	return func(yield func(T) bool) {
		for n := range t.dicts[kindIndex(kind)].all {
			if !yield(n.object.(T)) {
				return
			}
		}
	}
}

func list[T wick.Object](t *Table, kind wick.ObjectKind) []T {
	d := t.dicts[kindIndex(kind)]
	if d.size == 0 {
		return nil
	}
	out := make([]T, 0, d.size)
	for _, n := range sorted(d) {
		out = append(out, n.object.(T))
	}
	return out
}

func sorted(d dict) []*node {
	nodes := make([]*node, 0, d.size)
	for n := range d.all {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *node) int { return cmp.Compare(a.name, b.name) })
	return nodes
}

// hash identifies a key with its revision.
func hash(kind wick.ObjectKind, name string, revision wick.Offset) uint64 {
	h := xxhash.Sum64String(name) + uint64(kindIndex(kind)+1)
	var b [16]byte
	for i := range 8 {
		b[i] = byte(h >> (8 * i))
		b[8+i] = byte(revision >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// set puts a node into t, which must not be shared yet.
func (t *Table) set(kind int, n *node) {
	if old := t.dicts[kind].get(n.name); old != nil {
		t.sum -= hash(kinds[kind], old.name, old.revision)
	}
	t.dicts[kind] = t.dicts[kind].with(n)
	t.sum += hash(kinds[kind], n.name, n.revision)
}

// drop takes a node out of t, which must not be shared yet.
func (t *Table) drop(kind int, name string) {
	if old := t.dicts[kind].get(name); old != nil {
		t.sum -= hash(kinds[kind], old.name, old.revision)
	}
	t.dicts[kind] = t.dicts[kind].without(name)
}
