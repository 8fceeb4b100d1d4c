package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantwick"
	"currantwick/route"
)

// fakePlaces is a PlacementTable with fixed homes: adapter "aN" prefers
// endpoints N, N+1, ... modulo size, in three failure domains.
type fakePlaces struct {
	size           int
	residentCounts map[wick.Ref]int
}

func endName(i int) wick.EndpointName { return wick.EndpointName(fmt.Sprint("e", i)) }

func (g fakePlaces) PreferredEndpoints(_ wick.PoolName, ref wick.Ref, yield func(wick.EndpointName, wick.Domain) bool) {
	var n int
	_, _ = fmt.Sscanf(string(ref.Adapter), "a%d", &n)
	for k := range g.size {
		i := (n + k) % g.size
		if !yield(endName(i), wick.Domain(fmt.Sprint("d", i*3/g.size))) {
			return
		}
	}
}

func (g fakePlaces) ResidentCount(_ wick.PoolName, ref wick.Ref) int { return g.residentCounts[ref] }

func (g fakePlaces) PoolSize(wick.PoolName) int { return g.size }

func TestPlan(t *testing.T) {
	own := func(i int, slots wick.Slots, held ...int) wick.PlaceEndpoint {
		e := wick.PlaceEndpoint{Endpoint: endName(i), Slots: slots}
		for _, r := range held {
			e.Adapters = append(e.Adapters, refOf(int32(r)))
		}
		return e
	}
	tests := []struct {
		name  string
		seen  map[int]int // requests by adapter
		holds map[int]int // endpoints that hold an adapter
		own   []wick.PlaceEndpoint
		want  string
	}{
		{"at its home", map[int]int{1: 5}, nil, []wick.PlaceEndpoint{own(0, 2), own(1, 2)}, "a1>e1"},
		{"not at other endpoints", map[int]int{1: 5}, nil, []wick.PlaceEndpoint{own(0, 2)}, ""},
		{"held elsewhere", map[int]int{1: 5}, map[int]int{1: 1}, []wick.PlaceEndpoint{own(1, 2)}, ""},
		{"held here", map[int]int{1: 5}, nil, []wick.PlaceEndpoint{own(1, 2, 1)}, ""},
		{"highest rate first", map[int]int{1: 5, 13: 9, 25: 7}, nil, []wick.PlaceEndpoint{own(1, 2)}, "a13>e1 a25>e1"},
		{"displaces a lower rate", map[int]int{1: 9, 13: 2}, nil, []wick.PlaceEndpoint{own(1, 1, 13)}, "a1>e1"},
		{"does not displace a similar rate", map[int]int{1: 9, 13: 6}, nil, []wick.PlaceEndpoint{own(1, 1, 13)}, ""},
		{"rate too low", nil, nil, []wick.PlaceEndpoint{own(1, 2)}, ""},
		{
			"copies in other domains",
			map[int]int{0: 60},
			nil,
			[]wick.PlaceEndpoint{own(0, 2), own(1, 2), own(2, 2), own(3, 2), own(4, 2), own(5, 2)},
			"a0>e0 a0>e4 a0>e1 a0>e5",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := New(Config{CopyLoad: 0.75, Margin: 2})
			if err != nil {
				t.Fatal(err)
			}
			for ref := range int32(100) {
				for range tt.seen[int(ref)] {
					p.RecordRequest(0, refOf(ref))
				}
			}
			g := fakePlaces{size: 12, residentCounts: make(map[wick.Ref]int)}
			if tt.seen[0] > 0 {
				// The other adapters share the remaining requests and are held.
				for ref := int32(100); ref < 130; ref++ {
					g.residentCounts[refOf(ref)] = 1
					for range 5 {
						p.RecordRequest(0, refOf(ref))
					}
				}
			}
			for ref, n := range tt.holds {
				g.residentCounts[refOf(int32(ref))] = n
			}
			got := ""
			for _, f := range p.Plan(wick.Instant(time.Second), g, tt.own) {
				got += fmt.Sprintf(" %s>%s", f.Ref.Adapter, f.Endpoint)
			}
			if got != "" {
				got = got[1:]
			}
			if got != tt.want {
				t.Errorf("planned %q, want %q", got, tt.want)
			}
		})
	}
}

