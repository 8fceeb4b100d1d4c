package route

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"currantwick"
	"currantwick/tally"
)

func ref(i int) wick.Ref {
	return wick.Ref{Adapter: wick.AdapterName(fmt.Sprintf("adapter-%05d", i)), Version: "v1"}
}

func name(i int) wick.EndpointName { return wick.EndpointName(fmt.Sprintf("runner-%05d", i)) }

func endpoint(i int) wick.Endpoint {
	return wick.Endpoint{Name: name(i), Pool: "p", Domain: wick.Domain(fmt.Sprint("d", i%3)), BatchSlots: 8}
}

func build(t testing.TB, cfg Config, inFlight wick.InFlight, n int) *Builder {
	t.Helper()
	b, err := New(cfg, inFlight)
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		b.Put(endpoint(i))
	}
	return b
}

// countPicks counts how often each endpoint is chosen for requests with new
// random numbers.
func countPicks(r wick.Router, in wick.RouteInput, n int) map[wick.EndpointName]int {
	got := make(map[wick.EndpointName]int)
	for i := range n {
		in.Random, in.RequestNumber = mix(uint64(i)), uint64(i)
		if to, ok := r.Pick(&in); ok {
			got[to.Endpoint]++
		}
	}
	return got
}

func onlyKey(got map[wick.EndpointName]int) wick.EndpointName {
	if len(got) != 1 {
		return ""
	}
	for n := range got {
		return n
	}
	return ""
}

func TestPick(t *testing.T) {
	ready := func(i int, load wick.Cost, refs ...wick.Ref) wick.Digest {
		return wick.Digest{Endpoint: name(i), Queued: load, Ready: refs}
	}
	tests := []struct {
		name    string
		policy  wick.RoutePolicy
		digests []wick.Digest
		ref     wick.Ref
		avoid   []wick.EndpointName
		leave   []int
		want    []wick.EndpointName // each of these must be chosen, and no other
	}{
		{name: "base uses all endpoints", want: []wick.EndpointName{name(0), name(1), name(2), name(3)}},
		{
			name: "base avoids", avoid: []wick.EndpointName{name(0), name(2)},
			want: []wick.EndpointName{name(1), name(3)},
		},
		{name: "all avoided", avoid: []wick.EndpointName{name(0), name(1), name(2), name(3)}},
		{name: "leaving gets nothing", leave: []int{1, 2, 3}, want: []wick.EndpointName{name(0)}},
		{
			name: "resident adapter", digests: []wick.Digest{ready(2, 0, ref(1))}, ref: ref(1),
			want: []wick.EndpointName{name(2)},
		},
		{
			name: "both endpoints with the adapter", digests: []wick.Digest{ready(2, 0, ref(1)), ready(0, 0, ref(1))}, ref: ref(1),
			want: []wick.EndpointName{name(0), name(2)},
		},
		{
			name: "less loaded endpoint with the adapter", digests: []wick.Digest{ready(2, 9, ref(1)), ready(0, 1, ref(1))}, ref: ref(1),
			want: []wick.EndpointName{name(0)},
		},
		{
			name: "other adapters do not count", digests: []wick.Digest{ready(0, 0, ref(1)), ready(1, 0, ref(2)), ready(2, 0, ref(3))},
			ref: ref(1), want: []wick.EndpointName{name(0)},
		},
		{
			name: "loading is cheaper than an overloaded endpoint with the adapter", digests: []wick.Digest{ready(2, 90, ref(1)), ready(1, 90), ready(3, 90)},
			ref: ref(1), want: []wick.EndpointName{name(0)},
		},
		{
			name: "ejected gets nothing", digests: []wick.Digest{
				{Endpoint: name(2), Ejected: true, Ready: []wick.Ref{ref(1)}},
				{Endpoint: name(1), Queued: 90},
				{Endpoint: name(3), Queued: 90},
			},
			ref: ref(1), want: []wick.EndpointName{name(0)},
		},
		{
			name: "too many ejected", digests: []wick.Digest{
				{Endpoint: name(0), Ejected: true},
				{Endpoint: name(1), Ejected: true},
				{Endpoint: name(2), Ejected: true},
			},
			want: []wick.EndpointName{name(0), name(1), name(2), name(3)},
		},
		{
			name: "slow endpoint with the adapter gets nothing", digests: []wick.Digest{
				{Endpoint: name(0), Running: 4, Slowdown: 9, Ready: []wick.Ref{ref(1)}},
				{Endpoint: name(1), Running: 8, Ready: []wick.Ref{ref(1)}},
			},
			ref: ref(1), want: []wick.EndpointName{name(1)},
		},
		{
			name: "round robin ignores load", policy: wick.RouteRoundRobin,
			digests: []wick.Digest{ready(0, 90), {Endpoint: name(1), Ejected: true}},
			want:    []wick.EndpointName{name(0), name(1), name(2), name(3)},
		},
		{
			name: "least loaded ignores resident adapters", policy: wick.RouteLeastLoaded,
			digests: []wick.Digest{ready(2, 0, ref(1))}, ref: ref(1),
			want: []wick.EndpointName{name(0), name(1), name(2), name(3)},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := build(t, Config{Policy: tt.policy}, nil, 4)
			for _, d := range tt.digests {
				b.Digest(d)
			}
			for _, i := range tt.leave {
				b.SetLeaving(name(i), true)
			}
			got := countPicks(b.Publish(), wick.RouteInput{Pool: "p", Ref: tt.ref, Avoid: tt.avoid, Cost: 1}, 400)
			for n := range got {
				if !slices.Contains(tt.want, n) {
					t.Errorf("chose %s", n)
				}
			}
			if len(got) != len(tt.want) {
				t.Errorf("chose %v, want each of %v", got, tt.want)
			}
		})
	}
}

