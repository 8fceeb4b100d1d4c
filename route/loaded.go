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
			b.removeLoaded(k, i)
		}
	}
	for _, k := range keys {
		if _, ok := slices.BinarySearch(old, k); !ok {
			b.addLoaded(k, i)
		}
	}
	b.entries[i].readyKeys = keys
}

// addLoaded records that endpoint i has the adapter of key loaded.
func (b *Builder) addLoaded(key uint64, i int32) {
	list := b.table.loadedOn.edit(int(key&b.table.mask), b.epoch)
	at := slices.IndexFunc(*list, func(h loadedOn) bool { return h.key == key })
	next := slices.Clone(*list)
	if at < 0 {
		next = append(next, loadedOn{key: key})
		at = len(next) - 1
		b.keyCount++
	}
	next[at].endpoints = insertSorted(next[at].endpoints, i)
	*list = next
	if b.keyCount > maxMeanBucketKeys*(int(b.table.mask)+1) {
		b.doubleBuckets()
	}
}

// removeLoaded records that endpoint i no longer has the adapter of key loaded.
func (b *Builder) removeLoaded(key uint64, i int32) {
	list := b.table.loadedOn.edit(int(key&b.table.mask), b.epoch)
	at := slices.IndexFunc(*list, func(h loadedOn) bool { return h.key == key })
	if at < 0 {
		return
	}
	next := slices.Clone(*list)
	next[at].endpoints = removeSorted(next[at].endpoints, i)
	if len(next[at].endpoints) == 0 {
		next = slices.Delete(next, at, at+1)
		b.keyCount--
	}
	*list = next
}

// maxMeanBucketKeys is the mean number of adapters per bucket above which the
// number of buckets doubles.
const maxMeanBucketKeys = 4

// doubleBuckets doubles the number of buckets of Table.loadedOn.
func (b *Builder) doubleBuckets() {
	n := int(b.table.mask) + 1
	mask := uint64(2*n - 1)
	next := newPages[[]loadedOn](2*n, b.epoch)
	for i := range n {
		for _, h := range *b.table.loadedOn.at(i) {
			list := next.edit(int(h.key&mask), b.epoch)
			*list = append(*list, h)
		}
	}
	b.table.loadedOn, b.table.mask = next, mask
}
