package route

import "slices"

// pageSize is the number of items per page, the unit of copying.
const pageSize = 64

// pages is a copy-on-write vector: an edit copies the page that it modifies, at
// most once per epoch. Copying the struct takes a snapshot, which is immutable
// as soon as the epoch is incremented.
type pages[T any] struct {
	list []*page[T]
	// epoch is the epoch in which list was last copied.
	epoch uint64
}

type page[T any] struct {
	// epoch is the epoch in which the page was last copied.
	epoch uint64
	items [pageSize]T
}

// newPages returns a vector of at least n zero items.
func newPages[T any](n int, epoch uint64) pages[T] {
	p := pages[T]{epoch: epoch}
	p.grow(n, epoch)
	return p
}

// grow extends the vector to at least n items.
func (p *pages[T]) grow(n int, epoch uint64) {
	for len(p.list)*pageSize < n {
		p.copyList(epoch)
		p.list = append(p.list, &page[T]{epoch: epoch})
	}
}

// at returns item i for reading only.
func (p *pages[T]) at(i int) *T { return &p.list[i/pageSize].items[i%pageSize] }

// edit returns item i for writing in the given epoch.
func (p *pages[T]) edit(i int, epoch uint64) *T {
	p.copyList(epoch)
	pg := p.list[i/pageSize]
	if pg.epoch != epoch {
		c := *pg
		c.epoch = epoch
		pg = &c
		p.list[i/pageSize] = pg
	}
	return &pg.items[i%pageSize]
}

func (p *pages[T]) copyList(epoch uint64) {
	if p.epoch != epoch {
		p.list = slices.Clone(p.list)
		p.epoch = epoch
	}
}
