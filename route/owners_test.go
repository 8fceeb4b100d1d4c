package route

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"currantwick"
	"currantwick/lease"
)

func rule(v wick.View, e wick.EndpointName) (wick.Member, bool) {
	return lease.Owner(v, lease.EndpointKey(e))
}

func member(i, run int) wick.Member {
	return wick.Member{
		Host: wick.HostName(fmt.Sprintf("h%03d", i)), Incarnation: wick.Incarnation(run),
		Peer: wick.Address(fmt.Sprintf("10.0.%d.%d:%d", i/250, i%250, run)),
	}
}

// Updating the owners view by view must give the same result as computing them
// from the last view, also for endpoints that were added in between.
func TestIncrementalOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, _ := New(Config{}, nil)
		var v wick.View
		ends := 0
		for n := range rapid.IntRange(1, 12).Draw(t, "views") {
			for range rapid.IntRange(0, 8).Draw(t, "endpoints") {
				b.Put(endpoint(ends))
				ends++
			}
			v = wick.View{Number: wick.ViewNumber(n + 1)}
			for i := range 10 {
				if rapid.IntRange(0, 3).Draw(t, "member") > 0 {
					v.Members = append(v.Members, member(i, rapid.IntRange(1, 2).Draw(t, "run")))
				}
			}
			b.View(v, rule)
		}
		b.Publish()
		for i := range ends {
			want, _ := rule(v, name(i))
			got := b.Table().target(b.index[name(i)], false)
			if got.Owner != want.Host || got.Peer != want.Peer {
				t.Fatalf("%s: owner %s at %s, want %s at %s", name(i), got.Owner, got.Peer, want.Host, want.Peer)
			}
		}
	})
}

// A brief digest must not change the list of ready adapters.
func TestBriefDigest(t *testing.T) {
	b := build(t, Config{}, nil, 3)
	tests := []struct {
		digest wick.Digest
		want   int
	}{
		{wick.Digest{Endpoint: name(1), Ready: []wick.Ref{ref(1)}}, 1},
		{wick.Digest{Endpoint: name(1), Brief: true, Queued: 3}, 1},
		{wick.Digest{Endpoint: name(1), Queued: 3}, 0},
	}
	for _, tt := range tests {
		b.Digest(tt.digest)
		b.Publish()
		if got := b.Table().ResidentCount("p", ref(1)); got != tt.want {
			t.Errorf("%+v: %d endpoints with the adapter, want %d", tt.digest, got, tt.want)
		}
	}
}

// BenchmarkView measures a view change in which one member leaves and one
// joins, for all endpoints.
func BenchmarkView(b *testing.B) {
	for _, sz := range []struct{ members, runners int }{{7, 12}, {60, 1000}, {200, 10000}, {920, 10000}} {
		b.Run(fmt.Sprintf("members=%d/runners=%d", sz.members, sz.runners), func(b *testing.B) {
			bu := build(b, Config{}, nil, sz.runners)
			views := make([]wick.View, 2)
			for k := range views {
				for i := range sz.members + 1 {
					if i != sz.members/2+k {
						views[k].Members = append(views[k].Members, member(i, 1))
					}
				}
			}
			bu.View(views[0], rule)
			b.ReportAllocs()
			for i := 1; b.Loop(); i++ {
				bu.View(views[i%2], rule)
				bu.Publish()
			}
		})
	}
}
