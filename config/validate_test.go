package config

import (
	"slices"
	"strings"
	"testing"
	"time"

	"currantwick"
)

// smallConfig returns a configuration with at least one object of each kind,
// including a plain service.
func smallConfig() wick.Objects {
	return wick.Objects{
		Models:     []wick.Model{{Name: "base", Context: 4096}},
		Adapters:   []wick.Adapter{{Name: "notice", Model: "base"}},
		Versions:   []wick.Version{{Adapter: "notice", Name: "v1", Source: "w/notice/1", Size: 10}},
		Priorities: []wick.Priority{{Name: "short", Level: 5, Deadline: wick.Duration(time.Second)}},
		Stores:     []wick.Store{{Name: "weights", Rate: 4, FullSpeed: 2, Knee: 16}},
		Pools: []wick.Pool{
			{Name: "draft", Kind: wick.RunnerEndpoint, Model: "base", Store: "weights"},
			{Name: "desk", Kind: wick.ServiceEndpoint},
		},
		Endpoints: []wick.Endpoint{
			{
				Name: "r1", Pool: "draft", Host: "h1", Domain: "a", Address: "127.0.0.1:1",
				BatchSlots: 8, AdapterSlots: 4,
			},
			{Name: "s1", Pool: "desk", Host: "h2", Domain: "a", Address: "127.0.0.1:2", BatchSlots: 8},
		},
		Routes: []wick.Route{
			{
				Name: "notice", Pool: "draft", Priority: "short",
				Ref: wick.Ref{Adapter: "notice", Version: "v1"}, MaxTokens: 100,
			},
			{Name: "book", Pool: "desk", Priority: "short", Path: "/book", NonIdempotent: true},
		},
	}
}

func change(puts wick.Objects, deletes ...wick.ObjectKey) wick.Change {
	return wick.Change{ID: "c", Operator: "op", Puts: puts, Deletes: deletes}
}

func entry(o wick.Offset, c wick.Change) wick.Entry {
	return wick.Entry{Offset: o, Time: int64(o) * 1000, Record: wick.Record{Change: &c}}
}

// newSmallState returns a state with the small configuration at offset 1.
func newSmallState(t testing.TB) *State {
	t.Helper()
	s := New()
	if v, ok := s.Apply(entry(1, change(smallConfig()))); !ok || !v.Accepted() {
		t.Fatalf("small configuration: %v", v.Violations)
	}
	return s
}

func key(kind wick.ObjectKind, name string) wick.ObjectKey {
	return wick.ObjectKey{Kind: kind, Name: name}
}

