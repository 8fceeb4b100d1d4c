package route

import (
	"cmp"
	"slices"
)

const (
	// pointsPerEndpoint is the number of points of one endpoint on the ring.
	// More points balance the endpoints' shares better and cost more memory.
	pointsPerEndpoint = 32
	// maxMeanBucketPoints is the mean number of points per bucket above which
	// the ring doubles its buckets.
	maxMeanBucketPoints = 16
)

// point is one position of an endpoint on the ring.
type point struct {
	hash     uint32
	endpoint int32
}

func (a point) compare(b point) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.endpoint, b.endpoint))
}

// ring is a consistent-hash ring. Its points are bucketed by their top bits, so
// that the cost of lookup, add and remove does not depend on the ring's size.
type ring struct {
	// buckets holds 1<<bits sorted lists; a list is replaced, never modified.
	buckets pages[[]point]
	bits    uint
	points  int
}

func newRing(epoch uint64) ring {
	return ring{buckets: newPages[[]point](1, epoch)}
}

func (r *ring) bucket(hash uint32) int { return int(uint64(hash) >> (32 - r.bits)) }

// add adds the points of an endpoint. seed is the hash of the endpoint's name.
func (r *ring) add(endpoint int32, seed, epoch uint64) {
	for i := range uint64(pointsPerEndpoint) {
		p := point{hash: uint32(mix(seed+i) >> 32), endpoint: endpoint}
		b := r.buckets.edit(r.bucket(p.hash), epoch)
		at, _ := slices.BinarySearchFunc(*b, p, point.compare)
		list := make([]point, 0, len(*b)+1)
		list = append(list, (*b)[:at]...)
		list = append(list, p)
		*b = append(list, (*b)[at:]...)
	}
	r.points += pointsPerEndpoint
	for r.points > maxMeanBucketPoints<<r.bits {
		r.doubleBuckets(epoch)
	}
}

// remove removes the points of an endpoint.
func (r *ring) remove(endpoint int32, seed, epoch uint64) {
	for i := range uint64(pointsPerEndpoint) {
		hash := uint32(mix(seed+i) >> 32)
		b := r.buckets.edit(r.bucket(hash), epoch)
		list := make([]point, 0, len(*b))
		for _, p := range *b {
			if p.endpoint != endpoint {
				list = append(list, p)
			}
		}
		*b = list
	}
	r.points -= pointsPerEndpoint
}

// doubleBuckets splits each bucket into two.
func (r *ring) doubleBuckets(epoch uint64) {
	n := 1 << r.bits
	next := newPages[[]point](2*n, epoch)
	bits := r.bits + 1
	for i := range n {
		list := *r.buckets.at(i)
		at := 0
		for at < len(list) && uint64(list[at].hash)>>(32-bits)&1 == 0 {
			at++
		}
		*next.edit(2*i, epoch) = slices.Clone(list[:at])
		*next.edit(2*i+1, epoch) = slices.Clone(list[at:])
	}
	r.buckets, r.bits = next, bits
}

// walk is a position on the ring.
type walk struct {
	ring   *ring
	bucket int
	at     int
	// bucketsLeft counts the buckets that were not visited yet.
	bucketsLeft int
}

// from starts a walk at the first point at or after key.
func (r *ring) from(key uint64) walk {
	hash := uint32(key >> 32)
	w := walk{ring: r, bucket: r.bucket(hash), bucketsLeft: 1 << r.bits}
	list := *r.buckets.at(w.bucket)
	for w.at < len(list) && list[w.at].hash < hash {
		w.at++
	}
	return w
}

// next returns the endpoint of the next point, or false after about one full
// turn of the ring. It may return the first points again before it stops.
func (w *walk) next() (int32, bool) {
	for {
		list := *w.ring.buckets.at(w.bucket)
		if w.at < len(list) {
			w.at++
			return list[w.at-1].endpoint, true
		}
		if w.bucketsLeft == 0 {
			return 0, false
		}
		w.bucketsLeft--
		w.at = 0
		w.bucket = (w.bucket + 1) & (1<<w.ring.bits - 1)
	}
}

// mix is the splitmix64 mixing function.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
