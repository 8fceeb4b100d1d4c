package scale

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"currantwick"
	"currantwick/codec"
	"currantwick/config"
	"currantwick/eject"
	"currantwick/lease"
	"currantwick/limit"
	"currantwick/place"
	"currantwick/route"
)

func hostName(i int) wick.HostName { return wick.HostName(fmt.Sprintf("entry-%04d.et-central", i)) }

func endpointName(i int) wick.EndpointName {
	return wick.EndpointName(fmt.Sprintf("runner-%05d", i))
}

func ref(i int) wick.Ref {
	return wick.Ref{Adapter: wick.AdapterName(fmt.Sprintf("customer-%05d", i)), Version: "v1"}
}

func member(i int, run wick.Incarnation) wick.Member {
	ip := fmt.Sprintf("10.%d.%d.%d", i%7, i/250, i%250)
	return wick.Member{
		Host: hostName(i), Incarnation: run<<32 + wick.Incarnation(i) + 1,
		Domain: wick.Domain(fmt.Sprintf("domain-%02d", i%18)),
		Peer:   wick.Address(ip + ":7001"), Entry: wick.Address(ip + ":7000"),
	}
}

func members(n int) []wick.Member {
	var out []wick.Member
	for i := range n {
		out = append(out, member(i, 1))
	}
	return out
}

func terms() wick.Terms {
	return wick.Terms{
		Witnesses: lease.DefaultWitnesses,
		TTL:       wick.Duration(lease.DefaultTTL), Drift: wick.Duration(lease.DefaultDrift),
	}
}

func endpoint(i int) wick.Endpoint {
	return wick.Endpoint{
		Name: endpointName(i), Pool: "draft", Host: wick.HostName(fmt.Sprintf("gpu-%05d", i)),
		Domain:  wick.Domain(fmt.Sprintf("domain-%02d", i%18)),
		Address: wick.Address(fmt.Sprintf("10.8.%d.%d:9000", i/250, i%250)), BatchSlots: 64, AdapterSlots: 8,
	}
}

// objects returns a configuration with the given numbers of runners and
// adapters, and a route to each adapter.
func objects(runners, adapters int) wick.Objects {
	o := wick.Objects{
		Models:     []wick.Model{{Name: "base", Context: 4096}},
		Priorities: []wick.Priority{{Name: "short", Level: 5, Deadline: wick.Duration(time.Second)}},
		Stores:     []wick.Store{{Name: "weights", Rate: 4, FullSpeed: 2, Knee: 16}},
		Pools:      []wick.Pool{{Name: "draft", Kind: wick.RunnerEndpoint, Model: "base", Store: "weights"}},
	}
	for i := range runners {
		o.Endpoints = append(o.Endpoints, endpoint(i))
	}
	for i := range adapters {
		r := ref(i)
		o.Adapters = append(o.Adapters, wick.Adapter{Name: r.Adapter, Model: "base"})
		o.Versions = append(o.Versions, version(r))
		o.Routes = append(o.Routes, routeTo(r))
	}
	return o
}

func version(r wick.Ref) wick.Version {
	return wick.Version{Adapter: r.Adapter, Name: r.Version, Source: "weights/" + r.String(), Size: 50 << 20}
}

func routeTo(r wick.Ref) wick.Route {
	return wick.Route{Name: wick.RouteName(r.Adapter), Pool: "draft", Priority: "short", Ref: r}
}

func entry(o wick.Offset, rec wick.Record) wick.Entry {
	return wick.Entry{Offset: o, Time: int64(o), Record: rec}
}

// heapBytes returns the heap size of what build returns.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	keep := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(keep)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func jsonBytes(b *testing.B, v any) float64 {
	data, err := codec.EncodeJSON(v)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

