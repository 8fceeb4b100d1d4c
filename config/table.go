// Package config builds the configuration from the log. It is a pure function
// of the log, so that all daemons hold the same objects and reach the same
// verdicts, however a record reached them.
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

// kindIndex returns the index of k in kinds, or -1.
func kindIndex(k wick.ObjectKind) int { return slices.Index(kinds[:], k) }

// Table is the configuration as of one offset. It is immutable, so any number
// of threads may read it.
type Table struct {
	// offset is the offset of the last log record that the table reflects.
	offset wick.Offset
	// sum is the sum of the hashes of all keys with their revisions. Daemons of
	// different releases compare it, so its definition must not change.
	sum   uint64
	dicts [len(kinds)]dict
}

// Resolved is a route with the objects that it refers to.
type Resolved struct {
	Route    wick.Route
	Priority wick.Priority
	Pool     wick.Pool
	// Model and Version are zero for pools of services; Version is also zero
	// for routes to the base model.
	Model   wick.Model
	Version wick.Version
	// Offset is the offset at which the route was resolved.
	Offset wick.Offset
}

// Offset returns the offset of the last record that t reflects.
func (t *Table) Offset() wick.Offset { return t.offset }

// Sum returns a hash that identifies the keys and revisions of t. It does not
// cover the contents of the objects.
func (t *Table) Sum() uint64 { return t.sum }

// Resolve looks up a route and the objects that it refers to. It does not
// allocate unless it fails.
func (t *Table) Resolve(name wick.RouteName) (Resolved, *wick.Error) {
	route, ok := getObject[wick.Route](t, wick.KindRoute, string(name))
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
	return getObject[wick.Model](t, wick.KindModel, string(name))
}

// Adapter returns the named adapter.
func (t *Table) Adapter(name wick.AdapterName) (wick.Adapter, bool) {
	return getObject[wick.Adapter](t, wick.KindAdapter, string(name))
}

// Version returns the version that ref names.
func (t *Table) Version(ref wick.Ref) (wick.Version, bool) {
	var buf [versionKeyBytes]byte
	name := append(buf[:0], ref.Adapter...)
	name = append(name, '/')
	name = append(name, ref.Version...)
	n := lookup(t.dicts[kindIndex(wick.KindVersion)], xxhash.Sum64(name), name)
	if n == nil {
		return wick.Version{}, false
	}
	return n.object.(wick.Version), true
}

// versionKeyBytes is enough for the key of any version.
const versionKeyBytes = 272

// Priority returns the named priority.
func (t *Table) Priority(name wick.PriorityName) (wick.Priority, bool) {
	return getObject[wick.Priority](t, wick.KindPriority, string(name))
}

// Store returns the named store.
func (t *Table) Store(name wick.StoreName) (wick.Store, bool) {
	return getObject[wick.Store](t, wick.KindStore, string(name))
}

// Pool returns the named pool.
func (t *Table) Pool(name wick.PoolName) (wick.Pool, bool) {
	return getObject[wick.Pool](t, wick.KindPool, string(name))
}

// Endpoint returns the named endpoint.
func (t *Table) Endpoint(name wick.EndpointName) (wick.Endpoint, bool) {
	return getObject[wick.Endpoint](t, wick.KindEndpoint, string(name))
}

// Endpoints yields all endpoints, in an order that depends only on their names.
func (t *Table) Endpoints() iter.Seq[wick.Endpoint] {
	return objectsOf[wick.Endpoint](t, wick.KindEndpoint)
}

// Stores yields all stores.
func (t *Table) Stores() iter.Seq[wick.Store] {
	return objectsOf[wick.Store](t, wick.KindStore)
}

// Routes yields all routes.
func (t *Table) Routes() iter.Seq[wick.Route] {
	return objectsOf[wick.Route](t, wick.KindRoute)
}

