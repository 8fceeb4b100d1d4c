package config

import (
	"slices"

	"currantwick"

	"github.com/cespare/xxhash/v2"
)

// fanout is the number of children at each of the two levels of a dict.
const fanout = 64

// node is one object with its metadata. Nodes are immutable once they are part
// of a table.
type node struct {
	name   string
	object wick.Object
	// revision is the offset of the change that last put the object.
	revision wick.Offset
	// refCount is the number of references of other objects to this one.
	refCount int
}

// bucket holds the nodes of one hash position, sorted by name.
type bucket []*node

// dict is a persistent hash trie from names to nodes. Its values are immutable:
// put and delete copy only the path that they change, so that changing one
// object among tens of thousands copies a few kilobytes.
type dict struct {
	root *[fanout]*[fanout]bucket
	size int
}

// stringOrBytes allows lookups by byte slices without allocating a string.
type stringOrBytes interface{ ~string | ~[]byte }

func position(hash uint64) (uint64, uint64) {
	return hash % fanout, hash / fanout % fanout
}

func find[T stringOrBytes](b bucket, name T) (int, bool) {
	lo, hi := 0, len(b)
	for lo < hi {
		mid := (lo + hi) / 2
		if b[mid].name < string(name) {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo, lo < len(b) && b[lo].name == string(name)
}

func (d dict) get(name string) *node {
	return lookup(d, xxhash.Sum64String(name), name)
}

// lookup returns the node with the given name, whose hash is given, or nil.
func lookup[T stringOrBytes](d dict, hash uint64, name T) *node {
	if d.root == nil {
		return nil
	}
	i, j := position(hash)
	if d.root[i] == nil {
		return nil
	}
	b := d.root[i][j]
	k, ok := find(b, name)
	if !ok {
		return nil
	}
	return b[k]
}

// copyPath returns d with a copy of the path to the bucket at i and j, and a
// pointer to that bucket.
func (d dict) copyPath(i, j uint64) (dict, *bucket) {
	root := new([fanout]*[fanout]bucket)
	if d.root != nil {
		*root = *d.root
	}
	inner := new([fanout]bucket)
	if root[i] != nil {
		*inner = *root[i]
	}
	root[i] = inner
	return dict{root, d.size}, &inner[j]
}

// put returns d with n added or replaced.
func (d dict) put(n *node) dict {
	i, j := position(xxhash.Sum64String(n.name))
	d, b := d.copyPath(i, j)
	k, ok := find(*b, n.name)
	if ok {
		*b = slices.Clone(*b)
		(*b)[k] = n
		return d
	}
	grown := make(bucket, 0, len(*b)+1)
	grown = append(grown, (*b)[:k]...)
	grown = append(grown, n)
	*b = append(grown, (*b)[k:]...)
	d.size++
	return d
}

// insertInPlace inserts n into d without copying and reports whether its name
// was new. No other dict may share d's buckets.
func (d *dict) insertInPlace(n *node) bool {
	i, j := position(xxhash.Sum64String(n.name))
	if d.root == nil {
		d.root = new([fanout]*[fanout]bucket)
	}
	if d.root[i] == nil {
		d.root[i] = new([fanout]bucket)
	}
	b := &d.root[i][j]
	k, ok := find(*b, n.name)
	if ok {
		return false
	}
	*b = slices.Insert(*b, k, n)
	d.size++
	return true
}

// delete returns d without the node of that name.
func (d dict) delete(name string) dict {
	if d.get(name) == nil {
		return d
	}
	i, j := position(xxhash.Sum64String(name))
	d, b := d.copyPath(i, j)
	k, _ := find(*b, name)
	*b = slices.Delete(slices.Clone(*b), k, k+1)
	d.size--
	return d
}

// all calls yield for every node, in an order that depends only on the names.
func (d dict) all(yield func(*node) bool) {
	if d.root == nil {
		return
	}
	for _, inner := range d.root {
		if inner == nil {
			continue
		}
		for _, b := range inner {
			for _, n := range b {
				if !yield(n) {
					return
				}
			}
		}
	}
}