func cborBytes(b *testing.B, v any) float64 {
	data, err := codec.EncodeCBOR(v)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

var configSizes = []struct{ runners, adapters int }{{12, 3000}, {1000, 12000}, {10000, 38000}}

// loadedState returns the state after one change with the given numbers of
// runners and adapters.
func loadedState(b *testing.B, runners, adapters int) *config.State {
	s := config.New()
	c := wick.Change{ID: "first", Operator: "op", Puts: objects(runners, adapters)}
	if v, ok := s.Apply(entry(1, wick.Record{Change: &c})); !ok || !v.Accepted() {
		b.Fatalf("first change: %v", v.Violations)
	}
	return s
}

// BenchmarkChange measures a change that adds a new version of an adapter and
// moves its route to it.
func BenchmarkChange(b *testing.B) {
	for _, sz := range configSizes {
		b.Run(fmt.Sprintf("runners=%d/adapters=%d", sz.runners, sz.adapters), func(b *testing.B) {
			var s *config.State
			size := heapBytes(func() any { s = loadedState(b, sz.runners, sz.adapters); return s })
			at := wick.Offset(1)
			var c wick.Change
			b.ReportAllocs()
			for b.Loop() {
				at++
				r := ref(int(at) % sz.adapters)
				r.Version = wick.VersionName(fmt.Sprint("v", at))
				c = wick.Change{
					ID: wick.ChangeID(fmt.Sprint("c", at)), Operator: "op",
					Puts: wick.Objects{Versions: []wick.Version{version(r)}, Routes: []wick.Route{routeTo(r)}},
				}
				if v, ok := s.Apply(entry(at, wick.Record{Change: &c})); !ok || !v.Accepted() {
					b.Fatal(v.Violations)
				}
			}
			b.ReportMetric(size, "heap-bytes")
			b.ReportMetric(jsonBytes(b, wick.Record{Change: &c}), "record-bytes")
		})
	}
}

// BenchmarkCheckpoint measures encoding the whole configuration, and its size.
func BenchmarkCheckpoint(b *testing.B) {
	for _, sz := range configSizes {
		b.Run(fmt.Sprintf("runners=%d/adapters=%d", sz.runners, sz.adapters), func(b *testing.B) {
			o := objects(sz.runners, sz.adapters)
			var n float64
			for b.Loop() {
				n = jsonBytes(b, o)
			}
			b.ReportMetric(n, "bytes")
		})
	}
}

var viewSizes = []int{7, 20, 60, 200, 920}

// newKeeper returns the keeper of member 0 in a view of n members.
func newKeeper(b *testing.B, n int) *lease.Keeper {
	k := lease.New(lease.Config{Self: member(0, 1)})
	c := wick.ViewChange{Members: members(n), Terms: terms(), Proposer: hostName(0)}
	k.OnEntry(0, entry(1, wick.Record{ViewChange: &c}))
	if len(k.View().Members) != n {
		b.Fatalf("view of %d members, want %d", len(k.View().Members), n)
	}
	return k
}

// witnessedMembers returns the members that member 0 is a witness of.
func witnessedMembers(v wick.View) []wick.Member {
	var out []wick.Member
	for _, m := range v.Members {
		if slices.ContainsFunc(lease.Witnesses(v, m), func(w wick.Member) bool { return w.Host == hostName(0) }) {
			out = append(out, m)
		}
	}
	return out
}

// BenchmarkRenewals measures one round of renewals at one member: the renewals
// it sends, their acknowledgements, and the renewals that it receives as a
// witness.
func BenchmarkRenewals(b *testing.B) {
	for _, n := range viewSizes {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			var k *lease.Keeper
			size := heapBytes(func() any { k = newKeeper(b, n); return k })
			view := k.View()
			witnessed := witnessedMembers(view)
			now := wick.Instant(0)
			var sent int
			var renewal wick.Renewal
			var ack wick.RenewalAck
			sequence := wick.Sequence(0)
			for b.Loop() {
				now = now.Add(lease.DefaultRenew)
				sequence++
				for _, m := range witnessed {
					ack, _ = k.OnRenewal(now, wick.Renewal{
						From: m.Host, Incarnation: m.Incarnation, View: view.Number, Sequence: sequence,
					})
				}
				sent = 0
				for _, a := range k.Tick(now) {
					s, ok := a.(lease.SendRenewal)
					if !ok {
						continue
					}
					sent++
					renewal = s.Renewal
					k.OnAck(now, now, wick.RenewalAck{
						From: s.To.Host, Incarnation: s.To.Incarnation,
						Sequence: renewal.Sequence, View: view.Number, Vouched: view.Number,
					})
				}
			}
			b.ReportMetric(size, "heap-bytes")
			b.ReportMetric(float64(sent), "sent")
			b.ReportMetric(float64(len(witnessed)), "answered")
			b.ReportMetric(cborBytes(b, wick.PeerMessage{Renewal: &renewal}), "renewal-bytes")
			b.ReportMetric(cborBytes(b, wick.PeerMessage{RenewalAck: &ack}), "ack-bytes")
		})
	}
}

// BenchmarkView measures how a daemon applies a view change in which one member
// has restarted.
func BenchmarkView(b *testing.B) {
	for _, n := range viewSizes {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			k := newKeeper(b, n)
			list := members(n)
			at := wick.Offset(1)
			var c wick.ViewChange
			for b.Loop() {
				base := k.View().Number
				at++
				list = slices.Clone(list)
				list[n-1] = member(n-1, wick.Incarnation(at))
				c = wick.ViewChange{Base: base, Members: list, Terms: terms(), Proposer: hostName(1)}
				k.OnEntry(wick.Instant(at), entry(at, wick.Record{ViewChange: &c}))
				at++
				closed := wick.ViewClosed{View: base, By: hostName(1)}
				k.OnEntry(wick.Instant(at), entry(at, wick.Record{ViewClosed: &closed}))
			}
			b.ReportMetric(jsonBytes(b, wick.Record{ViewChange: &c}), "record-bytes")
		})
	}
}

// BenchmarkOwners measures recomputing the owner of every endpoint.
func BenchmarkOwners(b *testing.B) {
	for _, sz := range []struct{ members, runners int }{{7, 12}, {60, 1000}, {200, 10000}, {920, 10000}} {
		b.Run(fmt.Sprintf("members=%d/runners=%d", sz.members, sz.runners), func(b *testing.B) {
			v := wick.View{Number: 1, Members: members(sz.members), Terms: terms()}
			for b.Loop() {
				for i := range sz.runners {
					lease.Owner(v, lease.EndpointKey(endpointName(i)))
				}
			}
		})
	}
}