// Revision returns the offset of the change that last put the object; 0 if
// there is no such object.
func (t *Table) Revision(key wick.ObjectKey) wick.Offset {
	if n := t.node(key); n != nil {
		return n.revision
	}
	return 0
}

// Object returns the object with that key.
func (t *Table) Object(key wick.ObjectKey) (wick.Object, bool) {
	if n := t.node(key); n != nil {
		return n.object, true
	}
	return nil, false
}

// Len returns the number of objects.
func (t *Table) Len() int {
	n := 0
	for _, d := range t.dicts {
		n += d.size
	}
	return n
}

// Count returns the number of objects of a kind.
func (t *Table) Count(kind wick.ObjectKind) int {
	i := kindIndex(kind)
	if i < 0 {
		return 0
	}
	return t.dicts[i].size
}

// Counts returns the number of objects of each kind.
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
		Models:     sortedObjects[wick.Model](t, wick.KindModel),
		Adapters:   sortedObjects[wick.Adapter](t, wick.KindAdapter),
		Versions:   sortedObjects[wick.Version](t, wick.KindVersion),
		Priorities: sortedObjects[wick.Priority](t, wick.KindPriority),
		Stores:     sortedObjects[wick.Store](t, wick.KindStore),
		Pools:      sortedObjects[wick.Pool](t, wick.KindPool),
		Endpoints:  sortedObjects[wick.Endpoint](t, wick.KindEndpoint),
		Routes:     sortedObjects[wick.Route](t, wick.KindRoute),
	}
}

// Select returns the objects of a kind and name with their revisions. An empty
// kind or name matches all.
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
			for _, n := range sortedNodes(t.dicts[i]) {
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

// node returns the node with that key, or nil.
func (t *Table) node(key wick.ObjectKey) *node {
	i := kindIndex(key.Kind)
	if i < 0 {
		return nil
	}
	return t.dicts[i].get(key.Name)
}

func getObject[T wick.Object](t *Table, kind wick.ObjectKind, name string) (T, bool) {
	n := t.dicts[kindIndex(kind)].get(name)
	if n == nil {
		var zero T
		return zero, false
	}
	return n.object.(T), true
}

func objectsOf[T wick.Object](t *Table, kind wick.ObjectKind) iter.Seq[T] {
	return func(yield func(T) bool) {
		for n := range t.dicts[kindIndex(kind)].all {
			if !yield(n.object.(T)) {
				return
			}
		}
	}
}

func sortedObjects[T wick.Object](t *Table, kind wick.ObjectKind) []T {
	d := t.dicts[kindIndex(kind)]
	if d.size == 0 {
		return nil
	}
	out := make([]T, 0, d.size)
	for _, n := range sortedNodes(d) {
		out = append(out, n.object.(T))
	}
	return out
}

func sortedNodes(d dict) []*node {
	nodes := make([]*node, 0, d.size)
	for n := range d.all {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *node) int { return cmp.Compare(a.name, b.name) })
	return nodes
}

// revisionHash hashes a key with its revision.
func revisionHash(kind wick.ObjectKind, name string, revision wick.Offset) uint64 {
	h := xxhash.Sum64String(name) + uint64(kindIndex(kind)+1)
	var b [16]byte
	for i := range 8 {
		b[i] = byte(h >> (8 * i))
		b[8+i] = byte(revision >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// set adds or replaces a node of t, which must not be shared yet.
func (t *Table) set(kind int, n *node) {
	if old := t.dicts[kind].get(n.name); old != nil {
		t.sum -= revisionHash(kinds[kind], old.name, old.revision)
	}
	t.dicts[kind] = t.dicts[kind].put(n)
	t.sum += revisionHash(kinds[kind], n.name, n.revision)
}

// remove removes a node from t, which must not be shared yet.
func (t *Table) remove(kind int, name string) {
	if old := t.dicts[kind].get(name); old != nil {
		t.sum -= revisionHash(kinds[kind], old.name, old.revision)
	}
	t.dicts[kind] = t.dicts[kind].delete(name)
}