// A small share of the probe-eligible requests, and no others, must go to an
// ejected endpoint.
func TestProbeShare(t *testing.T) {
	b := build(t, Config{}, nil, 4)
	b.Digest(wick.Digest{Endpoint: name(2), Ejected: true, Slowdown: 9})
	r := b.Publish()
	tests := []struct {
		probe           bool
		atLeast, atMost int
	}{
		{false, 0, 0},
		{true, 100, 300},
	}
	for _, tt := range tests {
		got := countPicks(r, wick.RouteInput{Pool: "p", Probe: tt.probe, Cost: 1}, 10000)[name(2)]
		if got < tt.atLeast || got > tt.atMost {
			t.Errorf("probe %v: %d of 10000, want %d to %d", tt.probe, got, tt.atLeast, tt.atMost)
		}
	}
}

// Requests with a common prompt prefix must go to the same endpoint, as long as
// its load exceeds the alternative's by no more than Config.PrefixGain.
func TestPrefixAffinity(t *testing.T) {
	both := []wick.Ref{ref(1)}
	tests := []struct {
		name     string
		ref      wick.Ref
		prefix   wick.Fingerprint
		queued   wick.Cost // at the endpoint that the prefix prefers
		together bool
	}{
		{"base", wick.Ref{}, 77, 0, true},
		{"base, loaded", wick.Ref{}, 77, 90, false},
		{"base, no prefix", wick.Ref{}, 0, 0, false},
		{"adapter loaded", ref(1), 78, 0, true},
		{"adapter loaded, endpoint busy", ref(1), 78, 90, false},
		{"adapter loaded, no prefix", ref(1), 0, 0, false},
	}
	for _, tt := range tests {
		b := build(t, Config{}, nil, 6)
		for i := range 6 {
			b.Digest(wick.Digest{Endpoint: name(i), Ready: both})
		}
		in := wick.RouteInput{Pool: "p", Ref: tt.ref, Prefix: tt.prefix, Cost: 0.1}
		home := onlyKey(countPicks(b.Publish(), in, 50))
		if tt.queued > 0 {
			b.Digest(wick.Digest{Endpoint: home, Queued: tt.queued, Ready: both})
			home = onlyKey(countPicks(b.Publish(), in, 50))
		}
		if (home != "") != tt.together {
			t.Errorf("%s: only endpoint chosen is %q, want a single endpoint: %v", tt.name, home, tt.together)
		}
	}
}

func TestPickUnknownPool(t *testing.T) {
	r := build(t, Config{}, nil, 1).Publish()
	if _, ok := r.Pick(&wick.RouteInput{Pool: "q"}); ok {
		t.Error("picked from a pool that does not exist")
	}
}

func TestConfigCheck(t *testing.T) {
	tests := []struct {
		cfg Config
		ok  bool
	}{
		{Config{}, true},
		{Config{Policy: wick.RouteRoundRobin, HomeLoadFactor: 2}, true},
		{Config{Policy: "Best"}, false},
		{Config{HomeLoadFactor: 0.5}, false},
		{Config{LoadCost: -1}, false},
	}
	for _, tt := range tests {
		if err := tt.cfg.Check(); (err == nil) != tt.ok {
			t.Errorf("Check(%+v) = %v", tt.cfg, err)
		}
	}
}

