package lease

import (
	"fmt"
	"testing"

	"currantwick"
)

// TestOwnedSince compares OwnedSince with the owners of the key in a sequence
// of views.
func TestOwnedSince(t *testing.T) {
	self := wick.Member{Host: "a", Incarnation: 1}
	other := wick.Member{Host: "b", Incarnation: 1}
	again := wick.Member{Host: "a", Incarnation: 2}
	key := keyOf(t, wick.View{Members: []wick.Member{self, other}}, "a")
	lost := keyOf(t, wick.View{Members: []wick.Member{self, other}}, "b")
	views := func(members ...[]wick.Member) []wick.View {
		var out []wick.View
		for i, m := range members {
			out = append(out, wick.View{Number: wick.ViewNumber(2*i + 2), Members: m})
		}
		return out
	}
	alone, both := []wick.Member{self}, []wick.Member{self, other}
	tests := []struct {
		name  string
		views []wick.View // the open ones, then the newest
		key   Key
		since wick.ViewNumber
		want  bool
	}{
		{"same view", views(both), key, 2, true},
		{"owner of all", views(both, alone, both), key, 2, true},
		{"owner since a later one", views([]wick.Member{other}, alone, both), key, 4, true},
		{"self not a member in between", views(alone, []wick.Member{other}, alone), key, 2, false},
		{"owned by another member since the newest view", views(alone, both), lost, 2, false},
		{"owned by another member in between", views(alone, both, alone), lost, 2, false},
		{"other run of the host", views([]wick.Member{again}, alone), key, 2, false},
		{"view no longer known", views(both)[0:1], key, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k := New(Config{Self: self})
			n := len(test.views) - 1
			k.log.state = wick.ViewState{View: test.views[n], Open: test.views[:n]}
			if got := k.OwnedSince(test.key, test.since); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

// keyOf returns a key that a host owns in a view.
func keyOf(t *testing.T, v wick.View, host wick.HostName) Key {
	t.Helper()
	for i := range 100 {
		key := EndpointKey(wick.EndpointName(fmt.Sprint("e", i)))
		if m, _ := Owner(v, key); m.Host == host {
			return key
		}
	}
	t.Fatalf("%s owns nothing", host)
	return ""
}
