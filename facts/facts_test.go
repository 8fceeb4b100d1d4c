package facts_test

import (
	"testing"
	"time"

	"currantwick"
	"currantwick/facts"
)

func ms(n int) wick.Instant { return wick.Instant(time.Duration(n) * time.Millisecond) }

func runner(at wick.Offset, started wick.Started, draining bool) wick.Fact {
	return wick.Fact{Offset: at, Runner: &wick.Runner{Name: "r", Pool: "p", Started: started, Draining: draining}}
}

func gone(at wick.Offset) wick.Fact { return wick.Fact{Offset: at, RemovedEndpoint: "r"} }

func TestRunners(t *testing.T) {
	type step struct {
		at   wick.Instant
		fact wick.Fact
		// storeDown and storeUp are set for steps in which the store becomes
		// unavailable or available again.
		storeDown, storeUp bool
	}
	tests := []struct {
		name    string
		steps   []step
		at      wick.Instant
		present bool
		// draining and started describe an endpoint that is present.
		draining bool
		started  wick.Started
	}{
		{"described", []step{{fact: runner(1, 5, false)}}, 0, true, false, 5},
		{"gone", []step{{fact: runner(1, 5, false)}, {fact: gone(2)}}, 0, false, false, 0},
		{"an older removal changes nothing", []step{{fact: runner(3, 5, false)}, {fact: gone(2)}}, 0, true, false, 5},
		{"a late heartbeat does not cancel draining", []step{{fact: runner(1, 5, true)}, {fact: runner(2, 5, false)}}, 0, true, true, 5},
		{"a new incarnation cancels draining", []step{{fact: runner(1, 5, true)}, {fact: runner(2, 6, false)}}, 0, true, false, 6},
		{"lapsed in an outage", []step{{fact: runner(1, 5, false)}, {storeDown: true}, {fact: gone(2)}}, ms(9000), true, false, 5},
		{
			"lapsed and not renewed",
			[]step{{fact: runner(1, 5, false)}, {storeDown: true}, {fact: gone(2)}, {at: ms(100), storeUp: true}},
			ms(2500), false, false, 0,
		},
		{
			"lapsed and within the grace time",
			[]step{{fact: runner(1, 5, false)}, {storeDown: true}, {fact: gone(2)}, {at: ms(100), storeUp: true}},
			ms(2000), true, false, 5,
		},
		{
			"lapsed and renewed",
			[]step{{fact: runner(1, 5, false)}, {storeDown: true}, {fact: gone(2)}, {at: ms(100), storeUp: true}, {at: ms(200), fact: runner(3, 5, false)}},
			ms(9000), true, false, 5,
		},
		{
			"drained and removed in an outage",
			[]step{{fact: runner(1, 5, true)}, {storeDown: true}, {fact: gone(2)}},
			0, false, false, 0,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := facts.New(facts.Config{})
			for _, st := range test.steps {
				switch {
				case st.storeDown:
					s.SetReachable(st.at, false)
				case st.storeUp:
					s.SetReachable(st.at, true)
				default:
					s.Apply(st.at, st.fact)
				}
			}
			s.Expire(test.at)
			r := s.Runner("r")
			if (r != nil) != test.present {
				t.Fatalf("present is %v, want %v", r != nil, test.present)
			}
			if r != nil && (r.Draining != test.draining || r.Started != test.started) {
				t.Errorf("draining %v, started %d; want %v, %d", r.Draining, r.Started, test.draining, test.started)
			}
		})
	}
}

// described is a fact with the description seq of a start of the endpoint.
func described(at wick.Offset, started wick.Started, seq wick.DescriptionCount) wick.Fact {
	f := runner(at, started, false)
	f.Runner.Sequence = seq
	return f
}