// An adapter that is loaded nowhere must have one home regardless of the random
// number, and must keep it when other endpoints join or leave.
func TestHomeIsStable(t *testing.T) {
	const runners, adapters = 60, 2000
	b := build(t, Config{}, nil, runners)
	before := b.Publish()
	home := func(r wick.Router, i int) wick.EndpointName {
		return onlyKey(countPicks(r, wick.RouteInput{Pool: "p", Ref: ref(i), Cost: 1}, 4))
	}
	count := make(map[wick.EndpointName]int)
	for i := range adapters {
		count[home(before, i)]++
	}
	for n, c := range count {
		if mean := adapters / runners; n == "" || c > 2*mean {
			t.Errorf("%q is home to %d adapters, mean %d", n, c, mean)
		}
	}
	b.Put(endpoint(runners))
	after := b.Publish()
	moved := 0
	for i := range adapters {
		was, is := home(before, i), home(after, i)
		if was == is {
			continue
		}
		moved++
		if is != name(runners) {
			t.Errorf("%s moved from %s to %s", ref(i), was, is)
		}
	}
	if moved == 0 || moved > 3*adapters/runners {
		t.Errorf("%d of %d adapters moved to the new one of %d endpoints", moved, adapters, runners+1)
	}
}

// The work that this daemon sends must count immediately, before any new
// digest.
func TestLocalWorkCountsAtOnce(t *testing.T) {
	var inFlight tally.Counts
	r := build(t, Config{}, &inFlight, 12).Publish()
	in := wick.RouteInput{Pool: "p", Cost: 1, InFlight: &inFlight}
	got := make([]int, 12)
	for i := range 1200 {
		in.Random = mix(uint64(i))
		to, _ := r.Pick(&in)
		inFlight.Start(to.Index, in.Cost)
		got[to.Index]++
	}
	if lo, hi := slices.Min(got), slices.Max(got); hi-lo > 8 {
		t.Errorf("requests per endpoint range from %d to %d: %v", lo, hi, got)
	}
}

// A published snapshot must not change while the builder is updated further,
// and an incrementally updated builder must match one built from the final
// state.
func TestBuilderMatchesRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 20
		b, _ := New(Config{}, nil)
		ends := make(map[int]wick.Endpoint)
		digests := make(map[int]wick.Digest)
		leaving := make(map[int]bool)
		var snap wick.Router
		var want string
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "endpoint")
			_, known := ends[i]
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op < 3:
				e := endpoint(i)
				e.Leaving = rapid.Bool().Draw(t, "closed")
				e.BatchSlots = wick.Slots(rapid.IntRange(1, 9).Draw(t, "slots"))
				ends[i] = e
				b.Put(e)
			case op == 3:
				b.Remove(name(i))
				delete(ends, i)
				delete(digests, i)
				delete(leaving, i)
			case op == 4:
				if known {
					leaving[i] = rapid.Bool().Draw(t, "leaving")
				}
				b.SetLeaving(name(i), leaving[i])
			case op == 5:
				snap = b.Publish()
				want = describeTable(snap)
			default:
				d := wick.Digest{
					Endpoint: name(i),
					Queued:   wick.Cost(rapid.IntRange(0, 9).Draw(t, "queued")),
					Ejected:  rapid.Bool().Draw(t, "ejected"),
				}
				for range rapid.IntRange(0, 4).Draw(t, "ready") {
					d.Ready = append(d.Ready, ref(rapid.IntRange(0, 40).Draw(t, "ref")))
				}
				if b.Digest(d) != known {
					t.Fatalf("Digest reports %s known: %v", name(i), !known)
				}
				if known {
					digests[i] = d
				}
			}
		}
		if snap != nil && describeTable(snap) != want {
			t.Fatalf("published table changed from\n%s\nto\n%s", want, describeTable(snap))
		}
		fresh, _ := New(Config{}, nil)
		for i, e := range ends {
			fresh.Put(e)
			fresh.SetLeaving(e.Name, leaving[i])
			if d, ok := digests[i]; ok {
				fresh.Digest(d)
			}
		}
		if got, want := describeTable(b.Publish()), describeTable(fresh.Publish()); got != want {
			t.Fatalf("after incremental updates\n%s\nwant\n%s", got, want)
		}
	})
}

// describeTable formats everything that a table's decisions depend on, except
// its indexes.
func describeTable(r wick.Router) string {
	t := r.(*Affinity).Table
	names := func(list []int32) []string {
		var out []string
		for _, i := range list {
			out = append(out, string(t.endpoints.at(int(i)).name))
		}
		slices.Sort(out)
		return out
	}
	pi, ok := t.byName["p"]
	if !ok || len(t.pools[pi].members) == 0 {
		return ""
	}
	p := &t.pools[pi]
	s := fmt.Sprint(names(p.members), names(p.healthy), math.Round(float64(p.work)), p.slots)
	for i := range 41 {
		s += fmt.Sprint("\n", names(t.endpointsWith(refKey(pi, ref(i)))))
		var homes []string
		t.PreferredEndpoints("p", ref(i), func(n wick.EndpointName, _ wick.Domain) bool {
			homes = append(homes, string(n))
			return len(homes) < 5
		})
		s += fmt.Sprint(homes)
	}
	return s
}