func TestValidate(t *testing.T) {
	route := smallConfig().Routes[0]
	with := func(f func(r *wick.Route)) wick.Change {
		r := route
		f(&r)
		return change(wick.Objects{Routes: []wick.Route{r}})
	}
	runner := smallConfig().Endpoints[0]
	tests := []struct {
		name string
		in   wick.Change
		want []string // substrings of the violations, in order
	}{
		{"unchanged", change(smallConfig()), nil},
		{"nothing", change(wick.Objects{}), []string{"Change c: WellFormed"}},
		{"no id", wick.Change{Operator: "op", Puts: smallConfig()}, []string{"WellFormed: ID"}},
		{"no operator", wick.Change{ID: "c", Puts: smallConfig()}, []string{"WellFormed: Operator"}},
		{
			"several violations",
			change(wick.Objects{
				Models:   []wick.Model{{Name: "bad"}},
				Adapters: []wick.Adapter{{Name: "x", Model: "none"}},
			}, key(wick.KindStore, "gone")),
			[]string{"Model bad: WellFormed: Context", "Adapter x: Reference: Model", "Store gone: Reference"},
		},
		{
			"twice",
			change(wick.Objects{Models: []wick.Model{{Name: "m", Context: 1}, {Name: "m", Context: 2}}}),
			[]string{"Model m: WellFormed: named twice"},
		},
		{
			"put and deleted",
			change(wick.Objects{Models: []wick.Model{{Name: "m", Context: 1}}}, key(wick.KindModel, "m")),
			[]string{"Model m: WellFormed: named twice"},
		},
		{"unknown kind", change(wick.Objects{}, key("Thing", "x")), []string{"Thing x: Reference"}},
		{"pool unknown", with(func(r *wick.Route) { r.Pool = "none" }), []string{"Reference: Pool"}},
		{"priority unknown", with(func(r *wick.Route) { r.Priority = "none" }), []string{"Reference: Priority"}},
		{"version unknown", with(func(r *wick.Route) { r.Ref.Version = "v9" }), []string{"Reference: Ref"}},
		{"path to runners", with(func(r *wick.Route) { r.Path = "/x" }), []string{"Match: Path"}},
		{"non-idempotent route to runners", with(func(r *wick.Route) { r.NonIdempotent = true }), []string{"Match: NonIdempotent"}},
		{"over the context", with(func(r *wick.Route) { r.MaxTokens = 5000 }), []string{"Match: MaxTokens"}},
		{
			"service without path", with(func(r *wick.Route) { *r = smallConfig().Routes[1]; r.Path = "" }),
			[]string{"Match: Path"},
		},
		{"service with adapter", with(func(r *wick.Route) {
			r.Pool, r.Path, r.MaxTokens = "desk", "/x", 0
		}), []string{"Match: Ref"}},
		{
			"in use",
			change(wick.Objects{}, key(wick.KindVersion, "notice/v1"), key(wick.KindModel, "base")),
			[]string{
				"Version notice/v1: InUse: still referred to by Route notice",
				"Model base: InUse: still referred to by Adapter notice, Pool draft",
			},
		},
		{
			"in use by the same change",
			change(wick.Objects{Routes: []wick.Route{route}}, key(wick.KindVersion, "notice/v1")),
			[]string{"Version notice/v1: InUse: still referred to by Route notice"},
		},
		{
			"deleted with its users",
			change(wick.Objects{}, key(wick.KindVersion, "notice/v1"), key(wick.KindRoute, "notice"),
				key(wick.KindAdapter, "notice")),
			nil,
		},
		{
			"version with other weights",
			change(wick.Objects{Versions: []wick.Version{{Adapter: "notice", Name: "v1", Source: "w/2", Size: 10}}}),
			[]string{"Version notice/v1: Immutable"},
		},
		{
			"adapter moves to another model under a route",
			change(wick.Objects{
				Models:   []wick.Model{{Name: "other", Context: 1}},
				Adapters: []wick.Adapter{{Name: "notice", Model: "other"}},
			}),
			[]string{"Route notice: Match: Ref"},
		},
		{
			"pool turns into services under its endpoints and routes",
			change(wick.Objects{Pools: []wick.Pool{{Name: "draft", Kind: wick.ServiceEndpoint}}}),
			[]string{
				"Endpoint r1: Match: AdapterSlots", "Route notice: Match: Path",
				"Route notice: Match: Ref", "Route notice: Match: MaxTokens",
			},
		},
		{
			"context shrinks under a route",
			change(wick.Objects{Models: []wick.Model{{Name: "base", Context: 50}}}),
			[]string{"Route notice: Match: MaxTokens"},
		},
		{
			"runner without slots",
			change(wick.Objects{Endpoints: []wick.Endpoint{{
				Name: "r1", Pool: "draft", Host: "h1", Domain: "a", Address: "127.0.0.1:1", BatchSlots: 8,
			}}}),
			[]string{"Endpoint r1: Match: AdapterSlots"},
		},
		{
			"address shared",
			change(wick.Objects{Endpoints: []wick.Endpoint{{
				Name: "r2", Pool: "draft", Host: "h1", Domain: "a", Address: runner.Address,
				BatchSlots: 8, AdapterSlots: 1,
			}}}),
			[]string{"Endpoint r2: Match: Address: 127.0.0.1:1 is shared by endpoints [r1 r2]"},
		},
		{
			"moved",
			wick.Change{
				ID: "c", Operator: "op", Puts: smallConfig(),
				Based: []wick.Based{{Key: key(wick.KindModel, "base"), Revision: 1}, {Key: key(wick.KindRoute, "book"), Revision: 7}},
			},
			[]string{"Route book: Moved: read at revision 7, now at revision 1"},
		},
		{
			"created by somebody else",
			wick.Change{
				ID: "c", Operator: "op", Puts: smallConfig(),
				Based: []wick.Based{{Key: key(wick.KindModel, "base"), Revision: 0}},
			},
			[]string{"Model base: Moved: read at no revision, now at revision 1"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := Validate(newSmallState(t).Table(), test.in)
			ok := slices.EqualFunc(got, test.want, func(v wick.Violation, part string) bool {
				return strings.Contains(v.Error(), part)
			})
			if !ok {
				t.Errorf("got %v\nwant %q", got, test.want)
			}
		})
	}
}

func TestResolve(t *testing.T) {
	table := newSmallState(t).Table()
	got, err := table.Resolve("notice")
	if err != nil {
		t.Fatal(err)
	}
	if got.Version.Source != "w/notice/1" || got.Model.Context != 4096 || got.Priority.Level != 5 || got.Offset != 1 {
		t.Errorf("got %+v", got)
	}
	if _, err := table.Resolve("none"); err == nil || err.Outcome != wick.NotRun || err.Code != wick.CodeNoRoute {
		t.Errorf("unknown route: %v", err)
	}
	if n := testing.AllocsPerRun(100, func() { _, _ = table.Resolve("notice") }); n != 0 {
		t.Errorf("%v allocations, want 0", n)
	}
}
