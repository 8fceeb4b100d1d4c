package route

import "slices"

// hold replaces the set of adapters that endpoint i holds.
func (b *Builder) hold(i int32, keys []uint64) {
	old := b.entries[i].ready
	if slices.Equal(old, keys) {
		return
	}
	for _, k := range old {
		if _, ok := slices.BinarySearch(keys, k); !ok {
			b.drop(k, i)
		}
	}
	for _, k := range keys {
		if _, ok := slices.BinarySearch(old, k); !ok {
			b.lift(k, i)
		}
	}
	b.entries[i].ready = keys
}

// lift notes that endpoint i holds key.
func (b *Builder) lift(key uint64, i int32) {
	list := b.table.holders.edit(int(key&b.table.mask), b.epoch)
	at := slices.IndexFunc(*list, func(h holders) bool { return h.key == key })
	next := slices.Clone(*list)
	if at < 0 {
		next = append(next, holders{key: key})
		at = len(next) - 1
		b.keys++
	}
	next[at].nodes = with(next[at].nodes, i)
	*list = next
	if b.keys > bucketKeys*(int(b.table.mask)+1) {
		b.double()
	}
}

// drop notes that endpoint i no longer holds key.
func (b *Builder) drop(key uint64, i int32) {
	list := b.table.holders.edit(int(key&b.table.mask), b.epoch)
	at := slices.IndexFunc(*list, func(h holders) bool { return h.key == key })
	if at < 0 {
		return
	}
	next := slices.Clone(*list)
	next[at].nodes = without(next[at].nodes, i)
	if len(next[at].nodes) == 0 {
		next = slices.Delete(next, at, at+1)
		b.keys--
	}
	*list = next
}

// bucketKeys is the mean number of adapters in a bucket at which their number
// doubles.
const bucketKeys = 4

// double gives the holders twice as many buckets.
func (b *Builder) double() {
	n := int(b.table.mask) + 1
	mask := uint64(2*n - 1)
	next := newPages[[]holders](2*n, b.epoch)
	for i := range n {
		for _, h := range *b.table.holders.at(i) {
			list := next.edit(int(h.key&mask), b.epoch)
			*list = append(*list, h)
		}
	}
	b.table.holders, b.table.mask = next, mask
}