// A write that the store carries out late must not bring back an endpoint that left:
// daemons sent requests to one that was about to end.
func TestLateDescriptions(t *testing.T) {
	const heartbeat = 1000
	removed := func(at wick.Offset, started wick.Started, seq wick.DescriptionCount) wick.Fact {
		return wick.Fact{Offset: at, RemovedEndpoint: "r", RemovedStart: started, RemovedSequence: seq}
	}
	type step struct {
		at        wick.Instant
		fact      wick.Fact
		confirmed bool
		want      facts.Effect
	}
	tests := []struct {
		name  string
		steps []step
		// at is when the endpoint is looked at.
		at      wick.Instant
		present bool
	}{
		{"an older description after the removal", []step{
			{0, described(1, 5, 7), false, facts.Change},
			{0, gone(2), false, facts.Change},
			{0, described(3, 5, 6), false, facts.Outdated},
		}, ms(9 * heartbeat), false},
		{"the last description once more", []step{
			{0, described(1, 5, 7), false, facts.Change},
			{0, gone(2), false, facts.Change},
			{0, described(3, 5, 7), false, facts.Outdated},
		}, ms(9 * heartbeat), false},
		{"a write that no heartbeat follows, twice", []step{
			{0, described(1, 5, 7), false, facts.Change},
			{0, gone(2), false, facts.Change},
			{0, described(3, 5, 8), false, facts.Held},
			{ms(heartbeat), described(4, 5, 8), false, facts.Held},
			{ms(3 * heartbeat), gone(5), false, facts.Unchanged},
		}, ms(9 * heartbeat), false},
		{"a description of an earlier start", []step{
			{0, described(1, 5, 7), false, facts.Change},
			{0, gone(2), false, facts.Change},
			{0, described(3, 4, 90), false, facts.Outdated},
		}, ms(9 * heartbeat), false},
		{"an earlier start does not cancel draining", []step{
			{0, runner(1, 5, true), false, facts.Change},
			{0, described(2, 4, 90), false, facts.Outdated},
			{0, gone(3), false, facts.Change},
		}, 0, false},
		{"a write that no heartbeat follows is removed", []step{
			{0, described(1, 5, 7), false, facts.Change},
			{0, gone(2), false, facts.Change},
			{0, described(3, 5, 8), false, facts.Held},
			{ms(3 * heartbeat), gone(4), false, facts.Unchanged},
		}, ms(9 * heartbeat), false},
		{"held while the store would keep it", []step{
			{0, described(1, 5, 7), false, facts.Change},
			{0, gone(2), false, facts.Change},
			{0, described(3, 5, 8), false, facts.Held},
		}, ms(4*heartbeat - 1), false},
		{"an entry that stays", []step{
			{0, described(1, 5, 7), false, facts.Change},
			{0, gone(2), false, facts.Change},
			{0, described(3, 5, 8), false, facts.Held},
		}, ms(4 * heartbeat), true},
		{"heartbeats follow", []step{
			{0, described(1, 5, 7), false, facts.Change},
			{0, gone(2), false, facts.Change},
			{0, described(3, 5, 8), false, facts.Held},
			{ms(heartbeat), described(4, 5, 9), false, facts.Return},
		}, ms(heartbeat), true},
		{"a new start", []step{
			{0, described(1, 5, 7), false, facts.Change},
			{0, gone(2), false, facts.Change},
			{0, described(3, 6, 1), false, facts.Return},
		}, 0, true},
		{"read late, told of the removal before", []step{
			{0, removed(2, 5, 7), true, facts.Noted},
			{0, described(3, 5, 6), false, facts.Outdated},
		}, ms(9 * heartbeat), false},
		{"read late, told of the removal after", []step{
			{0, described(3, 5, 6), false, facts.Change},
			{0, removed(2, 5, 7), true, facts.Change},
		}, ms(9 * heartbeat), false},
		{"a late heartbeat between one that was relayed and the removal", []step{
			{0, described(1, 5, 1), false, facts.Change},
			{0, removed(9, 5, 7), true, facts.Change},
			{0, described(10, 5, 6), false, facts.Outdated},
		}, ms(9 * heartbeat), false},
		{"a newer entry, told of the removal after", []step{
			{0, described(3, 5, 8), false, facts.Change},
			{0, removed(2, 5, 7), true, facts.Change},
		}, ms(4*heartbeat - 1), false},
		{"a later start, told of the removal after", []step{
			{0, described(3, 6, 1), false, facts.Change},
			{0, removed(2, 5, 7), true, facts.Unchanged},
		}, 0, true},
		{"the newer description at a lower offset", []step{
			{0, described(3, 4, 9), false, facts.Change},
			{0, described(2, 5, 7), true, facts.Change},
		}, 0, true},
		{"a holder has confirmed the return", []step{
			{0, described(1, 5, 7), false, facts.Change},
			{0, gone(2), false, facts.Change},
			{0, described(3, 5, 8), true, facts.Change},
			{0, removed(2, 5, 7), true, facts.Unchanged},
		}, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := facts.New(facts.Config{Heartbeat: heartbeat * time.Millisecond})
			for i, st := range test.steps {
				apply := s.Apply
				if st.confirmed {
					apply = s.Confirm
				}
				if got := apply(st.at, st.fact); got != st.want {
					t.Errorf("step %d: effect %d, want %d", i+1, got, st.want)
				}
			}
			s.Returned(test.at)
			if present := s.Runner("r") != nil; present != test.present {
				t.Errorf("present is %v, want %v", present, test.present)
			}
		})
	}
}

