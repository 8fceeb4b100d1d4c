package route

import (
	"fmt"
	"runtime"
	"testing"

	"currantwick"
	"currantwick/tally"
)

var sizes = []struct{ runners, adapters, slots int }{
	{12, 3000, 8},
	{1000, 3000, 8},
	{10000, 38000, 8},
	{10000, 38000, 32},
}

// fullBuilder returns a builder in which every adapter slot of every runner is
// occupied.
func fullBuilder(b *testing.B, inFlight wick.InFlight, runners, adapters, slots int) *Builder {
	bu := build(b, Config{}, inFlight, runners)
	for i := range runners {
		bu.Digest(digest(i, adapters, slots, 0))
	}
	return bu
}

func digest(i, adapters, slots, round int) wick.Digest {
	d := wick.Digest{Endpoint: name(i), Running: wick.Slots(i % 8), Queued: wick.Cost((i + round) % 5)}
	for k := range slots {
		d.Ready = append(d.Ready, ref(int(mix(uint64(i*slots+k))%uint64(adapters))))
	}
	if round > 0 {
		d.Ready[0] = ref(int(mix(uint64(round)) % uint64(adapters)))
	}
	return d
}

func BenchmarkPick(b *testing.B) {
	for _, sz := range sizes {
		b.Run(fmt.Sprintf("runners=%d/adapters=%d/slots=%d", sz.runners, sz.adapters, sz.slots), func(b *testing.B) {
			inFlight := new(tally.Counts)
			r := fullBuilder(b, inFlight, sz.runners, sz.adapters, sz.slots).Publish()
			refs := make([]wick.Ref, sz.adapters)
			for i := range refs {
				refs[i] = ref(i)
			}
			in := &wick.RouteInput{Pool: "p", Cost: 1, InFlight: inFlight}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				in.Random = mix(uint64(i))
				in.Ref = refs[in.Random%uint64(len(refs))]
				to, ok := r.Pick(in)
				if !ok {
					b.Fatal("no endpoint")
				}
				inFlight.Start(to.Index, 1)
				if i%4 != 0 {
					inFlight.Done(to.Index, 1)
				}
			}
		})
	}
}

// BenchmarkDigest measures one digest that changes one adapter; the table is
// published once per 100 digests.
func BenchmarkDigest(b *testing.B) {
	for _, sz := range sizes {
		b.Run(fmt.Sprintf("runners=%d/adapters=%d/slots=%d", sz.runners, sz.adapters, sz.slots), func(b *testing.B) {
			bu := fullBuilder(b, nil, sz.runners, sz.adapters, sz.slots)
			bu.Publish()
			list := make([]wick.Digest, 4096)
			for i := range list {
				list[i] = digest(i%min(sz.runners, 2048), sz.adapters, sz.slots, 1+i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				bu.Digest(list[i%len(list)])
				if i%100 == 0 {
					bu.Publish()
				}
			}
		})
	}
}

// BenchmarkPublish measures five digests followed by one Publish.
func BenchmarkPublish(b *testing.B) {
	for _, sz := range sizes {
		b.Run(fmt.Sprintf("runners=%d/adapters=%d/slots=%d", sz.runners, sz.adapters, sz.slots), func(b *testing.B) {
			bu := fullBuilder(b, nil, sz.runners, sz.adapters, sz.slots)
			list := make([]wick.Digest, 4095)
			for i := range list {
				list[i] = digest(i%min(sz.runners, 2048), sz.adapters, sz.slots, 1+i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				for k := range 5 {
					bu.Digest(list[(5*i+k)%len(list)])
				}
				bu.Publish()
			}
		})
	}
}

// BenchmarkJoin measures an endpoint that alternately leaves and joins, with a
// Publish after each change.
func BenchmarkJoin(b *testing.B) {
	for _, sz := range sizes {
		b.Run(fmt.Sprintf("runners=%d/adapters=%d/slots=%d", sz.runners, sz.adapters, sz.slots), func(b *testing.B) {
			bu := fullBuilder(b, nil, sz.runners, sz.adapters, sz.slots)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				bu.SetLeaving(name(i/2%sz.runners), i%2 == 0)
				bu.Publish()
			}
		})
	}
}

// BenchmarkTable measures the time to build a table from scratch and the memory
// that it retains.
func BenchmarkTable(b *testing.B) {
	for _, sz := range sizes {
		b.Run(fmt.Sprintf("runners=%d/adapters=%d/slots=%d", sz.runners, sz.adapters, sz.slots), func(b *testing.B) {
			var before, after runtime.MemStats
			var keep *Builder
			for b.Loop() {
				keep = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				keep = fullBuilder(b, nil, sz.runners, sz.adapters, sz.slots)
				keep.Publish()
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
			runtime.KeepAlive(keep)
		})
	}
}
