package config

import (
	"fmt"
	"runtime"
	"testing"

	"currantwick"
)

// sizes are the benchmarked numbers of adapters: a current deployment and the
// target scale.
var sizes = []int{3_000, 38_000}

// largeConfig returns a configuration of n adapters, each with a version and a
// route.
func largeConfig(n int) wick.Objects {
	o := smallConfig()
	for i := range n {
		name := fmt.Sprintf("adapter-%d", i)
		a := wick.Adapter{Name: wick.AdapterName(name), Model: "base"}
		o.Adapters = append(o.Adapters, a)
		o.Versions = append(o.Versions, versionOf(i, 1))
		o.Routes = append(o.Routes, routeOf(i, 1))
	}
	return o
}

func versionOf(adapter, version int) wick.Version {
	return wick.Version{
		Adapter: wick.AdapterName(fmt.Sprintf("adapter-%d", adapter)),
		Name:    wick.VersionName(fmt.Sprintf("v%d", version)),
		Source:  fmt.Sprintf("weights/adapter-%d/v%d", adapter, version), Size: 64 << 20,
	}
}

func routeOf(adapter, version int) wick.Route {
	v := versionOf(adapter, version)
	return wick.Route{Name: wick.RouteName(v.Adapter), Pool: "draft", Priority: "short", Ref: v.Ref()}
}

// BenchmarkApply measures changes that move one adapter to its next version and
// delete the old one.
func BenchmarkApply(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			s := New()
			if v, _ := s.Apply(entry(1, change(largeConfig(n)))); !v.Accepted() {
				b.Fatal(v.Violations)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				adapter, version := i%n, i/n+2
				c := change(wick.Objects{
					Versions: []wick.Version{versionOf(adapter, version)},
					Routes:   []wick.Route{routeOf(adapter, version)},
				}, versionOf(adapter, version-1).Key())
				if v, _ := s.Apply(entry(s.Offset()+1, c)); !v.Accepted() {
					b.Fatal(v.Violations)
				}
				i++
			}
		})
	}
}

// BenchmarkRestore measures building the state from a checkpoint.
func BenchmarkRestore(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			s := New()
			s.Apply(entry(1, change(largeConfig(n))))
			c := s.Checkpoint()
			b.ReportAllocs()
			for b.Loop() {
				if err := New().Restore(c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkResolve measures route lookups.
func BenchmarkResolve(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			s := New()
			s.Apply(entry(1, change(largeConfig(n))))
			table, route := s.Table(), wick.RouteName(fmt.Sprintf("adapter-%d", n/2))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := table.Resolve(route); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap that one state uses.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			var held uint64
			for b.Loop() {
				before := heap()
				s := New()
				s.Apply(entry(1, change(largeConfig(n))))
				held = heap() - before
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(held)/(1<<20), "MB")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