// An entry that lapsed in an outage is renewed by a newer description only, and not by
// the last one, which the store has written late.
func TestLateRenewal(t *testing.T) {
	tests := []struct {
		name    string
		last    wick.Fact
		want    facts.Effect
		present bool
	}{
		{"the last description once more", described(3, 5, 7), facts.Outdated, false},
		{"an older one", described(3, 5, 6), facts.Outdated, false},
		{"a heartbeat", described(3, 5, 8), facts.Return, true},
		{"a new start", described(3, 6, 1), facts.Return, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := facts.New(facts.Config{Heartbeat: time.Second})
			s.Apply(0, described(1, 5, 7))
			s.SetReachable(ms(10), false)
			s.Apply(ms(20), gone(2))
			s.SetReachable(ms(30), true)
			if got := s.Apply(ms(40), test.last); got != test.want {
				t.Errorf("effect %d, want %d", got, test.want)
			}
			s.Expire(ms(9000))
			if present := s.Runner("r") != nil; present != test.present {
				t.Errorf("present is %v, want %v", present, test.present)
			}
		})
	}
}

// A configuration or an adapter's version that the store writes late must not replace
// a newer one, and one that was read late must yield to it.
func TestLateVersions(t *testing.T) {
	w := wick.Weights{Model: "m", Adapter: "a"}
	config := func(at wick.Offset, version uint64) wick.Fact {
		return wick.Fact{Offset: at, ServingConfig: &wick.ServingConfig{Version: version}}
	}
	revision := func(at wick.Offset, version wick.Revision) wick.Fact {
		return wick.Fact{Offset: at, NewRevision: &wick.Loaded{Weights: w, Revision: version}}
	}
	tests := []struct {
		name          string
		first, second wick.Fact
		want          facts.Effect
	}{
		{"older configuration", config(5, 12), config(6, 7), facts.Outdated},
		{"newer configuration at a lower offset", config(6, 7), config(5, 12), facts.Change},
		{"configuration read again", config(5, 12), config(5, 12), facts.Unchanged},
		{"older version", revision(5, 3), revision(6, 2), facts.Outdated},
		{"newer version at a lower offset", revision(6, 2), revision(5, 3), facts.Change},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := facts.New(facts.Config{})
			s.Apply(0, test.first)
			if got := s.Apply(0, test.second); got != test.want {
				t.Errorf("effect %d, want %d", got, test.want)
			}
			if c := s.ServingConfig(); c != nil && c.Version != 12 {
				t.Errorf("configuration %d is in force, want 12", c.Version)
			}
			if n, ok := s.Newest()[w]; ok && n.Number != 3 {
				t.Errorf("newest version is %d, want 3", n.Number)
			}
		})
	}
}

func TestListingRemovesMissing(t *testing.T) {
	tests := []struct {
		name   string
		listed map[wick.EndpointName]bool
		end    wick.Offset
		there  bool
	}{
		{"listed", map[wick.EndpointName]bool{"r": true}, 9, true},
		{"missing", nil, 9, false},
		{"described after the listing", nil, 4, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := facts.New(facts.Config{})
			s.Apply(0, runner(5, 1, false))
			s.ApplyListing(ms(5000), test.listed, test.end)
			if there := s.Runner("r") != nil; there != test.there {
				t.Errorf("present is %v, want %v", there, test.there)
			}
		})
	}
}

