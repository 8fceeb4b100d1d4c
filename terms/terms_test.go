package terms_test

import (
	"testing"
	"time"

	"currantwick"
	"currantwick/terms"
)

func ms(n int) wick.Instant { return wick.Instant(time.Duration(n) * time.Millisecond) }

func table(fenced bool) *terms.Table {
	t := terms.New(terms.Config{Self: "a", Incarnation: 1, Lease: 3 * time.Second, RequireFencing: fenced})
	t.Confirm(0)
	return t
}

func TestMayOrder(t *testing.T) {
	own := terms.Claim{Shard: 1, Holder: "a", Incarnation: 1}
	tests := []struct {
		name   string
		fenced bool
		before terms.Claim
		then   func(*terms.Table)
		at     wick.Instant
		want   bool
	}{
		{"first holder", true, terms.Claim{}, nil, ms(10), true},
		{"after another holder within the lease", true, terms.Claim{Shard: 1, Holder: "b", Incarnation: 7}, nil, ms(2000), false},
		{
			"after another holder and the lease", true,
			terms.Claim{Shard: 1, Holder: "b", Incarnation: 7},
			func(t *terms.Table) { t.Confirm(ms(3000)) }, ms(3500), true,
		},
		{"after one that left, with fencing", true, terms.Claim{Shard: 1, Holder: "b", Incarnation: 7, Left: true}, nil, ms(10), true},
		{"after one that left, without fencing", false, terms.Claim{Shard: 1, Holder: "b", Incarnation: 7, Left: true}, nil, ms(10), false},
		{"the same machine restarted", true, terms.Claim{Shard: 1, Holder: "a", Incarnation: 9}, nil, ms(10), true},
		// It had claimed the shard while it waited for the lease of the holder before it, was
		// killed, and gave orders at once when it was back.
		{"the same machine restarted, without fencing", false, terms.Claim{Shard: 1, Holder: "a", Incarnation: 9}, nil, ms(10), false},
		{
			"the same machine restarted, without fencing, after the lease", false,
			terms.Claim{Shard: 1, Holder: "a", Incarnation: 9},
			func(t *terms.Table) { t.Confirm(ms(4600)) }, ms(4700), true,
		},
		{"the same machine restarted after it left, without fencing", false, terms.Claim{Shard: 1, Holder: "a", Incarnation: 9, Left: true}, nil, ms(10), false},
		{"with an old read", true, terms.Claim{}, nil, ms(3300), false},
		{"with an old read, without fencing", false, terms.Claim{}, nil, ms(1300), false},
		{"while the store is unreachable", true, terms.Claim{}, (*terms.Table).SetUnreachable, ms(60000), true},
		{"while the store is unreachable, without fencing", false, terms.Claim{}, (*terms.Table).SetUnreachable, ms(1300), false},
		{"after a pause", true, terms.Claim{}, (*terms.Table).SetUnconfirmed, ms(10), false},
		{
			"after a pause and a read", true,
			terms.Claim{},
			func(t *terms.Table) { t.SetUnconfirmed(); t.Confirm(ms(5)) }, ms(10), true,
		},
		{"after an order was refused for a later token", true, terms.Claim{}, func(t *terms.Table) { t.Revoke(1) }, ms(10), false},
		{
			"after another daemon's term", true,
			terms.Claim{},
			func(t *terms.Table) { t.Begin(ms(5), 9, terms.Claim{Shard: 1, Holder: "c", Incarnation: 2}) }, ms(10), false,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tab := table(test.fenced)
			if test.before.Holder != "" {
				tab.Begin(0, 3, test.before)
			}
			tab.Begin(0, 4, own)
			if test.then != nil {
				test.then(tab)
			}
			fence, got := tab.MayOrder(test.at, 1)
			if got != test.want || got && fence != 5 {
				t.Errorf("may order %v under token %d, want %v under 5", got, fence, test.want)
			}
		})
	}
}

func TestClaims(t *testing.T) {
	a, b := terms.Candidate{Host: "a", Incarnation: 1}, terms.Candidate{Host: "b", Incarnation: 2}
	tests := []struct {
		name   string
		holder terms.Claim
		alive  []terms.Candidate
		after  wick.Instant
		want   bool
	}{
		{"live holder", terms.Claim{Holder: "b", Incarnation: 2}, []terms.Candidate{a, b}, ms(9000), false},
		{"silent within the timeout", terms.Claim{Holder: "b", Incarnation: 2}, []terms.Candidate{a}, ms(900), false},
		{"silent beyond the timeout", terms.Claim{Holder: "b", Incarnation: 2}, []terms.Candidate{a}, ms(1100), true},
		{"left", terms.Claim{Holder: "b", Incarnation: 2, Left: true}, []terms.Candidate{a}, ms(1), true},
		{"own term of an earlier run", terms.Claim{Holder: "a", Incarnation: 9}, []terms.Candidate{a, b}, ms(1), true},
		{"other daemon's term of an earlier run", terms.Claim{Holder: "b", Incarnation: 9}, []terms.Candidate{a, b}, ms(1), false},
		{"other daemon's term of an earlier run, beyond the timeout", terms.Claim{Holder: "b", Incarnation: 9}, []terms.Candidate{a, b}, ms(1200), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tab := table(true)
			for s := range wick.Shard(terms.Shards) {
				c := test.holder
				c.Shard = s
				tab.Begin(0, wick.Offset(s), c)
			}
			tab.Claims(0, test.alive)
			if got := len(tab.Claims(test.after, test.alive)) == terms.Shards; got != test.want {
				t.Errorf("all shards claimed: %v, want %v", got, test.want)
			}
		})
	}
}

// A record with a lower token than the known term is ignored, in whatever order
// records arrive.
func TestOlderTermIsIgnored(t *testing.T) {
	tab := table(true)
	tab.Begin(0, 8, terms.Claim{Shard: 0, Holder: "c", Incarnation: 3})
	if tab.Begin(ms(1), 7, terms.Claim{Shard: 0, Holder: "a", Incarnation: 1}) {
		t.Error("an older record began a term")
	}
	if got := tab.Holder(0); got.Holder != "c" || got.Fence != 9 {
		t.Errorf("holder is %s under %d, want c under 9", got.Holder, got.Fence)
	}
}

func TestShardsAreInRange(t *testing.T) {
	for _, e := range []wick.EndpointName{"", "i-1", "i-2", "runner-a"} {
		if s := terms.ShardOf(e); s < 0 || s >= terms.Shards {
			t.Errorf("%q is in shard %d", e, s)
		}
	}
}
