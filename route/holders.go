package route

import "slices"

// setReadyKeys replaces the set of adapters that are ready on endpoint i.
func (b *Builder) setReadyKeys(i int32, keys []uint64) {
	old := b.entries[i].readyKeys
	if slices.Equal(old, keys) {
		return
	}
	for _, k := range old {
		if _, ok := slices.BinarySearch(keys, k); !ok {
			b.removeHolder(k, i)
		}
	}
	for _, k := range keys {
		if _, ok := slices.BinarySearch(old, k); !ok {
			b.addHolder(k, i)
		}
	}
	b.entries[i].readyKeys = keys
}

// addHolder records that endpoint i holds the adapter of key.
func (b *Builder) addHolder(key uint64, i int32) {
	list := b.table.holders.edit(int(key&b.table.mask), b.epoch)
	at := slices.IndexFunc(*list, func(h holders) bool { return h.key == key })
	next := slices.Clone(*list)
	if at < 0 {
		next = append(next, holders{key: key})
		at = len(next) - 1
		b.keyCount++
	}
	next[at].nodes = insertSorted(next[at].nodes, i)
	*list = next
	if b.keyCount > maxMeanBucketKeys*(int(b.table.mask)+1) {
		b.doubleBuckets()
	}
}

// removeHolder records that endpoint i no longer holds the adapter of key.
func (b *Builder) removeHolder(key uint64, i int32) {
	list := b.table.holders.edit(int(key&b.table.mask), b.epoch)
	at := slices.IndexFunc(*list, func(h holders) bool { return h.key == key })
	if at < 0 {
		return
	}
	next := slices.Clone(*list)
	next[at].nodes = removeSorted(next[at].nodes, i)
	if len(next[at].nodes) == 0 {
		next = slices.Delete(next, at, at+1)
		b.keyCount--
	}
	*list = next
}

// maxMeanBucketKeys is the mean number of adapters per bucket above which the
// number of buckets doubles.
const maxMeanBucketKeys = 4

// doubleBuckets doubles the number of holder buckets.
func (b *Builder) doubleBuckets() {
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