// The removal of an entry that is held may have been deleted before it was read.
func TestListingEndsHeldEntries(t *testing.T) {
	s := facts.New(facts.Config{Heartbeat: time.Second})
	s.Apply(0, described(1, 5, 7))
	s.Apply(0, gone(2))
	s.Apply(0, described(3, 5, 8))
	s.ApplyListing(ms(1000), nil, 9)
	if back := s.Returned(ms(9000)); len(back) > 0 {
		t.Errorf("%v is back, though the store has no entry of it", back[0].Runner.Name)
	}
}

func TestRoutes(t *testing.T) {
	s := facts.New(facts.Config{})
	s.Apply(0, wick.Fact{Offset: 1, ServingConfig: &wick.ServingConfig{Version: 1, Routes: []wick.RouteConfig{
		{Name: "root", Host: "h", Prefix: "/"},
		{Name: "deep", Host: "h", Prefix: "/a/b/"},
		{Name: "shallow", Host: "h", Prefix: "/a/"},
		{Name: "other", Host: "g", Prefix: "/a/"},
	}}})
	tests := []struct {
		host, path string
		want       wick.RouteName
	}{
		{"h", "/a/b/c", "deep"},
		{"h", "/a/bc", "shallow"},
		{"h", "/a", "root"},
		{"h", "/x", "root"},
		{"g", "/a/b/", "other"},
		{"g", "/b/", ""},
		{"f", "/a/", ""},
	}
	for _, test := range tests {
		r, ok := s.Routes().Find(test.host, test.path)
		if r.Name != test.want || ok != (test.want != "") {
			t.Errorf("%s%s: got route %q, want %q", test.host, test.path, r.Name, test.want)
		}
	}
}

func TestStaleFactsAreIgnored(t *testing.T) {
	s := facts.New(facts.Config{})
	s.Apply(0, wick.Fact{Offset: 5, ServingConfig: &wick.ServingConfig{Version: 9}})
	s.Apply(0, wick.Fact{Offset: 4, ServingConfig: &wick.ServingConfig{Version: 8}})
	if config := s.ServingConfig(); config.Version != 9 {
		t.Errorf("configuration %d is in force, want 9", config.Version)
	}
	w := wick.Weights{Model: "m", Adapter: "a"}
	s.Apply(0, wick.Fact{Offset: 6, NewRevision: &wick.Loaded{Weights: w, Revision: 3}})
	s.Apply(0, wick.Fact{Offset: 7, NewRevision: &wick.Loaded{Weights: w, Revision: 2}})
	if got := s.Newest()[w].Number; got != 3 {
		t.Errorf("newest version is %d, want 3", got)
	}
}

// TestEffects checks that a description which differs only in the adapters held
// is not reported as a change, since the holder of the shard learns of these
// earlier. A description of a lapsed endpoint is a return, since other daemons
// may have removed the endpoint.
func TestEffects(t *testing.T) {
	loaded := runner(2, 5, false)
	loaded.Runner.Cached = []wick.Weights{{Model: "m", Adapter: "a"}}
	moved := runner(2, 5, false)
	moved.Runner.Address = "10.0.0.1:80"
	tests := []struct {
		name string
		// outage removes the entry during a store outage before the last fact
		// is applied.
		outage bool
		last   wick.Fact
		want   facts.Effect
	}{
		{"the same record", false, runner(1, 5, false), facts.Unchanged},
		{"another cached adapter", false, loaded, facts.CacheChange},
		{"another address", false, moved, facts.Change},
		{"a draining notice", false, runner(2, 5, true), facts.Change},
		{"a new incarnation", false, runner(2, 6, false), facts.Change},
		{"gone", false, gone(2), facts.Change},
		{"renewed after lapsing", true, runner(3, 5, false), facts.Return},
		{"a version", false, wick.Fact{Offset: 1, NewRevision: &wick.Loaded{Revision: 2}}, facts.Change},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := facts.New(facts.Config{})
			s.Apply(0, runner(1, 5, false))
			if test.outage {
				s.SetReachable(ms(10), false)
				s.Apply(ms(20), gone(2))
				s.SetReachable(ms(30), true)
			}
			if got := s.Apply(ms(40), test.last); got != test.want {
				t.Errorf("effect %d, want %d", got, test.want)
			}
		})
	}
}