// For any requests and adapters held, a plan must load nothing twice, nothing
// that is already held, and no more than an endpoint has slots for.
func TestPlanFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, _ := New(Config{PlanBatch: rapid.IntRange(1, 40).Draw(t, "batch")})
		g := fakePlaces{size: rapid.IntRange(1, 12).Draw(t, "size"), residentCounts: make(map[wick.Ref]int)}
		now := wick.Instant(0)
		var own []wick.PlaceEndpoint
		for i := range g.size {
			e := wick.PlaceEndpoint{Endpoint: endName(i), Slots: wick.Slots(rapid.IntRange(0, 4).Draw(t, "slots"))}
			for range rapid.IntRange(0, int(e.Slots)).Draw(t, "held") {
				r := refOf(int32(rapid.IntRange(0, 30).Draw(t, "ref")))
				if !slices.Contains(e.Adapters, r) {
					e.Adapters = append(e.Adapters, r)
					g.residentCounts[r]++
				}
			}
			own = append(own, e)
		}
		for range 20 {
			now = now.Add(time.Second)
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				p.RecordRequest(now, refOf(int32(rapid.IntRange(0, 30).Draw(t, "seen"))))
			}
			loads := make(map[wick.EndpointName][]wick.Ref)
			for _, f := range p.Plan(now, g, own) {
				loads[f.Endpoint] = append(loads[f.Endpoint], f.Ref)
			}
			for _, e := range own {
				list := loads[e.Endpoint]
				if len(list) > int(e.Slots) {
					t.Fatalf("%d loads for %d slots", len(list), e.Slots)
				}
				for i, r := range list {
					if slices.Contains(e.Adapters, r) || slices.Contains(list[:i], r) {
						t.Fatalf("%s twice at %s", r, e.Endpoint)
					}
				}
			}
		}
	})
}

// The number of counts must stay bounded, and popular adapters must be
// retained.
func TestPopularityIsBounded(t *testing.T) {
	h := NewPopularity(time.Minute, time.Second, 100)
	for i := range int32(10000) {
		now := wick.Instant(time.Duration(i) * 10 * time.Millisecond)
		h.RecordRequest(now, refOf(i))
		h.RecordRequest(now, refOf(-1))
		if h.Len() > 100 {
			t.Fatalf("%d adapters counted, at most 100 may be", h.Len())
		}
	}
	now := wick.Instant(100 * time.Second)
	if rate := h.RequestRate(now, refOf(-1)); rate < 50 || rate > 110 {
		t.Errorf("%.1f requests per second of the popular adapter, want about 100", rate)
	}
}

// An adapter with a sudden rise in requests must overtake one with a steady
// lower rate within 5 s.
func TestRisingRateIsDetected(t *testing.T) {
	h := NewPopularity(defaultHalfLife, defaultRecentHalfLife, defaultMaxAdapters)
	for i := range 600 {
		h.RecordRequest(wick.Instant(time.Duration(i)*time.Second), refOf(1))
	}
	begin := wick.Instant(600 * time.Second)
	for i := range 20 {
		now := begin.Add(time.Duration(i) * 250 * time.Millisecond)
		h.RecordRequest(now, refOf(2))
		if h.RequestRate(now, refOf(2)) > h.RequestRate(now, refOf(1)) {
			t.Logf("after %v", now.Sub(begin))
			return
		}
	}
	t.Error("after 5 s, four requests per second do not rate higher than one per second")
}

func TestConfigIsChecked(t *testing.T) {
	for _, cfg := range []Config{{Policy: "x"}, {HalfLife: -1}, {Margin: 0.5}, {MaxAdapters: -1}, {PlanBatch: -1}, {CopyLoad: -1}} {
		if _, err := New(cfg); err == nil {
			t.Errorf("New accepted %+v", cfg)
		}
	}
}

// BenchmarkPlan measures one call of Plan of a daemon that owns eleven of the
// pool's endpoints.
func BenchmarkPlan(b *testing.B) {
	for _, sz := range []struct{ size, adapters int }{{12, 3000}, {1000, 3000}, {10000, 38000}} {
		b.Run(fmt.Sprintf("runners=%d/adapters=%d", sz.size, sz.adapters), func(b *testing.B) {
			p, _ := New(Config{Pool: "p"})
			for i := range sz.adapters {
				p.RecordRequest(0, refOf(int32(i)))
			}
			r, _ := route.New(route.Config{}, nil)
			var own []wick.PlaceEndpoint
			for i := range sz.size {
				r.Put(wick.Endpoint{Name: endName(i), Pool: "p", Domain: wick.Domain(fmt.Sprint(i % 18)), BatchSlots: 8})
				if i < 11 {
					own = append(own, wick.PlaceEndpoint{Endpoint: endName(i), Slots: 8})
				}
			}
			table := r.Publish().(*route.Affinity).Table
			b.ReportAllocs()
			for b.Loop() {
				p.Plan(0, table, own)
			}
		})
	}
}

func BenchmarkRecordRequest(b *testing.B) {
	p, _ := New(Config{})
	refs := make([]wick.Ref, 38000)
	for i := range refs {
		refs[i] = refOf(int32(i))
		p.RecordRequest(0, refs[i])
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.RecordRequest(wick.Instant(i), refs[i%len(refs)])
	}
}
