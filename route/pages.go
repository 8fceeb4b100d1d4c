package route

import "slices"

// pageSize is the number of items that are copied together.
const pageSize = 64

// pages is a vector of which old copies stay valid while the newest one
// changes: an edit copies the page it touches, at most once an epoch. Copying
// the struct takes a snapshot, which is immutable once the epoch has moved on.
type pages[T any] struct {
	list []*page[T]
	// epoch is the one in which list was copied last.
	epoch uint64
}

type page[T any] struct {
	// epoch is the one in which the page was copied last.
	epoch uint64
	items [pageSize]T
}

// newPages returns a vector of at least n zero items.
func newPages[T any](n int, epoch uint64) pages[T] {
	p := pages[T]{epoch: epoch}
	p.grow(n, epoch)
	return p
}

// grow makes room for at least n items.
func (p *pages[T]) grow(n int, epoch uint64) {
	for len(p.list)*pageSize < n {
		p.own(epoch)
		p.list = append(p.list, &page[T]{epoch: epoch})
	}
}

// at returns item i, which must not be written to.
func (p *pages[T]) at(i int) *T { return &p.list[i/pageSize].items[i%pageSize] }

// edit returns item i for writing in the given epoch.
func (p *pages[T]) edit(i int, epoch uint64) *T {
	p.own(epoch)
	pg := p.list[i/pageSize]
	if pg.epoch != epoch {
		c := *pg
		c.epoch = epoch
		pg = &c
		p.list[i/pageSize] = pg
	}
	return &pg.items[i%pageSize]
}

func (p *pages[T]) own(epoch uint64) {
	if p.epoch != epoch {
		p.list = slices.Clone(p.list)
		p.epoch = epoch
	}
}