// BenchmarkEntries measures encoding a list of entry addresses, and its size.
func BenchmarkEntries(b *testing.B) {
	for _, n := range []int{7, 16, 920} {
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			var list wick.EntryList
			for _, m := range members(n) {
				list.Entries = append(list.Entries, wick.EntryPoint{Address: m.Entry, Host: m.Host, Domain: m.Domain})
			}
			var size float64
			for b.Loop() {
				size = jsonBytes(b, list)
			}
			b.ReportMetric(size, "bytes")
		})
	}
}

// BenchmarkClaims measures encoding a batch of claims as a log record, and its
// size.
func BenchmarkClaims(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("claims=", n), func(b *testing.B) {
			var list wick.Claims
			for i := range n {
				list.Steps = append(list.Steps, wick.Claim{
					Step: wick.ClaimTaken, Key: wick.ClaimKey(fmt.Sprintf("booking-%012d", i)),
					Request: wick.RequestID(fmt.Sprintf("request-%016d", i)),
					Holder:  hostName(3), Incarnation: 1 << 60, Fingerprint: 1 << 61, At: 1_700_000_000,
				})
			}
			var size float64
			for b.Loop() {
				size = jsonBytes(b, wick.Record{Claims: &list})
			}
			b.ReportMetric(size, "bytes")
		})
	}
}

// BenchmarkDigestBytes measures encoding a digest, and its size.
func BenchmarkDigestBytes(b *testing.B) {
	for _, slots := range []int{0, 8, 32} {
		b.Run(fmt.Sprint("ready=", slots), func(b *testing.B) {
			d := wick.Digest{Endpoint: endpointName(7), Queued: 1.25, Running: 30, TimePerToken: wick.Duration(time.Millisecond), Slowdown: 1.1}
			for i := range slots {
				d.Ready = append(d.Ready, ref(i*317))
			}
			var n float64
			for b.Loop() {
				n = cborBytes(b, d)
			}
			b.ReportMetric(n, "bytes")
		})
	}
}

// BenchmarkBudget measures how a store's owner handles one request for load
// permits while a given number of daemons request them in turn.
func BenchmarkBudget(b *testing.B) {
	for _, n := range viewSizes {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			store := wick.Store{Name: "weights", Rate: 300, FullSpeed: 150, Knee: 1200}
			list := members(n)
			var budget *limit.Budget
			var g wick.Grant
			now := wick.Instant(time.Minute)
			request := func(i int) {
				now = now.Add(time.Second / time.Duration(10*n))
				m := list[i%n]
				g, _ = budget.HandleRequest(now, wick.Grant{
					Store: "weights", From: m.Host, Incarnation: m.Incarnation, View: 1,
					Sequence: wick.Sequence(i/n + 1), Wanted: 3.5, Loads: 2, Loading: 0,
				})
			}
			size := heapBytes(func() any {
				budget = limit.NewBudget(limit.StoreConfig{Store: store})
				budget.TakeOwnership(0, 1, nil)
				for i := range n {
					request(i)
				}
				return budget
			})
			for i := n; b.Loop(); i++ {
				request(i)
			}
			b.ReportMetric(size, "heap-bytes")
			b.ReportMetric(cborBytes(b, wick.PeerMessage{Grant: &g}), "bytes")
		})
	}
}

// BenchmarkMemory measures the heap size of the placer, the ejector and the route
// table.
func BenchmarkMemory(b *testing.B) {
	tests := []struct {
		name  string
		build func() any
	}{
		{"placer=3000", func() any { return newPlacer(3000) }},
		{"placer=38000", func() any { return newPlacer(38000) }},
		{"ejector=1000", func() any { return newEjector(1000) }},
		{"ejector=10000", func() any { return newEjector(10000) }},
		{"router=1000", func() any { return newRouteBuilder(1000) }},
		{"router=10000", func() any { return newRouteBuilder(10000) }},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			var n float64
			for b.Loop() {
				n = heapBytes(tt.build)
			}
			b.ReportMetric(n, "heap-bytes")
		})
	}
}

func newPlacer(n int) any {
	p, _ := place.New(place.Config{})
	for i := range n {
		p.RecordRequest(0, ref(i))
	}
	return p
}

func newEjector(n int) any {
	w, _ := eject.New(eject.Config{})
	for i := range n {
		w.Put(endpointName(i), "draft")
		w.ApplyDigest(0, wick.Digest{Endpoint: endpointName(i), TimePerToken: 1})
	}
	return w
}

func newRouteBuilder(n int) any {
	r, _ := route.New(route.Config{}, nil)
	for i := range n {
		r.Put(endpoint(i))
		d := wick.Digest{Endpoint: endpointName(i)}
		for k := range 8 {
			d.Ready = append(d.Ready, ref((i*8+k*317)%38000))
		}
		r.Digest(d)
	}
	r.Publish()
	return r
}
